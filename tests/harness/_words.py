"""Words of ends between instances in one process, late, doubled, relayed and lost."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any, Protocol

import trio

from coppercleat.quarantine import CrashDetector, CrashReport, Fingerprint

BEAT_S = 0.5
WAY_S = 0.002
TELL_ALL = 24
TOLD = 8
"""In a larger fleet so many are told, each of which passes on what is news to it."""


class Teller(Protocol):
    """An instance that tells and hears of ends.

    Attributes:
      wakes_at: Until when it stands still: it neither reads nor sends.
    """

    name: str
    watch: CrashDetector[Any]
    wakes_at: float


class Words:
    """Carries words the ways of ``GatewayPeers``.

    Attributes:
      members: Returns the instances that are up.
      draw_ways: Draws how long each copy of a word takes; none if it is lost.
    """

    def __init__(
        self,
        members: Callable[[], Sequence[Teller]],
        *,
        nursery: trio.Nursery,
        rng: random.Random,
        draw_ways: Callable[[], Iterable[float]] = lambda: (WAY_S,),
    ) -> None:
        self.members = members
        self.nursery = nursery
        self.rng = rng
        self.draw_ways = draw_ways

    def join(self, member: Teller) -> None:
        """Has an instance's news told."""

        def tell(
            ends: tuple[CrashReport, ...], cleared: tuple[Fingerprint, ...] = ()
        ) -> None:
            self._spread(member, ends, cleared)

        member.watch.on_update = tell

    async def beat(self, member: Teller) -> None:
        """Tells one by chance all that an instance knows, once a beat."""
        await trio.sleep(self.rng.uniform(0, BEAT_S))
        while True:
            await awake(member)
            ends = member.watch.history.crash_reports(now=trio.current_time())
            others = self._others(member)
            if ends and others:
                self._send(member, self.rng.choice(others), ends, ())
            await trio.sleep(BEAT_S)

    def _others(self, member: Teller) -> list[Teller]:
        return [other for other in self.members() if other is not member]

    def _spread(
        self,
        teller: Teller,
        ends: tuple[CrashReport, ...],
        cleared: tuple[Fingerprint, ...],
    ) -> None:
        others = self._others(teller)
        if len(others) > TELL_ALL:
            others = self.rng.sample(others, TOLD)
        for hearer in others:
            self._send(teller, hearer, ends, cleared)

    def _send(
        self,
        teller: Teller,
        hearer: Teller,
        ends: tuple[CrashReport, ...],
        cleared: tuple[Fingerprint, ...],
    ) -> None:
        for way_s in self.draw_ways():
            self.nursery.start_soon(self._carry, teller, hearer, ends, cleared, way_s)

    async def _carry(
        self,
        teller: Teller,
        hearer: Teller,
        ends: tuple[CrashReport, ...],
        cleared: tuple[Fingerprint, ...],
        way_s: float,
    ) -> None:
        await awake(teller)
        if teller not in self.members():
            return
        await trio.sleep(way_s)
        await awake(hearer)
        if hearer not in self.members():
            return
        news = hearer.watch.apply_update(teller.name, ends, cleared)
        if news and len(self._others(hearer)) > TELL_ALL:
            # As it was told: what lay unread here is as old to who hears it next.
            self._spread(hearer, ends, cleared)


async def awake(member: Teller) -> None:
    """Waits until an instance reads and sends."""
    while (left_s := member.wakes_at - trio.current_time()) > 0:
        await trio.sleep(left_s)
