"""Watches over due times, and says early which jobs will be late."""

from __future__ import annotations

import contextlib
from collections.abc import Sequence

import trio

from coppercleat.batch._claim_scheduler import OpenJob
from coppercleat.batch._forecast import forecast
from coppercleat.batch._state import BatchState
from coppercleat.errors import PlatformUnavailableError
from coppercleat.ids import JobId
from coppercleat.observability import part_logger

_log = part_logger("batch")


class LatenessMonitor:
    """The late jobs among those that this instance is the steward of."""

    def __init__(self, state: BatchState) -> None:
        self.state = state
        self._late: set[JobId] = set()
        self._watched: list[OpenJob] = []

    def watch(self, jobs: Sequence[OpenJob]) -> None:
        """Takes all open jobs; keeps those that fall to this instance."""
        watched = [
            j
            for j in jobs
            if j.row.due_at and self.state.fleet.monitors_due_time(j.row.job)
        ]
        self._late &= {job.row.job for job in watched}
        self._watched = watched

    async def run(self) -> None:
        """Forecasts the jobs last watched, again and again."""
        while True:
            await trio.sleep(self.state.settings.poll_s)
            with contextlib.suppress(PlatformUnavailableError):
                await self._forecast(self._watched)

    async def _forecast(self, jobs: Sequence[OpenJob]) -> None:
        for job in jobs:
            progress = await self.state.store.reader.progress(job.row)
            seen = forecast(job.row, progress, now=self.state.clock())
            if seen.late and job.row.job not in self._late:
                self._late.add(job.row.job)
                _log.warning(
                    "Job will be late.",
                    job=job.row.job,
                    tenant=job.row.tenant,
                    due_at=job.row.due_at,
                    ends_at=seen.ends_at,
                )
            elif not seen.late:
                self._late.discard(job.row.job)
        self.state.metrics.late_jobs.set({}, len(self._late))
