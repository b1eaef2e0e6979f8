"""Pauses processes of a test on purpose, as a busy machine does by chance.

What load does to a process is to give it no time for some tenths of a second. Here one
process at a time stands still by signal, at moments drawn from a seed, so that the
process and the moment of a failure are known.
"""

from __future__ import annotations

import os
import pathlib
import random
import signal
import threading
import time
from collections.abc import Callable, Mapping

import msgspec

from tests.harness._processes import Process

VARIABLE = "COPPERCLEAT_TEST_PAUSES"
"""The environment variable that holds a ``PausePlan`` as JSON."""


class PausePlan(msgspec.Struct, frozen=True, kw_only=True):
    """Which processes to pause, and for how long.

    Attributes:
      who: Beginnings of their names.
      shortest_s: Of a pause.
      longest_s: Of a pause.
      gap_s: Between two pauses, on average.
      log: Where each pause is noted; empty for nowhere.
    """

    who: tuple[str, ...]
    seed: int = 1
    shortest_s: float = 0.1
    longest_s: float = 0.6
    gap_s: float = 0.5
    log: str = ""


def plan_of_environment() -> PausePlan | None:
    """Returns the plan that this test run was given, None for none."""
    text = os.environ.get(VARIABLE)
    return msgspec.json.decode(text, type=PausePlan) if text else None


class Pauses:
    """Pauses one process after the other, in a thread, until it is stopped."""

    def __init__(
        self, plan: PausePlan, processes: Callable[[], Mapping[str, Process]]
    ) -> None:
        """Starts.

        Args:
          plan: What to do.
          processes: Returns the processes by name, as they are now.
        """
        self.plan = plan
        self.processes = processes
        self.rng = random.Random(plan.seed)
        self._over = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Ends; nothing stands still afterwards."""
        self._over.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._over.wait(self.rng.uniform(0, 2 * self.plan.gap_s)):
            names = sorted(n for n in self.processes() if n.startswith(self.plan.who))
            if names:
                length_s = self.rng.uniform(self.plan.shortest_s, self.plan.longest_s)
                self._pause(self.rng.choice(names), length_s)

    def _pause(self, name: str, length_s: float) -> None:
        process = self.processes()[name]
        began = time.time()
        process.signal(signal.SIGSTOP)
        self._over.wait(length_s)
        process.signal(signal.SIGCONT)
        if self.plan.log:
            line = {"paused": name, "from": began, "s": round(time.time() - began, 3)}
            with pathlib.Path(self.plan.log).open("ab") as log:
                log.write(msgspec.json.encode(line) + b"\n")
