"""Processes that a test starts, and ends by their ids."""

from __future__ import annotations

import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

import trio

_T = TypeVar("_T")
_POLL_S = 0.05
_STOP_S = 15.0
DEFAULT_WAIT_S = 60.0


KEPT_LOGS = "COPPERCLEAT_TEST_LOGS"
"""The environment variable that names a folder in which all logs are kept."""


class Process:
    """One child process of the test, with its log in a file.

    Attributes:
      began: Unix time of its start, in seconds.
      signals: Signals that the test sent it, with their Unix times.
    """

    def __init__(
        self,
        name: str,
        arguments: Sequence[str],
        *,
        program: str = sys.executable,
        directory: pathlib.Path | None = None,
        environment: dict[str, str] | None = None,
    ) -> None:
        self.name = name
        self.began = time.time()
        self.signals: list[tuple[float, signal.Signals]] = []
        self.log = pathlib.Path(tempfile.gettempdir()) / (
            f"coppercleat-{os.getpid()}-{name}.log"
        )
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen(
                [program, *arguments],
                cwd=directory,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def running(self) -> bool:
        """Whether it has not ended."""
        return self.popen.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal."""
        if self.running:
            self.signals.append((time.time(), number))
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Ends it at once."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def wait(self) -> int:
        """Waits for its end and returns the exit code."""
        return self.popen.wait(timeout=_STOP_S + 20)

    def close(self) -> None:
        """Ends it and removes the log, or moves it where logs are kept."""
        self.kill()
        kept = os.environ.get(KEPT_LOGS)
        if kept and self.log.exists():
            shutil.move(self.log, pathlib.Path(kept) / self.log.name)
        self.log.unlink(missing_ok=True)

    def output(self) -> str:
        """Returns its log so far."""
        return self.log.read_text(errors="replace")

    def resident_bytes(self) -> int:
        """Returns its resident memory."""
        statm = pathlib.Path(f"/proc/{self.popen.pid}/statm").read_text()
        return int(statm.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def cpu_seconds(self) -> float:
        """Returns processor time used so far, user and system."""
        fields = pathlib.Path(f"/proc/{self.popen.pid}/stat").read_text()
        after = fields.rpartition(")")[2].split()
        return (int(after[11]) + int(after[12])) / os.sysconf("SC_CLK_TCK")

    def processor_wait_s(self) -> float:
        """Returns how long its threads have waited for a processor so far, together."""
        return waited_for_processor_s(self.popen.pid)

    def children(self) -> list[str]:
        """Returns the ids of its child processes."""
        tasks = pathlib.Path(f"/proc/{self.popen.pid}/task")
        found: list[str] = []
        for task in tasks.iterdir():
            found += (task / "children").read_text().split()
        return found


def waited_for_processor_s(pid: int) -> float:
    """Returns how long a process's threads have waited for a processor, together."""
    tasks = pathlib.Path(f"/proc/{pid}/task").iterdir()
    waits = [(task / "schedstat").read_text().split()[1] for task in tasks]
    return sum(map(int, waits)) / 1e9


async def until(
    what: str,
    condition: Callable[[], Awaitable[_T]],
    *,
    wait_s: float = DEFAULT_WAIT_S,
) -> _T:
    """Waits for a condition and returns what it gave.

    Raises:
      AssertionError: It did not hold within a generous bound.
    """
    end = time.monotonic() + wait_s
    while True:
        result = await condition()
        if result:
            return result
        assert time.monotonic() < end, f"not within {wait_s} s: {what}"
        await trio.sleep(_POLL_S)
