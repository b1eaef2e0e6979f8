"""Accepts jobs: stores the input, then creates the job in one transaction."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator, Callable

import attrs
import msgspec
import xxhash

from coppercleat.batch._items import Item
from coppercleat.batch._jobs import divide
from coppercleat.batch._reading import JobReader
from coppercleat.batch._rows import (
    ITEMS_PER_INPUT_OBJECT,
    IdempotencyKeyRow,
    JobRow,
    idempotency_row_key,
    input_object_name,
    job_key,
    open_key,
)
from coppercleat.errors import (
    ConflictError,
    InvalidRequestError,
    PlatformUnavailableError,
)
from coppercleat.ids import DeploymentId, JobId, TenantId, random_token
from coppercleat.observability import part_logger
from coppercleat.storage import (
    ABSENT,
    AnswerLostError,
    Check,
    Platform,
    Put,
    Transaction,
    TransactionRefused,
    decode_row,
)

_MAX_TRANSACTION_ATTEMPTS = 4
"""Transactions whose answers may be lost before the caller is told so."""

_log = part_logger("batch")


class Submission(msgspec.Struct, frozen=True, kw_only=True):
    """A request to run a job.

    Attributes:
      job_key: Idempotency key of the submission, empty for none.
      due_at: Unix time in seconds, 0 for none.
      max_tokens: Token limit of each item without its own, 0 for the deployment's.
    """

    tenant: TenantId
    deployment: DeploymentId
    job_key: str
    due_at: float
    max_tokens: int


class SubmissionResult(msgspec.Struct, frozen=True):
    """An accepted job, and whether an earlier submission had created it."""

    row: JobRow
    resent: bool


@attrs.define
class _StoredInput:
    """Number of items and objects stored for a submission, and their hash."""

    items: int = 0
    parts: int = 0
    digest: xxhash.xxh3_128 = attrs.field(factory=xxhash.xxh3_128)


class JobAcceptance:
    """Accepts jobs, and each idempotency key only once."""

    def __init__(
        self,
        platform: Platform,
        reader: JobReader,
        *,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Initializes the acceptance.

        Args:
          platform: Storage of rows and objects.
          reader: Reads jobs accepted earlier.
          clock: Returns Unix time in seconds.
          rng: Source of job ids.
        """
        self.platform = platform
        self._reader = reader
        self._clock = clock
        self._rng = rng

    async def submit(
        self,
        submission: Submission,
        items: AsyncIterator[list[Item]],
        *,
        upstream_count: int,
        max_items: int,
        chunk_items: int,
        segment_chunks: int,
    ) -> SubmissionResult:
        """Stores a job durably, or rejects all of it.

        Args:
          submission: The submitted job.
          items: The job's items, in lists of any length.
          upstream_count: Number of upstreams that can run the items.
          max_items: Maximum number of items in a job.
          chunk_items: Maximum number of items in a chunk.
          segment_chunks: Maximum number of chunks in a segment.

        Raises:
          InvalidRequestError: There are no items, too many, or invalid lines.
          ConflictError: The key belongs to a job with different content.
          AnswerLostError: The outcome is unknown; submit the same job again.
        """
        job = JobId(random_token(self._rng))
        stored = _StoredInput()
        try:
            await self._store_input(job, submission, items, max_items, stored)
            division = divide(
                stored.items,
                upstream_count=upstream_count,
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
        """Stores the input as objects, and counts and hashes its items."""
        parameters = [submission.deployment, submission.due_at, submission.max_tokens]
        stored.digest.update(msgspec.json.encode(parameters))
        buffer: list[Item] = []
        async for more in items:
            buffer += more
            stored.items += len(more)
            if stored.items > max_items:
                raise InvalidRequestError(
                    f"The job has more than {max_items} items",
                    remedy="Divide it into several jobs.",
                )
            while len(buffer) >= ITEMS_PER_INPUT_OBJECT:
                await self._put_input(job, buffer[:ITEMS_PER_INPUT_OBJECT], stored)
                buffer = buffer[ITEMS_PER_INPUT_OBJECT:]
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
        await self.platform.put_object(input_object_name(job, stored.parts - 1), body)

    async def _discard_input(self, job: JobId, parts: int) -> None:
        """Deletes the input of a job that was not created, if possible."""
        try:
            for part in range(parts):
                await self.platform.delete_object(input_object_name(job, part))
        except (PlatformUnavailableError, AnswerLostError) as error:
            _log.info(
                "Orphaned input objects could not be deleted.",
                job=job,
                reason=str(error),
            )

    async def _accept(self, row: JobRow) -> SubmissionResult:
        key = idempotency_row_key(row.tenant, row.job_key)
        puts = [
            Put(job_key(row.job), msgspec.json.encode(row)),
            Put(open_key(row.job), b"{}"),
        ]
        checks = []
        if row.job_key:
            checks.append(Check(key, ABSENT))
            puts.append(
                Put(
                    key,
                    msgspec.json.encode(IdempotencyKeyRow(row.job, row.content_hash)),
                )
            )
        else:
            checks.append(Check(job_key(row.job), ABSENT))
        for _ in range(_MAX_TRANSACTION_ATTEMPTS):
            existing = await self._find_existing(row, key)
            if existing is not None:
                return existing
            try:
                result = await self.platform.transact(
                    Transaction(checks=checks, puts=puts)
                )
            except AnswerLostError:
                continue
            if not isinstance(result, TransactionRefused):
                return SubmissionResult(row, resent=False)
        raise AnswerLostError("The platform did not say whether the job was accepted")

    async def _find_existing(self, row: JobRow, key: str) -> SubmissionResult | None:
        """Returns the job already stored for the key, or this one if it is stored.

        Raises:
          ConflictError: The key belongs to a job with different content.
        """
        if not row.job_key:
            rows = await self.platform.read([job_key(row.job)])
            return SubmissionResult(row, resent=False) if rows else None
        found = (await self.platform.read([key])).get(key)
        if found is None:
            return None
        known = decode_row(found, IdempotencyKeyRow)
        if known.job == row.job:
            return SubmissionResult(row, resent=False)
        if known.content_hash != row.content_hash:
            raise ConflictError(
                f"The key {row.job_key} belongs to job {known.job} with other content",
                remedy="Use a new key, or send the same content.",
            )
        existing, _ = await self._reader.get(known.job)
        return SubmissionResult(existing, resent=True)
