"""Forecasts when a job ends, and says early that it will be late."""

from __future__ import annotations

import msgspec

from coppercleat.batch._jobs import JobState
from coppercleat.batch._rows import JobRow


class Forecast(msgspec.Struct, frozen=True, kw_only=True):
    """When a job will end; Unix seconds, 0 while nothing is known."""

    ends_at: float
    late: bool


def forecast(job: JobRow, items_completed: int, *, now: float) -> Forecast:
    """Forecasts from the mean rate since the job was accepted.

    Args:
      job: The job.
      items_completed: Items whose results are readable.
      now: Unix time in seconds.
    """
    if job.state is not JobState.OPEN:
        late = bool(job.due_at) and job.finished_at > job.due_at
        return Forecast(ends_at=job.finished_at, late=late)
    elapsed = max(1e-3, now - job.accepted_at)
    ends_at = 0.0
    if items_completed:
        remaining = job.division.items - items_completed
        ends_at = now + remaining * elapsed / items_completed
    late = bool(job.due_at) and max(now, ends_at) > job.due_at
    return Forecast(ends_at=ends_at, late=late)
