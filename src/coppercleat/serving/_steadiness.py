"""Flap damping: tells steady upstreams from those that crash again and again.

An upstream that has just restarted is likely to crash again after about the time of its
last incarnations. Such a crash is weak evidence against the request it interrupted, so
requests under which upstreams crashed are sent to steady upstreams.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from coppercleat.quarantine import SAME_CRASH_WINDOW_S, Crash, Flap
from coppercleat.serving._upstream_state import UpstreamState

STEADY_S = 2.0
"""Shortest uptime of a steady upstream, in seconds: most spontaneous crashes happen
during startup or with the first requests."""

UPTIME_MARGIN = 1.5
"""Factor by which the uptime must exceed the recent short uptimes of the service."""

SHORT_UPTIME_S = 5.0
"""Longest uptime that counts as short, in seconds; longer ones leave enough time to
complete most work."""

MAX_STEADY_S = 7.0
"""Upper bound on the uptime that is required of a steady upstream, in seconds: work
with a due time cannot wait longer. An item may be due in 18 s and take 5 s."""

DELISTING_LAG_S = 5.0
"""Time after a crash, in seconds, within which the upstream leaves the list for it:
three heartbeat intervals, and the delays of the store and of reading."""

RECENT_S = 30.0
"""Age in seconds after which a crash is ignored."""

_MAX_CRASHES = 64
"""Crashes after short uptimes that are kept per service."""


@attrs.frozen
class _ShortUptime:
    """An incarnation that crashed soon after its start.

    Attributes:
      ended_at: Time of the crash, in seconds of this instance's clock.
      uptime_s: Its uptime, at most ``SHORT_UPTIME_S``.
    """

    ended_at: float
    uptime_s: float


class FlapDamping:
    """Recent short uptimes by service.

    They are kept per service, since its upstreams run the same software and most come
    back under other ids and addresses.

    Attributes:
      on_flap: Called with each crash after a short uptime.
    """

    def __init__(self) -> None:
        self.on_flap: Callable[[Flap], None] = lambda flap: None
        self._short_uptimes: dict[str, list[_ShortUptime]] = {}

    def record_start(self, state: UpstreamState, at: float) -> None:
        """Records the start of an incarnation.

        Args:
          state: The upstream.
          at: Time of the start, in seconds of this instance's clock.
        """
        state.started_at = at
        state.service_flaps = bool(self._recent_uptimes(state))
        state.steady_from = self._steady_from(state)

    def record_crash(
        self, state: UpstreamState, crash: Crash, *, attempt_began: float
    ) -> None:
        """Records a crash; duplicate and late reports are ignored.

        Args:
          state: The upstream.
          crash: The crash.
          attempt_began: Start of an attempt that it interrupted, in seconds of this
            instance's clock.
        """
        at = crash.at
        if (
            attempt_began <= state.crashed_at
            or at < state.crashed_at + SAME_CRASH_WINDOW_S
        ):
            return  # Known already, or older than the known one.
        if state.upstream.is_same_incarnation(crash.born_ms) is False:
            # Of an earlier incarnation, whose start is no longer known.
            return
        # Judged by earlier incarnations: a request may have caused this crash.
        state.service_flaps = bool(self._recent_uptimes(state))
        state.steady_at_crash = at >= state.steady_from or not state.service_flaps
        self._keep(state, _ShortUptime(at, at - state.started_at))
        # The list may lag, or may not show the restart at all.
        state.before_crash = (state.started_at, state.steady_from)
        state.crashed_at = state.started_at = at
        state.steady_from = max(state.steady_from, self._steady_from(state))

    def retract_crash(self, state: UpstreamState) -> None:
        """Retracts the last crash, a false positive."""
        if state.started_at == state.crashed_at > float("-inf"):
            state.started_at, state.steady_from = state.before_crash
            uptimes = self._short_uptimes.get(state.upstream.service, [])
            uptimes[:] = [one for one in uptimes if one.ended_at != state.crashed_at]
            state.crashed_at = float("-inf")

    def record_gone(self, state: UpstreamState, now: float | None) -> None:
        """Records that an incarnation is no longer listed; it may have crashed unseen.

        Args:
          state: The upstream.
          now: Seconds on this instance's clock; None if unknown.
        """
        planned = state.upstream.draining
        if now is not None and now - state.crashed_at < DELISTING_LAG_S:
            state.left_after_crash = True
        if now is not None and not planned and state.started_at > state.crashed_at:
            self._keep(state, _ShortUptime(now, now - state.started_at))

    def _keep(self, state: UpstreamState, uptime: _ShortUptime) -> None:
        if uptime.uptime_s > SHORT_UPTIME_S:
            return
        known = self._short_uptimes.setdefault(state.upstream.service, [])
        known.append(uptime)
        del known[:-_MAX_CRASHES]
        self.on_flap(Flap(state.id, uptime.ended_at))

    def _recent_uptimes(self, state: UpstreamState) -> list[float]:
        """Returns the service's short uptimes that were recent at this one's start."""
        return [
            one.uptime_s
            for one in self._short_uptimes.get(state.upstream.service, ())
            if state.started_at - one.ended_at < RECENT_S
        ]

    def _steady_from(self, state: UpstreamState) -> float:
        longest_s = UPTIME_MARGIN * max(self._recent_uptimes(state), default=0.0)
        return state.started_at + min(MAX_STEADY_S, max(STEADY_S, longest_s))
