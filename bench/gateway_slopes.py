"""Slopes of a gateway's decisions and messages over the size of the fleet.

``python -m bench.gateway_slopes`` prints one JSON line a figure. Each is the median of
several runs in this process, so it holds processor time, not waiting.
"""

from __future__ import annotations

import random
import statistics
import time
from collections.abc import Callable

from bench._report import slope
from coppercleat.ids import InstanceId, UpstreamId, ZoneId
from coppercleat.membership import EnvelopeReader, EnvelopeWriter
from coppercleat.serving import (
    InFlight,
    Placement,
    Route,
    RouteKind,
    Target,
    Upstream,
    WorkInFlight,
)

ZONES = 17
SLOTS = 8
RUNS = 7
REPEATS = 200


def microseconds(action: Callable[[], object]) -> float:
    """Returns how long an action takes, by the median of several runs."""
    took = []
    for _ in range(RUNS):
        began = time.perf_counter()
        for _ in range(REPEATS):
            action()
        took.append((time.perf_counter() - began) / REPEATS)
    return statistics.median(took) * 1e6


def placement(upstreams: int, peers: int) -> Placement:
    """Returns a placement of one zone's upstreams that its peers half fill."""
    rng = random.Random(1)
    made = Placement(ZoneId("z0"), rng=rng)
    listed = [
        Upstream(
            id=UpstreamId(f"u{n}"),
            service="menus",
            address=f"10.0.{n // 250}.{n % 250}:1",
            zone=ZoneId("z0"),
            slots=SLOTS,
        )
        for n in range(upstreams)
    ]
    made.replace(listed)
    for peer in range(peers):
        some = rng.sample(listed, min(len(listed), 14))
        made.peers.observe(InstanceId(f"i{peer}"), [InFlight(u.id, 1, 1) for u in some])
    return made


def route() -> Route:
    """Returns a route of the service."""
    return Route(
        name="r",
        host="h",
        prefix="/",
        kind=RouteKind.STREAM,
        targets=(Target("menus", 1.0),),
        timeout_s=5.0,
    )


def choices(upstreams: int, peers: int) -> tuple[float, float]:
    """Returns microseconds to choose for an online request and for an item."""
    made, asked = placement(upstreams, peers), route()
    online = microseconds(
        lambda: made.choose_online(asked.targets[0].service, tried=(), now=0.0)
    )
    batch = microseconds(lambda: made.choose_batch(asked, reserve=0, avoid=(), now=0.0))
    return online, batch


def message(counts: int) -> tuple[float, float, int]:
    """Returns microseconds to seal and to open counts of work, and their bytes."""
    work = WorkInFlight(
        tuple(InFlight(UpstreamId(f"u{n}"), 1, 1) for n in range(counts))
    )
    writer = EnvelopeWriter(InstanceId("i"), 1, key="k")
    sealed = [writer.seal(work) for _ in range(RUNS * REPEATS)]
    reader = EnvelopeReader(keys=["k"], messages=WorkInFlight)
    incoming = iter(sealed)
    opening = microseconds(lambda: reader.open(next(incoming)))
    return microseconds(lambda: writer.seal(work)), opening, len(sealed[0])


def main() -> None:
    """Measures and prints."""
    sizes = (6, 30, 60, 150, 300, 588)
    measured = {size: choices(size, 42) for size in sizes}
    online = [(size, measured[size][0]) for size in sizes]
    slope("gateway_choose_online_by_upstream", "us", online)
    batch = [(size, measured[size][1]) for size in sizes]
    slope("gateway_choose_batch_by_upstream", "us", batch)
    by_peer = [(peers, choices(60, peers)[0]) for peers in (2, 8, 20, 42, 65)]
    slope("gateway_choose_online_by_peer", "us", by_peer)
    messages = {counts: message(counts) for counts in (1, 8, 14, 64, 588)}
    slope("gateway_work_seal_by_count", "us", [(n, m[0]) for n, m in messages.items()])
    slope("gateway_work_open_by_count", "us", [(n, m[1]) for n, m in messages.items()])
    slope("gateway_work_bytes_by_count", "B", [(n, m[2]) for n, m in messages.items()])


if __name__ == "__main__":
    main()
