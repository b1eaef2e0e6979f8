"""A lot of 20,000 items under faults, and what became of each item.

``python -m bench.chaos`` runs nine instances and six engines as processes. While
the lot runs, instances are killed, paused past their challenge and stopped as
planned, the platform has outages and loses answers, and the lot is submitted
again; a second lot is cancelled. One JSON line tells the outcome. With
``--faults=none`` it is the baseline for repeats and for platform calls.
"""

from __future__ import annotations

import argparse
import json
import random
import signal
import sys
import time
from typing import Any

import attrs
import trio

from bench._report import figure
from coppercleat.cli._batch import read_results, submit_lines
from coppercleat.emulator import expected_text
from coppercleat.rpc import RpcClient, RpcError
from tests.harness import Deployment, Fleet, until

_ITEMS = 20_000
_TOKENS = 16
_LIMIT_S = 110.0


@attrs.define
class Tally:
    """What became of the items of a lot."""

    accepted: int = 0
    completed_once: int = 0
    lost: int = 0
    doubled: int = 0
    unreadable: int = 0


def _prompt(index: int) -> str:
    return f"swell summary {index}"


async def _submit(client: RpcClient, key: str, items: int) -> dict[str, Any]:
    lines = "".join(json.dumps({"prompt": _prompt(i)}) + "\n" for i in range(items))
    spec = {"deployment": "menus", "jobKey": key, "maxTokens": _TOKENS}
    return await submit_lines(client, spec, iter([lines.encode()]))


class Faults:
    """Does harm to a fleet, one thing after another, from a seed.

    Attributes:
      takeovers_s: Seconds from each kill to the first takeover afterwards.
    """

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.names = list(fleet.entries)
        self.kept = self.names[0]
        self.takeovers_s: list[float] = []

    async def run(self) -> None:
        """Kills, pauses, outages, lost answers, then heals everything."""
        await trio.sleep(2.0)
        await self._kill(await self._victim())
        paused = await self._victim()
        self.fleet.processes[paused].signal(signal.SIGSTOP)
        await self.fleet.control("platform", lose_share=0.2)
        await trio.sleep(5.0)
        self.fleet.processes[paused].signal(signal.SIGCONT)
        await self.fleet.control("platform", lose_share=0.0, outage=True)
        await trio.sleep(3.0)
        await self.fleet.control("platform", outage=False)
        await self._kill(await self._victim())
        stopped = await self._victim()
        self.fleet.processes[stopped].signal(signal.SIGTERM)
        await trio.sleep(1.0)
        await self.fleet.control("platform", hang=True)
        await trio.sleep(2.0)
        await self.fleet.control("platform", hang=False, lose_share=0.1)

    async def _victim(self) -> str:
        """Returns an instance that feeds a runner, and so holds segments."""
        status = await self.fleet.status(self.kept)
        feeders = {
            upstream["feeder"]
            for upstream in status["upstreams"]
            if upstream["feeder"] != self.kept
        }
        running = [n for n in feeders if self.fleet.processes[n].running]
        return self.rng.choice(sorted(running))

    async def _kill(self, name: str) -> None:
        """Kills an instance that holds segments, and times the takeover."""
        killed_at = time.time()
        self.fleet.processes[name].kill()
        with trio.move_on_after(15.0):
            while not (found := self._takeover_after(killed_at, name)):
                await trio.sleep(0.1)
            self.takeovers_s.append(found - killed_at)

    def _takeover_after(self, killed_at: float, holder: str) -> float:
        for name in self.names:
            for text in self.fleet.processes[name].output().splitlines():
                if '"Segment taken over."' in text and f'"{holder}"' in text:
                    return max(killed_at, time.time())
        return 0.0


