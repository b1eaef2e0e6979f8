"""Transactions by which jobs are accepted, taken, committed, ended and read."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence

import msgspec

from coppercleat.errors import CoppercleatError, PlatformUnavailableError
from coppercleat.ids import JobId, random_token
from coppercleat.jobs._records import (
    MAX_INPUT_SLICES,
    NO_OWNER,
    SLICE_BYTES,
    CheckpointRow,
    EndRow,
    ItemSpec,
    ItemState,
    JobRow,
    QuotaRow,
    ResultRow,
    checkpoint_key,
    end_key,
    input_key,
    job_key,
    quota_key,
    result_key,
    results_start_key,
)
from coppercleat.observability import part_logger
from coppercleat.serving import Route
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

MAX_READ_BYTES = 700_000
"""Text of results in one answer; a caller is promised at most 1 MB."""

_READ_ROWS = 60
_MAX_ACCEPT_ATTEMPTS = 5
_MAX_END_ATTEMPTS = 8
_MAX_CHECKPOINT_BYTES = 400_000
"""Events kept in one transaction, which holds 1 MB in base64."""

_MAX_COMMIT_BYTES = 500_000

_log = part_logger("jobs")


class Submission(msgspec.Struct, frozen=True, kw_only=True):
    """A job as its client sends it."""

    job: JobId
    host: str
    path: str
    items: list[ItemSpec]


class StoredJob(msgspec.Struct, frozen=True):
    """A job's row and its version."""

    row: JobRow
    version: int


class OverQuota(msgspec.Struct, frozen=True):
    """Sentinel: the job does not fit and nothing of it runs.

    Attributes:
      waiting: Tokens that wait already.
    """

    waiting: int


class FinishedItem(msgspec.Struct, frozen=True, kw_only=True):
    """An item that is to be listed."""

    index: int
    item: str
    state: ItemState
    text: bytes


class ResultsPage(msgspec.Struct, frozen=True, kw_only=True):
    """Results of a job from a position on."""

    total: int
    next: int
    results: list[ResultRow]


class Superseded(msgspec.Struct, frozen=True):
    """Sentinel: the job was changed by another; ``stored`` is what it is now."""

    stored: StoredJob | None


