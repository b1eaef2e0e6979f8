"""Tells upstreams that have lived for a while from those that end again and again.

The pattern is flap damping: what has just come back is likely to go again, and the more
so the more often it went. An end of such an upstream says little of what ran on it, and
work that has met ends is sent to the others.
"""

from __future__ import annotations

from coppercleat.quarantine import SAME_END_S

STEADY_S = 2.0
"""After its start an upstream is taken to be steady so much later. One that ends by
itself mostly does so as it starts up, or as it takes its first requests."""

FLAPPING_STEADY_S = 4.0
"""The same if it has ended more than once of late. Work that is kept for it is due in
some 18 s, and takes 5 s."""

RECENT_S = 30.0
"""Ends that are older tell nothing of an upstream."""

_MOST_KEPT = 8
_MOST_ADDRESSES = 2048


class Steadiness:
    """Ends of upstreams by address, since most start again under another id."""

    def __init__(self) -> None:
        self._ends: dict[str, list[float]] = {}

    def note_end(self, address: str, at: float) -> None:
        """Notes an end, which several may tell of.

        Args:
          address: The upstream's.
          at: When it ended, in seconds of this instance's clock.
        """
        known = self._ends.setdefault(address, [])
        if any(abs(at - end) < SAME_END_S for end in known):
            return
        known.append(at)
        del known[:-_MOST_KEPT]
        while len(self._ends) > _MOST_ADDRESSES:
            del self._ends[next(iter(self._ends))]

    def steady_from(self, address: str, since: float) -> float:
        """Returns from when on an upstream counts as steady.

        Args:
          address: The upstream's.
          since: When it started, or was seen to end.
        """
        ends = self._ends.get(address, ())
        recent = sum(since - end < RECENT_S for end in ends)
        return since + (STEADY_S if recent < 2 else FLAPPING_STEADY_S)
