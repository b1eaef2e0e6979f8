"""Queued, running and completed items of one held segment."""

from __future__ import annotations

import collections
from collections.abc import Sequence

import attrs
import trio

from coppercleat.batch._items import Item, ItemResult
from coppercleat.batch._segments import HeldSegment
from coppercleat.routing import CircuitBreaker

_MAX_LOST_ATTEMPTS_PER_ITEM = 10


@attrs.define
class _LostAttempt:
    """An attempt without a response.

    Attributes:
      breaker: Circuit breaker of the upstream.
      successes: Count of the upstream's successes at the time of the loss.
    """

    breaker: CircuitBreaker
    successes: int


@attrs.define(kw_only=True, eq=False)
class ItemWork:
    """Progress and failures of one item.

    A lost attempt is attributed to the item only once the upstream has completed
    another request since; otherwise the upstream may be at fault.

    Attributes:
      index: Index of the item in the job.
      generated: Tokens generated so far; the next attempt resumes after them.
      attempts: Number of attempts started.
      refusals: Number of attempts to which the upstream responded with an error.
      lost_attempts: Attempts without a response.
      last_error: Kind and message of the last failed attempt.
    """

    index: int
    item: Item
    generated: list[str] = attrs.field(factory=list)
    attempts: int = 0
    refusals: int = 0
    last_error: tuple[str, str] = ("", "")
    lost_attempts: list[_LostAttempt] = attrs.field(factory=list)

    def record_lost_attempt(
        self, breaker: CircuitBreaker, error: tuple[str, str]
    ) -> None:
        """Records an attempt without a response."""
        self.lost_attempts.append(_LostAttempt(breaker, breaker.successes))
        self.last_error = error

    def record_refusal(self, error: tuple[str, str]) -> None:
        """Records an attempt to which the upstream responded with an error."""
        self.refusals += 1
        self.last_error = error

    def has_failed(self, max_attempts: int) -> bool:
        """Returns whether the item is not attempted again.

        Args:
          max_attempts: Number of failures of the item itself at which it fails.
        """
        attributed = sum(a.breaker.successes > a.successes for a in self.lost_attempts)
        lost = len(self.lost_attempts)
        return (
            self.refusals + attributed >= max_attempts
            or lost >= _MAX_LOST_ATTEMPTS_PER_ITEM
        )


class SegmentWork:
    """Queues a segment's items and collects their results by chunk.

    Attributes:
      held: The claimed segment.
      lost: Whether the segment is no longer held; nothing may be committed.
      draining: Whether only items of started chunks are dispatched.
      commit_lock: Serializes commits, since each changes the row version that the
        next one checks.
    """

    def __init__(self, held: HeldSegment, items: Sequence[Item]) -> None:
        self.held = held
        self.lost = False
        self.draining = False
        self.commit_lock = trio.Lock()
        division = held.job.division
        self._start = division.segment_range(held.segment).start
        self._chunk_items = division.chunk_items
        self._results: dict[int, dict[int, ItemResult]] = {}
        self._queue: collections.deque[ItemWork] = collections.deque()
        self._uncommitted = 0
        for chunk, name in enumerate(held.row.results):
            if name:
                continue
            self._uncommitted += 1
            self._results[chunk] = {}
            for index in division.chunk_range(held.segment, chunk):
                item = items[index - self._start]
                self._queue.append(ItemWork(index=index, item=item))
        self._started_chunks: set[int] = set()

    @property
    def queued_items(self) -> int:
        """Number of items waiting to be dispatched."""
        return len(self._queue)

    @property
    def finished(self) -> bool:
        """Whether every chunk has been committed."""
        return self._uncommitted == 0

    def next_item(self) -> ItemWork | None:
        """Dequeues the next item to run; None if there is none."""
        if self.lost or not self._queue:
            return None
        chunk = self.chunk_of(self._queue[0])
        if self.draining and chunk not in self._started_chunks:
            return None
        self._started_chunks.add(chunk)
        return self._queue.popleft()

    def requeue(self, work: ItemWork) -> None:
        """Queues an item again: last if any of its attempts failed, else first."""
        if work.refusals or work.lost_attempts:
            self._queue.append(work)
        else:
            self._queue.appendleft(work)

    def record_result(self, work: ItemWork, result: ItemResult) -> int | None:
        """Stores a result; returns the chunk if this completes it."""
        chunk = self.chunk_of(work)
        results = self._results[chunk]
        results[work.index] = result
        division = self.held.job.division
        whole = len(division.chunk_range(self.held.segment, chunk))
        return chunk if len(results) == whole else None

    def chunk_of(self, work: ItemWork) -> int:
        """Returns the chunk of an item."""
        return (work.index - self._start) // self._chunk_items

    def results(self, chunk: int) -> list[ItemResult]:
        """Returns a complete chunk's results in item order."""
        found = self._results[chunk]
        return [found[index] for index in sorted(found)]

    def remove_committed(self, chunk: int) -> None:
        """Discards the results of a committed chunk."""
        del self._results[chunk]
        self._uncommitted -= 1
