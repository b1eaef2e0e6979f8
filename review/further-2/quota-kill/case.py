"""A hot tenant's allowance over a kill of all gateways."""

from __future__ import annotations

import asyncio
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "rig-2"))

import rig  # noqa: E402 - the path comes first

HOST, PREFIX, KEY = "ask.example", "/ask/", "wyy7yx5x42q492cqf75r"
RATE_PER_S, BURST = 24, 24
WINDOW_S, OVERSHOOT, SLACK = 5, 0.1, 20
BOUND = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERSHOOT) + SLACK
USUAL_PER_S = RATE_PER_S / 1.6
HOT_PER_S = 7.5 * USUAL_PER_S
HOT_S = 6.5
KILL_AFTER_RUNS = 120
RESTART_AFTER_S = 0.5


async def script(fleet: rig.Fleet, record: rig.Record, trouble: bool) -> bool:
    """Plays the case; returns whether the rule was broken."""
    fleet.contracts += ["tenants", "quota"]
    fleet.bounds |= {
        "failClosed": False,
        "revokeMs": 5000,
        "quotaWindowS": WINDOW_S,
        "quotaOvershoot": OVERSHOOT,
        "quotaSlack": SLACK,
    }
    tenant = {
        "name": "kaje80",
        "apiKeys": [KEY],
        "priority": 1,
        "ratePerS": RATE_PER_S,
        "burst": BURST,
    }
    way = rig.route("r", HOST, PREFIX, "stream", resumable=True, maxAttempts=2)
    for runner in fleet.runners:
        runner.texts = lambda request: ["a", "b", "c", "d"]
    await fleet.start([way | {"public": False, "gapTargetMs": 250}], tenants=[tenant])
    await asyncio.sleep(7)

    sent: dict[str, float] = {}
    answered: dict[int, int] = {}
    rng = random.Random()

    async def ask(number: int) -> None:
        name = f"q{number}"
        sent[name] = time.monotonic()
        got = await rig.call(
            rng.choice(fleet.gateways).front,
            "POST",
            f"{PREFIX}{number}",
            host=HOST,
            headers={
                "Request-Id": name,
                "Api-Key": KEY,
                "Deadline-Ms": "5132",
                "Model-Name": "m",
                "Token-Count": "450,24",
                "Prompt-Prefix": f"a:200,{number:x}b:250",
            },
            body=f"note {number}".encode(),
            timeout_s=5.2,
        )
        answered[got.status] = answered.get(got.status, 0) + 1

    async def kill() -> None:
        while len(fleet.runs()) < KILL_AFTER_RUNS:
            await asyncio.sleep(0.01)
        for gateway in fleet.gateways:
            gateway.signal(signal.SIGKILL)
        at = time.monotonic() - began
        record.say(f"all gateways killed {at:.2f} s later; run: {len(fleet.runs())}")
        await asyncio.sleep(RESTART_AFTER_S)
        for gateway in fleet.gateways:
            gateway.process.wait()
            gateway.start()
        for gateway in fleet.gateways:
            await gateway.ready()
        record.say(f"all gateways ready; requests run so far: {len(fleet.runs())}")

    began = time.monotonic()
    record.say(f"the tenant sends {HOT_PER_S:.0f} requests a second")
    async with asyncio.TaskGroup() as group:
        if trouble:
            group.create_task(kill())
        number = 0
        while time.monotonic() - began < HOT_S:
            group.create_task(ask(number))
            number += 1
            await asyncio.sleep(max(0, began + number / HOT_PER_S - time.monotonic()))

    # Both sent and run within one window.
    runs = [(sent[run["id"]], run["at"]) for run in fleet.runs()]
    most, at = 0, 0.0
    for start, _ in runs:
        held = sum(s >= start and r < start + WINDOW_S for s, r in runs)
        if held > most:
            most, at = held, start - began
    record.say(f"sent {number}, run {len(runs)}, answers by status {answered}")
    record.say(
        f"sent and run within the {WINDOW_S} s from {at:.2f} s on: {most}, "
        f"bound {BOUND:.1f}"
    )
    return most > BOUND


if __name__ == "__main__":
    sys.exit(rig.play(str(pathlib.Path(__file__).parent), script, runners=4))
