"""Ends attempts at upstreams that have fallen silent, where another is better."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Iterator

import trio

from coppercleat.serving._exchange import Exchange
from coppercleat.serving._model import Route, RouteKind
from coppercleat.serving._placement import Placement
from coppercleat.serving._upstream_state import UpstreamState

FIRST_EVENT_STALL_S = 0.8
FIRST_EVENT_STALL_TARGET_FACTOR = 2.5
"""Without a first event for this long, or so many times the route's target, a stream
that may be resumed goes elsewhere. Well past the time to read the longest prompt
beside a full batch (about 0.1 s)."""

EVENT_GAP_STALL_S = 0.6
EVENT_GAP_STALL_TARGET_FACTOR = 3.0
"""The same between events, which come some 20 ms apart."""

CHECK_INTERVAL_S = 0.05
"""Between looks for a slot elsewhere, for a request whose upstream is silent."""

LATE_CHECK_S = 3 * CHECK_INTERVAL_S
"""A look that comes so late is left out, once: a busy process looks some ms late."""


def first_event_stall_s(route: Route) -> float:
    """Returns for how long an upstream may be silent before the first event."""
    return max(
        FIRST_EVENT_STALL_S, FIRST_EVENT_STALL_TARGET_FACTOR * route.target_latency_s
    )


def event_gap_stall_s(route: Route) -> float:
    """Returns for how long an upstream may be silent between events."""
    return max(EVENT_GAP_STALL_S, EVENT_GAP_STALL_TARGET_FACTOR * route.gap_target_s)


async def stall_check_times() -> AsyncIterator[float]:
    """Yields the time of each look, but of none that comes late.

    What came while this process stood still has not been read at a late look, and would
    be taken for silence.
    """
    checked_at, skipped = trio.current_time(), False
    while True:
        await trio.sleep(CHECK_INTERVAL_S)
        now = trio.current_time()
        late = now - checked_at > LATE_CHECK_S
        checked_at = now
        skipped = late and not skipped
        if not skipped:
            yield now


class StallDetector:
    """Looks at all open attempts of an instance by turns.

    Attributes:
      placement: Knows whether a slot is open elsewhere.
    """

    def __init__(self, placement: Placement) -> None:
        self.placement = placement
        self._open_attempts: dict[Exchange, tuple[UpstreamState, trio.CancelScope]] = {}

    @contextlib.contextmanager
    def watching(self, exchange: Exchange, state: UpstreamState) -> Iterator[None]:
        """Has an attempt ended if the upstream is silent and another is not."""
        scope = trio.CancelScope()
        # Other answers may take as long as the route allows: silence proves nothing.
        if exchange.route.kind is RouteKind.STREAM and exchange.progress.may_fail_over:
            self._open_attempts[exchange] = (state, scope)
        try:
            with scope:
                yield
        finally:
            self._open_attempts.pop(exchange, None)

    async def run(self) -> None:
        """Ends attempts at silent upstreams, until cancelled."""
        async for now in stall_check_times():
            for exchange, (state, scope) in list(self._open_attempts.items()):
                if self._has_stalled(exchange, state, now):
                    exchange.stalled = True
                    scope.cancel()

    def _has_stalled(
        self, exchange: Exchange, state: UpstreamState, now: float
    ) -> bool:
        """Returns whether an upstream is silent and the request better off elsewhere.

        An upstream is silent too while the request waits in its queue. Leaving it then
        for no free slot would lose the place, and the request may have run.
        """
        if exchange.progress.finished:
            return False
        has_received = exchange.last_received_at > exchange.attempt_started_at
        stall_s = event_gap_stall_s if has_received else first_event_stall_s
        if now < exchange.last_received_at + stall_s(exchange.route):
            return False
        if not state.health.may_try(now):
            return True
        service = state.upstream.service
        return self.placement.open_slots(service, avoid=exchange.tried, now=now) > 0
