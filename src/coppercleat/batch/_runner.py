"""Puts the parts of the batch path together and runs them."""

from __future__ import annotations

import contextlib

import trio

from coppercleat.batch._claimer import SegmentClaimer
from coppercleat.batch._committer import ChunkCommitter
from coppercleat.batch._dispatcher import ItemDispatcher
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
    """Runs this instance's part of all open jobs.

    Attributes:
      state: What the parts share.
    """

    def __init__(self, state: BatchState) -> None:
        self.state = state
        self._dispatcher = ItemDispatcher(state, on_chunk=self._start_commit)
        self._committer = ChunkCommitter(state, stop=self._dispatcher.stop)
        self._lateness_monitor = LatenessMonitor(state)
        self._claimer = SegmentClaimer(
            state,
            self._dispatcher,
            lose=self._committer.lose,
            on_jobs=self._lateness_monitor.watch,
        )
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Works until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._dispatcher.run)
            nursery.start_soon(self._claimer.run)
            nursery.start_soon(self._lateness_monitor.run)
            nursery.start_soon(self._watch_forever)

    def online_changed(self, upstream: UpstreamId) -> None:
        """Lets go of a runner at once if online requests have come to it."""
        self._dispatcher.online_changed(upstream)

    def poll_now(self) -> None:
        """Looks for work and for cancelled jobs now rather than at the next poll."""
        self.state.poll_requested.set()

    def batch_limits(self) -> dict[UpstreamId, tuple[int, int]]:
        """Returns items running and the limit, for each runner fed."""
        return self._dispatcher.limits()

    async def drain(self, *, deadline: float) -> None:
        """Finishes begun chunks by a deadline, then gives all segments up."""
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

    async def _watch_forever(self) -> None:
        while True:
            await trio.sleep(
                self.state.watch_interval_s() * self.state.rng.uniform(0.75, 1.0)
            )
            if not self.state.held:
                continue
            with contextlib.suppress(PlatformUnavailableError, AnswerLostError):
                await self._watch()

    async def _watch(self) -> None:
        """Notices challenges, take-overs and ended jobs, in one read."""
        by_held = {id(work.held): work for work in self.state.held}
        version, lost = await self.state.store.segments.check_held(
            self.state.instance, [work.held for work in self.state.held]
        )
        if version:
            await self.state.store.segments.answer_challenge(
                self.state.instance, version
            )
            _log.info("Challenge answered.")
        for held in lost:
            work = by_held[id(held)]
            if not work.lost and work in self.state.held:
                self._committer.lose(work, "taken over, or the job has ended")