async def _run(fleet: Fleet, faults: bool, seed: int) -> tuple[Tally, Faults, float]:
    harm = Faults(fleet, seed)
    async with fleet.client(harm.kept, timeout_s=60) as client:
        answer = await _submit(client, "sunday", _ITEMS)
        job = answer["jobId"]
        started = time.time()
        async with trio.open_nursery() as nursery:
            if faults:
                nursery.start_soon(harm.run)
                nursery.start_soon(_resend, client, job)
                nursery.start_soon(_cancel_another, client)

            async def ended() -> bool:
                try:
                    state = await client.call("BatchService", "GetJob", {"jobId": job})
                except RpcError:
                    return False
                return state["state"] != "JOB_STATE_OPEN"

            await until("the lot ends", ended, wait_s=_LIMIT_S)
            lasted = time.time() - started
        await fleet.control("platform", lose_share=0.0)
        results = [result async for result in read_results(client, job)]
    return _tally(results), harm, lasted


async def _resend(client: RpcClient, job: str) -> None:
    """Submits the same lot again; it must be found, or refused for now."""
    for _ in range(3):
        await trio.sleep(2.0)
        try:
            answer = await _submit(client, "sunday", _ITEMS)
        except RpcError:
            continue
        assert answer["jobId"] == job, "a resend made another job"


async def _cancel_another(client: RpcClient) -> None:
    """Submits a second lot and cancels it; nothing may appear afterwards."""
    while True:
        try:
            answer = await _submit(client, "cancelled", 2000)
            await trio.sleep(0.5)
            await client.call("BatchService", "Cancel", {"jobId": answer["jobId"]})
            break
        except RpcError:
            await trio.sleep(0.5)
    before = await _count(client, answer["jobId"])
    await trio.sleep(5.0)
    assert await _count(client, answer["jobId"]) == before, "results after a cancel"


async def _count(client: RpcClient, job: str) -> int:
    while True:
        try:
            return len([result async for result in read_results(client, job)])
        except RpcError:
            await trio.sleep(0.5)


def _tally(results: list[dict[str, Any]]) -> Tally:
    tally = Tally(accepted=_ITEMS)
    seen: dict[int, int] = {}
    for result in results:
        index = result.get("index", 0)
        seen[index] = seen.get(index, 0) + 1
        if result.get("text") != expected_text(_prompt(index), _TOKENS):
            tally.unreadable += 1
    tally.completed_once = sum(count == 1 for count in seen.values())
    tally.doubled = sum(count > 1 for count in seen.values())
    tally.lost = _ITEMS - len(seen)
    return tally


def main(*, faults: bool, seed: int) -> int:
    """Runs once and returns the exit code: 0 if every promise was kept."""
    fleet = Fleet(
        Deployment(
            zones=["burgos-a", "logrono-b", "vitoria-c"],
            entries=3,
            engines=2,
            settings={"log": {"level": "info"}},
        )
    )
    try:
        fleet.start()
        fleet.run(fleet.deploy)
        before = fleet.run(lambda: fleet.control("platform"))
        tally, harm, lasted = fleet.run(lambda: _run(fleet, faults, seed))
        after = fleet.run(lambda: fleet.control("platform"))
        executions = fleet.run(fleet.executions)
    finally:
        fleet.close()
    kept = tally.lost == tally.doubled == tally.unreadable == 0
    thousands = _ITEMS / 1000
    figure(
        "chaos_items_completed_once" if faults else "calm_items_completed_once",
        tally.completed_once,
        accepted=tally.accepted,
        lost=tally.lost,
        doubled=tally.doubled,
        unreadable=tally.unreadable,
        executions_per_item=len(executions) / _ITEMS,
        writes_per_1000_items=(after["writes"] - before["writes"]) / thousands,
        reads_per_1000_items=(after["reads"] - before["reads"]) / thousands,
        takeover_s=[round(s, 2) for s in harm.takeovers_s],
        seconds=lasted,
        seed=seed,
    )
    return 0 if kept else 1


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--faults", choices=["none", "all"], default="all")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    sys.exit(main(faults=options.faults == "all", seed=options.seed))
