"""States of a job, and its division into segments and chunks.

A segment is the unit of claiming, a chunk the unit of committing results.
"""

from __future__ import annotations

import enum
import math

import msgspec

_SEGMENTS_PER_UPSTREAM = 4
_MIN_SEGMENT_ITEMS = 64


class JobState(enum.Enum):
    """State of a job; only an open job changes state."""

    OPEN = "open"
    COMPLETED = "completed"
    CANCELLED = "cancelled"


JOB_TRANSITIONS: dict[JobState, frozenset[JobState]] = {
    JobState.OPEN: frozenset({JobState.COMPLETED, JobState.CANCELLED}),
    JobState.COMPLETED: frozenset(),
    JobState.CANCELLED: frozenset(),
}


def can_transition(state: JobState, target: JobState) -> bool:
    """Returns whether a job may move from ``state`` to ``target``."""
    return target in JOB_TRANSITIONS[state]


class Division(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes of a job's segments and chunks.

    Attributes:
      items: Number of items of the job.
      segment_items: Number of items in every segment but the last.
      chunk_items: Number of items in every chunk but the last of a segment.
    """

    items: int
    segment_items: int
    chunk_items: int

    @property
    def segments(self) -> int:
        """Number of segments."""
        return math.ceil(self.items / self.segment_items)

    def segment_range(self, segment: int) -> range:
        """Returns the indices of a segment's items."""
        start = segment * self.segment_items
        return range(start, min(self.items, start + self.segment_items))

    def chunks(self, segment: int) -> int:
        """Returns the number of chunks in a segment."""
        return math.ceil(len(self.segment_range(segment)) / self.chunk_items)

    def chunk_range(self, segment: int, chunk: int) -> range:
        """Returns the indices of a chunk's items."""
        whole = self.segment_range(segment)
        start = whole.start + chunk * self.chunk_items
        return range(start, min(whole.stop, start + self.chunk_items))


def divide(
    items: int, *, upstream_count: int, chunk_items: int, segment_chunks: int
) -> Division:
    """Divides a job so that every upstream gets work and commits are few.

    Args:
      items: Number of items of the job, at least one.
      upstream_count: Number of upstreams that can run the items.
      chunk_items: Maximum number of items in a chunk.
      segment_chunks: Maximum number of chunks in a segment.
    """
    fair = math.ceil(items / (_SEGMENTS_PER_UPSTREAM * max(1, upstream_count)))
    segment_items = min(
        max(fair, _MIN_SEGMENT_ITEMS), chunk_items * segment_chunks, items
    )
    chunks = math.ceil(segment_items / chunk_items)
    return Division(
        items=items,
        segment_items=segment_items,
        chunk_items=math.ceil(segment_items / chunks),
    )