class JobRepository:
    """Reads and writes jobs; every change is under a condition."""

    def __init__(
        self, platform: Platform, *, clock: Callable[[], float], rng: random.Random
    ) -> None:
        """Prepares the repository.

        Args:
          platform: Where rows and objects lie.
          clock: Unix time in seconds.
          rng: Source of randomness for object names.
        """
        self.platform = platform
        self.clock = clock
        self.rng = rng

    # Acceptance.

    async def accept(
        self,
        submission: Submission,
        route: Route,
        *,
        owner: str,
        finished_tokens: Callable[[str, str], int],
        tolerance: float = 0.0,
    ) -> StoredJob | OverQuota:
        """Accepts a job once; a repeated submission finds the first.

        Args:
          submission: The job.
          route: Its route.
          owner: Who will run it.
          finished_tokens: Tokens of listed or ended items of all jobs of a host
            and route prefix, as far as is known here; too few is safe.
          tolerance: Share by which the limit may be exceeded.

        Raises:
          PlatformUnavailableError: Nothing was accepted.
          AnswerLostError: It may have been.
        """
        key = job_key(submission.job)
        quota = quota_key(route.prefix)
        now = self.clock()
        input_puts, row = await self._store_input(
            submission, route, owner=owner, now=now
        )
        tokens = sum(row.tokens)
        limited = route.max_waiting_tokens > 0
        known = [quota] if limited else []
        for _ in range(_MAX_ACCEPT_ATTEMPTS):
            rows = await self.platform.read(known, part=submission.host)
            if key in rows:
                await self._delete_input_object(row)
                return _stored_job(rows[key])
            checks = [Check(key, ABSENT)]
            puts = [Put(key, msgspec.json.encode(row)), *input_puts]
            if limited:
                accepted, version = _quota(rows.get(quota))
                finished = finished_tokens(submission.host, route.prefix)
                waiting = max(0, accepted - finished)
                if waiting + tokens > route.max_waiting_tokens * (1 + tolerance):
                    await self._delete_input_object(row)
                    return OverQuota(waiting)
                checks.append(Check(quota, version))
                opened = QuotaRow(accepted_tokens=accepted + tokens)
                puts.append(Put(quota, msgspec.json.encode(opened)))
            answer = await self.platform.transact(
                Transaction(checks=checks, puts=puts, part=submission.host)
            )
            if not isinstance(answer, TransactionRefused):
                return StoredJob(row, answer[key])
            known = [key, quota] if limited else [key]
        raise PlatformUnavailableError("Too many jobs are accepted at once")

    async def _store_input(
        self, submission: Submission, route: Route, *, owner: str, now: float
    ) -> tuple[list[Put], JobRow]:
        """Returns rows of input and the job's row; large input becomes an object."""
        packed = msgspec.msgpack.encode(submission.items)
        slices = [
            packed[i : i + SLICE_BYTES] for i in range(0, len(packed), SLICE_BYTES)
        ]
        name = ""
        if len(slices) > MAX_INPUT_SLICES:
            name = f"input-{submission.job}-{random_token(self.rng)}"
            try:
                await self.platform.put_object(name, packed)
            except AnswerLostError as error:
                # The object is under a name of its own: nothing refers to it yet.
                raise PlatformUnavailableError(error.message) from error
            slices = []
        puts = [Put(input_key(submission.job, n), s) for n, s in enumerate(slices)]
        row = JobRow(
            job=submission.job,
            host=submission.host,
            path=submission.path,
            tokens=tuple(item.tokens for item in submission.items),
            accepted_at=now,
            due_at=now + route.completion_target_s,
            expires_at=now + route.retention_s,
            owner=owner,
            slices=len(slices),
            input_object=name,
        )
        return puts, row

    async def _delete_input_object(self, row: JobRow) -> None:
        """Removes the object of a submission that was not accepted as it is."""
        if not row.input_object:
            return
        try:
            await self.platform.delete_object(row.input_object)
        except CoppercleatError as error:
            _log.info("An object stays.", object=row.input_object, kind=error.kind)

    # Reading.

    async def find(self, host: str, job: JobId) -> StoredJob | None:
        """Returns a job, None if there is none."""
        rows = await self.platform.read([job_key(job)], part=host)
        row = rows.get(job_key(job))
        return _stored_job(row) if row else None

    async def items(self, row: JobRow) -> list[ItemSpec]:
        """Returns a job's items."""
        if row.input_object:
            packed = await self.platform.get_object(row.input_object)
            if packed is None:
                raise PlatformUnavailableError(f"The input of {row.job} is missing")
        else:
            found = await self.platform.scan(f"input/{row.job}/", part=row.host)
            if len(found) != row.slices:
                raise PlatformUnavailableError(f"Input of {row.job} is missing")
            packed = b"".join(slice_row.value for _, slice_row in found)
        return msgspec.msgpack.decode(packed, type=list[ItemSpec])

    async def checkpoints(self, row: JobRow) -> dict[int, CheckpointRow]:
        """Returns what running items had made when it was last kept."""
        prefix = f"partial/{row.job}/"
        found = await self.platform.scan(prefix, part=row.host)
        return {
            int(key.removeprefix(prefix)): msgspec.msgpack.decode(
                checkpoint.value, type=CheckpointRow
            )
            for key, checkpoint in found
        }

    async def results(
        self, host: str, job: JobId, total: int, *, after: int
    ) -> ResultsPage:
        """Returns results from a position on, as many as one answer may hold.

        Behind the results of a job that was ended come its other items, as cancelled:
        whoever reads it, also without an answer to the end, comes to the last position.
        """
        found = await self.platform.scan(
            f"result/{job}/",
            after=results_start_key(job, after),
            limit=_READ_ROWS,
            part=host,
        )
        results: list[ResultRow] = []
        size = 0
        rows = iter(found)
        for key, row in rows:
            if key == end_key(job):
                results += await self._cancelled(host, job, row, after + len(results))
                break
            result = msgspec.msgpack.decode(row.value, type=ResultRow)
            slices = [result.text]
            for _ in range(result.more):
                _, further = next(rows, ("", None))
                if further is None:
                    return _page(total, after, results)
                slices.append(further.value)
            size += sum(map(len, slices))
            if results and size > MAX_READ_BYTES:
                break
            results.append(msgspec.structs.replace(result, text=b"".join(slices)))
        return _page(total, after, results)

    async def _cancelled(
        self, host: str, job: JobId, end: Row, position: int
    ) -> list[ResultRow]:
        """Returns the items that were left at a job's end, from a position on."""
        stored = await self.find(host, job)
        if stored is None:
            return []
        unlisted = decode_row(end, EndRow).unlisted
        specs = await self.items(stored.row)
        left = unlisted[position - len(stored.row.listed) :]
        return [
            ResultRow(item=specs[index].id, state=ItemState.CANCELLED, text=b"")
            for index in left
        ]

    # Changes by the owner.

    async def take(self, stored: StoredJob, *, owner: str) -> StoredJob | Superseded:
        """Makes another the owner of a job, or nobody."""
        return await self._update(
            stored, msgspec.structs.replace(stored.row, owner=owner)
        )

    async def commit(
        self,
        stored: StoredJob,
        finished: Sequence[FinishedItem],
        checkpoints: dict[int, CheckpointRow],
        *,
        owner: str | None = None,
    ) -> StoredJob | Superseded:
        """Lists finished items and keeps what running ones have made.

        Args:
          stored: The job as it was last seen.
          finished: Items to list next, in order.
          checkpoints: By item index.
          owner: The new owner; None for the same.
        """
        row = stored.row
        listed = (*row.listed, *(item.index for item in finished))
        puts: list[Put] = []
        for position, item in enumerate(finished, len(row.listed)):
            puts += _result_puts(row.job, position, item)
        puts += [
            Put(checkpoint_key(row.job, index), msgspec.msgpack.encode(checkpoint))
            for index, checkpoint in checkpoints.items()
        ]
        owner = row.owner if owner is None else owner
        changed = msgspec.structs.replace(row, listed=listed, owner=owner)
        return await self._update(stored, changed, puts)

    async def end(self, host: str, job: JobId) -> bool:
        """Ends a job for its client; returns whether there is one.

        What is not listed is listed as cancelled from then on, by one more row in the
        same transaction.
        """
        for _ in range(_MAX_END_ATTEMPTS):
            stored = await self.find(host, job)
            if stored is None:
                return False
            if stored.row.ended:
                return True
            ended = msgspec.structs.replace(stored.row, ended=True, owner=NO_OWNER)
            left = [Put(end_key(job), msgspec.json.encode(_end_row(stored.row)))]
            try:
                if isinstance(await self._update(stored, ended, left), StoredJob):
                    return True
            except AnswerLostError:
                # The job as it is now tells whether it has ended.
                continue
        raise PlatformUnavailableError(f"The job {job} changes too often")

    async def _update(
        self, stored: StoredJob, row: JobRow, puts: Iterable[Put] = ()
    ) -> StoredJob | Superseded:
        key = job_key(row.job)
        answer = await self.platform.transact(
            Transaction(
                checks=[Check(key, stored.version)],
                puts=[Put(key, msgspec.json.encode(row)), *puts],
                part=row.host,
            )
        )
        if isinstance(answer, TransactionRefused):
            return Superseded(await self.find(row.host, row.job))
        return StoredJob(row, answer[key])


