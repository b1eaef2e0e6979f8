"""Ends of upstreams under requests, and how instances tell each other of them."""

from __future__ import annotations

import attrs
import msgspec

from coppercleat.ids import UpstreamId
from coppercleat.quarantine._fingerprint import Fingerprint

SAME_END_S = 0.5
"""Two instances that saw an upstream end within this time saw one end: they see its
connections break within milliseconds, and a start takes longer."""


@attrs.frozen
class End:
    """One end of an upstream under a request.

    Attributes:
      at: When, in seconds of the ledger's clock.
      born_ms: See ``Upstream.born_ms``; 0 if unknown.
      number: Which end of this upstream under this request it is, from 1, as far as
        was known to the instance that saw it; 0 before that is worked out.
    """

    upstream: UpstreamId
    at: float
    born_ms: int = 0
    number: int = 0

    def was_seen_as(self, known: End) -> bool:
        """Returns whether this end, seen here, is one that is known already."""
        return self._by_birth(known, unknown=abs(self.at - known.at) < SAME_END_S)

    def was_told_as(self, known: End) -> bool:
        """Returns whether this end, told by another instance, is known already.

        Its time tells nothing: an end is told by its age, and each word of it that lies
        unread, or waits for a link, places it later.
        """
        return self._by_birth(known, unknown=self.number == known.number)

    def _by_birth(self, known: End, *, unknown: bool) -> bool:
        """A life ends once; where no birth is told, ``unknown`` decides."""
        if self.upstream != known.upstream:
            return False
        if 0 in (self.born_ms, known.born_ms):
            return unknown
        return self.born_ms == known.born_ms


class ToldEnd(msgspec.Struct, frozen=True, array_like=True):
    """An upstream that ended under a request, as instances tell each other.

    Attributes:
      age_s: How long ago, so that no clocks are compared.
      withdrawn: Whether it was found alive after all.
      born_ms: See ``End``.
      number: See ``End``; instances of an earlier version tell none.
    """

    fingerprint: Fingerprint
    upstream: UpstreamId
    age_s: float
    withdrawn: bool = False
    born_ms: int = 0
    number: int = 1

    @classmethod
    def of(
        cls, fingerprint: Fingerprint, end: End, *, now: float, withdrawn: bool = False
    ) -> ToldEnd:
        """Returns what to tell others of an end that this instance knows."""
        age_s = now - end.at
        return cls(fingerprint, end.upstream, age_s, withdrawn, end.born_ms, end.number)

    def heard(self, *, now: float) -> End:
        """Returns the end by the clock of who hears of it now."""
        return End(self.upstream, now - self.age_s, self.born_ms, self.number)


class EndsSeen(msgspec.Struct, frozen=True, tag="ends", array_like=True):
    """Tells of upstreams that ended under requests, found or heard of.

    Attributes:
      cleared: Requests that an upstream has answered.
    """

    ends: tuple[ToldEnd, ...]
    cleared: tuple[Fingerprint, ...] = ()
