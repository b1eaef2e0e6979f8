"""The online tail that batch adds, and what batch gets, by feed policy.

``python -m bench.online`` runs, for the sizes of both users: online alone, batch
alone, then both under each policy. Real processes; arrivals are Poisson with
bursts from a seed, made at their times whatever the answers do, and timed from
when they were due. It prints JSON lines.
"""

from __future__ import annotations

import argparse
import json
import math
import random
import sys
import time
from collections.abc import Iterator
from typing import Any

import attrs
import trio
from hdrh.histogram import HdrHistogram

from bench._report import figure
from coppercleat.cli._batch import submit_lines
from coppercleat.rpc import RpcClient, RpcError
from tests.harness import Deployment, Fleet

_SPEED = {
    "step_s": 0.02,
    "sequence_s": 0.002,
    "prefill_token_s": 0.0001,
    "prefill_budget": 512,
}
_CONCURRENCY = 16
_ONLINE_TOKENS = 16
_BATCH_TOKENS = 32
_DEADLINE_MS = 5000
_RATE = 3.0
_BURST_EVERY_S = 5.0
_BURST = 8
_BURST_SPREAD_S = 0.2
_PHASE_S = 20.0
_WARM_S = 3.0
_MAX_US = 60_000_000
_SETTINGS = {
    "platform": {"list_poll_s": 1.0},
    "peers": {"heartbeat_s": 0.5, "suspect_after_s": 3.0},
    "log": {"level": "warning"},
}


@attrs.define
class Phase:
    """What was measured in one phase."""

    first_token: HdrHistogram
    total: HdrHistogram
    requests: int = 0
    missed: int = 0
    batch_tokens: float = 0.0
    online_tokens: float = 0.0
    busy_share: float = 0.0
    yields_s: list[float] = attrs.field(factory=list)


def arrivals(rng: random.Random, seconds: float) -> Iterator[float]:
    """Yields the times of arrivals: Poisson, with bursts on top."""
    times = []
    at = rng.expovariate(_RATE)
    while at < seconds:
        times.append(at)
        at += rng.expovariate(_RATE)
    burst = _BURST_EVERY_S / 2
    while burst < seconds:
        times += [burst + rng.uniform(0, _BURST_SPREAD_S) for _ in range(_BURST)]
        burst += _BURST_EVERY_S
    return iter(sorted(times))


async def _one(client: RpcClient, phase: Phase, due: float, prompt: str) -> None:
    body = {
        "deployment": "menus",
        "prompt": prompt,
        "maxTokens": _ONLINE_TOKENS,
        "deadlineMs": _DEADLINE_MS,
    }
    first = 0.0
    try:
        async for chunk in client.stream("OnlineService", "InferStream", [body]):
            if not first and chunk.get("text"):
                first = time.perf_counter()
    except RpcError:
        phase.missed += 1
        return
    phase.first_token.record_value(int(1e6 * (first - due)))
    phase.total.record_value(int(1e6 * (time.perf_counter() - due)))


async def _online(fleet: Fleet, phase: Phase, seed: int, seconds: float) -> None:
    """Makes all arrivals of a phase, spread over all instances."""
    rng = random.Random(seed)
    clients = [fleet.client(name) for name in fleet.entries]
    start = time.perf_counter()
    async with trio.open_nursery() as nursery:
        for index, offset in enumerate(arrivals(rng, seconds)):
            await trio.sleep(max(0.0, start + offset - time.perf_counter()))
            phase.requests += 1
            client = rng.choice(clients)
            prompt = f"{index} " + "dish " * rng.randrange(20, 120)
            nursery.start_soon(_one, client, phase, start + offset, prompt)
    for client in clients:
        await client.__aexit__()


async def _counters(fleet: Fleet) -> dict[str, Any]:
    total: dict[str, Any] = {"online": 0, "batch": 0, "busy_s": 0.0, "yields_s": []}
    for node in fleet.nodes:
        if node["role"] == "engine":
            report = await fleet.control(node["id"])
            total["online"] += report["tokens"]["online"]
            total["batch"] += report["tokens"]["batch"]
            total["busy_s"] += report["busy_s"]
            total["yields_s"] += report["yields_s"]
    return total


async def _measure(
    fleet: Fleet, *, engines: int, online: bool, batch: bool, seconds: float
) -> Phase:
    phase = Phase(HdrHistogram(1, _MAX_US, 3), HdrHistogram(1, _MAX_US, 3))
    job = await _submit(fleet, engines, seconds) if batch else ""
    await trio.sleep(_WARM_S)
    before = await _counters(fleet)
    start = time.perf_counter()
    if online:
        await _online(fleet, phase, seed=1, seconds=seconds)
    else:
        await trio.sleep(seconds)
    lasted = time.perf_counter() - start
    after = await _counters(fleet)
    phase.batch_tokens = (after["batch"] - before["batch"]) / lasted
    phase.online_tokens = (after["online"] - before["online"]) / lasted
    phase.busy_share = (after["busy_s"] - before["busy_s"]) / lasted / engines
    phase.yields_s = after["yields_s"]
    if job:
        first = next(iter(fleet.entries))
        await fleet.call(first, "BatchService", "Cancel", jobId=job)
        await trio.sleep(2.0)
    return phase


