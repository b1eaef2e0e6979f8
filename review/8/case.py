"""Runners that answer some requests with a success that bears no stamp."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time
from typing import Any

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "rig-2"))

import rig  # noqa: E402 - the path comes first

JOBS, WEEK = "jobs.example", "/week/"
HOST, ASK = "ask.example", "/ask/"
EVENTS, EVENT_S = 12, 0.02
STREAMS_PER_S = 20
SPOIL_EVERY = 34  # under 0.03 of its answers
SPOIL_S = 5.0
JOBS_SENT, ITEMS = 3, 150


def output(name: str) -> list[str]:
    """Returns the events of the whole output for an item or a request."""
    return [f"{name} {n}" for n in range(1, EVENTS + 1)]


class Spoiler:
    """Spoils some answers of a runner: other bytes, and no Response-Stamp."""

    def __init__(self, runner: rig.Runner, record: rig.Record) -> None:
        self.runner = runner
        self.record = record
        self.until = 0.0
        self.count = 0
        runner.before = self.answer

    async def answer(self, request: rig.Request, run: dict, writer: Any) -> bool:
        """Writes a spoiled answer in place of the sound one, if it is due."""
        if time.monotonic() > self.until:
            return False
        self.count += 1
        if self.count % SPOIL_EVERY:
            return False
        self.record.say(f"{self.runner.id} spoils its answer to {run['id']}")
        head = [x for x in self.runner.head(request) if x[0] != "Response-Stamp"]
        writer.write(rig.head_bytes(200, head))
        rig.write_chunk(writer, b"id: 1\ndata: out of order\n\n")
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        run["ended"] = "spoiled"
        return True


async def script(fleet: rig.Fleet, record: rig.Record, trouble: bool) -> bool:
    """Plays the case; returns whether the rule was broken."""
    for runner in fleet.runners:
        runner.event_s = EVENT_S
        runner.texts = lambda request: output(request.headers["request-id"])
    way = rig.route("r", HOST, ASK, "stream", resumable=True, maxAttempts=2)
    week = rig.batch_route("b", JOBS, WEEK)
    await fleet.start([week, way | {"gapTargetMs": 200}])
    spoilers = [Spoiler(runner, record) for runner in fleet.runners[:2]]
    await asyncio.sleep(3)
    answers: dict[str, rig.Answer] = {}

    async def ask(number: int) -> None:
        name = f"q{number}"
        headers = {"Request-Id": name, "Deadline-Ms": "5000"}
        headers |= {"Model-Name": "m", "Token-Count": "450,40"}
        gateway = fleet.gateways[number % len(fleet.gateways)]
        answers[name] = await rig.call(
            gateway.front,
            "POST",
            f"{ASK}{number}",
            host=HOST,
            headers=headers,
            body=b"x",
        )

    for number in range(JOBS_SENT):
        got = await rig.submit(
            fleet.gateways[number], JOBS, WEEK, f"j{number}", items=ITEMS, tokens=500
        )
        record.say(f"j{number} of {ITEMS} items: {got.status}")
    began = time.monotonic()
    if trouble:
        record.say(f"two of four runners spoil every {SPOIL_EVERY}th answer for 5 s")
        for spoiler in spoilers:
            spoiler.until = began + SPOIL_S
    async with asyncio.TaskGroup() as group:
        number = 0
        while time.monotonic() - began < SPOIL_S + 1:
            group.create_task(ask(number))
            number += 1
            await asyncio.sleep(
                max(0, began + number / STREAMS_PER_S - time.monotonic())
            )

    broken = 0
    for name, got in answers.items():
        if 200 <= got.status < 300 and "response-stamp" not in got.headers:
            broken += 1
            record.say(f"{name}: {got.status}, no Response-Stamp, body {got.body!r}")
    for number in range(JOBS_SENT):
        broken += await check_job(fleet, record, f"j{number}")
    record.say(f"successes without a stamp, and items of such an answer: {broken}")
    return broken > 0


async def check_job(fleet: rig.Fleet, record: rig.Record, job: str) -> int:
    """Reads a job to its end; returns how many texts aren't whole."""
    results: list[dict] = []

    async def whole() -> bool:
        got = await rig.results(fleet.gateways[0], JOBS, job, len(results))
        if got.status == 200:
            results.extend(got.json["results"])
        return len(results) == ITEMS

    await rig.until(f"{job} is whole", whole, 40)
    broken = 0
    for result in results:
        events = result["text"].split("\n")
        if result["state"] == "completed" and events != output(result["id"]):
            broken += 1
            record.say(f"item {result['id']} is listed as completed: {events}")
    return broken


if __name__ == "__main__":
    sys.exit(rig.play(str(pathlib.Path(__file__).parent), script, runners=4))
