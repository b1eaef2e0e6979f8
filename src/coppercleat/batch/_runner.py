"""Composes and runs the components of batch processing."""

from __future__ import annotations

import contextlib

import trio

from coppercleat.batch._claimer import SegmentClaimer
from coppercleat.batch._committer import ChunkCommitter
from coppercleat.batch._feeding import ItemDispatcher
from coppercleat.batch._lateness_monitor import LatenessMonitor
from coppercleat.batch._segment_work import SegmentWork
from coppercleat.batch._state import BatchState
from coppercleat.errors import PlatformUnavailableError
from coppercleat.ids import UpstreamId
from coppercleat.observability import part_logger
from coppercleat.storage import AnswerLostError

_DRAIN_POLL_S = 0.05
_RELEASE_TIMEOUT_S = 1.0

_log = part_logger("batch")


class BatchRunner:
    """Processes segments of open jobs on this instance.

    Attributes:
      state: State shared by the components.
    """

    def __init__(self, state: BatchState) -> None:
        self.state = state
        self._dispatcher = ItemDispatcher(state, on_chunk=self._start_commit)
        self._committer = ChunkCommitter(state, stop=self._dispatcher.stop)
        self._lateness_monitor = LatenessMonitor(state)
        self._claimer = SegmentClaimer(
            state,
            self._dispatcher,
            stop_work=self._committer.stop_work,
            on_jobs=self._lateness_monitor.select_jobs,
        )
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Processes jobs until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._dispatcher.run)
            nursery.start_soon(self._claimer.run)
            nursery.start_soon(self._lateness_monitor.run)
            nursery.start_soon(self._check_held_forever)

    def online_changed(self, upstream: UpstreamId) -> None:
        """Preempts items over the limit after a change of an upstream's online load."""
        self._dispatcher.online_changed(upstream)

    def poll_now(self) -> None:
        """Polls for open jobs without waiting for the interval to pass."""
        self.state.poll_requested.set()

    def batch_limits(self) -> dict[UpstreamId, tuple[int, int]]:
        """Returns the number of running items and their limit, by upstream."""
        return self._dispatcher.limits()

    async def drain(self, *, deadline: float) -> None:
        """Finishes started chunks, then releases all segments.

        Args:
          deadline: When to stop waiting for chunks, on trio's clock.
        """
        self.state.draining = True
        for segment in self.state.held:
            segment.draining = True
        self.state.wake.set()
        while trio.current_time() < deadline and self._busy():
            await trio.sleep(_DRAIN_POLL_S)
        self._dispatcher.stop()
        with trio.move_on_after(_RELEASE_TIMEOUT_S):
            for segment in list(self.state.held):
                with contextlib.suppress(PlatformUnavailableError, AnswerLostError):
                    await self.state.store.segments.release(segment.held)
        self.state.held.clear()

    def _busy(self) -> bool:
        return (
            bool(self._dispatcher.running_segments())
            or self.state.uncommitted_chunks > 0
        )

    def _start_commit(self, segment: SegmentWork, chunk: int) -> None:
        assert self._nursery is not None
        self.state.uncommitted_chunks += 1
        self._nursery.start_soon(self._committer.commit, segment, chunk)

    async def _check_held_forever(self) -> None:
        while True:
            await trio.sleep(
                self.state.check_interval_s() * self.state.rng.uniform(0.75, 1.0)
            )
            if not self.state.held:
                continue
            with contextlib.suppress(PlatformUnavailableError, AnswerLostError):
                await self._check_held()

    async def _check_held(self) -> None:
        """Responds to a challenge, and stops work on segments no longer held."""
        by_held = {id(work.held): work for work in self.state.held}
        version, lost = await self.state.store.segments.check_held(
            self.state.instance, [work.held for work in self.state.held]
        )
        if version:
            await self.state.store.segments.respond_to_challenge(
                self.state.instance, version
            )
            _log.info("Responded to a liveness challenge.")
        for held in lost:
            work = by_held[id(held)]
            if not work.lost and work in self.state.held:
                self._committer.stop_work(work, "taken over, or the job has ended")
