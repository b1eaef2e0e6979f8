"""Forecasts when a job ends and whether it will be late."""

from __future__ import annotations

import msgspec

from coppercleat.batch._jobs import JobState
from coppercleat.batch._reading import Progress
from coppercleat.batch._rows import JobRow


class Forecast(msgspec.Struct, frozen=True, kw_only=True):
    """When a job will end, in Unix seconds; 0 if unknown."""

    ends_at: float
    late: bool


def forecast(job: JobRow, progress: Progress, *, now: float) -> Forecast:
    """Extrapolates the mean completion rate since the job was accepted.

    Before the first completed item, the forecast counts all claimed items as
    completed, which is the best case.

    Args:
      job: The job.
      progress: The job's progress.
      now: Unix time in seconds.
    """
    if job.state is not JobState.OPEN:
        late = bool(job.due_at) and job.finished_at > job.due_at
        return Forecast(ends_at=job.finished_at, late=late)
    elapsed = max(1e-3, now - job.accepted_at)
    ends_at = 0.0
    counted = progress.items_completed or progress.items_claimed
    if counted:
        remaining = job.division.items - counted
        ends_at = now + remaining * elapsed / counted
    late = bool(job.due_at) and max(now, ends_at) > job.due_at
    return Forecast(ends_at=ends_at, late=late)
