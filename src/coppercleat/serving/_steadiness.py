"""Tells upstreams that have lived for a while from those that end again and again.

The pattern is flap damping: what has just come back is likely to go again, and as soon
as the last times. An end of such an upstream says little of what ran on it, and work
that has met ends is sent to the others.
"""

from __future__ import annotations

import attrs

from coppercleat.quarantine import SAME_END_S

STEADY_S = 2.0
"""After its start an upstream is taken to be steady so much later. One that ends by
itself mostly does so as it starts up, or as it takes its first requests."""

OUTLIVED = 1.5
"""One that ended soon after its start must outlive that by this factor."""

SHORT_LIFE_S = 5.0
MOST_STEADY_S = 7.0
"""A life that is longer than the first leaves time for the work; and no work is kept
for longer than the second by what has ended, as it may be due in 18 s and take 5 s."""

RECENT_S = 30.0
"""Ends that are older tell nothing of an upstream."""

_MOST_KEPT = 8
_MOST_ADDRESSES = 2048


@attrs.frozen
class _Life:
    """A life that has ended.

    Attributes:
      ended_at: In seconds of this instance's clock.
      lasted_s: Infinite if its start is unknown.
    """

    ended_at: float
    lasted_s: float


class Steadiness:
    """Lives of upstreams by address, since most start again under another id."""

    def __init__(self) -> None:
        self._lives: dict[str, list[_Life]] = {}

    def note_end(self, address: str, at: float, *, since: float) -> None:
        """Notes an end, which several may tell of.

        Args:
          address: The upstream's.
          at: When it ended, in seconds of this instance's clock.
          since: When it started; minus infinity if unknown.
        """
        known = self._lives.setdefault(address, [])
        if any(abs(at - life.ended_at) < SAME_END_S for life in known):
            return
        known.append(_Life(at, at - since))
        del known[:-_MOST_KEPT]
        while len(self._lives) > _MOST_ADDRESSES:
            del self._lives[next(iter(self._lives))]

    def steady_from(self, address: str, since: float) -> float:
        """Returns from when on an upstream counts as steady.

        Args:
          address: The upstream's.
          since: When it started, or was seen to end.
        """
        short = [
            life.lasted_s
            for life in self._lives.get(address, ())
            if since - life.ended_at < RECENT_S and life.lasted_s <= SHORT_LIFE_S
        ]
        longest_s = OUTLIVED * max(short, default=0.0)
        return since + min(MOST_STEADY_S, max(STEADY_S, longest_s))
