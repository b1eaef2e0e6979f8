"""In-memory index of all jobs, kept up to date by the store's change feed."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import trio

from coppercleat.ids import NO_ACCOUNT, JobId, JobRef, TenantId
from coppercleat.jobs._records import JOB_SPACE, JobRow, job_key
from coppercleat.jobs._repository import StoredJob
from coppercleat.observability import part_logger
from coppercleat.storage import HistoryLostError, Platform, Row, decode_row

FULL_READ_INTERVAL_S = 6.0
"""Interval of full reads besides the change feed: the store may omit changes shortly
before it drops its history, and a job that no instance knows is not run."""

_log = part_logger("jobs")


class JobIndex:
    """All jobs known to this instance.

    Attributes:
      platform: The store.
      jobs: Jobs by host and id: jobs of two hosts may have one id.
      loaded: Whether all jobs have been read once.
      fresh_at: When the last read that shows all changes before it began, in trio time.
      on_change: Called with each job that is new or has changed.
      on_delete: Called with each deleted job, as last known.
    """

    def __init__(self, platform: Platform) -> None:
        self.platform = platform
        self.jobs: dict[JobRef, StoredJob] = {}
        self.loaded = False
        self.fresh_at = float("-inf")
        self.on_change: Callable[[StoredJob], None] = lambda stored: None
        self.on_delete: Callable[[StoredJob], None] = lambda stored: None
        self._invalid_rows: dict[JobRef, int] = {}
        self._version = 0
        self._next_full_read_at = float("-inf")

    def __iter__(self) -> Iterator[StoredJob]:
        return iter(list(self.jobs.values()))

    def get(self, ref: JobRef) -> StoredJob | None:
        """Returns a job, None if it is not in the index."""
        return self.jobs.get(ref)

    def observe(self, stored: StoredJob) -> None:
        """Updates the index with a job just read or written, if that is newer."""
        known = self.jobs.get(stored.ref)
        if known is None or known.version < stored.version:
            self.jobs[stored.ref] = stored
            self.on_change(stored)

    def finished_tokens(
        self, host: str, prefix: str, account: TenantId = NO_ACCOUNT
    ) -> int:
        """Returns the tokens of an account's listed and cancelled items of a route."""
        return sum(
            sum(stored.row.tokens) - stored.row.waiting_tokens
            for stored in self.jobs.values()
            if stored.row.host == host
            and stored.row.account == account
            and stored.row.path.startswith(prefix)
        )

    async def refresh(self) -> None:
        """Reads the changes, or all jobs if a full read is due or changes were lost.

        Raises:
          CoppercleatError: The store could not be read.
        """
        began = trio.current_time()
        try:
            if began >= self._next_full_read_at:
                await self._read_all()
                # The changes are newer than the read of all, which may be slow.
                began = trio.current_time()
            await self._read_changes()
        except HistoryLostError:
            # All jobs are as good as their changes, which may be lost again.
            _log.info("Change history was lost; reading all jobs.", after=self._version)
            began = trio.current_time()
            await self._read_all()
        self.fresh_at = began

    async def _read_changes(self) -> None:
        changes = await self.platform.changes(JOB_SPACE, after=self._version)
        for changed in changes.rows:
            ref = _ref(changed.part, changed.key)
            if changed.row is None:
                self._drop(ref)
            else:
                self._apply_row(ref, changed.row)
        self._version = max(self._version, changes.version)

    async def _read_all(self) -> None:
        # The version is read before the rows, so that the change feed repeats changes
        # made during the scan. It is stored after them, so that a scan that fails does
        # not skip changes.
        newest = await self.platform.newest_version()
        seen: set[JobRef] = set()
        for part in await self.platform.parts(JOB_SPACE):
            prefix, after = f"{JOB_SPACE}/", ""
            while True:
                rows = await self.platform.scan(prefix, after=after, part=part)
                for key, row in rows:
                    ref = _ref(part, key)
                    seen.add(ref)
                    self._apply_row(ref, row)
                if not rows:
                    break
                after = rows[-1][0]
        self._drop_unseen(seen, newest)
        self._version = newest
        self.loaded = True
        self._next_full_read_at = trio.current_time() + FULL_READ_INTERVAL_S

    def _drop(self, ref: JobRef) -> None:
        """Drops a job that was deleted."""
        known = self.jobs.get(ref)
        if known is not None:
            self._delete(known)
        self._invalid_rows.pop(ref, None)

    def _drop_unseen(self, seen: set[JobRef], newest: int) -> None:
        """Drops jobs whose deletion was not shown: a read of all has not shown them.

        Args:
          seen: Jobs that the read has shown.
          newest: Version before the read; later jobs may lie behind it.
        """
        for stored in self:
            if stored.version <= newest and stored.ref not in seen:
                self._delete(stored)
        for ref in set(self._invalid_rows) - seen:
            del self._invalid_rows[ref]

    def _delete(self, stored: StoredJob) -> None:
        del self.jobs[stored.ref]
        self.on_delete(stored)

    def _apply_row(self, ref: JobRef, row: Row) -> None:
        try:
            job = decode_row(row, JobRow)
            if job.ref != ref:
                raise ValueError(f"the row is of job {job.ref}")
            self.observe(StoredJob(job, row.version))
        except Exception as error:  # noqa: BLE001 - one bad row must not hide the rest
            if self._invalid_rows.get(ref) == row.version:
                return
            self._invalid_rows[ref] = row.version
            _log.error(
                "Job row is invalid; ignored.",
                host=ref.host,
                key=job_key(ref.id),
                reason=str(error),
            )


def _ref(part: str, key: str) -> JobRef:
    """Returns the job whose row has a key in a part of the store."""
    return JobRef(part, JobId(key.removeprefix(f"{JOB_SPACE}/")))
