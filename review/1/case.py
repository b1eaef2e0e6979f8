"""Single runners crash in turn under items that several jobs have in common."""

from __future__ import annotations

import asyncio
import base64
import json
import random
import signal
import sys
import time
from typing import Any

from rig.fleet import BROKEN, HELD, JOBS, NOT_RUN, Fleet, play
from rig.wire import ask

RUNNERS = 6
"""One of six is 0.167, within the 0.17 of the runners that may crash at once."""

CRASHES = 32
CRASH_GAP_S = 0.5
DOWN_S = 0.35
"""Each is back, under a new id, before the next one crashes."""

EVENTS = 420
EVENT_MS = 18.0
JOB_COUNT = 12
PROMPTS = 4
"""Each job has the same four prompts, as path and body, under ids of its own."""

LOOK_AFTER_S = 26.0
"""After the last crash; ``finishS`` is 18, and what failed 20 s ago may not count."""

CALM_S = 5.0


async def _submit(fleet: Fleet, number: int) -> int:
    job = f"7c41e09b52d6a3{number:02x}"
    items = [
        {
            "id": f"e5b2907c14da{number:02x}{prompt:02x}",
            "path": f"{JOBS[1]}3/menu-{prompt}",
            "headers": {
                "Model-Name": "m",
                "Token-Count": "540,400",
                "Prompt-Prefix": f"9c2e41:300,5d07b{prompt}:240",
            },
            "body": base64.b64encode(f"menu {prompt}".encode()).decode(),
            "tokens": 940,
        }
        for prompt in range(PROMPTS)
    ]
    name = fleet.names[number % len(fleet.names)]
    headers = {"host": JOBS[0], "request-id": job, "content-type": "application/json"}
    answer = await ask(
        fleet.ports[name]["front"],
        "POST",
        f"{JOBS[1]}{job}",
        headers,
        json.dumps({"items": items}).encode(),
    )
    fleet.note(f"job {job} with {PROMPTS} items to {name}: {answer.status}")
    return answer.status


async def _crash_in_turn(fleet: Fleet) -> None:
    rng = random.Random(1)
    options = {"events": EVENTS, "event_ms": EVENT_MS}
    for _ in range(CRASHES):
        began = time.monotonic()
        fleet.signal(
            rng.choice([n for n in fleet.runners if fleet.running(n)]), signal.SIGKILL
        )
        await asyncio.sleep(DOWN_S)
        await fleet.add_runner(**options)
        await asyncio.sleep(max(0.0, began + CRASH_GAP_S - time.monotonic()))


async def _unlisted(fleet: Fleet) -> list[str]:
    """Returns the items that are neither completed nor given up, by their ids."""
    missing = []
    for number in range(JOB_COUNT):
        page = await fleet.results(fleet.names[0], f"7c41e09b52d6a3{number:02x}")
        listed = {result["id"] for result in page["results"]} if page else set()
        ids = [f"e5b2907c14da{number:02x}{prompt:02x}" for prompt in range(PROMPTS)]
        missing += [item for item in ids if item not in listed]
    return missing


def _calm(fleet: Fleet, since: float) -> bool:
    """Returns whether no runner has had or ended an item since then."""
    return all(run["at"] < since for run in fleet.runs()) and not _open_runs(fleet)


def _open_runs(fleet: Fleet) -> set[tuple[str, str, int]]:
    """Returns the runs at runners that live that haven't ended."""
    found: set[tuple[str, str, int]] = set()
    for run in fleet.runs():
        key = (run["runner"], run["id"], run["after"])
        change = found.add if run["what"] == "runs" else found.discard
        change(key)
    return {key for key in found if fleet.running(key[0])}


def _blame(fleet: Fleet, missing: list[str]) -> None:
    """Notes what the gateways' logs say of the missing items."""
    for name in fleet.names:
        for line in fleet.log_of(name).splitlines():
            if '"Item quarantined."' not in line:
                continue
            entry: dict[str, Any] = json.loads(line)
            if entry["item"] in missing and entry["retry_after_s"] > LOOK_AFTER_S:
                fleet.note(
                    f"log of {name}: item {entry['item']} is {entry['standing']} after "
                    f"{entry['ends']} crashes, for {entry['retry_after_s']} s"
                )


async def _case(trouble: bool, fleet: Fleet) -> int:
    await fleet.start(events=EVENTS, event_ms=EVENT_MS)
    for number in range(JOB_COUNT):
        if await _submit(fleet, number) != 202:
            return NOT_RUN
    await asyncio.sleep(0.6)
    if trouble:
        await _crash_in_turn(fleet)
    else:
        await asyncio.sleep(CRASHES * CRASH_GAP_S)
    fleet.note("all is calm from here on")
    await asyncio.sleep(LOOK_AFTER_S)
    missing = await _unlisted(fleet)
    calm = _calm(fleet, time.time() - CALM_S)
    total = JOB_COUNT * PROMPTS
    fleet.note(
        f"{LOOK_AFTER_S:g} s later {total - len(missing)} of {total} items are listed; "
        f"no runner has had an item for {CALM_S:g} s: {calm}"
    )
    for item in missing:
        last = max(r["at"] for r in fleet.runs() if r["id"] == item)
        fleet.note(
            f"LOST: item {item} is neither completed nor given up; its last run began "
            f"{time.time() - last:.1f} s ago"
        )
    _blame(fleet, missing)
    if missing and not calm:
        return NOT_RUN
    return BROKEN if missing else HELD


if __name__ == "__main__":
    sys.exit(play(_case, Fleet(gateways=3, runners=RUNNERS), __file__))
