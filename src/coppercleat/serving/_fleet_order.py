"""The order in which all that waits in the fleet for a slot gets one.

Answers the load in which more requests and items come than there are slots, at many
instances that see the same free slot. Each instance tells the others what waits there,
and takes a slot only when fewer of the others' wait before its own than there are free
slots. So the most urgent goes first wherever it waits, and no slot is taken twice.
"""

from __future__ import annotations

import bisect
import enum
import itertools
import random
from collections.abc import Iterable

import attrs
import msgspec

from coppercleat.ids import InstanceId


class Rank(enum.IntEnum):
    """What goes before what; within a rank, what is due sooner goes first."""

    ONLINE = 0
    """An online request that can still be answered on time."""

    ONLINE_LATE = 1
    BATCH = 2
    """A batch item that can still be done by the time its job is due."""

    BATCH_LATE = 3


_LATER = {Rank.ONLINE: Rank.ONLINE_LATE, Rank.BATCH: Rank.BATCH_LATE}


class Place(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A place in the order; the smaller one goes first.

    Attributes:
      rank: A ``Rank``, as a number.
      due_at: By when it must have a slot, in seconds.
    """

    rank: int
    due_at: float


class Waiting(msgspec.Struct, frozen=True, array_like=True):
    """What waits at an instance, as it is told to others.

    Attributes:
      rank: A ``Rank``, as a number.
      due_in_s: Seconds from the telling until it must have a slot; clocks differ.
      service: Whose slots it waits for.
      count: How many wait with this place.
    """

    rank: int
    due_in_s: float
    service: str
    count: int = 1


def place(rank: Rank, due_at: float, *, now: float) -> Place:
    """Returns a place; what can no longer be in time comes behind what can."""
    if due_at < now:
        rank = _LATER.get(rank, rank)
    return Place(rank, due_at)


OVERDUE_S = 0.06
"""A slot that is open for so long is taken out of turn: those before may have left, or
cannot see it. Telling takes some 3 ms and taking the slot as long, so that a slot that
is going to be used is taken well before."""


class Patience:
    """How long open slots are left to others; clock and randomness are passed in."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._until: float | None = None

    def overdue(self, now: float) -> bool:
        """Notes that an open slot is left to others; returns whether for too long.

        Instances that lose patience at the same moment would take the same slot, so
        that chance divides them.
        """
        if self._until is None:
            self._until = now + OVERDUE_S * (1 + self._rng.random())
        return now >= self._until

    def reset(self) -> None:
        """Notes that no open slot is left to others."""
        self._until = None


@attrs.frozen
class _Told:
    rank: Rank
    due_at: float
    service: str
    count: int


@attrs.frozen
class Line:
    """What waits elsewhere for a service, sorted; asked for many places at a time.

    Attributes:
      places: In order.
      counts: How many wait up to each place.
    """

    places: list[Place]
    counts: list[int]

    def ahead(self, own: Place) -> int:
        """Returns how many wait before a place."""
        before = bisect.bisect_left(self.places, own)
        return self.counts[before - 1] if before else 0


class FleetOrder:
    """What waits at other instances; the clock is passed in."""

    def __init__(self) -> None:
        self._told: dict[InstanceId, list[_Told]] = {}

    def observe(
        self, teller: InstanceId, waiting: Iterable[Waiting], *, now: float
    ) -> None:
        """Takes all that waits at an instance; replaces what it told before."""
        told = [
            _Told(Rank(one.rank), now + one.due_in_s, one.service, one.count)
            for one in waiting
        ]
        if told:
            self._told[teller] = told
        else:
            self._told.pop(teller, None)

    def forget(self, teller: InstanceId) -> bool:
        """Drops what an instance has told; returns whether there was something."""
        return self._told.pop(teller, None) is not None

    def tellers(self) -> list[InstanceId]:
        """Returns the instances at which something waits."""
        return list(self._told)

    def __bool__(self) -> bool:
        return bool(self._told)

    def line(self, service: str, *, now: float) -> Line:
        """Returns what waits elsewhere for a service, in its order at this moment."""
        waiting = sorted(
            (place(one.rank, one.due_at, now=now), one.count)
            for told in self._told.values()
            for one in told
            if one.service == service
        )
        places = [own for own, _ in waiting]
        return Line(places, list(itertools.accumulate(count for _, count in waiting)))

    def ahead(self, own: Place, *, service: str, now: float) -> int:
        """Returns how many wait elsewhere before a place.

        Args:
          own: The place of one's own.
          service: Whose slots are asked for.
          now: Seconds on this instance's clock.
        """
        return self.line(service, now=now).ahead(own)
