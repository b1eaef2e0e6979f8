"""Ends of upstreams under requests, and how instances tell each other of them."""

from __future__ import annotations

import attrs
import msgspec

from coppercleat.ids import UpstreamId
from coppercleat.quarantine._fingerprint import Fingerprint

SAME_END_S = 0.5
"""Two instances that saw an upstream end within this time saw one end: they see its
connections break within milliseconds, and a start takes longer."""


MIN_UPTIME_S = 0.1
"""No upstream starts and ends within this time."""


@attrs.frozen
class End:
    """One end of an upstream under a request.

    Attributes:
      at: When, in seconds of the ledger's clock; late where word of it came late.
      born_ms: See ``Upstream.born_ms``; 0 if unknown. The list may lag behind a new
        start, so that two lives may bear one birth here.
      number: Which end of this upstream under this request it is, from 1, as far as
        was known to the instance that saw it; 0 before that is worked out.
      weak: Whether it says little of the request: the upstream was not steady, or the
        run had moved the request on.
      source: From whom it is known here, for the log: by which proof, or who told.
    """

    upstream: UpstreamId
    at: float
    born_ms: int = 0
    number: int = 0
    weak: bool = False
    source: str = attrs.field(default="", eq=False)

    def is_duplicate_observation(self, known: End, *, run_began: float) -> bool:
        """Returns whether this end, seen here, is one that is known already.

        Args:
          known: The one that is known.
          run_began: When the run that met it began: what began before an end ends by
            it, however late that is noticed.
        """
        began_before = self._may_be_same_incarnation(known) and run_began <= known.at
        return began_before or self.coincides_with(known) or self._is_too_close(known)

    def coincides_with(self, other: End) -> bool:
        """Returns whether both ends came about at one time, to one upstream."""
        return (
            self._may_be_same_incarnation(other)
            and abs(self.at - other.at) < SAME_END_S
        )

    def is_duplicate_report(self, known: End) -> bool:
        """Returns whether this end, told by another instance, is known already.

        Its time tells nothing: an end is told by its age, and each word of it that lies
        unread, or waits for a link, places it later.
        """
        return (
            self._may_be_same_incarnation(known) and self.number == known.number
        ) or self._is_too_close(known)

    def _is_too_close(self, known: End) -> bool:
        """Returns whether it is of this upstream, and too near for another life.

        The list may lag at one of two instances, so that they tell two births.
        """
        near = abs(self.at - known.at) < MIN_UPTIME_S
        return near and self.upstream == known.upstream

    def _may_be_same_incarnation(self, known: End) -> bool:
        """Returns whether it is of this upstream, and not of another of its lives."""
        births = {self.born_ms, known.born_ms} - {0}
        return self.upstream == known.upstream and len(births) < 2


class ToldEnd(msgspec.Struct, frozen=True, array_like=True):
    """An upstream that ended under a request, as instances tell each other.

    Attributes:
      age_s: How long ago, so that no clocks are compared.
      withdrawn: Whether it was found alive after all.
      born_ms: See ``End``.
      number: See ``End``; instances of an earlier version tell none.
      weak: See ``End``; instances of an earlier version tell and pass on none, and
        may have counted whole what says little.
    """

    fingerprint: Fingerprint
    upstream: UpstreamId
    age_s: float
    withdrawn: bool = False
    born_ms: int = 0
    number: int = 1
    weak: bool = True

    @classmethod
    def of(
        cls, fingerprint: Fingerprint, end: End, *, now: float, withdrawn: bool = False
    ) -> ToldEnd:
        """Returns what to tell others of an end that this instance knows."""
        return cls(
            fingerprint,
            end.upstream,
            now - end.at,
            withdrawn,
            end.born_ms,
            end.number,
            end.weak,
        )

    def to_crash(self, *, now: float, sender: str = "") -> End:
        """Returns the end by the clock of who hears of it now."""
        return End(
            self.upstream,
            now - self.age_s,
            self.born_ms,
            self.number,
            self.weak,
            source=f"told by {sender}",
        )


class EndsSeen(msgspec.Struct, frozen=True, tag="ends", array_like=True):
    """Tells of upstreams that ended under requests, found or heard of.

    Attributes:
      cleared: Requests that an upstream has answered.
    """

    ends: tuple[ToldEnd, ...]
    cleared: tuple[Fingerprint, ...] = ()
