"""Keeps verdicts on requests in rows that instances write and read anyway.

So an instance that can reach the platform alone learns of them, and one that starts,
also after all have ended at once. A row tells only of requests that are quarantined:
its times are by the clock of the machine that wrote it, and an end that two clocks
place differently would count twice.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable

import msgspec
import trio

from coppercleat.ids import UpstreamId
from coppercleat.quarantine._crashes import End
from coppercleat.quarantine._fingerprint import Fingerprint
from coppercleat.quarantine._history import EndLedger

MAX_RECORDS = 8
"""Requests in one row, those with the most ends: 2 kB with six ends each."""


class KeptEnds(msgspec.Struct, frozen=True, array_like=True):
    """A quarantined request.

    Attributes:
      ends: Which upstream ended when, in Unix seconds.
      births: For each end, see ``End.born_ms``; fewer where an instance of an
        earlier version wrote the row.
      numbers: The same, see ``End.number``.
      weak: The same, see ``End.weak``; who does not tell may have counted too much.
    """

    fingerprint: Fingerprint
    ends: tuple[tuple[UpstreamId, float], ...]
    births: tuple[int, ...] = ()
    numbers: tuple[int, ...] = ()
    weak: tuple[bool, ...] = ()

    def to_crashes(self, *, wall_at_zero: float, now: float) -> list[End]:
        """Returns the ends by a clock that showed 0 at that Unix time."""
        births = itertools.chain(self.births, itertools.repeat(0))
        numbers = itertools.chain(self.numbers, itertools.repeat(0))
        weak = itertools.chain(self.weak, itertools.repeat(True))
        # A clock that is ahead must not make an end of the future.
        return [
            End(
                upstream,
                min(now, wall - wall_at_zero),
                born_ms,
                number,
                is_weak,
                source="a row",
            )
            for (upstream, wall), born_ms, number, is_weak in zip(
                self.ends, births, numbers, weak, strict=False
            )
        ]


class EndKeeper:
    """Translates between a ledger and rows."""

    def __init__(
        self,
        ledger: EndLedger,
        *,
        clock: Callable[[], float],
        keeps: Callable[[Fingerprint], bool],
    ) -> None:
        """Prepares the keeper.

        Args:
          ledger: What this instance knows.
          clock: Unix time in seconds.
          keeps: Returns whether it falls to this instance to keep a request: a few do,
            so that the rows of a large fleet stay small.
        """
        self.ledger = ledger
        self.clock = clock
        self.keeps = keeps

    def to_keep(self) -> tuple[KeptEnds, ...]:
        """Returns what this instance's row should tell."""
        now = trio.current_time()
        counts = self.ledger.quarantined(now=now)
        mine = [fingerprint for fingerprint in counts if self.keeps(fingerprint)]
        mine.sort(key=lambda fingerprint: -counts[fingerprint])
        wall_at_zero = self.clock() - now
        return tuple(
            KeptEnds(
                fingerprint,
                tuple((end.upstream, wall_at_zero + end.at) for end in ends),
                tuple(end.born_ms for end in ends),
                tuple(end.number for end in ends),
                tuple(end.weak for end in ends),
            )
            for fingerprint in mine[:MAX_RECORDS]
            for ends in [self.ledger.ends_of(fingerprint)]
        )

    def take_kept(self, kept: Iterable[KeptEnds]) -> None:
        """Takes what a row tells, of requests that are not quarantined here."""
        now = trio.current_time()
        wall_at_zero = self.clock() - now
        for request in kept:
            if self.ledger.is_quarantined(request.fingerprint):
                continue
            ends = request.to_crashes(wall_at_zero=wall_at_zero, now=now)
            self.ledger.adopt(request.fingerprint, ends)
