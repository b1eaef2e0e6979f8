"""Logs and counts the jobs that are forecast to miss their due time."""

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
    """Forecasts the lateness of the jobs assigned to this instance."""

    def __init__(self, state: BatchState) -> None:
        self.state = state
        self._late: set[JobId] = set()
        self._monitored: list[OpenJob] = []

    def select_jobs(self, jobs: Sequence[OpenJob]) -> None:
        """Selects the jobs to monitor from all open jobs."""
        monitored = [
            j
            for j in jobs
            if j.row.due_at and self.state.fleet.monitors_due_time(j.row.job)
        ]
        self._late &= {job.row.job for job in monitored}
        self._monitored = monitored

    async def run(self) -> None:
        """Forecasts the monitored jobs at each poll interval, until cancelled."""
        while True:
            await trio.sleep(self.state.settings.poll_s)
            with contextlib.suppress(PlatformUnavailableError):
                await self._forecast(self._monitored)

    async def _forecast(self, jobs: Sequence[OpenJob]) -> None:
        for job in jobs:
            progress = await self.state.store.reader.progress(job.row)
            expected = forecast(job.row, progress, now=self.state.clock())
            if expected.late and job.row.job not in self._late:
                self._late.add(job.row.job)
                _log.warning(
                    "Job will be late.",
                    job=job.row.job,
                    tenant=job.row.tenant,
                    due_at=job.row.due_at,
                    ends_at=expected.ends_at,
                )
            elif not expected.late:
                self._late.discard(job.row.job)
        self.state.metrics.late_jobs.set({}, len(self._late))
