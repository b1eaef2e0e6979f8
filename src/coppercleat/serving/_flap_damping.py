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

_MOST_KEPT = 64
"""Short lives of a service that are kept, the last ones."""


@attrs.frozen
class _Life:
    """A life that has ended.

    Attributes:
      ended_at: In seconds of this instance's clock.
      lasted_s: How long it was, at most ``SHORT_LIFE_S``.
    """

    ended_at: float
    lasted_s: float


class Steadiness:
    """Short lives by service.

    Its upstreams run the same, and most are back under other ids and addresses.
    """

    def __init__(self) -> None:
        self._lives: dict[str, list[_Life]] = {}

    def begin(self, state: UpstreamState, at: float) -> None:
        """Notes that a life has begun.

        Args:
          state: The upstream.
          at: When, in seconds of this instance's clock.
        """
        state.since = at
        state.among_short = bool(self._recent(state))
        state.steady_from = self._steady_from(state)

    def record_crash(self, state: UpstreamState, end: End, *, run_began: float) -> None:
        """Notes an end, which several may tell of, and some notice late.

        Args:
          state: The upstream.
          end: Its end.
          run_began: When a run began that met it.
        """
        at = end.at
        if run_began <= state.ended_at or at < state.ended_at + SAME_END_S:
            return  # It is known, or older than what is.
        if state.upstream.is_same_incarnation(end.born_ms) is False:
            # Of which the start is no longer known: the next life is listed already.
            return
        # Judged by the lives before: a request may be the cause of this one's end.
        state.among_short = bool(self._recent(state))
        state.ended_steady = at >= state.steady_from or not state.among_short
        self._keep(state, _Life(at, at - state.since))
        # The list may lag, or tell of no other life.
        state.before_end = (state.since, state.steady_from)
        state.ended_at = state.since = at
        state.steady_from = max(state.steady_from, self._steady_from(state))

    def retract_crash(self, state: UpstreamState) -> None:
        """Notes that an upstream that seemed to have ended last lives on."""
        if state.since == state.ended_at > float("-inf"):
            state.since, state.steady_from = state.before_end
            lives = self._lives.get(state.upstream.service, [])
            lives[:] = [life for life in lives if life.ended_at != state.ended_at]
            state.ended_at = float("-inf")

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
        if life.lasted_s > SHORT_LIFE_S:
            return
        known = self._lives.setdefault(state.upstream.service, [])
        known.append(life)
        del known[:-_MOST_KEPT]

    def _recent(self, state: UpstreamState) -> list[float]:
        """Returns how long short lives lasted of late, by when this one began."""
        return [
            life.lasted_s
            for life in self._lives.get(state.upstream.service, ())
            if state.since - life.ended_at < RECENT_S
        ]

    def _steady_from(self, state: UpstreamState) -> float:
        longest_s = OUTLIVED * max(self._recent(state), default=0.0)
        return state.since + min(MOST_STEADY_S, max(STEADY_S, longest_s))
