"""Jobs as the platform keeps them: accept, claim, commit, cancel, read.

Safety rests on one rule: whoever claims a segment writes its row, and a commit
succeeds only if neither that row nor the job's has changed since. A holder
that was paused, cut off or replaced can therefore commit nothing, whatever it
believes.
"""

from __future__ import annotations

import enum
import random
from collections.abc import AsyncIterator, Callable, Sequence

import attrs
import msgspec
import xxhash

from coppercleat.batch._items import Item, ItemResult
from coppercleat.batch._jobs import JobState, divide, may_become
from coppercleat.batch._rows import (
    INPUT_OBJECT_ITEMS,
    NOBODY,
    OPEN_PREFIX,
    ChallengeRow,
    JobRow,
    KeyRow,
    SegmentRow,
    challenge_key,
    input_object,
    job_key,
    open_key,
    result_object,
    result_prefix,
    segment_key,
    segment_prefix,
    submitter_key,
)
from coppercleat.errors import (
    ConflictError,
    InvalidRequestError,
    JobEndedError,
    NotFoundError,
    PlatformUnavailableError,
)
from coppercleat.ids import (
    DeploymentId,
    InstanceId,
    JobId,
    TenantId,
    random_token,
)
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

_PAGE = 1000
_ATTEMPTS = 4


class Submission(msgspec.Struct, frozen=True, kw_only=True):
    """What a submitter asks; ``due_at`` is Unix seconds, 0 for none."""

    tenant: TenantId
    deployment: DeploymentId
    job_key: str
    due_at: float
    max_tokens: int


class Submitted(msgspec.Struct, frozen=True):
    """An accepted job, and whether it had been accepted before."""

    row: JobRow
    resent: bool


@attrs.define(kw_only=True, eq=False)
class HeldSegment:
    """A segment that this instance has claimed.

    Attributes:
      row: The segment's row as last written.
      version: Its version; a commit requires it unchanged.
      job_version: The version of the job's row, likewise.
    """

    job: JobRow
    job_version: int
    segment: int
    row: SegmentRow
    version: int


class Claimed(enum.Enum):
    """Sentinels: why a segment was not claimed."""

    TAKEN = "another instance claimed it first"
    DONE = "all its chunks are done"
    JOB_ENDED = "the job has ended"


class Commit(enum.Enum):
    """How the commit of a chunk ended."""

    DONE = "the chunk's results are readable"
    TAKEN_OVER = "another instance holds the segment"
    JOB_ENDED = "the job has ended"


class Progress(msgspec.Struct, frozen=True, kw_only=True):
    """How far a job has come.

    Attributes:
      items_completed: Items whose results are readable.
      items_claimed: Items of all segments claimed, those completed included.
    """

    items_completed: int
    items_claimed: int
    segments_done: int
    unclaimed: list[int]
    held: dict[int, SegmentRow]


@attrs.define
class _StoredInput:
    """How much of a submission's input has been stored."""

    items: int = 0
    parts: int = 0
    digest: xxhash.xxh3_128 = attrs.field(factory=xxhash.xxh3_128)


