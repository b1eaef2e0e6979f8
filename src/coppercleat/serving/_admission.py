"""Lets online requests wait for a slot, and wakes those that get one."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Callable

import trio

from coppercleat.serving._admission_queue import (
    AdmissionQueue,
    Overloaded,
    QueuedRequest,
)
from coppercleat.serving._placement import NoUpstreamAvailable
from coppercleat.serving._upstream_state import UpstreamState

_LOOK_EVERY_S = 0.01
"""Pause between looks while requests wait: what changes is told at once, but patience
and deadlines run out by themselves."""


_LEAST_PAUSE_S = 0.005
"""Least time between two looks: in an overload something changes some hundred times a
second, and each look goes over all that waits."""


class Admission:
    """The queue of an instance, with its clock.

    Attributes:
      queue: Decides.
      on_change: Told of an upstream whose load has changed, and whether it has grown.
      on_queue_change: Told that requests have begun or ceased to wait.
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
        self._settled: dict[QueuedRequest, trio.Event] = {}
        self._entered = trio.Event()
        self._looked_at = float("-inf")

    async def run(self) -> None:
        """Looks again and again while requests wait, until cancelled."""
        while True:
            await self._entered.wait()
            self._entered = trio.Event()
            while len(self.queue):
                await trio.sleep(_LOOK_EVERY_S)
                self.look()

    def look(self) -> None:
        """Gives slots to those whose turn it is, unless that was just looked at."""
        now = trio.current_time()
        if len(self.queue) and now - self._looked_at >= _LEAST_PAUSE_S:
            self._look(now)

    def _look(self, now: float) -> None:
        self._looked_at = now
        self.queue.dispatch(now=now, on_decided=self._settle)

    @contextlib.asynccontextmanager
    async def slot(
        self, waiter: QueuedRequest
    ) -> AsyncIterator[UpstreamState | NoUpstreamAvailable | Overloaded]:
        """Waits for a slot and holds it until the context is left.

        Args:
          waiter: The request, as the queue sees it.

        Yields:
          The upstream that has the slot, or why there is none.
        """
        settled = self._settled[waiter] = trio.Event()
        self.queue.enter(waiter, now=trio.current_time())
        try:
            self._look(trio.current_time())
            if waiter.outcome is None:
                self._entered.set()
                self.on_queue_change()
                await settled.wait()
            assert waiter.outcome is not None
            yield waiter.outcome
        finally:
            self._leave(waiter)

    def _settle(self, waiter: QueuedRequest) -> None:
        if isinstance(waiter.outcome, UpstreamState):
            state = waiter.outcome
            state.online += 1
            state.health.started()
            self.on_change(state, True)
        self._settled[waiter].set()

    def _leave(self, waiter: QueuedRequest) -> None:
        del self._settled[waiter]
        self.queue.leave(waiter)
        if isinstance(waiter.outcome, UpstreamState):
            state = waiter.outcome
            state.online -= 1
            state.health.abandoned()
            self.on_change(state, False)
            self.look()
        elif waiter.outcome is None:
            self.on_queue_change()
