"""Fills a batch route beside a route with a longer prefix that was added later."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "rig-2"))

import rig  # noqa: E402 - the path comes first

HOST = "jobs.example"
OUTER, INNER = "/week/", "/week/urgent/"
MAX_COUNT = 20_000
LIMIT = MAX_COUNT * (1 + rig.BOUNDS["quotaOvershoot"])
ITEMS, TOKENS = 5, 800
APPLY_S = rig.BOUNDS["configApplyMs"] / 1000


async def script(fleet: rig.Fleet, record: rig.Record, trouble: bool) -> bool:
    """Plays the case; returns whether the rule was broken."""
    outer = rig.batch_route("r-week", HOST, OUTER, maxCount=MAX_COUNT)
    inner = rig.batch_route("r-urgent", HOST, INNER, maxCount=MAX_COUNT)
    await fleet.start([outer])
    if trouble:
        fleet.configure([outer, inner])
        record.say(f"config {fleet.version}: route {INNER} added, acknowledged")
    await asyncio.sleep(APPLY_S + 3)

    # Jobs that are finished before the route is filled.
    prefix = INNER if trouble else OUTER
    for number in range(12):
        gateway = fleet.gateways[number % len(fleet.gateways)]
        job = f"early{number}"
        answer = await rig.submit(
            gateway, HOST, prefix, job, items=ITEMS, tokens=TOKENS
        )
        record.say(f"{job} on {prefix}, {ITEMS * TOKENS} tokens: {answer.status}")
        if answer.status != 202:
            return False

        async def whole(gateway: rig.Gateway = gateway, job: str = job) -> bool:
            page = await rig.results(gateway, HOST, job)
            return page.status == 200 and page.json["next"] == page.json["total"]

        await rig.until(f"{job} is whole", whole)
    await asyncio.sleep(3)
    record.say("all of these are finished and listed; runners send no events now")

    # From now on no runner finishes anything.
    for runner in fleet.runners:
        runner.gate.clear()
    waiting, broken = 0, False
    for number in range(20):
        gateway = fleet.gateways[number % len(fleet.gateways)]
        job = f"late{number}"
        answer = await rig.submit(gateway, HOST, OUTER, job, items=ITEMS, tokens=TOKENS)
        waiting += ITEMS * TOKENS if answer.status == 202 else 0
        over = answer.status == 202 and waiting > LIMIT
        broken = broken or over
        record.say(
            f"{job} on {OUTER}, {ITEMS * TOKENS} tokens: {answer.status}; accepted and "
            f"not finished on {OUTER}: {waiting} of {LIMIT:.0f}"
            + (" - over the limit" if over else "")
        )
        await asyncio.sleep(0.2)
    done = sum(run["ended"] == "complete" for run in fleet.runs())
    record.say(f"runs that ended whole, all of them of early jobs: {done}")
    return broken


if __name__ == "__main__":
    sys.exit(rig.play(str(pathlib.Path(__file__).parent), script))
