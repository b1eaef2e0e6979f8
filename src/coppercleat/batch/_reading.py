"""Reads jobs, their segments and their results from platform storage."""

from __future__ import annotations

import msgspec

from coppercleat.batch._items import ItemResult
from coppercleat.batch._jobs import JobState
from coppercleat.batch._rows import (
    OPEN_PREFIX,
    JobRow,
    SegmentRow,
    job_key,
    segment_key,
    segment_prefix,
)
from coppercleat.errors import NotFoundError
from coppercleat.ids import JobId
from coppercleat.storage import Platform, decode_row

_PAGE_ROWS = 1000


class Progress(msgspec.Struct, frozen=True, kw_only=True):
    """Progress of a job.

    Attributes:
      items_completed: Number of items with committed results.
      items_claimed: Number of items in all segments ever claimed.
      segments_done: Number of segments with all chunks committed.
      unclaimed: Indices of segments never claimed.
      held: Rows of claimed segments that are not done, by index.
    """

    items_completed: int
    items_claimed: int
    segments_done: int
    unclaimed: list[int]
    held: dict[int, SegmentRow]


class JobReader:
    """Read-only access to jobs."""

    def __init__(self, platform: Platform) -> None:
        self.platform = platform

    async def get(self, job: JobId) -> tuple[JobRow, int]:
        """Returns a job's row and its storage version.

        Raises:
          NotFoundError: The job does not exist.
        """
        key = job_key(job)
        row = (await self.platform.read([key])).get(key)
        if row is None:
            raise NotFoundError(f"There is no job {job}")
        return decode_row(row, JobRow), row.version

    async def list_open(self, *, limit: int = _PAGE_ROWS) -> list[tuple[JobRow, int]]:
        """Returns the rows of open jobs and their storage versions."""
        found = await self.platform.scan(OPEN_PREFIX, limit=limit)
        keys = [job_key(JobId(key.removeprefix(OPEN_PREFIX))) for key, _ in found]
        if not keys:
            return []
        rows = await self.platform.read(keys)
        jobs = [(decode_row(row, JobRow), row.version) for row in rows.values()]
        return [(row, version) for row, version in jobs if row.state is JobState.OPEN]

    async def list_page(
        self, *, after: str = "", limit: int = 100
    ) -> tuple[list[JobRow], str]:
        """Returns a page of all jobs, and the token of the next page or ``""``."""
        prefix = "job/"
        found = await self.platform.scan(
            prefix, after=prefix + after if after else "", limit=limit
        )
        jobs = [decode_row(row, JobRow) for _, row in found]
        more = len(found) == limit
        return jobs, found[-1][0].removeprefix(prefix) if more else ""

    async def segments(self, job: JobRow) -> dict[int, tuple[SegmentRow, int]]:
        """Returns the rows and storage versions of all segments ever claimed."""
        prefix = segment_prefix(job.job)
        rows: dict[int, tuple[SegmentRow, int]] = {}
        after = ""
        while True:
            found = await self.platform.scan(prefix, after=after, limit=_PAGE_ROWS)
            for key, row in found:
                number = int(key.removeprefix(prefix))
                rows[number] = (decode_row(row, SegmentRow), row.version)
            if len(found) < _PAGE_ROWS:
                return rows
            after = found[-1][0]

    async def progress(self, job: JobRow) -> Progress:
        """Returns the progress of a job."""
        rows = await self.segments(job)
        division = job.division
        completed = sum(
            len(division.chunk_range(number, chunk))
            for number, (row, _) in rows.items()
            for chunk, name in enumerate(row.results)
            if name
        )
        return Progress(
            items_completed=completed,
            items_claimed=sum(len(division.segment_range(n)) for n in rows),
            segments_done=sum(row.done for row, _ in rows.values()),
            unclaimed=[n for n in range(division.segments) if n not in rows],
            held={n: row for n, (row, _) in rows.items() if not row.done},
        )

    async def read_results(
        self, job: JobRow, segment: int, chunk: int
    ) -> list[ItemResult] | None:
        """Returns a chunk's results in item order, or None until it is committed.

        Raises:
          NotFoundError: The result object was deleted.
        """
        key = segment_key(job.job, segment)
        row = (await self.platform.read([key])).get(key)
        if row is None:
            return None
        name = decode_row(row, SegmentRow).results[chunk]
        if not name:
            return None
        body = await self.platform.get_object(name)
        if body is None:
            raise NotFoundError(
                f"The results {name} are gone",
                remedy="Results are kept until the job's retention ends.",
            )
        return msgspec.json.decode(body, type=list[ItemResult])
