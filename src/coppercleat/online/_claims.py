"""Keyed requests: a durable claim before, a stored answer after.

The row ``answer/TENANT/KEY`` is put before a keyed request is sent to an
upstream and holds the answer once there is one. A resend, to whichever
instance, finds it: the same answer, or that the outcome is unknown.
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

_ATTEMPTS = 4
_POLL_S = 0.1


class ClaimState(enum.Enum):
    """Where a keyed request stands."""

    CLAIMED = "claimed"
    ANSWERED = "answered"


class IdempotencyRecord(msgspec.Struct, kw_only=True):
    """The row of a keyed request."""

    request_id: RequestId
    content_hash: str
    state: ClaimState = ClaimState.CLAIMED
    text: str = ""
    tokens: int = 0
    body: bytes = b""


class IdempotencyStore:
    """Claims keys and stores answers on the platform."""

    def __init__(self, platform: Platform) -> None:
        self.platform = platform
        self._versions: dict[str, int] = {}

    async def claim(
        self, tenant: TenantId, key: str, request_id: RequestId, content: bytes
    ) -> IdempotencyRecord | None:
        """Claims a key, or finds what an earlier request left.

        Returns:
          None if this request now holds the key, else the earlier row.

        Raises:
          PlatformUnavailableError: The key was not claimed; nothing may run.
          ConflictError: The key belongs to a request with other content.
        """
        row_key = _row_key(tenant, key)
        mine = IdempotencyRecord(
            request_id=request_id, content_hash=content_hash(content)
        )
        transaction = Transaction(
            checks=[Check(row_key, ABSENT)],
            puts=[Put(row_key, msgspec.json.encode(mine))],
        )
        for _ in range(_ATTEMPTS):
            try:
                result = await self.platform.transact(transaction)
            except AnswerLostError:
                result = None
            if isinstance(result, dict):
                self._versions[row_key] = result[row_key]
                return None
            row = (await self.platform.read([row_key])).get(row_key)
            if row is None:
                continue
            found = decode_row(row, IdempotencyRecord)
            if found.request_id == request_id:
                self._versions[row_key] = row.version
                return None
            if found.content_hash != mine.content_hash:
                raise ConflictError(
                    f"The key {key} belongs to a request with other content",
                    remedy="Use a new key for a new request.",
                )
            return found
        raise PlatformUnavailableError("The platform did not confirm the key")

    async def wait(
        self, tenant: TenantId, key: str, *, deadline: float
    ) -> IdempotencyRecord:
        """Waits for the answer that another request with this key will store.

        Raises:
          OutcomeUnknownError: None came by the deadline.
        """
        row_key = _row_key(tenant, key)
        while trio.current_time() + _POLL_S < deadline:
            await trio.sleep(_POLL_S)
            row = (await self.platform.read([row_key])).get(row_key)
            if row is None:
                break
            found = decode_row(row, IdempotencyRecord)
            if found.state is ClaimState.ANSWERED:
                return found
        raise OutcomeUnknownError(f"The request with key {key} gave no answer")

    async def store(
        self, tenant: TenantId, key: str, answer: IdempotencyRecord
    ) -> None:
        """Stores the answer for resends; what fails leaves the key claimed."""
        row_key = _row_key(tenant, key)
        answer.state = ClaimState.ANSWERED
        transaction = Transaction(
            checks=[Check(row_key, self._versions.pop(row_key))],
            puts=[Put(row_key, msgspec.json.encode(answer))],
        )
        for _ in range(_ATTEMPTS):
            try:
                await self.platform.transact(transaction)
            except (AnswerLostError, PlatformUnavailableError):
                await trio.sleep(_POLL_S)
                continue
            return

    async def release(self, tenant: TenantId, key: str) -> bool:
        """Frees a key whose request provably did not run.

        Returns:
          Whether it was freed; if not, resends learn of an unknown outcome.
        """
        row_key = _row_key(tenant, key)
        version = self._versions.pop(row_key)
        try:
            result = await self.platform.transact(
                Transaction(checks=[Check(row_key, version)], deletes=[row_key])
            )
        except (AnswerLostError, PlatformUnavailableError):
            return False
        return not isinstance(result, TransactionRefused)

    def keep(self, tenant: TenantId, key: str) -> None:
        """Leaves a key claimed: its request may have run."""
        self._versions.pop(_row_key(tenant, key), None)


def content_hash(content: bytes) -> str:
    """Returns the hash by which a resend is told from another request."""
    return xxhash.xxh3_128_hexdigest(content)


def _row_key(tenant: TenantId, key: str) -> str:
    return f"answer/{tenant}/{key}"
