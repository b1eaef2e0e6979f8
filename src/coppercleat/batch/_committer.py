"""Commits complete chunks, and stops work on segments no longer held."""

from __future__ import annotations

import contextlib
from collections.abc import Callable

import trio

from coppercleat.batch._segment_work import SegmentWork
from coppercleat.batch._segments import CommitOutcome
from coppercleat.batch._state import BatchState
from coppercleat.errors import PlatformUnavailableError
from coppercleat.observability import part_logger
from coppercleat.storage import AnswerLostError

_COMMIT_RETRY_S = 0.5
_COMMIT_RETRY_MAX_S = 5.0

_log = part_logger("batch")


class ChunkCommitter:
    """Commits chunk results to platform storage."""

    def __init__(
        self, state: BatchState, *, stop: Callable[[SegmentWork], None]
    ) -> None:
        """Initializes the committer.

        Args:
          state: Shared batch state of this instance.
          stop: Cancels the running items of a segment.
        """
        self.state = state
        self._stop = stop

    async def commit(self, segment: SegmentWork, chunk: int) -> None:
        """Commits a chunk, retrying with backoff while the segment is held."""
        retry_delay_s = _COMMIT_RETRY_S
        try:
            while not segment.lost:
                try:
                    async with segment.commit_lock:
                        outcome = await self.state.store.segments.commit(
                            segment.held, chunk, segment.results(chunk)
                        )
                except (PlatformUnavailableError, AnswerLostError) as error:
                    _log.warning("Commit failed; retrying.", why=error.message)
                    await trio.sleep(retry_delay_s * self.state.rng.uniform(0.5, 1.0))
                    retry_delay_s = min(_COMMIT_RETRY_MAX_S, 2 * retry_delay_s)
                    continue
                self.state.metrics.commits.inc({"outcome": outcome.name.lower()})
                if outcome is CommitOutcome.DONE:
                    segment.remove_committed(chunk)
                else:
                    self.stop_work(segment, outcome.value)
                break
        finally:
            self.state.uncommitted_chunks -= 1
        if segment.finished:
            await self._finish_segment(segment)

    async def _finish_segment(self, segment: SegmentWork) -> None:
        self.state.remove_segment(segment)
        self.state.poll_requested.set()
        job = segment.held.job.job
        with contextlib.suppress(PlatformUnavailableError, AnswerLostError):
            if await self.state.store.finisher.complete_if_done(job):
                _log.info("Job ended.", job=job)

    def stop_work(self, segment: SegmentWork, why: str) -> None:
        """Stops all work on a segment that is lost or to be released."""
        segment.lost = True
        self.state.remove_segment(segment)
        self._stop(segment)
        _log.info(
            "Stopped work on a segment.",
            job=segment.held.job.job,
            segment=segment.held.segment,
            why=why,
        )
