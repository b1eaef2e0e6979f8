"""Ends stalled attempts that can fail over to another upstream."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator

import trio

from coppercleat.serving._exchange import Exchange
from coppercleat.serving._model import Route, RouteKind
from coppercleat.serving._placement import Placement
from coppercleat.serving._upstream_state import UpstreamState

FIRST_EVENT_STALL_S = 0.8
FIRST_EVENT_STALL_TARGET_FACTOR = 2.5
"""A resumable stream without a first event for this long, or for this many times the
route's target if that is longer, has stalled. Far above the prefill time of the longest
prompt beside a full batch (about 0.1 s)."""

EVENT_GAP_STALL_S = 0.6
EVENT_GAP_STALL_TARGET_FACTOR = 3.0
"""The same limits between events, which arrive some 20 ms apart."""

CHECK_INTERVAL_S = 0.05
"""Interval between checks for stalled attempts."""

LATE_CHECK_S = 3 * CHECK_INTERVAL_S
"""A check later than this means that the process was suspended; a busy process is only
some milliseconds late."""


def first_event_stall_s(route: Route) -> float:
    """Returns the seconds without a first event after which a stream has stalled."""
    return max(
        FIRST_EVENT_STALL_S, FIRST_EVENT_STALL_TARGET_FACTOR * route.target_latency_s
    )


def event_gap_stall_s(route: Route) -> float:
    """Returns the seconds between events after which a stream has stalled."""
    return max(EVENT_GAP_STALL_S, EVENT_GAP_STALL_TARGET_FACTOR * route.gap_target_s)


async def stall_check_times(
    until_needed: Callable[[], Awaitable[None]],
) -> AsyncIterator[float]:
    """Yields the time of each check for stalls; skips the first of several late ones.

    After a suspension of the process, data may have arrived that has not been read yet.
    Without this exception its sender would seem to have stalled.

    Args:
      until_needed: Returns once there is an attempt to check.
    """
    skipped = False
    while True:
        await until_needed()
        began = trio.current_time()
        await trio.sleep(CHECK_INTERVAL_S)
        now = trio.current_time()
        late = now - began > LATE_CHECK_S
        skipped = late and not skipped
        if not skipped:
            yield now


class StallDetector:
    """Checks the open attempts of an instance for stalls.

    Attributes:
      placement: Used to find open slots at other upstreams.
    """

    def __init__(self, placement: Placement) -> None:
        self.placement = placement
        self._open_attempts: dict[Exchange, tuple[UpstreamState, trio.CancelScope]] = {}
        self._opened = trio.Event()

    @contextlib.contextmanager
    def watching(self, exchange: Exchange, state: UpstreamState) -> Iterator[None]:
        """Ends the attempt in its body if it stalls and can fail over."""
        scope = trio.CancelScope()
        # Other responses may take as long as the route allows.
        if exchange.route.kind is RouteKind.STREAM and exchange.progress.may_fail_over:
            self._open_attempts[exchange] = (state, scope)
            self._opened.set()
        try:
            with scope:
                yield
        finally:
            self._open_attempts.pop(exchange, None)

    async def run(self) -> None:
        """Ends stalled attempts until cancelled."""
        async for now in stall_check_times(self._until_open):
            for exchange, (state, scope) in list(self._open_attempts.items()):
                if self._has_stalled(exchange, state, now):
                    exchange.stalled = True
                    scope.cancel()

    async def _until_open(self) -> None:
        if not self._open_attempts:
            self._opened = trio.Event()
            await self._opened.wait()

    def _has_stalled(
        self, exchange: Exchange, state: UpstreamState, now: float
    ) -> bool:
        """Returns whether an attempt has stalled and should fail over.

        An upstream also sends nothing while the request waits in its queue. A failover
        without an open slot would lose that position, and use up an attempt.
        """
        if exchange.progress.finished:
            return False
        has_received = exchange.last_received_at > exchange.attempt_started_at
        stall_s = event_gap_stall_s if has_received else first_event_stall_s
        if now < exchange.last_received_at + stall_s(exchange.route):
            return False
        if not state.breaker.allows_request(now):
            return True
        service = state.upstream.service
        return self.placement.open_slots(service, avoid=exchange.tried, now=now) > 0
