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
from coppercleat.quarantine._ends import End
from coppercleat.quarantine._fingerprint import Fingerprint
from coppercleat.quarantine._ledger import EndLedger

MAX_RECORDS = 8
"""Requests in one row, those with the most crashes; bounds the size of the row."""


class KeptEnds(msgspec.Struct, frozen=True, array_like=True):
    """A quarantined request in an instance row.

    The last three tuples have one entry for each crash, or none in rows of instances of
    earlier versions.

    Attributes:
      fingerprint: The request.
      ends: Upstream and Unix time in seconds of each crash.
      births: See ``End.born_ms``.
      numbers: See ``End.number``.
      weak: See ``End.weak``; taken as true if absent.
    """

    fingerprint: Fingerprint
    ends: tuple[tuple[UpstreamId, float], ...]
    births: tuple[int, ...] = ()
    numbers: tuple[int, ...] = ()
    weak: tuple[bool, ...] = ()

    def to_crashes(self, *, wall_at_zero: float, now: float) -> list[End]:
        """Returns the crashes, with their times on the local clock.

        Args:
          wall_at_zero: Unix time at which the local clock showed 0.
          now: Seconds on the local clock.
        """
        start_times = itertools.chain(self.births, itertools.repeat(0))
        numbers = itertools.chain(self.numbers, itertools.repeat(0))
        weak = itertools.chain(self.weak, itertools.repeat(True))
        # The writer's clock may be ahead; a crash is never in the future.
        return [
            End(
                upstream,
                min(now, wall - wall_at_zero),
                born_ms,
                number,
                is_weak,
                source="an instance row",
            )
            for (upstream, wall), born_ms, number, is_weak in zip(
                self.ends, start_times, numbers, weak, strict=False
            )
        ]


class EndKeeper:
    """Converts between the crash history and the records in instance rows."""

    def __init__(
        self,
        ledger: EndLedger,
        *,
        clock: Callable[[], float],
        keeps: Callable[[Fingerprint], bool],
    ) -> None:
        """Initialises the store.

        Args:
          ledger: The crash history of this instance.
          clock: Returns the Unix time in seconds.
          keeps: Returns whether this instance stores a request. A few instances store
            each, so that rows stay small in a large fleet.
        """
        self.ledger = ledger
        self.clock = clock
        self.keeps = keeps

    def to_keep(self) -> tuple[KeptEnds, ...]:
        """Returns the records for this instance's row."""
        now = trio.current_time()
        counts = self.ledger.quarantined(now=now)
        stored = [fingerprint for fingerprint in counts if self.keeps(fingerprint)]
        stored.sort(key=lambda fingerprint: -counts[fingerprint])
        wall_at_zero = self.clock() - now
        return tuple(
            KeptEnds(
                fingerprint,
                tuple((crash.upstream, wall_at_zero + crash.at) for crash in crashes),
                tuple(crash.born_ms for crash in crashes),
                tuple(crash.number for crash in crashes),
                tuple(crash.weak for crash in crashes),
            )
            for fingerprint in stored[:MAX_RECORDS]
            for crashes in [self.ledger.ends_of(fingerprint)]
        )

    def take_kept(self, records: Iterable[KeptEnds]) -> None:
        """Adds the records of a row, except for requests that are quarantined here."""
        now = trio.current_time()
        wall_at_zero = self.clock() - now
        for record in records:
            if self.ledger.is_quarantined(record.fingerprint):
                continue
            crashes = record.to_crashes(wall_at_zero=wall_at_zero, now=now)
            self.ledger.adopt(record.fingerprint, crashes)
