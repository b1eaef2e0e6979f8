"""Runs the admission queue: requests wait for a slot and hold it."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Callable

import trio

from coppercleat.serving._admission_queue import AdmissionQueue
from coppercleat.serving._placement import NoUpstreamAvailable
from coppercleat.serving._queued_request import Overloaded, QueuedRequest
from coppercleat.serving._retry_times import SAMPLE_INTERVAL_S
from coppercleat.serving._upstream_state import UpstreamState

_DISPATCH_INTERVAL_S = 0.01
"""Seconds between dispatches while requests are queued. Changes of load trigger one at
once, but timers and deadlines expire without an event."""

_MIN_DISPATCH_INTERVAL_S = 0.005
"""Shortest time in seconds between two dispatches: each goes over the whole queue, and
under overload the load changes hundreds of times per second."""


class Admission:
    """Admission queue of an instance, driven by the instance's clock.

    Attributes:
      queue: Decides which request gets which slot.
      on_change: Called with an upstream whose load has changed, and whether it grew.
      on_queue_change: Called when a request has joined the queue, or has left it
        without an outcome.
    """

    def __init__(
        self,
        queue: AdmissionQueue,
        *,
        on_change: Callable[[UpstreamState, bool], None],
        on_queue_change: Callable[[], None],
    ) -> None:
        self.queue = queue
        self.on_change = on_change
        self.on_queue_change = on_queue_change
        self._decided: dict[QueuedRequest, trio.Event] = {}
        self._queued = trio.Event()
        self._dispatched_at = float("-inf")

    async def run(self) -> None:
        """Dispatches regularly while requests are queued, until cancelled."""
        while True:
            await self._wait_until_queued()
            self._queued = trio.Event()
            while len(self.queue):
                await trio.sleep(_DISPATCH_INTERVAL_S)
                self.dispatch()

    async def _wait_until_queued(self) -> None:
        """Waits for a queued request, and samples arrival rates meanwhile.

        The end of an overload is noticed also where few requests arrive.
        """
        shedder = self.queue.shedder
        if not shedder.timely:
            await self._queued.wait()
        while not self._queued.is_set():
            with trio.move_on_after(SAMPLE_INTERVAL_S):
                await self._queued.wait()
            shedder.sample_rates(now=trio.current_time())

    def dispatch(self) -> None:
        """Gives free slots to queued requests, unless that has just been done."""
        now = trio.current_time()
        if len(self.queue) and now - self._dispatched_at >= _MIN_DISPATCH_INTERVAL_S:
            self._dispatch(now)

    def _dispatch(self, now: float) -> None:
        self._dispatched_at = now
        self.queue.dispatch(now=now, on_decided=self._on_decided)

    @contextlib.asynccontextmanager
    async def slot(
        self, request: QueuedRequest
    ) -> AsyncIterator[UpstreamState | NoUpstreamAvailable | Overloaded]:
        """Waits for a slot and holds it until the context is left.

        Args:
          request: The request, not yet queued.

        Yields:
          The upstream of the slot, or why the request got none.
        """
        decided = self._decided[request] = trio.Event()
        self.queue.enter(request, now=trio.current_time())
        try:
            self._dispatch(trio.current_time())
            if request.outcome is None:
                self._queued.set()
                self.on_queue_change()
                await decided.wait()
            assert request.outcome is not None
            yield request.outcome
        finally:
            self._release(request)

    def _on_decided(self, request: QueuedRequest) -> None:
        if isinstance(request.outcome, UpstreamState):
            state = request.outcome
            state.online += 1
            self.queue.placement.account_load.started(request.account)
            state.breaker.started()
            self.on_change(state, True)
        self._decided[request].set()

    def _release(self, request: QueuedRequest) -> None:
        """Removes a request from the queue, or releases its slot."""
        del self._decided[request]
        self.queue.leave(request)
        if isinstance(request.outcome, UpstreamState):
            state = request.outcome
            state.online -= 1
            self.queue.placement.account_load.ended(request.account)
            state.breaker.abandoned()
            self.on_change(state, False)
            self.dispatch()
        elif request.outcome is None:
            self.on_queue_change()
