"""Reads and transactions on stored jobs."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence

import msgspec

from coppercleat.errors import CoppercleatError, PlatformUnavailableError
from coppercleat.ids import NO_ACCOUNT, JobId, JobRef, TenantId, random_token
from coppercleat.jobs._records import (
    MAX_INPUT_SLICES,
    NO_OWNER,
    SLICE_BYTES,
    CancellationRow,
    CheckpointRow,
    ItemSpec,
    ItemState,
    JobRow,
    QuotaRow,
    ResultRow,
    cancellation_key,
    checkpoint_key,
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
    BAD_BYTES,
    MAX_TRANSACTION_ENTRIES,
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
"""Bytes of result text in one page; responses are limited to 1 MB."""

_READ_ROWS = 60
_MAX_ACCEPT_ATTEMPTS = 5
_MAX_CANCEL_ATTEMPTS = 8
_MAX_CHECKPOINT_BYTES = 400_000
"""Bytes of checkpoints in one transaction, whose limit is 1 MB in base64."""

_MAX_COMMIT_BYTES = 500_000

_JOB_ENTRIES = 2
"""Entries of a commit for the job's row: its check and its new value."""

_MAX_CHECKPOINTS = 38
"""Maximum checkpoints in one commit; results have the other entries."""

_MAX_RESULT_ROWS = MAX_TRANSACTION_ENTRIES - _JOB_ENTRIES - _MAX_CHECKPOINTS

_log = part_logger("jobs")


class Submission(msgspec.Struct, frozen=True, kw_only=True):
    """A job as submitted by its client.

    Attributes:
      account: The client account; empty if none is needed.
    """

    job: JobId
    host: str
    path: str
    items: list[ItemSpec]
    account: TenantId = NO_ACCOUNT

    @property
    def ref(self) -> JobRef:
        """What the job is found by."""
        return JobRef(self.host, self.job)


class StoredJob(msgspec.Struct, frozen=True):
    """A job's row and the storage version of that row."""

    row: JobRow
    version: int

    @property
    def ref(self) -> JobRef:
        """What the job is found by."""
        return self.row.ref


class OverQuota(msgspec.Struct, frozen=True):
    """Sentinel: the job exceeds the quota of its route and was not accepted.

    Attributes:
      waiting: Tokens of the route's jobs that are not finished.
    """

    waiting: int


class OthersJob(msgspec.Struct, frozen=True):
    """Sentinel: the job's id is that of a job of another client account."""


class FinishedItem(msgspec.Struct, frozen=True, kw_only=True):
    """An item whose result is to be committed.

    Attributes:
      index: Position of the item in the submission.
      item: Id of the item.
      state: Final state.
      text: Event data, one event per line; empty unless the item is completed.
    """

    index: int
    item: str
    state: ItemState
    text: bytes


class ResultsPage(msgspec.Struct, frozen=True, kw_only=True):
    """A page of a job's results.

    Attributes:
      total: Number of the job's items.
      next: Position at which the next page starts.
      results: The results, in order of position.
    """

    total: int
    next: int
    results: list[ResultRow]


class Superseded(msgspec.Struct, frozen=True):
    """Sentinel: the job was changed concurrently; ``stored`` is its current state."""

    stored: StoredJob | None


