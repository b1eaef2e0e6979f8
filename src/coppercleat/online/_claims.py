"""Idempotency keys: a durable claim before a request runs, its response after.

The row ``answer/TENANT/KEY`` is written before a request with a key is sent to an
upstream and later holds the response. A retry by the client, at any instance, gets
the same response, or an error that the outcome is unknown.
"""

from __future__ import annotations

import enum

import msgspec
import trio
import xxhash

from coppercleat.errors import (
    ConflictError,
    OutcomeUnknownError,
    PlatformUnavailableError,
)
from coppercleat.ids import RequestId, TenantId
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

_MAX_ATTEMPTS = 4
_POLL_INTERVAL_S = 0.1


class ClaimState(enum.Enum):
    """State of an idempotency key."""

    CLAIMED = "claimed"
    ANSWERED = "answered"


class IdempotencyRecord(msgspec.Struct, kw_only=True):
    """Stored row of an idempotency key.

    Attributes:
      request_id: Request that claimed the key.
      content_hash: Hash of the request's content.
      state: Whether the response is stored.
      text: Generated text of the response.
      tokens: Number of generated tokens.
      body: Response body of a plain service.
    """

    request_id: RequestId
    content_hash: str
    state: ClaimState = ClaimState.CLAIMED
    text: str = ""
    tokens: int = 0
    body: bytes = b""


class IdempotencyStore:
    """Claims idempotency keys and stores responses on the platform."""

    def __init__(self, platform: Platform) -> None:
        self.platform = platform
        self._claim_versions: dict[str, int] = {}

    async def claim(
        self, tenant: TenantId, key: str, request_id: RequestId, content: bytes
    ) -> IdempotencyRecord | None:
        """Claims a key unless an earlier request has claimed it.

        Args:
          tenant: Tenant of the request.
          key: Idempotency key.
          request_id: Id of the request.
          content: Serialized content of the request.

        Returns:
          None if this request holds the key, else the earlier request's record.

        Raises:
          PlatformUnavailableError: The claim is not confirmed; the request must
            not run.
          ConflictError: The key belongs to a request with other content.
        """
        row_key = _row_key(tenant, key)
        record = IdempotencyRecord(
            request_id=request_id, content_hash=content_hash(content)
        )
        transaction = Transaction(
            checks=[Check(row_key, ABSENT)],
            puts=[Put(row_key, msgspec.json.encode(record))],
        )
        for _ in range(_MAX_ATTEMPTS):
            try:
                result = await self.platform.transact(transaction)
            except AnswerLostError:
                result = None
            if isinstance(result, dict):
                self._claim_versions[row_key] = result[row_key]
                return None
            # The transaction may have been committed although its result was lost.
            row = (await self.platform.read([row_key])).get(row_key)
            if row is None:
                continue
            existing = decode_row(row, IdempotencyRecord)
            if existing.request_id == request_id:
                self._claim_versions[row_key] = row.version
                return None
            if existing.content_hash != record.content_hash:
                raise ConflictError(
                    f"The key {key} belongs to a request with other content",
                    remedy="Use a new key for a new request.",
                )
            return existing
        raise PlatformUnavailableError("The platform did not confirm the key")

    async def wait_for_response(
        self, tenant: TenantId, key: str, *, deadline: float
    ) -> IdempotencyRecord:
        """Waits for the response of the request that holds the key.

        Raises:
          OutcomeUnknownError: No response was stored by the deadline, or the claim
            was released.
        """
        row_key = _row_key(tenant, key)
        while trio.current_time() + _POLL_INTERVAL_S < deadline:
            await trio.sleep(_POLL_INTERVAL_S)
            row = (await self.platform.read([row_key])).get(row_key)
            if row is None:
                break
            existing = decode_row(row, IdempotencyRecord)
            if existing.state is ClaimState.ANSWERED:
                return existing
        raise OutcomeUnknownError(f"The request with key {key} gave no answer")

    async def store_response(
        self, tenant: TenantId, key: str, record: IdempotencyRecord
    ) -> None:
        """Stores the response; if that fails, the key stays claimed."""
        row_key = _row_key(tenant, key)
        record.state = ClaimState.ANSWERED
        transaction = Transaction(
            checks=[Check(row_key, self._claim_versions.pop(row_key))],
            puts=[Put(row_key, msgspec.json.encode(record))],
        )
        for _ in range(_MAX_ATTEMPTS):
            try:
                await self.platform.transact(transaction)
            except (AnswerLostError, PlatformUnavailableError):
                await trio.sleep(_POLL_INTERVAL_S)
                continue
            return

    async def release(self, tenant: TenantId, key: str) -> bool:
        """Releases the key of a request that certainly did not run.

        Returns:
          Whether the key was released; if not, retries get an unknown outcome.
        """
        row_key = _row_key(tenant, key)
        version = self._claim_versions.pop(row_key)
        try:
            result = await self.platform.transact(
                Transaction(checks=[Check(row_key, version)], deletes=[row_key])
            )
        except (AnswerLostError, PlatformUnavailableError):
            return False
        return not isinstance(result, TransactionRefused)

    def keep_claim(self, tenant: TenantId, key: str) -> None:
        """Leaves a key claimed since its request may have run."""
        self._claim_versions.pop(_row_key(tenant, key), None)


def content_hash(content: bytes) -> str:
    """Returns the hash that distinguishes a retry from a different request."""
    return xxhash.xxh3_128_hexdigest(content)


def _row_key(tenant: TenantId, key: str) -> str:
    return f"answer/{tenant}/{key}"
