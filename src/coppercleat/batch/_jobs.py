"""States of a job, and how its items are divided.

A job is divided into segments and a segment into chunks. An instance claims a
segment, runs its items, and commits it chunk by chunk.
"""

from __future__ import annotations

import enum
import math

import msgspec

_SEGMENTS_PER_RUNNER = 4
_MIN_SEGMENT_ITEMS = 64


class JobState(enum.Enum):
    """Where a job stands; only an open one can change."""

    OPEN = "open"
    COMPLETED = "completed"
    CANCELLED = "cancelled"


JOB_TRANSITIONS: dict[JobState, frozenset[JobState]] = {
    JobState.OPEN: frozenset({JobState.COMPLETED, JobState.CANCELLED}),
    JobState.COMPLETED: frozenset(),
    JobState.CANCELLED: frozenset(),
}


def can_transition(state: JobState, target: JobState) -> bool:
    """Returns whether the state table has the transition."""
    return target in JOB_TRANSITIONS[state]


class Division(msgspec.Struct, frozen=True, kw_only=True):
    """How many items, and how many of them go together.

    Attributes:
      items: Items of the job.
      segment_items: Items of each segment but the last.
      chunk_items: Items of each chunk but a segment's last.
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
    """Divides a job so that all runners get work and few writes are needed.

    Args:
      items: Items of the job, at least one.
      upstream_count: Upstreams that can run them.
      chunk_items: Items in a chunk at most.
      segment_chunks: Chunks in a segment at most.
    """
    fair = math.ceil(items / (_SEGMENTS_PER_RUNNER * max(1, upstream_count)))
    segment_items = min(
        max(fair, _MIN_SEGMENT_ITEMS), chunk_items * segment_chunks, items
    )
    chunks = math.ceil(segment_items / chunk_items)
    return Division(
        items=items,
        segment_items=segment_items,
        chunk_items=math.ceil(segment_items / chunks),
    )
