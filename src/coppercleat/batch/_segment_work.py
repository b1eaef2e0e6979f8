"""The items of one held segment: which wait, run and are done."""

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
    """An attempt that was lost on an upstream, which may be to blame itself."""

    breaker: CircuitBreaker
    successes: int


@attrs.define(kw_only=True, eq=False)
class ItemWork:
    """One item on its way to its result.

    A lost attempt is laid to the item only once the upstream has answered
    something else since: an upstream that answers nothing is itself at fault.

    Attributes:
      index: Its place in the job.
      generated: Texts that cancelled runs have made, so that none is lost.
      attempts: Executions started.
      refusals: Attempts that the upstream answered with an error.
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
        """Notes an attempt that ended without an answer."""
        self.lost_attempts.append(_LostAttempt(breaker, breaker.successes))
        self.last_error = error

    def record_refusal(self, error: tuple[str, str]) -> None:
        """Notes an attempt that the upstream answered with an error."""
        self.refusals += 1
        self.last_error = error

    def has_failed(self, max_attempts: int) -> bool:
        """Whether the item has failed for good.

        Args:
          max_attempts: Failures that may be laid to the item.
        """
        attributed = sum(s.breaker.successes > s.successes for s in self.lost_attempts)
        lost = len(self.lost_attempts)
        return (
            self.refusals + attributed >= max_attempts
            or lost >= _MAX_LOST_ATTEMPTS_PER_ITEM
        )


class SegmentWork:
    """Hands out a segment's items and gathers the results chunk by chunk.

    Attributes:
      held: The claim.
      lost: Whether the claim is gone; nothing may be committed.
      draining: Whether only chunks already begun are handed out.
      commit_lock: Held while a chunk is committed, for each commit changes
        the row that the next one checks.
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
    def waiting(self) -> int:
        """Items not running and without a result."""
        return len(self._queue)

    @property
    def finished(self) -> bool:
        """Whether every chunk has been committed."""
        return self._uncommitted == 0

    def next_item(self) -> ItemWork | None:
        """Returns the next item to run, or None."""
        if self.lost or not self._queue:
            return None
        chunk = self.chunk_of(self._queue[0])
        if self.draining and chunk not in self._started_chunks:
            return None
        self._started_chunks.add(chunk)
        return self._queue.popleft()

    def requeue(self, work: ItemWork) -> None:
        """Returns an item that was taken and has no result.

        It goes first, unless it failed: then it holds up none of the others.
        """
        if work.refusals or work.lost_attempts:
            self._queue.append(work)
        else:
            self._queue.appendleft(work)

    def record_result(self, work: ItemWork, result: ItemResult) -> int | None:
        """Records a result; returns the chunk if that completes it."""
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
        """Forgets a chunk's results, which are now readable."""
        del self._results[chunk]
        self._uncommitted -= 1