class JobRepository:
    """Reads and writes jobs; every write is conditional on the row's version."""

    def __init__(
        self, platform: Platform, *, clock: Callable[[], float], rng: random.Random
    ) -> None:
        """Initializes the repository.

        Args:
          platform: Stores rows and objects.
          clock: Returns the Unix time in seconds.
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
        finished_tokens: Callable[[str, str, TenantId], int],
        tolerance: float = 0.0,
    ) -> StoredJob | OverQuota | OthersJob:
        """Accepts a job; idempotent by job id.

        Args:
          submission: The job.
          route: The job's route.
          owner: The new job's owner.
          finished_tokens: Returns the tokens of listed or cancelled items of all jobs
            of a host, route prefix and account, as far as known here. A value that
            is too low is safe.
          tolerance: Fraction by which the quota may be exceeded.

        Returns:
          The new job, or the one accepted before under the same id; ``OverQuota`` if
          the quota of the route, or of the account on it, leaves no room;
          ``OthersJob`` if another account has a job of that id.

        Raises:
          PlatformUnavailableError: The job was not accepted.
          AnswerLostError: The job may have been accepted.
        """
        key = job_key(submission.job)
        quota = quota_key(route.prefix, submission.account)
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
                known_job = _stored_job(rows[key])
                is_own = known_job.row.account == submission.account
                return known_job if is_own else OthersJob()
            checks = [Check(key, ABSENT)]
            puts = [Put(key, msgspec.json.encode(row)), *input_puts]
            if limited:
                accepted, version = _quota(rows.get(quota))
                finished = finished_tokens(
                    submission.host, route.prefix, submission.account
                )
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
        """Stores large input as an object.

        Returns:
          The input rows to write with the job, none for an object; and the job's row.
        """
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
                # No row refers to the object yet, so that the job is not accepted.
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
            account=submission.account,
        )
        return puts, row

    async def _delete_input_object(self, row: JobRow) -> None:
        """Deletes the input object of a submission whose row was not written."""
        if not row.input_object:
            return
        try:
            await self.platform.delete_object(row.input_object)
        except CoppercleatError as error:
            _log.info(
                "Input object could not be deleted.",
                object=row.input_object,
                kind=error.kind,
            )

    # Reading.

    async def find(self, host: str, job: JobId) -> StoredJob | None:
        """Returns a job, None if it does not exist."""
        rows = await self.platform.read([job_key(job)], part=host)
        row = rows.get(job_key(job))
        return _stored_job(row) if row else None

    async def items(self, row: JobRow) -> list[ItemSpec]:
        """Returns a job's items.

        Raises:
          PlatformUnavailableError: Input is missing or could not be read.
        """
        if row.input_object:
            packed = await self.platform.get_object(row.input_object)
            if packed is None:
                raise PlatformUnavailableError(f"The input of job {row.ref} is missing")
        else:
            found = await self.platform.scan(f"input/{row.job}/", part=row.host)
            if len(found) != row.slices:
                raise PlatformUnavailableError(f"The input of job {row.ref} is missing")
            packed = b"".join(slice_row.value for _, slice_row in found)
        try:
            return msgspec.msgpack.decode(packed, type=list[ItemSpec])
        except BAD_BYTES as error:
            raise PlatformUnavailableError(
                f"The input of job {row.ref} does not fit: {error}"
            ) from error

    async def checkpoints(self, row: JobRow) -> dict[int, CheckpointRow]:
        """Returns the checkpoints of a job's items, by item index.

        An item whose checkpoint does not fit starts anew.
        """
        prefix = f"partial/{row.job}/"
        checkpoints = {}
        for key, found in await self.platform.scan(prefix, part=row.host):
            try:
                index = int(key.removeprefix(prefix))
                checkpoint = msgspec.msgpack.decode(found.value, type=CheckpointRow)
            except (ValueError, *BAD_BYTES) as error:
                _log.error(
                    "Checkpoint is invalid; ignored.",
                    host=row.host,
                    key=key,
                    why=str(error),
                )
                continue
            checkpoints[index] = checkpoint
        return checkpoints

    async def results(
        self, host: str, job: JobId, total: int, *, after: int
    ) -> ResultsPage:
        """Returns a page of results.

        The unlisted items of a cancelled job follow its results as cancelled, so that a
        reader reaches the last position in any case.

        Args:
          host: The job's host.
          job: Id of the job.
          total: Number of the job's items.
          after: Position of the first result.
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
            if key == cancellation_key(job):
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
        self, host: str, job: JobId, cancellation: Row, position: int
    ) -> list[ResultRow]:
        """Returns the unlisted items of a cancelled job, from a position on."""
        stored = await self.find(host, job)
        if stored is None:
            return []
        unlisted = decode_row(cancellation, CancellationRow).unlisted
        specs = await self.items(stored.row)
        left = unlisted[position - len(stored.row.listed) :]
        return [
            ResultRow(item=specs[index].id, state=ItemState.CANCELLED, text=b"")
            for index in left
        ]

    # Changes.

    async def set_owner(
        self, stored: StoredJob, *, owner: str
    ) -> StoredJob | Superseded:
        """Changes the owner of a job; ``NO_OWNER`` releases it."""
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
        """Lists finished items and stores checkpoints in one transaction.

        Args:
          stored: The job as last read or written.
          finished: Items to append to the list of results, in order.
          checkpoints: Checkpoints by item index.
          owner: The new owner; None to keep the current one.
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

    async def cancel(self, host: str, job: JobId) -> bool:
        """Cancels a job for its client; returns whether the job exists.

        A row written in the same transaction records the unlisted items, which readers
        see as cancelled from then on.

        Raises:
          PlatformUnavailableError: It is unknown whether the job was cancelled.
        """
        for _ in range(_MAX_CANCEL_ATTEMPTS):
            stored = await self.find(host, job)
            if stored is None:
                return False
            if stored.row.ended:
                return True
            cancelled = msgspec.structs.replace(stored.row, ended=True, owner=NO_OWNER)
            puts = [
                Put(
                    cancellation_key(job),
                    msgspec.json.encode(_cancellation_row(stored.row)),
                )
            ]
            try:
                if isinstance(await self._update(stored, cancelled, puts), StoredJob):
                    return True
            except AnswerLostError:
                # The next read shows whether the transaction took effect.
                continue
        raise PlatformUnavailableError(
            f"Too many concurrent changes of job {job} of {host}"
        )

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
    size = rows = 0
    for count, item in enumerate(finished):
        size += len(item.text)
        rows += len(_slices(item.text))
        if count and (size > _MAX_COMMIT_BYTES or rows > _MAX_RESULT_ROWS):
            return count
    return len(finished)


def limit_checkpoints(
    checkpoints: dict[int, CheckpointRow],
) -> dict[int, CheckpointRow]:
    """Drops checkpoints that do not fit into a row or into one transaction."""
    fitting: dict[int, CheckpointRow] = {}
    total = 0
    for index, checkpoint in checkpoints.items():
        size = sum(len(event) + 8 for event in checkpoint.events)
        if size > SLICE_BYTES or total + size > _MAX_CHECKPOINT_BYTES:
            continue
        if len(fitting) == _MAX_CHECKPOINTS:
            break
        fitting[index] = checkpoint
        total += size
    return fitting


def _page(total: int, after: int, results: list[ResultRow]) -> ResultsPage:
    return ResultsPage(total=total, next=after + len(results), results=results)


def _cancellation_row(row: JobRow) -> CancellationRow:
    listed = set(row.listed)
    return CancellationRow(
        unlisted=tuple(i for i in range(row.total) if i not in listed)
    )


def _stored_job(row: Row) -> StoredJob:
    return StoredJob(decode_row(row, JobRow), row.version)


def _quota(row: Row | None) -> tuple[int, int]:
    """Returns the total tokens accepted, and the version of the quota's row."""
    if row is None:
        return 0, ABSENT
    return decode_row(row, QuotaRow).accepted_tokens, row.version


def _slices(text: bytes) -> list[bytes]:
    """Returns a result's text as it is split into rows, at least one."""
    starts = range(0, max(1, len(text)), SLICE_BYTES)
    return [text[start : start + SLICE_BYTES] for start in starts]


def _result_puts(job: JobId, position: int, item: FinishedItem) -> list[Put]:
    slices = _slices(item.text)
    first = ResultRow(
        item=item.item, state=item.state, text=slices[0], more=len(slices) - 1
    )
    puts = [Put(result_key(job, position), msgspec.msgpack.encode(first))]
    for number, part in enumerate(slices[1:], 1):
        puts.append(Put(result_key(job, position, number), part))
    return puts
