"""Stores quarantined requests in the instance rows on the platform.

Instances write and read these rows anyway, so the quarantine survives a restart of the
whole fleet and reaches instances without links to their peers. Requests that are only
suspect are left out: rows hold wall-clock times, and a crash that two machines date
differently would count twice.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable

import msgspec
import trio

from coppercleat.ids import UpstreamId
from coppercleat.quarantine._ends import Crash
from coppercleat.quarantine._fingerprint import Fingerprint, SubjectKind, kind_of
from coppercleat.quarantine._ledger import CrashHistory

MAX_RECORDS = 8
"""Limit of requests in one row, which bounds its size. Those with the most crashes are
stored, and items of batch jobs last."""


class QuarantineRecord(msgspec.Struct, frozen=True, array_like=True):
    """A quarantined request in an instance row.

    The last three tuples have one entry for each crash, or none in rows of instances of
    earlier versions.

    Attributes:
      fingerprint: The request.
      crashes: Upstream and Unix time in seconds of each crash.
      born_ms: See ``Crash.born_ms``.
      numbers: See ``Crash.number``.
      weak: See ``Crash.weak``; taken as true if absent.
    """

    fingerprint: Fingerprint
    crashes: tuple[tuple[UpstreamId, float], ...]
    born_ms: tuple[int, ...] = ()
    numbers: tuple[int, ...] = ()
    weak: tuple[bool, ...] = ()

    def to_crashes(self, *, wall_at_zero: float, now: float) -> list[Crash]:
        """Returns the crashes, with their times on the local clock.

        Args:
          wall_at_zero: Unix time at which the local clock showed 0.
          now: Seconds on the local clock.
        """
        start_times = itertools.chain(self.born_ms, itertools.repeat(0))
        numbers = itertools.chain(self.numbers, itertools.repeat(0))
        weak = itertools.chain(self.weak, itertools.repeat(True))
        # The writer's clock may be ahead; a crash is never in the future.
        return [
            Crash(
                upstream,
                min(now, wall - wall_at_zero),
                born_ms,
                number,
                is_weak,
                source="an instance row",
            )
            for (upstream, wall), born_ms, number, is_weak in zip(
                self.crashes, start_times, numbers, weak, strict=False
            )
        ]


class QuarantineStore:
    """Converts between the crash history and the records in instance rows."""

    def __init__(
        self,
        history: CrashHistory,
        *,
        clock: Callable[[], float],
        should_store: Callable[[Fingerprint], bool],
    ) -> None:
        """Initialises the store.

        Args:
          history: The crash history of this instance.
          clock: Returns the Unix time in seconds.
          should_store: Returns whether this instance stores a request. A few instances
            store each, so that rows stay small in a large fleet. Besides, an instance
            stores those whose crashes it observed, since its messages may be lost.
        """
        self.history = history
        self.clock = clock
        self.should_store = should_store

    def export_records(self) -> tuple[QuarantineRecord, ...]:
        """Returns the records for this instance's row."""
        now = trio.current_time()
        counts = self.history.quarantined(now=now)
        stored = [
            fingerprint
            for fingerprint in counts
            if self.should_store(fingerprint)
            or self.history.was_observed_here(fingerprint)
        ]
        # Items are soon tried again, so that other requests come first.
        stored.sort(
            key=lambda fingerprint: (
                kind_of(fingerprint) is SubjectKind.ITEM,
                -counts[fingerprint],
            )
        )
        wall_at_zero = self.clock() - now
        return tuple(
            QuarantineRecord(
                fingerprint,
                tuple((crash.upstream, wall_at_zero + crash.at) for crash in crashes),
                tuple(crash.born_ms for crash in crashes),
                tuple(crash.number for crash in crashes),
                tuple(crash.weak for crash in crashes),
            )
            for fingerprint in stored[:MAX_RECORDS]
            for crashes in [self.history.crashes_of(fingerprint)]
        )

    def import_records(self, records: Iterable[QuarantineRecord]) -> None:
        """Adds the records of a row, except for requests that are quarantined here."""
        now = trio.current_time()
        wall_at_zero = self.clock() - now
        for record in records:
            if self.history.is_quarantined(record.fingerprint):
                continue
            crashes = record.to_crashes(wall_at_zero=wall_at_zero, now=now)
            self.history.adopt(record.fingerprint, crashes)
