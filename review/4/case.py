"""Items that begin again at another service, and whose owner is cut off the store."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "rig-2"))

import rig  # noqa: E402 - the path comes first

JOBS, WEEK = "jobs.example", "/week/"
HOST, ASK = "ask.example", "/ask/"
LARGE, SMALL = "menu-large", "menu-small"
EVENTS = {LARGE: 120, SMALL: 30}
ONLINE_EVENTS = 40
EVENT_S = 0.05
ITEMS = 12
CUT_S = 5.5
READ_FOR_S = 25


def output(service: str, item: str) -> list[str]:
    """Returns the events of a service's whole output for an item or a request."""
    count = EVENTS[service] if item.startswith("j-") else ONLINE_EVENTS
    return [f"{service} {item} {n}" for n in range(1, count + 1)]


async def script(fleet: rig.Fleet, record: rig.Record, trouble: bool) -> bool:
    """Plays the case; returns whether the rule was broken."""
    for runner, service in zip(fleet.runners, (LARGE, SMALL), strict=True):
        runner.service = service
        runner.event_s = EVENT_S
        runner.texts = lambda request, service=service: output(
            service, request.headers["request-id"]
        )
    split = [{"service": LARGE, "weight": 50}, {"service": SMALL, "weight": 50}]
    week = rig.batch_route("b", JOBS, WEEK, trafficSplit=split)
    del week["service"]
    ask = rig.route("r", HOST, ASK, "stream", gapTargetMs=200, service=LARGE)
    await fleet.start([week, ask])
    owner, other, third = fleet.gateways
    await asyncio.sleep(3)

    got = await rig.submit(owner, JOBS, WEEK, "j", items=ITEMS, tokens=500)
    record.say(f"a job of {ITEMS} items at {owner.name}: {got.status}")
    await asyncio.sleep(3.2)
    if trouble:
        record.say(f"{owner.name} is cut off the store for {CUT_S} s")
        fleet.store.fault = lambda who, request, body: (
            "hang" if who == owner.name else ""
        )

    async def heal() -> None:
        await asyncio.sleep(CUT_S)
        fleet.store.fault = lambda who, request, body: ""
        fleet.store.hang_up()
        record.say("the cut has healed")

    healing = asyncio.create_task(heal())
    await asyncio.sleep(0.3)

    async def online(number: int) -> None:
        headers = {"Request-Id": f"q{number}", "Deadline-Ms": "5000"}
        headers |= {"Model-Name": "m", "Token-Count": "450,40"}
        got = await rig.call(
            other.front, "POST", f"{ASK}{number}", host=HOST, headers=headers, body=b"x"
        )
        record.say(f"online request q{number} at {other.name}: {got.status}")

    record.say("8 online requests come for the large service, which has 8 slots")
    asking = [asyncio.create_task(online(n)) for n in range(8)]
    await asyncio.sleep(CUT_S)

    page: dict = {}

    async def whole() -> bool:
        nonlocal page
        got = await rig.results(third, JOBS, "j")
        page = got.json if got.status == 200 else page
        return got.status == 200 and page["next"] == page["total"]

    await rig.until("the job is whole", whole, READ_FOR_S)
    await asyncio.gather(healing, *asking)
    for run in fleet.runs():
        if run["id"].startswith("j-"):
            record.say(
                f"run of {run['id']} at {run['runner']}, on after {run['after']}: "
                f"sent up to event {run['events']}, {run['ended']}"
            )
    wrong = 0
    for result in page["results"]:
        events = result["text"].split("\n")
        wholes = [output(service, result["id"]) for service in EVENTS]
        good = result["state"] == "completed" and events in wholes
        wrong += not good
        record.say(
            f"{result['id']}: {result['state']}, {len(events)} events, "
            f"{events[0]!r} to {events[-1]!r}: {'whole' if good else 'NOT WHOLE'}"
        )
    record.say(f"completed, but neither service's whole output: {wrong}")
    return wrong > 0


if __name__ == "__main__":
    sys.exit(rig.play(str(pathlib.Path(__file__).parent), script))