class JobStore:
    """Reads and writes jobs through the platform.

    Raises ``PlatformUnavailableError`` from every method when the platform is away.
    """

    def __init__(
        self,
        platform: Platform,
        *,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Prepares the store.

        Args:
          platform: Where rows and objects are.
          clock: Gives Unix time in seconds.
          rng: Source of ids.
        """
        self.platform = platform
        self._clock = clock
        self._rng = rng

    # Accepting.

    async def submit(
        self,
        submission: Submission,
        items: AsyncIterator[list[Item]],
        *,
        runners: int,
        max_items: int,
        chunk_items: int,
        segment_chunks: int,
    ) -> Submitted:
        """Accepts a job durably, or refuses it whole.

        Args:
          submission: What is asked.
          items: The items, in lists of any length.
          runners: Upstreams that can run them.
          max_items: Items in a job at most.
          chunk_items: Items in a chunk at most.
          segment_chunks: Chunks in a segment at most.

        Raises:
          InvalidRequestError: There are no items, too many, or wrong lines.
          ConflictError: The key belongs to a job with other content.
          AnswerLostError: The platform never said; send the same job again.
        """
        job = JobId(random_token(self._rng))
        stored = _StoredInput()
        try:
            await self._store_input(job, submission, items, max_items, stored)
            division = divide(
                stored.items,
                runners=runners,
                chunk_items=chunk_items,
                segment_chunks=segment_chunks,
            )
            row = JobRow(
                job=job,
                tenant=submission.tenant,
                deployment=submission.deployment,
                job_key=submission.job_key,
                content_hash=stored.digest.hexdigest(),
                due_at=submission.due_at,
                max_tokens=submission.max_tokens,
                division=division,
                accepted_at=self._clock(),
            )
            submitted = await self._accept(row)
        except (InvalidRequestError, ConflictError):
            await self._discard_input(job, stored.parts)
            raise
        if submitted.resent:
            await self._discard_input(job, stored.parts)
        return submitted

    async def _store_input(
        self,
        job: JobId,
        submission: Submission,
        items: AsyncIterator[list[Item]],
        max_items: int,
        stored: _StoredInput,
    ) -> None:
        """Stores the input in parts, and counts and hashes it."""
        asked = [submission.deployment, submission.due_at, submission.max_tokens]
        stored.digest.update(msgspec.json.encode(asked))
        buffer: list[Item] = []
        async for more in items:
            buffer += more
            stored.items += len(more)
            if stored.items > max_items:
                raise InvalidRequestError(
                    f"The job has more than {max_items} items",
                    remedy="Divide it into several jobs.",
                )
            while len(buffer) >= INPUT_OBJECT_ITEMS:
                await self._put_input(job, buffer[:INPUT_OBJECT_ITEMS], stored)
                buffer = buffer[INPUT_OBJECT_ITEMS:]
        if buffer:
            await self._put_input(job, buffer, stored)
        if not stored.items:
            raise InvalidRequestError(
                "The job has no items", remedy="Send at least one line."
            )

    async def _put_input(
        self, job: JobId, items: list[Item], stored: _StoredInput
    ) -> None:
        body = msgspec.json.encode(items)
        stored.digest.update(body)
        stored.parts += 1
        await self.platform.put_object(input_object(job, stored.parts - 1), body)

    async def _discard_input(self, job: JobId, parts: int) -> None:
        """Removes input that belongs to no job; what fails is collected later."""
        try:
            for part in range(parts):
                await self.platform.delete_object(input_object(job, part))
        except (PlatformUnavailableError, AnswerLostError):
            return

    async def _accept(self, row: JobRow) -> Submitted:
        key = submitter_key(row.tenant, row.job_key)
        puts = [
            Put(job_key(row.job), _encode(row)),
            Put(open_key(row.job), b"{}"),
        ]
        checks = []
        if row.job_key:
            checks.append(Check(key, ABSENT))
            puts.append(Put(key, _encode(KeyRow(row.job, row.content_hash))))
        else:
            checks.append(Check(job_key(row.job), ABSENT))
        for _ in range(_ATTEMPTS):
            earlier = await self._find_earlier(row, key)
            if earlier is not None:
                return earlier
            try:
                result = await self.platform.transact(
                    Transaction(checks=checks, puts=puts)
                )
            except AnswerLostError:
                continue
            if not isinstance(result, TransactionRefused):
                return Submitted(row, resent=False)
        raise AnswerLostError("The platform did not say whether the job was accepted")

    async def _find_earlier(self, row: JobRow, key: str) -> Submitted | None:
        """Finds the job that a key already means, or this very one."""
        if not row.job_key:
            rows = await self.platform.read([job_key(row.job)])
            return Submitted(row, resent=False) if rows else None
        found = (await self.platform.read([key])).get(key)
        if found is None:
            return None
        known = decode_row(found, KeyRow)
        if known.job == row.job:
            return Submitted(row, resent=False)
        if known.content_hash != row.content_hash:
            raise ConflictError(
                f"The key {row.job_key} belongs to job {known.job} with other content",
                remedy="Use a new key, or send the same content.",
            )
        earlier, _ = await self.get(known.job)
        return Submitted(earlier, resent=True)

    # Reading.

    async def get(self, job: JobId) -> tuple[JobRow, int]:
        """Returns a job's row and its version.

        Raises:
          NotFoundError: There is no such job.
        """
        key = job_key(job)
        row = (await self.platform.read([key])).get(key)
        if row is None:
            raise NotFoundError(f"There is no job {job}")
        return decode_row(row, JobRow), row.version

    async def list_open(self, *, limit: int = _PAGE) -> list[tuple[JobRow, int]]:
        """Returns open jobs with the versions of their rows."""
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
        """Returns a page of all jobs, and the token of the next."""
        prefix = "job/"
        found = await self.platform.scan(
            prefix, after=prefix + after if after else "", limit=limit
        )
        jobs = [decode_row(row, JobRow) for _, row in found]
        more = len(found) == limit
        return jobs, found[-1][0].removeprefix(prefix) if more else ""

    async def segments(self, job: JobRow) -> dict[int, tuple[SegmentRow, int]]:
        """Returns the rows and versions of all segments ever claimed."""
        prefix = segment_prefix(job.job)
        rows: dict[int, tuple[SegmentRow, int]] = {}
        after = ""
        while True:
            found = await self.platform.scan(prefix, after=after, limit=_PAGE)
            for key, row in found:
                number = int(key.removeprefix(prefix))
                rows[number] = (decode_row(row, SegmentRow), row.version)
            if len(found) < _PAGE:
                return rows
            after = found[-1][0]

    async def progress(self, job: JobRow) -> Progress:
        """Returns how far a job has come."""
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
        """Returns a chunk's results in item order, or None while not done."""
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

    async def read_items(self, held: HeldSegment) -> list[Item]:
        """Returns the items of a held segment, in order."""
        indices = held.job.division.segment_range(held.segment)
        first = indices.start // INPUT_OBJECT_ITEMS
        last = (indices.stop - 1) // INPUT_OBJECT_ITEMS
        items: list[Item] = []
        for part in range(first, last + 1):
            name = input_object(held.job.job, part)
            body = await self.platform.get_object(name)
            if body is None:
                raise NotFoundError(f"The input {name} is gone")
            items += msgspec.json.decode(body, type=list[Item])
        offset = first * INPUT_OBJECT_ITEMS
        return items[indices.start - offset : indices.stop - offset]

    # Claiming and committing.

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
    ) -> HeldSegment | Claimed:
        """Claims a segment, or takes it over from another holder.

        Args:
          job: The job.
          job_version: Version of the job's row.
          segment: Which segment.
          instance: Who claims.
          incarnation: Which start of that instance.
          known: The segment's row and version as read; None for none.
          challenge: A further condition: the holder did not answer.
        """
        if job.state is not JobState.OPEN:
            return Claimed.JOB_ENDED
        if known is not None and known[0].done:
            return Claimed.DONE
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
                Transaction(checks=checks, puts=[Put(key, _encode(row))])
            )
        except AnswerLostError:
            return await self._settle_claim(job, job_version, segment, row, known)
        if isinstance(result, TransactionRefused):
            ended = job_key(job.job) in result.reason
            return Claimed.JOB_ENDED if ended else Claimed.TAKEN
        return HeldSegment(
            job=job,
            job_version=job_version,
            segment=segment,
            row=row,
            version=result[key],
        )

    async def _settle_claim(
        self,
        job: JobRow,
        job_version: int,
        segment: int,
        row: SegmentRow,
        known: tuple[SegmentRow, int] | None,
    ) -> HeldSegment | Claimed:
        """Reads a claim back whose answer was lost."""
        key = segment_key(job.job, segment)
        found = (await self.platform.read([key])).get(key)
        if found is None or decode_row(found, SegmentRow) != row:
            return Claimed.TAKEN
        if known is not None and found.version == known[1]:
            return Claimed.TAKEN
        return HeldSegment(
            job=job,
            job_version=job_version,
            segment=segment,
            row=row,
            version=found.version,
        )

    async def commit(
        self, held: HeldSegment, chunk: int, results: Sequence[ItemResult]
    ) -> Commit:
        """Makes a chunk's results readable, if the segment is still held.

        The held segment is brought up to date. A failure leaves it as it was,
        so that the same call may be made again.

        Raises:
          PlatformUnavailableError: Nothing was committed.
          AnswerLostError: The platform never said; call again.
        """
        name = result_object(held.job.job, held.segment, chunk, random_token(self._rng))
        await self.platform.put_object(name, msgspec.json.encode(results))
        outcome = await self._point_at(held, chunk, name)
        if outcome is not Commit.DONE:
            await self._drop_object(name)
        return outcome

    async def _point_at(self, held: HeldSegment, chunk: int, name: str) -> Commit:
        results = list(held.row.results)
        results[chunk] = name
        row = msgspec.structs.replace(held.row, results=tuple(results))
        key = segment_key(held.job.job, held.segment)
        transaction = Transaction(
            checks=[
                Check(key, held.version),
                Check(job_key(held.job.job), held.job_version),
            ],
            puts=[Put(key, _encode(row))],
        )
        for _ in range(_ATTEMPTS):
            try:
                result = await self.platform.transact(transaction)
            except AnswerLostError:
                result = None
            if isinstance(result, dict):
                held.row, held.version = row, result[key]
                return Commit.DONE
            settled = await self._settle_commit(held, row, chunk)
            if settled is not None:
                return settled
        raise AnswerLostError("The platform did not say whether it took the chunk")

    async def _settle_commit(
        self, held: HeldSegment, row: SegmentRow, chunk: int
    ) -> Commit | None:
        """Reads rows back; None means that the commit may be tried again.

        The pointer alone tells whether the commit took effect: the row may
        have been taken over since, with the pointer kept. A row older than the
        one held is a stale read and proves nothing.
        """
        key = segment_key(held.job.job, held.segment)
        rows = await self.platform.read([key, job_key(held.job.job)])
        found, job = rows.get(key), rows.get(job_key(held.job.job))
        if found is None or job is None or found.version < held.version:
            return None
        current = decode_row(found, SegmentRow)
        mine = _holder(current) == _holder(held.row)
        if current.results[chunk] == row.results[chunk]:
            held.row = row
            if mine:
                held.row, held.version = current, found.version
            return Commit.DONE
        if decode_row(job, JobRow).state is not JobState.OPEN:
            return Commit.JOB_ENDED
        return Commit.TAKEN_OVER if found.version != held.version else None

    async def _drop_object(self, name: str) -> None:
        try:
            await self.platform.delete_object(name)
        except (PlatformUnavailableError, AnswerLostError):
            return

    async def release(self, held: HeldSegment) -> None:
        """Gives a segment up, so that another instance claims it at once."""
        row = SegmentRow(holder=NOBODY, incarnation=0, results=held.row.results)
        key = segment_key(held.job.job, held.segment)
        await self.platform.transact(
            Transaction(
                checks=[Check(key, held.version)], puts=[Put(key, _encode(row))]
            )
        )

    # Signs of life.

    async def challenge(self, holder: InstanceId, challenger: InstanceId) -> None:
        """Asks a silent holder for a sign of life."""
        key = challenge_key(holder)
        await self.platform.transact(
            Transaction(
                checks=[Check(key, ABSENT)],
                puts=[Put(key, _encode(ChallengeRow(challenger)))],
            )
        )

    async def challenge_version(self, holder: InstanceId) -> int:
        """Returns the version of a holder's challenge row; 0 for none."""
        key = challenge_key(holder)
        row = (await self.platform.read([key])).get(key)
        return row.version if row else ABSENT

    async def answer_challenge(self, instance: InstanceId, version: int) -> None:
        """Removes the challenge that was read with this version."""
        key = challenge_key(instance)
        await self.platform.transact(
            Transaction(checks=[Check(key, version)], deletes=[key])
        )

    async def look(
        self, instance: InstanceId, held: Sequence[HeldSegment]
    ) -> tuple[int, list[HeldSegment]]:
        """Reads, in one call, what a holder must notice.

        Returns:
          The version of the challenge to this instance, 0 for none; and those
          held segments that were taken over or whose job has ended.
        """
        own = challenge_key(instance)
        keys = {own}
        for segment in held:
            keys.add(job_key(segment.job.job))
            keys.add(segment_key(segment.job.job, segment.segment))
        rows = await self.platform.read(sorted(keys))
        lost = [segment for segment in held if not _still_held(segment, rows)]
        return rows[own].version if own in rows else ABSENT, lost

    # Ending.

    async def complete_if_done(self, job: JobId) -> bool:
        """Ends a job whose segments are all done; returns whether it is ended."""
        row, version = await self.get(job)
        if row.state is not JobState.OPEN:
            return True
        rows = await self.segments(row)
        if len(rows) < row.division.segments:
            return False
        if not all(segment.done for segment, _ in rows.values()):
            return False
        return await self._end(row, version, JobState.COMPLETED) is not None

    async def cancel(self, job: JobId) -> JobRow:
        """Cancels a job; once this returns, no result appears any more.

        Raises:
          JobEndedError: The job has completed.
          AnswerLostError: The platform never said; cancel again.
        """
        for _ in range(_ATTEMPTS):
            row, version = await self.get(job)
            if row.state is JobState.CANCELLED:
                return row
            if not may_become(row.state, JobState.CANCELLED):
                raise JobEndedError(f"The job {job} is {row.state.value}")
            ended = await self._end(row, version, JobState.CANCELLED)
            if ended is not None:
                return ended
        raise AnswerLostError("The platform did not say whether the job was cancelled")

    async def _end(self, row: JobRow, version: int, state: JobState) -> JobRow | None:
        """Ends a job; None if another change came first or no answer came."""
        ended = msgspec.structs.replace(row, state=state, finished_at=self._clock())
        key = job_key(row.job)
        try:
            result = await self.platform.transact(
                Transaction(
                    checks=[Check(key, version)],
                    puts=[Put(key, _encode(ended))],
                    deletes=[open_key(row.job)],
                )
            )
        except AnswerLostError:
            return None
        return None if isinstance(result, TransactionRefused) else ended

    async def collect(self, job: JobRow) -> int:
        """Removes result objects that no row points at; returns how many.

        Only for ended jobs: while one is open, an object may be about to be
        pointed at.
        """
        pointed = {
            name
            for row, _ in (await self.segments(job)).values()
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


def _still_held(held: HeldSegment, rows: dict[str, Row]) -> bool:
    """Compares holders, not versions: a commit of one's own may be under way."""
    job = rows.get(job_key(held.job.job))
    segment = rows.get(segment_key(held.job.job, held.segment))
    if job is None or segment is None or job.version != held.job_version:
        return False
    return _holder(decode_row(segment, SegmentRow)) == _holder(held.row)


def _holder(row: SegmentRow) -> tuple[InstanceId, int]:
    return row.holder, row.incarnation


def _encode(value: msgspec.Struct) -> bytes:
    return msgspec.json.encode(value)
