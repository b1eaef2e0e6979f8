"""Queue order over all instances of the fleet.

All instances compete for the same free slots. Each reports its queued work to the
others, and takes a slot only if fewer of their entries are ahead of its own than slots
are free. Thus the most urgent work is dispatched first at whichever instance it is
queued, and no slot is taken twice.
"""

from __future__ import annotations

import bisect
import collections
import enum
import itertools
import random
from collections.abc import Callable, Iterable

import attrs
import msgspec

from coppercleat.ids import InstanceId, TenantId

LevelOf = Callable[[TenantId, int], float]
"""Returns the level of a request by its account and the requests of it ahead."""


class Rank(enum.IntEnum):
    """Priority class; within a class, the earliest due time comes first."""

    ONLINE = 0
    """Online request that can still meet its latency target."""

    ONLINE_LATE = 1
    BATCH = 2
    """Batch item that can still be completed by its job's due time."""

    BATCH_LATE = 3


_LATE_RANK = {Rank.ONLINE: Rank.ONLINE_LATE, Rank.BATCH: Rank.BATCH_LATE}


class QueuePosition(msgspec.Struct, frozen=True, order=True, kw_only=True):
    """Position in the queue; the smaller one is dispatched first.

    The order of the fields is the order of comparison.

    Attributes:
      rank: A ``Rank``, as a number.
      priority: Priority of the account or route; 0 is the most urgent, and the only one
        where fair sharing is off.
      level: How far the request is beyond its account's share of the slots; 0 within
        the share, for items, and where fair sharing is off.
      due_at: Latest time of dispatch, in seconds of this instance's clock.
    """

    rank: int
    priority: int = 0
    level: float = 0.0
    due_at: float


class UnsharedWork(msgspec.Struct, frozen=True, array_like=True):
    """``QueuedWork`` as it is sent where fair sharing is off.

    Attributes:
      rank: A ``Rank``, as a number.
      due_in_s: Seconds from the report until the latest time of dispatch; relative,
        since the instances' clocks differ.
      service: Service whose slots are needed.
      count: Number of requests or items at this position.
    """

    rank: int
    due_in_s: float
    service: str
    count: int = 1


class QueuedWork(UnsharedWork, frozen=True, array_like=True):
    """Queued work of one instance, as it is reported to the others.

    Attributes:
      priority: Priority as in ``QueuePosition``.
      level: Level as in ``QueuePosition``, by the counts that the reporter had.
      account: Client account of all of them; None if they are of several, for items,
        and where fair sharing is off.
    """

    priority: int = 0
    level: float = 0.0
    account: TenantId | None = None

    def on_wire(self) -> UnsharedWork:
        """Returns what to send: without shares, the fields of earlier versions."""
        if self.account is not None or self.priority or self.level:
            return self
        return UnsharedWork(self.rank, self.due_in_s, self.service, self.count)


YIELD_S = 0.06
"""Time for which an open slot is left to peers, in seconds. It covers their report and
their dispatch; after it they have left the queue or do not see the slot."""


class YieldTimer:
    """Limits how long open slots are left to peers; the clock is passed in."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._until: float | None = None

    def expired(self, now: float) -> bool:
        """Starts the timer if it is not running; returns whether it has run out.

        Jitter keeps instances from taking the same slot at the same time.
        """
        if self._until is None:
            self._until = now + YIELD_S * (1 + self._rng.random())
        return now >= self._until

    def reset(self) -> None:
        """Stops the timer: no open slot is left to other instances."""
        self._until = None


@attrs.frozen
class _PeerEntry:
    """One ``QueuedWork`` report, with its due time by this instance's clock.

    ``ahead`` counts the requests of its account that the same report has before it.
    """

    rank: Rank
    due_at: float
    service: str
    count: int
    priority: int
    level: float
    account: TenantId | None
    ahead: int

    def position(self, now: float, level_of: LevelOf | None) -> QueuePosition:
        """Returns its position, in the late rank if the due time has passed."""
        rank, level = self.rank, self.level
        if self.due_at < now:
            rank = _LATE_RANK.get(rank, rank)
        if level_of is not None and self.account is not None:
            level = level_of(self.account, self.ahead)
        if level > 0:
            # Beyond its share it yields to all that are within theirs, late ones too.
            rank = _LATE_RANK.get(rank, rank)
        return QueuePosition(
            rank=rank, priority=self.priority, level=level, due_at=self.due_at
        )


@attrs.frozen
class Backlog:
    """Work that is queued elsewhere for one service, sorted.

    Attributes:
      positions: Positions in queue order.
      counts: Cumulative number of requests and items up to each position.
    """

    positions: list[QueuePosition]
    counts: list[int]

    def ahead(self, own: QueuePosition) -> int:
        """Returns how many requests and items are queued ahead of a position."""
        before = bisect.bisect_left(self.positions, own)
        return self.counts[before - 1] if before else 0


class PeerQueues:
    """Work that is queued at other instances; the clock is passed in."""

    def __init__(self) -> None:
        self._entries: dict[InstanceId, list[_PeerEntry]] = {}

    def observe(
        self, reporter: InstanceId, waiting: Iterable[QueuedWork], *, now: float
    ) -> None:
        """Replaces what is known of an instance's queue by a new report.

        Args:
          reporter: The instance that reports.
          waiting: All that is queued there.
          now: Seconds on this instance's clock.
        """
        entries = []
        ahead: collections.Counter[TenantId | None] = collections.Counter()
        for one in waiting:
            entries.append(
                _PeerEntry(
                    Rank(one.rank),
                    now + one.due_in_s,
                    one.service,
                    one.count,
                    one.priority,
                    # A level that is not a number would break the order of the queue.
                    max(0.0, one.level),
                    one.account,
                    ahead[one.account],
                )
            )
            ahead[one.account] += one.count
        if entries:
            self._entries[reporter] = entries
        else:
            self._entries.pop(reporter, None)

    def forget(self, reporter: InstanceId) -> bool:
        """Drops an instance's queue; returns whether anything was known of it."""
        return self._entries.pop(reporter, None) is not None

    def reporters(self) -> list[InstanceId]:
        """Returns the instances that have queued work."""
        return list(self._entries)

    def __bool__(self) -> bool:
        return bool(self._entries)

    def backlog(
        self, service: str, *, now: float, level_of: LevelOf | None = None
    ) -> Backlog:
        """Returns what is queued elsewhere for a service, in the order of now.

        Args:
          service: The service.
          now: Seconds on this instance's clock.
          level_of: Returns the level of a request by its account and the number of
            requests ahead of it, so that all levels compared are of the same counts;
            None for the levels as reported.
        """
        ordered = sorted(
            (one.position(now, level_of), one.count)
            for entries in self._entries.values()
            for one in entries
            if one.service == service
        )
        positions = [position for position, _ in ordered]
        return Backlog(
            positions, list(itertools.accumulate(count for _, count in ordered))
        )

    def ahead(self, own: QueuePosition, *, service: str, now: float) -> int:
        """Returns how much work elsewhere is queued ahead of a position.

        Args:
          own: Position of the own request or item.
          service: Service whose slots are needed.
          now: Seconds on this instance's clock.
        """
        return self.backlog(service, now=now).ahead(own)
