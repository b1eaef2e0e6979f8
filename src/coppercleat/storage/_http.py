"""The platform over HTTP, by its published protocol.

``POST /v1/read``, ``/v1/scan`` and ``/v1/transact`` take and give JSON;
``/v1/objects/NAME`` takes PUT, GET and DELETE; ``GET /v1/objects`` and
``GET /v1/nodes`` list. Status 409 on a transaction means that a check
failed; 429 and 503 mean that the call was not taken.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, TypeVar
from urllib.parse import quote

import httpcore
import msgspec
import trio

from coppercleat.errors import PlatformUnavailableError
from coppercleat.storage._port import (
    AnswerLostError,
    Listing,
    Row,
    Transaction,
    TransactionRefused,
)

_MAX_CONNECTIONS = 32
_MAX_ANSWER_BYTES = 64_000_000
_NOT_TAKEN = (429, 503)
_RETRY_AFTER_MS = 1_000

_T = TypeVar("_T")


class ReadBody(msgspec.Struct):
    """Body of ``/v1/read``."""

    keys: list[str]


class ScanBody(msgspec.Struct):
    """Body of ``/v1/scan``."""

    prefix: str
    after: str
    limit: int


class RowsAnswer(msgspec.Struct):
    """Answer of ``/v1/read`` and ``/v1/scan``, in key order."""

    rows: list[tuple[str, Row]]


class VersionsAnswer(msgspec.Struct):
    """Answer of a committed ``/v1/transact``."""

    versions: dict[str, int]


class HttpPlatform:
    """Calls the platform through one connection pool."""

    def __init__(
        self,
        url: str,
        *,
        timeout_s: float,
        on_call: Callable[[bool], None] | None = None,
    ) -> None:
        """Prepares the pool; connects on first use.

        Args:
          url: Base URL without a trailing slash.
          timeout_s: Seconds for one call, connecting included.
          on_call: Told after each call whether the platform answered.
        """
        self.url = url.rstrip("/")
        self.timeout_s = timeout_s
        self._on_call = on_call or (lambda answered: None)
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=_MAX_CONNECTIONS, keepalive_expiry=30
        )

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._pool.aclose()

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """See ``Platform.read``."""
        body = msgspec.json.encode(ReadBody(list(keys)))
        answer = await self._call("POST", "/v1/read", body)
        return dict(_decode(answer, RowsAnswer).rows)

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> list[tuple[str, Row]]:
        """See ``Platform.scan``."""
        body = msgspec.json.encode(ScanBody(prefix, after, limit))
        answer = await self._call("POST", "/v1/scan", body)
        return _decode(answer, RowsAnswer).rows

    async def transact(
        self, transaction: Transaction
    ) -> dict[str, int] | TransactionRefused:
        """See ``Platform.transact``."""
        body = msgspec.json.encode(transaction)
        status, answer = await self._change("POST", "/v1/transact", body)
        if status == 409:
            return _decode(answer, TransactionRefused)
        return _decode(answer, VersionsAnswer).versions

    async def put_object(self, name: str, body: bytes) -> None:
        """See ``Platform.put_object``."""
        await self._change("PUT", f"/v1/objects/{quote(name)}", body)

    async def get_object(self, name: str) -> bytes | None:
        """See ``Platform.get_object``."""
        status, answer = await self._request("GET", f"/v1/objects/{quote(name)}", b"")
        if status == 404:
            return None
        _require_ok(status, answer)
        return answer

    async def delete_object(self, name: str) -> None:
        """See ``Platform.delete_object``."""
        await self._change("DELETE", f"/v1/objects/{quote(name)}", b"")

    async def list_objects(self, prefix: str, *, limit: int = 1000) -> list[str]:
        """See ``Platform.list_objects``."""
        path = f"/v1/objects?prefix={quote(prefix)}&limit={limit}"
        return _decode(await self._call("GET", path, b""), list[str])

    async def list_nodes(self) -> Listing:
        """See ``Platform.list_nodes``."""
        return _decode(await self._call("GET", "/v1/nodes", b""), Listing)

    async def _call(self, method: str, path: str, body: bytes) -> bytes:
        """Makes a call without an effect: any failure means unavailable."""
        status, answer = await self._request(method, path, body)
        _require_ok(status, answer)
        return answer

    async def _change(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        """Makes a call with an effect: a failure once sent means unknown."""
        sent = False

        async def trace(event: str, info: dict[str, Any]) -> None:
            nonlocal sent
            if event.endswith("send_request_headers.started"):
                sent = True

        try:
            status, answer = await self._request(method, path, body, trace=trace)
        except PlatformUnavailableError as error:
            if sent:
                raise AnswerLostError(error.message) from error
            raise
        if status in _NOT_TAKEN:
            raise _unavailable(f"the platform answered {status}")
        if status >= 500:
            raise AnswerLostError(f"the platform answered {status}")
        return status, answer

    async def _request(
        self, method: str, path: str, body: bytes, *, trace: Any = None
    ) -> tuple[int, bytes]:
        """Returns the status and body of one HTTP exchange."""
        extensions: dict[str, Any] = {"trace": trace} if trace else {}
        try:
            with trio.fail_after(self.timeout_s):
                response = await self._pool.request(
                    method, self.url + path, content=body, extensions=extensions
                )
        except trio.TooSlowError as error:
            self._on_call(False)
            raise _unavailable(f"no answer within {self.timeout_s} s") from error
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            self._on_call(False)
            raise _unavailable(f"the call failed: {type(error).__name__}") from error
        self._on_call(response.status < 500)
        return response.status, response.content


def _unavailable(why: str) -> PlatformUnavailableError:
    return PlatformUnavailableError(
        f"The platform is away: {why}", retry_after_ms=_RETRY_AFTER_MS
    )


def _require_ok(status: int, answer: bytes) -> None:
    if status != 200:
        raise _unavailable(f"status {status}")
    if len(answer) > _MAX_ANSWER_BYTES:
        raise _unavailable(f"an answer of {len(answer)} bytes")


def _decode(answer: bytes, kind: type[_T]) -> _T:
    """Decodes an answer; bytes that do not fit count as no answer."""
    try:
        return msgspec.json.decode(answer, type=kind)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise _unavailable(f"an answer that does not fit: {error}") from error
