"""Tells upstreams that have lived for a while from those that end again and again.

The pattern is flap damping: what has just come back is likely to go again, and as soon
as the last times. An end of such an upstream says little of what ran on it, and work
that has met ends is sent to the others.
"""

from __future__ import annotations

import attrs

from coppercleat.quarantine import SAME_END_S, End
from coppercleat.serving._upstream_state import UpstreamState

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

    def begin(self, state: UpstreamState, at: float) -> None:
        """Notes that a life has begun.

        Args:
          state: The upstream.
          at: When, in seconds of this instance's clock.
        """
        state.since = at
        state.steady_from = self._steady_from(state)

    def note_end(self, state: UpstreamState, end: End) -> None:
        """Notes an end, which several may tell of."""
        at = end.at
        if abs(at - state.ended_at) < SAME_END_S:
            return
        if state.upstream.is_same_life(end.born_ms) is False:
            # Of which the start is no longer known: the next life is listed already.
            self._keep(state, _Life(at, float("inf")))
            return
        self._keep(state, _Life(at, at - state.since))
        state.was_steady = state.steady_at(at)
        # The list may lag, or tell of no other life.
        state.ended_at = state.since = at
        state.steady_from = max(state.steady_from, self._steady_from(state))

    def note_gone(self, state: UpstreamState, now: float | None) -> None:
        """Notes the end of one that the list shows no longer, if nobody found it.

        Args:
          state: The upstream.
          now: Seconds on this instance's clock; None if unknown.
        """
        planned = state.upstream.draining
        if now is not None and not planned and state.since > state.ended_at:
            self._keep(state, _Life(now, now - state.since))

    def _keep(self, state: UpstreamState, life: _Life) -> None:
        known = self._lives.setdefault(state.upstream.address, [])
        if any(abs(life.ended_at - other.ended_at) < SAME_END_S for other in known):
            return
        known.append(life)
        del known[:-_MOST_KEPT]
        while len(self._lives) > _MOST_ADDRESSES:
            del self._lives[next(iter(self._lives))]

    def _steady_from(self, state: UpstreamState) -> float:
        short = [
            life.lasted_s
            for life in self._lives.get(state.upstream.address, ())
            if state.since - life.ended_at < RECENT_S and life.lasted_s <= SHORT_LIFE_S
        ]
        longest_s = OUTLIVED * max(short, default=0.0)
        return state.since + min(MOST_STEADY_S, max(STEADY_S, longest_s))
