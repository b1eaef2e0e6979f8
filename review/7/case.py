"""Kept channels of gateways whose batch items meet a runner that spoils answers."""

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
CHANNELS = 15
FIRST_S = 0.8
SPOIL_EVERY = 34  # under 0.03 of its answers
SPOIL_S = 5.0
RESTART_AFTER_S = 0.5
ID_DIGITS = 5000
ALLOWED = 3


class Spoiler:
    """Spoils some of one runner's answers, to items: a stream with a wrong id."""

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
        is_due = self.count >= SPOIL_EVERY * (self.spoiled + 1)
        if not is_due or run["id"].startswith("q"):
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


class Play:
    """What the clients and the platform do beside the runner that spoils answers.

    Attributes:
      lost: Requests of kept channels that were passed on to a sound runner, and whose
        channel was closed without an answer.
      ended: Gateways that ended by themselves.
    """

    def __init__(self, fleet: rig.Fleet, record: rig.Record) -> None:
        self.fleet = fleet
        self.record = record
        self.sound = fleet.runners[:-1]
        self.asked = 0
        self.lost: list[str] = []
        self.ended: list[str] = []
        self.over = asyncio.Event()

    async def keep_asking(self, number: int) -> None:
        """Sends one request after the other on a channel, and opens it again."""
        turn = 0
        gateways = self.fleet.gateways
        while not self.over.is_set():
            channel = rig.Channel(gateways[number % len(gateways)].front)
            try:
                await channel.open()
            except OSError:
                await asyncio.sleep(0.1)
                continue
            whole = True
            while whole and not self.over.is_set():
                turn += 1
                whole = await self.ask(channel, f"q{number}.{turn}")
            channel.close()

    async def ask(self, channel: rig.Channel, name: str) -> bool:
        """Sends a request; returns whether its answer was whole."""
        self.asked += 1
        headers = {"Request-Id": name, "Deadline-Ms": "5000"}
        headers |= {"Model-Name": "m", "Token-Count": "450,40"}
        got = await channel.ask(
            f"{ASK}{name}", host=HOST, headers=headers, body=b"note"
        )
        passed_on = any(r["id"] == name for runner in self.sound for r in runner.runs)
        if not got.status and channel.asked and passed_on:
            self.lost.append(name)
        return got.whole

    async def restart(self) -> None:
        """Starts processes that have ended again, as the platform does."""
        while not self.over.is_set():
            for gateway in self.fleet.gateways:
                if not gateway.running:
                    await self.start_again(gateway)
            await asyncio.sleep(0.05)

    async def start_again(self, gateway: rig.Gateway) -> None:
        """Starts a process that has ended."""
        self.ended.append(gateway.name)
        errors = [x for x in gateway.log_text().splitlines() if "ValueError" in x]
        self.record.say(f"{gateway.name} has ended by itself: {errors[-1:]}")
        await asyncio.sleep(RESTART_AFTER_S)
        gateway.start()
        await gateway.ready()

    async def submit(self) -> None:
        """Submits jobs at all gateways."""
        for number in range(6):
            gateway = self.fleet.gateways[number % len(self.fleet.gateways)]
            if gateway.running:
                got = await rig.submit(
                    gateway, JOBS, WEEK, f"j{number}", items=200, tokens=500
                )
                self.record.say(f"j{number}, 200 items, {gateway.name}: {got.status}")


async def script(fleet: rig.Fleet, record: rig.Record, trouble: bool) -> bool:
    """Plays the case; returns whether the rule was broken."""
    ask = rig.route("r", HOST, ASK, "stream", gapTargetMs=200)
    await fleet.start([rig.batch_route("b", JOBS, WEEK), ask])
    for runner in fleet.runners:
        runner.first_s = lambda request: FIRST_S if request.path[1] == "a" else 0.0
        runner.texts = lambda request: ["a", "b", "c", "d", "e"]
    faulty = fleet.runners[-1]
    spoiler = Spoiler(faulty, record)
    play = Play(fleet, record)
    await asyncio.sleep(2)
    tasks = [asyncio.create_task(play.keep_asking(n)) for n in range(CHANNELS)]
    tasks.append(asyncio.create_task(play.restart()))
    await asyncio.sleep(3)
    if trouble:
        record.say(f"{faulty.id} spoils every {SPOIL_EVERY}th answer from now on")
        spoiler.until = time.monotonic() + SPOIL_S
    await play.submit()
    await asyncio.sleep(SPOIL_S + 2)
    play.over.set()
    await asyncio.gather(*tasks)
    record.say(f"asked on kept channels: {play.asked}")
    record.say(f"spoiled answers: {spoiler.spoiled} of {spoiler.count}")
    record.say(f"gateways that ended by themselves: {play.ended}")
    record.say(
        "passed on to a sound runner from a kept channel, and the channel closed "
        f"without an answer: {len(play.lost)} {play.lost}; 3 are allowed"
    )
    return len(play.lost) > ALLOWED


if __name__ == "__main__":
    sys.exit(rig.play(str(pathlib.Path(__file__).parent), script, runners=4))
