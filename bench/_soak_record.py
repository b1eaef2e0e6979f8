"""What happened in a play: calls, faults, lives of processes, rows of jobs.

A play that fails writes all of it into one folder, with the schedule and the lines of
all processes. A process that starts again under its name goes on in the same log, so
that the lines of those that were killed are there, too.
"""

from __future__ import annotations

import base64
import datetime
import json
import os
import pathlib
import time
from typing import Any

import attrs
import msgspec
import trio

from bench._soak_schedule import AnyFault, Schedule, save_schedule
from tests.harness import JOBS, Gateways, Process

_LOOK_S = 0.02
"""Between looks at which processes run; their ends are known to as much."""

_TABLES = ("job", "input", "result", "partial")


@attrs.define
class Life:
    """One process from its start to its end.

    Attributes:
      expected: Whether something in the play ends it.
    """

    name: str
    process: Process
    began_unix_s: float
    ended_unix_s: float = 0.0
    exit_code: int | None = None
    expected: bool = False

    def line(self) -> dict[str, Any]:
        """Returns it as it is written."""
        return {
            "name": self.name,
            "pid": self.process.popen.pid,
            "began": wall(self.began_unix_s),
            "ended": wall(self.ended_unix_s) if self.ended_unix_s else "",
            "exit_code": self.exit_code,
            "expected": self.expected,
        }


@attrs.define
class CallMade:
    """A client's call.

    Attributes:
      what: "submit", "end", "read" or "request".
      of: Id of the job or of the request.
      status: 0 for no answer.
      left: Whether the client closed its connection before the answer.
      told: What else the answer said.
    """

    what: str
    of: str
    gateway: str
    began_unix_s: float
    ended_unix_s: float = 0.0
    status: int = 0
    left: bool = False
    told: str = ""

    def line(self) -> dict[str, Any]:
        """Returns it as it is written."""
        return {
            "what": self.what,
            "of": self.of,
            "at": self.gateway,
            "from": wall(self.began_unix_s),
            "to": wall(self.ended_unix_s) if self.ended_unix_s else "",
            "status": self.status,
            "left": self.left,
            "told": self.told,
        }


@attrs.define
class FaultPlayed:
    """A fault as it was played.

    Attributes:
      hits: Names of the processes that it killed or stopped, and when.
    """

    fault: AnyFault
    began_unix_s: float
    ended_unix_s: float = 0.0
    hits: list[tuple[str, float]] = attrs.field(factory=list)

    def line(self) -> dict[str, Any]:
        """Returns it as it is written."""
        return {
            "from": wall(self.began_unix_s),
            "to": wall(self.ended_unix_s) if self.ended_unix_s else "",
            "hits": [(name, wall(at)) for name, at in self.hits],
            "fault": msgspec.to_builtins(self.fault),
        }


@attrs.define
class Record:
    """All that happened in a play.

    Attributes:
      problems: Broken promises, in words.
      rows: Rows of jobs, by the moment at which they were read.
      moments: When what was reached.
    """

    lives: list[Life] = attrs.field(factory=list)
    calls: list[CallMade] = attrs.field(factory=list)
    faults: list[FaultPlayed] = attrs.field(factory=list)
    problems: list[str] = attrs.field(factory=list)
    rows: dict[str, dict[str, Any]] = attrs.field(factory=dict)
    moments: dict[str, float] = attrs.field(factory=dict)
    load: dict[str, tuple[float, ...]] = attrs.field(factory=dict)

    def reach(self, moment: str) -> None:
        """Keeps when a moment was reached, and the machine's load then."""
        self.moments[moment] = time.time()
        self.load[moment] = os.getloadavg()

    def expect_end(self, name: str) -> None:
        """Notes that the play ends the process that bears this name now."""
        lives = [life for life in self.lives if life.name == name]
        lives[-1].expected = True

    async def watch(self) -> None:
        """Looks which processes end, until cancelled."""
        while True:
            self.look()
            await trio.sleep(_LOOK_S)

    def look(self) -> None:
        """Notes which processes have ended since the last look."""
        for life in self.lives:
            if not life.ended_unix_s and not life.process.running:
                life.ended_unix_s = time.time()
                life.exit_code = life.process.popen.returncode
                if not life.expected:
                    self.problems.append(
                        f"{life.name} ended by itself with {life.exit_code}"
                    )

    def write(
        self, folder: pathlib.Path, schedule: Schedule, fleet: RecordedGateways
    ) -> None:
        """Writes all that is needed to name the cause of a failure."""
        folder.mkdir(parents=True, exist_ok=True)
        save_schedule(schedule, folder / "schedule.json")
        _write_lines(folder / "calls.jsonl", [call.line() for call in self.calls])
        _write_lines(folder / "faults.jsonl", [fault.line() for fault in self.faults])
        _write_lines(folder / "processes.jsonl", [life.line() for life in self.lives])
        facts = {
            "problems": self.problems,
            "moments": {name: wall(at) for name, at in self.moments.items()},
            "load": self.load,
            "shard": os.environ.get("COPPERCLEAT_TEST_SHARD", ""),
            "ports": fleet.all_ports(),
        }
        (folder / "facts.json").write_text(json.dumps(facts, indent=1))
        (folder / "rows.json").write_text(json.dumps(self.rows, indent=1))
        for name, process in fleet.processes.items():
            (folder / f"{name}.log").write_text(process.output(), encoding="utf-8")


class RecordedGateways(Gateways):
    """Gateways of which each process that was ever started is known."""

    def __init__(self, *, gateways: int, runners: int, record: Record) -> None:
        super().__init__(gateways=gateways, runners=runners, proxied=True)
        self.record = record

    def start_gateway(self, name: str) -> None:
        """Starts a gateway, or starts it again under the same name and ports."""
        super().start_gateway(name)
        self._keep(name)

    def _process(self, name: str, module: str, port: int, *flags: str) -> None:
        super()._process(name, module, port, *flags)
        self._keep(name)

    def _keep(self, name: str) -> None:
        self.record.lives.append(Life(name, self.processes[name], time.time()))

    def all_ports(self) -> dict[str, Any]:
        """Returns the ports of all processes and ways."""
        return {
            "store": self.store_port,
            "proxy": self.proxy_port,
            "ways": self.links,
            "processes": self.ports,
        }

    async def rows_of_job(self, job: str) -> dict[str, Any]:
        """Returns all rows of a job as the store has them, by key."""
        found: dict[str, Any] = {}
        for table in _TABLES:
            for key, row in await self.rows(f"{table}/{job}", part=JOBS[0]):
                if key.split("/")[1] == job:
                    found[key] = {"version": row.version, "value": _read(row.value)}
        return found


def wall(unix_s: float) -> str:
    """Returns a time of day as the processes' logs write it, in UTC."""
    return datetime.datetime.fromtimestamp(unix_s, datetime.UTC).isoformat()[11:23]


def _read(value: bytes) -> Any:
    try:
        return json.loads(value)
    except ValueError:
        return base64.b64encode(value).decode()


def _write_lines(path: pathlib.Path, lines: list[dict[str, Any]]) -> None:
    path.write_text("".join(json.dumps(line) + "\n" for line in lines))
