"""All jobs as this instance knows them, from the changes that the platform shows."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import trio

from coppercleat.ids import JobId
from coppercleat.jobs._records import JOB_SPACE, JobRow, job_key
from coppercleat.jobs._repository import StoredJob
from coppercleat.observability import part_logger
from coppercleat.storage import HistoryLostError, Platform, Row, decode_row

FULL_READ_INTERVAL_S = 6.0
"""How often all jobs are read whole, beside their changes: the store may leave changes
out for a moment before it drops its history, and a job that nobody knows is not run."""

_log = part_logger("jobs")


class JobIndex:
    """Follows the rows of jobs.

    Attributes:
      stored: By job id.
      loaded: Whether all jobs have been read once.
      fresh_at: When the index was last as new as the platform, in trio's time.
      on_change: Told of each job that has changed.
    """

    def __init__(self, platform: Platform) -> None:
        self.platform = platform
        self.stored: dict[JobId, StoredJob] = {}
        self.loaded = False
        self.fresh_at = float("-inf")
        self.on_change: Callable[[StoredJob], None] = lambda stored: None
        self._invalid_rows: dict[str, int] = {}
        self._version = 0
        self._next_full_read_at = float("-inf")

    def __iter__(self) -> Iterator[StoredJob]:
        return iter(list(self.stored.values()))

    def get(self, job: JobId) -> StoredJob | None:
        """Returns a job, None if it is not known here (yet)."""
        return self.stored.get(job)

    def observe(self, stored: StoredJob) -> None:
        """Takes a job as just read or written here, if it is newer."""
        known = self.stored.get(stored.row.job)
        if known is None or known.version < stored.version:
            self.stored[stored.row.job] = stored
            self.on_change(stored)

    def finished_tokens(self, host: str, prefix: str) -> int:
        """Returns tokens of listed and ended items of a host and route prefix."""
        return sum(
            sum(stored.row.tokens) - stored.row.waiting_tokens
            for stored in self.stored.values()
            if stored.row.host == host and stored.row.path.startswith(prefix)
        )

    async def refresh(self) -> None:
        """Reads what has changed, or everything if the changes are lost."""
        began = trio.current_time()
        try:
            if began >= self._next_full_read_at:
                await self._read_all()
            changes = await self.platform.changes(JOB_SPACE, after=self._version)
        except HistoryLostError:
            _log.info("Changes were lost, jobs are read anew.", after=self._version)
            await self._read_all()
            changes = await self.platform.changes(JOB_SPACE, after=self._version)
        for changed in changes.rows:
            if changed.row is None:
                self.stored.pop(JobId(changed.key.removeprefix(f"{JOB_SPACE}/")), None)
                self._invalid_rows.pop(changed.key, None)
            else:
                self._apply_row(changed.key, changed.row)
        self._version = max(self._version, changes.version)
        self.fresh_at = began

    async def _read_all(self) -> None:
        # The version is read first: what changes meanwhile is shown again. It is taken
        # last: what a reading that breaks off has not seen must be shown as well.
        newest = await self.platform.newest_version()
        for part in await self.platform.parts(JOB_SPACE):
            prefix, after = f"{JOB_SPACE}/", ""
            while True:
                rows = await self.platform.scan(prefix, after=after, part=part)
                for key, row in rows:
                    self._apply_row(key, row)
                if not rows:
                    break
                after = rows[-1][0]
        self._version = newest
        self.loaded = True
        self._next_full_read_at = trio.current_time() + FULL_READ_INTERVAL_S

    def _apply_row(self, key: str, row: Row) -> None:
        try:
            job = decode_row(row, JobRow)
            if key != job_key(job.job):
                raise ValueError(f"It is the row of {job.job!r}")
            self.observe(StoredJob(job, row.version))
        except Exception as error:  # noqa: BLE001 - one bad row must not hide the rest
            if self._invalid_rows.get(key) == row.version:
                return
            self._invalid_rows[key] = row.version
            _log.error("A job's row does not fit.", key=key, reason=str(error))