async def _submit(fleet: Fleet, engines: int, seconds: float) -> str:
    fastest = _CONCURRENCY / (_SPEED["step_s"] + _CONCURRENCY * _SPEED["sequence_s"])
    items = int(1.5 * engines * fastest * (seconds + 10) / _BATCH_TOKENS)
    lines = "".join(json.dumps({"prompt": f"menu {i}"}) + "\n" for i in range(items))
    spec = {"deployment": "menus", "maxTokens": _BATCH_TOKENS}
    async with fleet.client() as client:
        answer = await submit_lines(client, spec, iter([lines.encode()]))
    return answer["jobId"]


def _run(
    name: str, engines: int, policy: str, seconds: float, *, online: bool, batch: bool
) -> Phase:
    zones = {
        "robledal": ["burgos-a", "logrono-b", "vitoria-c"],
        "hallorand": ["hobart-hall", "kingston-hall", "bruny-hall"],
    }[name]
    fleet = Fleet(
        Deployment(
            zones=zones,
            entries=3,
            engines=engines // 3,
            speed=_SPEED,
            settings=_SETTINGS
            | {"batch": {"policy": policy, "max_concurrency": _CONCURRENCY}},
        )
    )
    try:
        fleet.start()
        fleet.run(fleet.deploy)
        return fleet.run(
            lambda: _measure(
                fleet, engines=engines, online=online, batch=batch, seconds=seconds
            )
        )
    finally:
        for entry in fleet.entries:
            process = fleet.processes[entry]
            if not process.running:
                print(f"{entry} died:\n{process.output()[-5000:]}", file=sys.stderr)
        fleet.close()


def _percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, math.ceil(share * len(ordered)) - 1)]


def compare(name: str, engines: int, policies: list[str], seconds: float) -> None:
    """Runs all phases of a deployment and prints its figures."""
    alone = _run(name, engines, "none", seconds, online=True, batch=False)
    batch = _run(name, engines, "none", seconds, online=False, batch=True)
    left = batch.batch_tokens * (1 - alone.busy_share)
    where = {"deployment": name, "engines": engines}
    figure(
        "online_alone",
        alone.requests,
        **where,
        ttft_p50_ms=alone.first_token.get_value_at_percentile(50) / 1e3,
        ttft_p99_ms=alone.first_token.get_value_at_percentile(99) / 1e3,
        total_p99_ms=alone.total.get_value_at_percentile(99) / 1e3,
        busy_share=alone.busy_share,
        missed=alone.missed,
    )
    figure("batch_alone_tokens_per_s", batch.batch_tokens, **where)
    for policy in policies:
        both = _run(name, engines, policy, seconds, online=True, batch=True)
        tagged = {**where, "policy": policy}
        for key, got, base in (
            ("online_ttft_p99_added", both.first_token, alone.first_token),
            ("online_total_p99_added", both.total, alone.total),
        ):
            value, baseline = (h.get_value_at_percentile(99) / 1e3 for h in (got, base))
            ratio = value / baseline
            figure(key, value, **tagged, baseline=baseline, ratio=ratio, unit="ms")
        value, baseline = (
            h.get_value_at_percentile(50) / 1e3
            for h in (both.first_token, alone.first_token)
        )
        ratio = value / baseline
        figure(
            "online_ttft_p50_added",
            value,
            **tagged,
            baseline=baseline,
            ratio=ratio,
            unit="ms",
        )
        ratio = both.batch_tokens / left
        figure(
            "batch_throughput",
            both.batch_tokens,
            **tagged,
            baseline=left,
            ratio=ratio,
            unit="tokens/s",
        )
        missed = both.missed / max(1, both.requests)
        figure("burst_missed", missed, **tagged, requests=both.requests)
        if both.yields_s:
            figure(
                "yield_ms_p99",
                1e3 * _percentile(both.yields_s, 0.99),
                **tagged,
                p50=1e3 * _percentile(both.yields_s, 0.5),
                yields=len(both.yields_s),
            )


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--policies", default="none,yield")
    parser.add_argument("--deployments", default="robledal,hallorand")
    parser.add_argument("--seconds", type=float, default=_PHASE_S)
    options = parser.parse_args()
    for chosen in options.deployments.split(","):
        runners = {"robledal": 6, "hallorand": 9}[chosen]
        compare(chosen, runners, options.policies.split(","), options.seconds)
