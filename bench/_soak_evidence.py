"""What a play that fails leaves in a file, so that its cause can be told from it alone.

Times are times of day in UTC, as in the processes' own log lines.
"""

from __future__ import annotations

import datetime
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable, Iterable, Iterator
from typing import Any

import trio

from tests.harness import JOBS, Gateways, Process, own_shard, port_states

_COLLECT_S = 10.0
_MOST_CHARACTERS = 2000
"""Of a stored value."""


class Evidence:
    """Collects what happens in a play.

    Attributes:
      fleet: What the play runs on.
      told: Clients' calls and faults, in the order of their ends.
    """

    def __init__(self, fleet: Gateways) -> None:
        self.fleet = fleet
        self.told: list[dict[str, Any]] = []
        self._began = time.time()
        self._load_at_begin = os.getloadavg()

    def tell(self, what: str, began: float, **details: Any) -> None:
        """Keeps what a client or a fault did, from then until now."""
        line = {"what": what, "from": wall(began), "to": wall(time.time())}
        self.told.append(line | details)

    def write(
        self, path: pathlib.Path, summary: dict[str, Any], jobs: Iterable[str]
    ) -> None:
        """Writes everything, while the fleet still runs.

        Args:
          path: The file; an older one is replaced.
          summary: What the play found, for the first line.
          jobs: Ids of the jobs whose rows are of interest.
        """
        collected = self.fleet.run(self._collect, list(jobs))
        path.parent.mkdir(exist_ok=True)
        with path.open("w", encoding="utf-8") as out:
            out.write(json.dumps(summary) + "\n")
            out.writelines(_section("play", [self._play()]))
            out.writelines(_section("ports", port_states(self.fleet.port_uses)))
            out.writelines(_section("processes", map(_life, self.fleet.started)))
            out.writelines(_section("faults as they were set", self._actions()))
            out.writelines(_section("clients and faults", self.told))
            for name, lines in collected.items():
                out.writelines(_section(name, lines))
            for name, process in self.fleet.processes.items():
                out.write(f"\n--- {name}\n{process.output()}")

    def _play(self) -> dict[str, Any]:
        return {
            "command": sys.orig_argv,
            "commit": _git("rev-parse", "HEAD"),
            "changed_since": _git("status", "--porcelain").splitlines(),
            "shard": own_shard().number,
            "fleet": self.fleet.fleet_name,
            "from": wall(self._began),
            "to": wall(time.time()),
            "load_at_begin": self._load_at_begin,
            "load_at_end": os.getloadavg(),
        }

    def _actions(self) -> Iterator[dict[str, Any]]:
        for action in self.fleet.actions:
            yield {"at": wall(action.at), "what": action.what} | action.details

    async def _collect(self, jobs: list[str]) -> dict[str, list[dict[str, Any]]]:
        """Returns what the store and the runners tell."""
        rows = [row for job in jobs for row in await self.rows_of(job)]
        objects = await _tried(self._objects)
        return {
            "rows of the jobs": rows,
            "objects of the store": objects,
            "runs": await _tried(self._runs),
        }

    async def rows_of(self, job: str) -> list[dict[str, Any]]:
        """Returns a job's row, its input and its results with the cancellation."""
        return await _tried(self._rows, job)

    async def _rows(self, job: str) -> list[dict[str, Any]]:
        found = []
        for prefix in (f"job/{job}", f"input/{job}/", f"result/{job}/"):
            rows = await self.fleet.rows(prefix, part=JOBS[0])
            # The row of j-1 is a beginning of the one of j-10.
            slices = prefix.endswith("/")
            own = [(key, row) for key, row in rows if slices or key == prefix]
            found += [_row(key, row.value) for key, row in own]
            if not own:
                found.append({"key": prefix, "absent": True})
        return found

    async def _objects(self) -> list[dict[str, Any]]:
        report = await self.fleet.control("store")
        return [{"object": name} for name in report["objects"]]

    async def _runs(self) -> list[dict[str, Any]]:
        # Runners tell their own steady clock, the same for all processes.
        to_wall = time.time() - time.monotonic()
        runs = await self.fleet.runs()
        return [run | {"at": wall(run["at"] + to_wall)} for run in runs]


def wall(unix_s: float) -> str:
    """Returns a time of day as the processes' logs write it, in UTC."""
    return datetime.datetime.fromtimestamp(unix_s, datetime.UTC).isoformat()[11:23]


def _section(name: str, lines: Iterable[dict[str, Any]]) -> Iterator[str]:
    yield f"\n--- {name}\n"
    for line in lines:
        yield json.dumps(line, default=str) + "\n"


def _life(process: Process) -> dict[str, Any]:
    """Returns when a process began, which signals it got, and how it ended."""
    return {
        "name": process.name,
        "pid": process.popen.pid,
        "from": wall(process.began),
        "signals": [[wall(at), signal.Signals(n).name] for at, n in process.signals],
        "exit_code": process.popen.poll(),
    }


def _row(key: str, value: bytes) -> dict[str, Any]:
    text = value.decode(errors="replace")
    return {"key": key, "bytes": len(value), "value": text[:_MOST_CHARACTERS]}


async def _tried(
    function: Callable[..., Awaitable[list[dict[str, Any]]]], *args: Any
) -> list[dict[str, Any]]:
    """Returns what a function finds, or why it finds nothing."""
    try:
        with trio.fail_after(_COLLECT_S):
            return await function(*args)
    except Exception as error:  # noqa: BLE001 - whatever is broken, the rest is kept
        return [{"could_not_be_read": repr(error), "of": args}]


def _git(*arguments: str) -> str:
    """Returns what git tells of the working directory, nothing if it can't."""
    try:
        done = subprocess.run(
            ["git", *arguments], capture_output=True, text=True, check=False
        )
    except FileNotFoundError:
        return ""
    return done.stdout.rstrip()
