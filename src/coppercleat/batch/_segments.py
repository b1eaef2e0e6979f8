"""Claims segments and commits their chunks.

A claim writes the segment's row, and a commit requires that neither that row nor
the job's has changed since (optimistic concurrency control). An instance that was
paused, partitioned or replaced therefore cannot commit after a takeover.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Sequence

import attrs
import msgspec

from coppercleat.batch._items import Item, ItemResult
from coppercleat.batch._jobs import JobState
from coppercleat.batch._rows import (
    ITEMS_PER_INPUT_OBJECT,
    NO_HOLDER,
    ChallengeRow,
    JobRow,
    SegmentRow,
    challenge_key,
    input_object_name,
    job_key,
    result_object_name,
    segment_key,
)
from coppercleat.errors import NotFoundError, PlatformUnavailableError
from coppercleat.ids import InstanceId, random_token
from coppercleat.observability import part_logger
from coppercleat.storage import (
    ABSENT,
    AnswerLostError,
    Check,
    Platform,
    Put,
    Row,
    Transaction,
    TransactionRefused,
    decode_row,
)

_MAX_TRANSACTION_ATTEMPTS = 4
"""Transactions whose answers may be lost before the caller is told so."""

_log = part_logger("batch")


@attrs.define(kw_only=True, eq=False)
class HeldSegment:
    """A segment that this instance has claimed.

    Attributes:
      job: The job's row as read before the claim.
      job_version: Storage version of the job's row; a commit requires it unchanged.
      segment: Index of the segment in the job.
      row: The segment's row as last written.
      version: Storage version of ``row``; a commit requires it unchanged.
    """

    job: JobRow
    job_version: int
    segment: int
    row: SegmentRow
    version: int


class ClaimRefusal(enum.Enum):
    """Why a segment was not claimed."""

    TAKEN = "another instance claimed it first"
    DONE = "all its chunks are done"
    JOB_ENDED = "the job has ended"


class CommitOutcome(enum.Enum):
    """Outcome of committing a chunk."""

    DONE = "the chunk's results are readable"
    TAKEN_OVER = "another instance holds the segment"
    JOB_ENDED = "the job has ended"


class SegmentStore:
    """Claims, commits and releases segments."""

    def __init__(self, platform: Platform, *, rng: random.Random) -> None:
        """Initializes the store.

        Args:
          platform: Storage of rows and objects.
          rng: Source of the random tokens in names of result objects.
        """
        self.platform = platform
        self._rng = rng

    async def claim(
        self,
        job: JobRow,
        job_version: int,
        segment: int,
        *,
        instance: InstanceId,
        incarnation: int,
        known: tuple[SegmentRow, int] | None,
        challenge: Check | None = None,
    ) -> HeldSegment | ClaimRefusal:
        """Claims a free segment, or takes it over from another holder.

        Args:
          job: The job.
          job_version: Storage version of the job's row.
          segment: Index of the segment.
          instance: The claiming instance.
          incarnation: Incarnation of that instance.
          known: The segment's row and version as read; None if it has no row.
          challenge: Further condition of the claim: the previous holder's
            challenge row is unchanged.

        Returns:
          The claimed segment, or why it was not claimed.
        """
        if job.state is not JobState.OPEN:
            return ClaimRefusal.JOB_ENDED
        if known is not None and known[0].done:
            return ClaimRefusal.DONE
        chunks = job.division.chunks(segment)
        results = known[0].results if known else ("",) * chunks
        row = SegmentRow(holder=instance, incarnation=incarnation, results=results)
        key = segment_key(job.job, segment)
        checks = [
            Check(key, known[1] if known else ABSENT),
            Check(job_key(job.job), job_version),
        ]
        if challenge is not None:
            checks.append(challenge)
        try:
            result = await self.platform.transact(
                Transaction(checks=checks, puts=[Put(key, msgspec.json.encode(row))])
            )
        except AnswerLostError:
            return await self._verify_claim(job, job_version, segment, row, known)
        if isinstance(result, TransactionRefused):
            ended = job_key(job.job) in result.reason
            return ClaimRefusal.JOB_ENDED if ended else ClaimRefusal.TAKEN
        return HeldSegment(
            job=job,
            job_version=job_version,
            segment=segment,
            row=row,
            version=result[key],
        )

    async def _verify_claim(
        self,
        job: JobRow,
        job_version: int,
        segment: int,
        row: SegmentRow,
        known: tuple[SegmentRow, int] | None,
    ) -> HeldSegment | ClaimRefusal:
        """Reads the row back to learn whether a claim without a response succeeded."""
        key = segment_key(job.job, segment)
        found = (await self.platform.read([key])).get(key)
        if found is None or decode_row(found, SegmentRow) != row:
            return ClaimRefusal.TAKEN
        if known is not None and found.version == known[1]:
            return ClaimRefusal.TAKEN
        return HeldSegment(
            job=job,
            job_version=job_version,
            segment=segment,
            row=row,
            version=found.version,
        )

    async def read_items(self, held: HeldSegment) -> list[Item]:
        """Returns the items of a held segment, in order.

        Raises:
          NotFoundError: An input object does not exist.
        """
        indices = held.job.division.segment_range(held.segment)
        first = indices.start // ITEMS_PER_INPUT_OBJECT
        last = (indices.stop - 1) // ITEMS_PER_INPUT_OBJECT
        items: list[Item] = []
        for part in range(first, last + 1):
            name = input_object_name(held.job.job, part)
            body = await self.platform.get_object(name)
            if body is None:
                raise NotFoundError(f"The input object {name} does not exist")
            items += msgspec.json.decode(body, type=list[Item])
        offset = first * ITEMS_PER_INPUT_OBJECT
        return items[indices.start - offset : indices.stop - offset]

    async def commit(
        self, held: HeldSegment, chunk: int, results: Sequence[ItemResult]
    ) -> CommitOutcome:
        """Makes a chunk's results readable, if the segment is still held.

        On success ``held`` is updated. On an error it is unchanged, and the call
        may be repeated.

        Raises:
          PlatformUnavailableError: Nothing was committed.
          AnswerLostError: The outcome is unknown.
        """
        name = result_object_name(
            held.job.job, held.segment, chunk, random_token(self._rng)
        )
        await self.platform.put_object(name, msgspec.json.encode(results))
        outcome = await self._write_result_pointer(held, chunk, name)
        if outcome is not CommitOutcome.DONE:
            await self._delete_orphan(name)
        return outcome

    async def _write_result_pointer(
        self, held: HeldSegment, chunk: int, name: str
    ) -> CommitOutcome:
        results = list(held.row.results)
        results[chunk] = name
        row = msgspec.structs.replace(held.row, results=tuple(results))
        key = segment_key(held.job.job, held.segment)
        transaction = Transaction(
            checks=[
                Check(key, held.version),
                Check(job_key(held.job.job), held.job_version),
            ],
            puts=[Put(key, msgspec.json.encode(row))],
        )
        for _ in range(_MAX_TRANSACTION_ATTEMPTS):
            try:
                result = await self.platform.transact(transaction)
            except AnswerLostError:
                result = None
            if isinstance(result, dict):
                held.row, held.version = row, result[key]
                return CommitOutcome.DONE
            verified = await self._verify_commit(held, row, chunk)
            if verified is not None:
                return verified
        raise AnswerLostError("The outcome of the chunk's commit is unknown")

    async def _verify_commit(
        self, held: HeldSegment, row: SegmentRow, chunk: int
    ) -> CommitOutcome | None:
        """Reads the rows back to learn the outcome of a commit.

        Only the chunk's result pointer shows whether the commit took effect,
        because a takeover keeps the pointers. A row older than ``held`` is a stale
        read.

        Returns:
          The outcome, or None if the commit may be retried.
        """
        key = segment_key(held.job.job, held.segment)
        rows = await self.platform.read([key, job_key(held.job.job)])
        found, job = rows.get(key), rows.get(job_key(held.job.job))
        if found is None or job is None or found.version < held.version:
            return None
        current = decode_row(found, SegmentRow)
        same_holder = _holder_identity(current) == _holder_identity(held.row)
        if current.results[chunk] == row.results[chunk]:
            held.row = row
            if same_holder:
                held.row, held.version = current, found.version
            return CommitOutcome.DONE
        if decode_row(job, JobRow).state is not JobState.OPEN:
            return CommitOutcome.JOB_ENDED
        return CommitOutcome.TAKEN_OVER if found.version != held.version else None

    async def _delete_orphan(self, name: str) -> None:
        try:
            await self.platform.delete_object(name)
        except (PlatformUnavailableError, AnswerLostError) as error:
            _log.info(
                "Orphaned result object could not be deleted.",
                object=name,
                reason=str(error),
            )

    async def release(self, held: HeldSegment) -> None:
        """Releases a segment, so that another instance can claim it at once."""
        row = SegmentRow(holder=NO_HOLDER, incarnation=0, results=held.row.results)
        key = segment_key(held.job.job, held.segment)
        await self.platform.transact(
            Transaction(
                checks=[Check(key, held.version)],
                puts=[Put(key, msgspec.json.encode(row))],
            )
        )

    async def challenge(self, holder: InstanceId, challenger: InstanceId) -> None:
        """Writes a liveness challenge to a holder, unless one is pending."""
        key = challenge_key(holder)
        await self.platform.transact(
            Transaction(
                checks=[Check(key, ABSENT)],
                puts=[Put(key, msgspec.json.encode(ChallengeRow(challenger)))],
            )
        )

    async def challenge_version(self, holder: InstanceId) -> int:
        """Returns the storage version of a holder's challenge row, 0 if it has none."""
        key = challenge_key(holder)
        row = (await self.platform.read([key])).get(key)
        return row.version if row else ABSENT

    async def respond_to_challenge(self, instance: InstanceId, version: int) -> None:
        """Deletes the challenge row, if it still has this version."""
        key = challenge_key(instance)
        await self.platform.transact(
            Transaction(checks=[Check(key, version)], deletes=[key])
        )

    async def check_held(
        self, instance: InstanceId, held: Sequence[HeldSegment]
    ) -> tuple[int, list[HeldSegment]]:
        """Checks, with one read, for a challenge and for segments no longer held.

        Returns:
          The version of the challenge to this instance, 0 for none; and those
          segments that were taken over or whose job has ended.
        """
        own = challenge_key(instance)
        keys = {own}
        for segment in held:
            keys.add(job_key(segment.job.job))
            keys.add(segment_key(segment.job.job, segment.segment))
        rows = await self.platform.read(sorted(keys))
        lost = [segment for segment in held if not _still_held(segment, rows)]
        return rows[own].version if own in rows else ABSENT, lost


def _still_held(held: HeldSegment, rows: dict[str, Row]) -> bool:
    """Compares holders, not versions: a concurrent commit changes the version."""
    job = rows.get(job_key(held.job.job))
    segment = rows.get(segment_key(held.job.job, held.segment))
    if job is None or segment is None or job.version != held.job_version:
        return False
    return _holder_identity(decode_row(segment, SegmentRow)) == _holder_identity(
        held.row
    )


def _holder_identity(row: SegmentRow) -> tuple[InstanceId, int]:
    return row.holder, row.incarnation
