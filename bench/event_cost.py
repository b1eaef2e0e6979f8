"""What passing events on costs a gateway in processor time.

``python -m bench.event_cost`` starts one gateway before stand-ins of runners, plays
streams side by side, and prints one JSON line: microseconds of processor time for each
event, for each request, and the share of a core that an idle gateway takes.
``--profile FILE`` has the gateway write a profile for ``pstats``.
"""

from __future__ import annotations

import argparse
import json
import os
import pathlib
import signal
import sys
import time

import trio

from tests.harness import RESUMABLE, Gateways, Process

RUNNERS = 4
STREAMS = 24
IDLE_S = 5.0
LONG_EVENTS = 120
SHORT_EVENTS = 2
ROUNDS = 3
EVENT_S = 0.025
"""As an engine of the users makes them: six tokens of some 4 ms each."""

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class ProfiledGateways(Gateways):
    """Gateways that write a profile when they stop."""

    profile: str = ""

    def start_gateway(self, name: str) -> None:
        """See ``Gateways.start_gateway``."""
        super().start_gateway(name)
        if self.profile:
            self.processes[name].close()
            arguments = ["-m", "cProfile", "-o", self.profile, "deploy/start.py"]
            self.processes[name] = Process(name, [*arguments, "gateway"])


def processor_s(pid: int) -> float:
    """Returns the processor time that a process has taken so far."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


async def streams(system: Gateways, events: int, first: int) -> None:
    """Plays streams of so many events side by side."""
    for name in system.runners:
        await system.control(name, events=events, event_s=EVENT_S)

    async def ask(number: int) -> None:
        answer = await system.ask(
            system.names[0], RESUMABLE, f"r{number}", deadline_ms=20_000
        )
        assert answer.whole, answer.status

    async with trio.open_nursery() as nursery:
        for number in range(first, first + STREAMS):
            nursery.start_soon(ask, number)


def measure(system: Gateways) -> dict[str, float]:
    """Returns the costs in microseconds and the idle share of a core."""
    pid = system.processes[system.names[0]].popen.pid
    system.run(streams, system, SHORT_EVENTS, 0)
    began, before = time.monotonic(), processor_s(pid)
    time.sleep(IDLE_S)
    idle = (processor_s(pid) - before) / (time.monotonic() - began)
    costs = {}
    for events in (SHORT_EVENTS, LONG_EVENTS):
        began, before = time.monotonic(), processor_s(pid)
        for round_ in range(ROUNDS):
            system.run(streams, system, events, 1000 * events + 100 * round_)
        took = processor_s(pid) - before - idle * (time.monotonic() - began)
        costs[events] = took / (ROUNDS * STREAMS) * 1e6
    per_event = (costs[LONG_EVENTS] - costs[SHORT_EVENTS]) / (
        LONG_EVENTS - SHORT_EVENTS
    )
    return {
        "event_us": round(per_event, 1),
        "request_us": round(costs[SHORT_EVENTS] - SHORT_EVENTS * per_event),
        "idle_share": round(idle, 4),
    }


def main() -> int:
    """Runs and prints."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--profile", default="", help="where a profile is written")
    options = parser.parse_args()
    system = ProfiledGateways(gateways=1, runners=RUNNERS)
    system.profile = options.profile
    try:
        system.start()
        print(json.dumps(measure(system)))
        gateway = system.processes[system.names[0]]
        gateway.signal(signal.SIGTERM)
        gateway.wait()
    finally:
        system.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
