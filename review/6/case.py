"""Kept channels of a gateway whose batch items meet a runner that spoils answers."""

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
CHANNELS = 8
FIRST_S = 0.25
SPOIL_EVERY = 34  # under 0.03 of the answers
SPOIL_S = 5.0
RESTART_AFTER_S = 0.5
ID_DIGITS = 5000


class Spoiler:
    """Spoils some answers of one runner: a whole stream with a wrong id."""

    def __init__(self, runner: rig.Runner, record: rig.Record) -> None:
        self.runner = runner
        self.record = record
        self.until = 0.0
        self.count = 0
        self.spoiled = 0
        runner.before = self.answer

    async def answer(self, request: rig.Request, run: dict, writer: Any) -> bool:
        """Writes a spoiled answer in place of the sound one, if it is due."""
        if time.monotonic() > self.until:
            return False
        self.count += 1
        if self.count % SPOIL_EVERY:
            return False
        self.spoiled += 1
        self.record.say(f"{self.runner.id} spoils its answer to {run['id']}")
        writer.write(rig.head_bytes(200, self.runner.head(request)))
        event = b"id: " + b"7" * ID_DIGITS + b"\ndata: spoiled\n\n"
        rig.write_chunk(writer, event)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        run["ended"] = "spoiled"
        return True


async def script(fleet: rig.Fleet, record: rig.Record, trouble: bool) -> bool:
    """Plays the case; returns whether the rule was broken."""
    ask = rig.route("r", HOST, ASK, "stream", gapTargetMs=200)
    await fleet.start([rig.batch_route("b", JOBS, WEEK), ask])
    *sound, faulty = fleet.runners
    for runner in fleet.runners:
        runner.first_s = lambda request: FIRST_S if request.path[1] == "a" else 0.0
    spoiler = Spoiler(faulty, record)
    first = fleet.gateways[0]
    ended: list[str] = []
    lost: list[str] = []
    asked = 0
    over = asyncio.Event()

    async def keep_asking(number: int) -> None:
        nonlocal asked
        turn = 0
        while not over.is_set():
            channel = rig.Channel(first.front)
            try:
                await channel.open()
            except OSError:
                await asyncio.sleep(0.1)
                continue
            got = rig.Answer(200, {}, b"", whole=True)
            while got.whole and not over.is_set():
                turn += 1
                asked += 1
                name = f"q{number}.{turn}"
                headers = {"Request-Id": name, "Deadline-Ms": "5000"}
                headers |= {"Model-Name": "m", "Token-Count": "450,40"}
                got = await channel.ask(
                    f"{ASK}{name}", host=HOST, headers=headers, body=b"note"
                )
            runs = [r for runner in sound for r in runner.runs if r["id"] == name]
            if not got.status and channel.asked and runs:
                lost.append(name)
            channel.close()

    async def restart() -> None:
        while not over.is_set():
            for gateway in fleet.gateways:
                if not gateway.running:
                    ended.append(gateway.name)
                    last = gateway.log_text().strip().splitlines()[-1:]
                    record.say(f"{gateway.name} has ended by itself: {last}")
                    await asyncio.sleep(RESTART_AFTER_S)
                    gateway.start()
                    await gateway.ready()
            await asyncio.sleep(0.05)

    async def submit() -> None:
        for number in range(6):
            gateway = fleet.gateways[number % 3]
            if gateway.running:
                got = await rig.submit(
                    gateway, JOBS, WEEK, f"j{number}", items=200, tokens=500
                )
                record.say(f"j{number} of 200 items at {gateway.name}: {got.status}")

    await asyncio.sleep(2)
    tasks = [asyncio.create_task(keep_asking(n)) for n in range(CHANNELS)]
    tasks.append(asyncio.create_task(restart()))
    await asyncio.sleep(2)
    if trouble:
        record.say(f"{faulty.id} spoils every {SPOIL_EVERY}th answer from now on")
        spoiler.until = time.monotonic() + SPOIL_S
    await submit()
    await asyncio.sleep(SPOIL_S + 2)
    over.set()
    await asyncio.gather(*tasks)
    record.say(f"asked on kept channels of {first.name}: {asked}")
    record.say(f"spoiled answers: {spoiler.spoiled} of {spoiler.count}")
    record.say(f"gateways that ended by themselves: {ended}")
    record.say(
        f"passed on to a sound runner from a kept channel of {first.name}, and the "
        f"channel closed without an answer: {len(lost)} {lost}; at most 3 allowed"
    )
    return len(lost) > 3


if __name__ == "__main__":
    sys.exit(rig.play(str(pathlib.Path(__file__).parent), script, runners=3))
