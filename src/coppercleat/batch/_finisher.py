"""Completes and cancels jobs, and deletes their orphaned result objects."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from coppercleat.batch._jobs import JobState, can_transition
from coppercleat.batch._reading import JobReader
from coppercleat.batch._rows import JobRow, job_key, open_key, result_prefix
from coppercleat.errors import JobEndedError
from coppercleat.ids import JobId
from coppercleat.storage import (
    AnswerLostError,
    Check,
    Platform,
    Put,
    Transaction,
    TransactionRefused,
)

_MAX_TRANSACTION_ATTEMPTS = 4
"""Transactions whose answers may be lost before the caller is told so."""


class JobFinisher:
    """Moves jobs to their final state, completed or cancelled."""

    def __init__(
        self,
        platform: Platform,
        reader: JobReader,
        *,
        clock: Callable[[], float],
    ) -> None:
        """Initializes the finisher.

        Args:
          platform: Storage of rows and objects.
          reader: Reads jobs.
          clock: Returns Unix time in seconds.
        """
        self.platform = platform
        self._reader = reader
        self._clock = clock

    async def complete_if_done(self, job: JobId) -> bool:
        """Completes a job whose segments are all done; returns whether it has ended."""
        row, version = await self._reader.get(job)
        if row.state is not JobState.OPEN:
            return True
        rows = await self._reader.segments(row)
        if len(rows) < row.division.segments:
            return False
        if not all(segment.done for segment, _ in rows.values()):
            return False
        return await self._end(row, version, JobState.COMPLETED) is not None

    async def cancel(self, job: JobId) -> JobRow:
        """Cancels a job; after this returns, no further result is committed.

        Raises:
          JobEndedError: The job has completed.
          AnswerLostError: The outcome is unknown; cancel again.
        """
        for _ in range(_MAX_TRANSACTION_ATTEMPTS):
            row, version = await self._reader.get(job)
            if row.state is JobState.CANCELLED:
                return row
            if not can_transition(row.state, JobState.CANCELLED):
                raise JobEndedError(f"The job {job} is {row.state.value}")
            ended = await self._end(row, version, JobState.CANCELLED)
            if ended is not None:
                return ended
        raise AnswerLostError("The platform did not say whether the job was cancelled")

    async def _end(self, row: JobRow, version: int, state: JobState) -> JobRow | None:
        """Ends a job; None after a concurrent change or a lost response."""
        ended = msgspec.structs.replace(row, state=state, finished_at=self._clock())
        key = job_key(row.job)
        try:
            result = await self.platform.transact(
                Transaction(
                    checks=[Check(key, version)],
                    puts=[Put(key, msgspec.json.encode(ended))],
                    deletes=[open_key(row.job)],
                )
            )
        except AnswerLostError:
            return None
        return None if isinstance(result, TransactionRefused) else ended

    async def collect(self, job: JobRow) -> int:
        """Deletes unreferenced result objects of an ended job; returns how many.

        In an open job, a commit stores the object before the row refers to it.
        """
        pointed = {
            name
            for row, _ in (await self._reader.segments(job)).values()
            for name in row.results
        }
        orphans = [
            name
            for name in await self.platform.list_objects(result_prefix(job.job))
            if name not in pointed
        ]
        for name in orphans:
            await self.platform.delete_object(name)
        return len(orphans)
