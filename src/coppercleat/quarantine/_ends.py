"""Ends of upstreams under requests, and how instances tell each other of them."""

from __future__ import annotations

import attrs
import msgspec

from coppercleat.ids import UpstreamId
from coppercleat.quarantine._fingerprint import Fingerprint

SAME_END_S = 0.5
"""Ends of an upstream that tells no birth were one end if they were seen within this
time: connections break within milliseconds, and a start takes longer."""


@attrs.frozen
class End:
    """One end of an upstream under a request.

    Attributes:
      at: When, in seconds of the ledger's clock.
      born_ms: See ``Upstream.born_ms``; 0 if unknown.
    """

    upstream: UpstreamId
    at: float
    born_ms: int = 0

    def is_same(self, other: End) -> bool:
        """Returns whether both tell of the same end.

        A life ends once. Times tell less: an end is told by its age, so that each word
        of it that lies unread, while an instance stands still, places it later.
        """
        if self.upstream != other.upstream:
            return False
        if 0 not in (self.born_ms, other.born_ms):
            return self.born_ms == other.born_ms
        return abs(self.at - other.at) < SAME_END_S


class ToldEnd(msgspec.Struct, frozen=True, array_like=True):
    """An upstream that ended under a request, as instances tell each other.

    Attributes:
      age_s: How long ago, so that no clocks are compared.
      withdrawn: Whether it was found alive after all.
      born_ms: See ``End``.
    """

    fingerprint: Fingerprint
    upstream: UpstreamId
    age_s: float
    withdrawn: bool = False
    born_ms: int = 0

    @classmethod
    def of(
        cls, fingerprint: Fingerprint, end: End, *, now: float, withdrawn: bool = False
    ) -> ToldEnd:
        """Returns what to tell others of an end that this instance knows."""
        age_s = now - end.at
        return cls(fingerprint, end.upstream, age_s, withdrawn, end.born_ms)

    def heard(self, *, now: float) -> End:
        """Returns the end by the clock of who hears of it now."""
        return End(self.upstream, now - self.age_s, self.born_ms)


class EndsSeen(msgspec.Struct, frozen=True, tag="ends", array_like=True):
    """Tells of upstreams that ended under requests, found or heard of.

    Attributes:
      cleared: Requests that an upstream has answered.
    """

    ends: tuple[ToldEnd, ...]
    cleared: tuple[Fingerprint, ...] = ()
