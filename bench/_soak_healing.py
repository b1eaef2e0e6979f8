"""Ends all faults of a soak, and waits until its gateways are ready and hear all."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from coppercleat.errors import CoppercleatError
from tests.harness import Gateways

HEARD_S = 10.0
"""After a restart a gateway hears others within seconds: beats come twice a second."""

HEALTHY_STORE = {
    "outage": False,
    "hang": False,
    "latency_s": 0.0,
    "lose_share": 0.0,
    "late_effect_s": 0.0,
    "cut_zones": [],
}
HEALTHY_RUNNER = {
    "silent": False,
    "resume_status": 0,
    "cut_next": 0,
    "fail_every": 0,
}


async def insist(write: Callable[[], Awaitable[None]]) -> None:
    """Repeats a write of the operator or of a runner until the store takes it."""
    while True:
        try:
            return await write()
        except CoppercleatError:
            await trio.sleep(0.1)


async def heal_ways(fleet: Gateways) -> None:
    """Ends all faults of the store and of the ways to it and to runners."""
    await fleet.control("store", **HEALTHY_STORE)
    for name in fleet.links:
        await fleet.link(name)


async def heal_processes(fleet: Gateways) -> None:
    """Ends all faults of runners, and waits until all gateways run and are ready."""
    for name in fleet.runners:
        await fleet.control(name, **HEALTHY_RUNNER)
        await insist(lambda n=name: fleet.list_runner(n))
    for name in fleet.names:
        if not fleet.processes[name].running:
            fleet.start_gateway(name)
    for name in fleet.names:
        await fleet.ready(name)


async def until_heard(fleet: Gateways) -> list[str]:
    """Waits until each gateway hears all others; returns which do not, in words."""
    with trio.move_on_after(HEARD_S):
        while await _unheard(fleet):
            await trio.sleep(0.1)
    return await _unheard(fleet)


async def _unheard(fleet: Gateways) -> list[str]:
    line = f"coppercleat_peers_heard {len(fleet.names) - 1}"
    pages = {name: await fleet.metrics(name) for name in fleet.names}
    return [
        f"{name} does not hear all others"
        for name, page in pages.items()
        if line not in page.splitlines()
    ]