def commit_batch_size(finished: Sequence[FinishedItem]) -> int:
    """Returns how many of the items fit into one transaction, at least one."""
    size = 0
    for count, item in enumerate(finished):
        size += len(item.text)
        if count and size > _MAX_COMMIT_BYTES:
            return count
    return len(finished)


def limit_checkpoints(
    checkpoints: dict[int, CheckpointRow],
) -> dict[int, CheckpointRow]:
    """Leaves out what does not fit into a row or into one transaction."""
    kept: dict[int, CheckpointRow] = {}
    total = 0
    for index, checkpoint in checkpoints.items():
        size = sum(len(event) + 8 for event in checkpoint.events)
        if size > SLICE_BYTES or total + size > _MAX_CHECKPOINT_BYTES:
            continue
        kept[index] = checkpoint
        total += size
    return kept


def _page(total: int, after: int, results: list[ResultRow]) -> ResultsPage:
    return ResultsPage(total=total, next=after + len(results), results=results)


def _end_row(row: JobRow) -> EndRow:
    listed = set(row.listed)
    return EndRow(unlisted=tuple(i for i in range(row.total) if i not in listed))


def _stored_job(row: Row) -> StoredJob:
    return StoredJob(decode_row(row, JobRow), row.version)


def _quota(row: Row | None) -> tuple[int, int]:
    """Returns tokens ever accepted, and the version of the quota."""
    if row is None:
        return 0, ABSENT
    return decode_row(row, QuotaRow).accepted_tokens, row.version


def _result_puts(job: JobId, position: int, item: FinishedItem) -> list[Put]:
    slices = [
        item.text[i : i + SLICE_BYTES] for i in range(0, len(item.text), SLICE_BYTES)
    ] or [b""]
    first = ResultRow(
        item=item.item, state=item.state, text=slices[0], more=len(slices) - 1
    )
    puts = [Put(result_key(job, position), msgspec.msgpack.encode(first))]
    for number, part in enumerate(slices[1:], 1):
        puts.append(Put(result_key(job, position, number), part))
    return puts
