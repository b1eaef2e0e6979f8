"""What links between gateway instances cost: bytes and processor time by their number.

``python -m bench.link_cost`` runs instances in this process, each of which tells all
others of its work over sockets, and prints one JSON line a figure.
"""

from __future__ import annotations

import random
import socket
import time

import trio

from bench._report import slope
from coppercleat.ids import InstanceId, UpstreamId, ZoneId
from coppercleat.serving import GatewayPeers, GatewaySettings, Placement, Upstream

LINKS = (1, 4, 8, 16, 23)
"""Beyond, instances of other zones are no longer told one by one."""

SETTLE_S = 3.0
MEASURED_S = 10.0
STARTS_PER_S = (0.0, 5.0)
"""Starts of requests a second at each instance; each ends after ``RUN_S``."""

RUN_S = 0.5


def free_port() -> int:
    """Returns a port that nothing listens to."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


def make_peers(number: int, ports: list[int]) -> GatewayPeers:
    """Returns one instance that knows all others from the list."""
    name = InstanceId(f"front-zone-{number}")
    settings = GatewaySettings(
        instance=name,
        zone=ZoneId("z"),
        clients="127.0.0.1:1",
        readiness="127.0.0.1:2",
        peers=f"127.0.0.1:{ports[number]}",
    )
    rng = random.Random(number)
    placement = Placement(ZoneId("z"), rng=rng)
    placement.replace(
        Upstream(
            id=UpstreamId(f"i-{n}"),
            service="s",
            address="127.0.0.1:3",
            zone=ZoneId("z"),
            slots=8,
        )
        for n in range(14)
    )
    peers = GatewayPeers(
        settings, placement, incarnation=int(time.time() * 1000), rng=rng
    )
    peers.observe_list(
        [
            (InstanceId(f"front-zone-{n}"), f"127.0.0.1:{port}", ZoneId("z"))
            for n, port in enumerate(ports)
        ]
    )
    return peers


async def work(peers: GatewayPeers, starts_per_s: float, rng: random.Random) -> None:
    """Starts and ends requests until cancelled."""
    states = list(peers.placement.states.values())
    async with trio.open_nursery() as nursery:

        async def run_one() -> None:
            state = rng.choice(states)
            state.online += 1
            peers.work_changed(urgent=True)
            await trio.sleep(RUN_S)
            state.online -= 1
            peers.work_changed(urgent=False)

        while True:
            await trio.sleep(rng.expovariate(starts_per_s))
            nursery.start_soon(run_one)


async def measure(links: int, starts_per_s: float) -> tuple[float, float, int]:
    """Returns bytes a second and share of a core of an instance, and links reopened."""
    ports = [free_port() for _ in range(links + 1)]
    fleet = [make_peers(n, ports) for n in range(links + 1)]
    async with trio.open_nursery() as nursery:
        for peers in fleet:
            nursery.start_soon(peers.run)
            if starts_per_s:
                nursery.start_soon(work, peers, starts_per_s, random.Random(links))
        await trio.sleep(SETTLE_S)
        sent = sum(peers.messenger.links.sent_bytes for peers in fleet)
        used_s = time.process_time()
        await trio.sleep(MEASURED_S)
        sent = sum(peers.messenger.links.sent_bytes for peers in fleet) - sent
        used_s = time.process_time() - used_s
        nursery.cancel_scope.cancel()
    reopened = sum(peers.messenger.links.reopened for peers in fleet)
    each = len(fleet) * MEASURED_S
    return sent / each, used_s / each, reopened


def main() -> None:
    """Measures and prints."""
    for starts in STARTS_PER_S:
        found = {n: trio.run(measure, n, starts) for n in LINKS}
        name = f"link_{{}}_at_{starts:g}_starts"
        for index, (what, unit) in enumerate(
            (("bytes", "B/s"), ("core", "share"), ("reopened", "times"))
        ):
            points = [(n, values[index]) for n, values in found.items()]
            slope(name.format(what), unit, points)


if __name__ == "__main__":
    main()
