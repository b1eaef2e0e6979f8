"""A small client of the RPCs over ``httpcore``, in the Connect protocol.

Unary calls are JSON bodies; streams are envelopes of a flag byte, a length of
four bytes and a JSON message.
"""

from __future__ import annotations

import contextlib
import json
import socket
import struct
from collections.abc import AsyncIterator, Iterable
from typing import Any

import httpcore

from coppercleat.errors import RpcError

_SILENT_S = 5
"""A connection whose bytes stay unacknowledged for so long is given up by the kernel,
which asks an idle one after this time; the instance may be quiet for a minute."""

_PROBE_EVERY_S = 1

_SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _SILENT_S * 1000),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _SILENT_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_EVERY_S),
]

_END_FLAG = 0x02
_HEADER = struct.Struct(">BI")
_PACKAGE = "coppercleat.v1"
_NOT_SENT = (httpcore.ConnectError, httpcore.ConnectTimeout)
_BROKEN = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


class RpcClient:
    """Calls one entry instance, or the balancer before several."""

    def __init__(self, address: str, *, token: str = "", timeout_s: float = 60.0):
        """Prepares the client.

        Args:
          address: ``IP:PORT``.
          token: The tenant's token, if any.
          timeout_s: Seconds to wait for each read.
        """
        self._url = f"http://{address}"
        self._token = token
        self._timeout = {"connect": 5.0, "read": timeout_s, "write": timeout_s}
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=1000, socket_options=_SOCKET_OPTIONS
        )

    async def __aenter__(self) -> RpcClient:
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self._pool.aclose()

    async def call(self, service: str, method: str, body: dict[str, Any]) -> Any:
        """Makes a unary call and returns the answer as JSON.

        Raises:
          RpcError: The call failed, or its answer cannot be read.
        """
        with _transport_errors():
            response = await self._pool.request(
                "POST",
                self._path(service, method),
                headers=self._headers("application/json"),
                content=json.dumps(body).encode(),
                extensions={"timeout": self._timeout},
            )
        if response.status != 200:
            raise _error(_parse_error(response.content))
        return _parse(response.content)

    async def stream(
        self, service: str, method: str, messages: Iterable[dict[str, Any]]
    ) -> AsyncIterator[Any]:
        """Makes a streaming call and yields the answers as JSON.

        Raises:
          RpcError: The call failed, or its stream ended without an end or with what
            cannot be read.
        """
        content = b"".join(_envelope(message) for message in messages)
        async for answer in self.stream_raw(service, method, _once(content)):
            yield answer

    async def stream_raw(
        self, service: str, method: str, content: AsyncIterator[bytes]
    ) -> AsyncIterator[Any]:
        """Like ``stream``, with envelopes made by ``envelope``."""
        with _transport_errors():
            async with self._pool.stream(
                "POST",
                self._path(service, method),
                headers=self._headers("application/connect+json"),
                content=content,
                extensions={"timeout": self._timeout},
            ) as response:
                if response.status != 200:
                    raise _error(_parse_error(await response.aread()))
                async for flags, message in _envelopes(response):
                    if flags & _END_FLAG:
                        if "error" in message:
                            raise _error(message["error"])
                        return
                    yield message
        raise RpcError("unavailable", "The stream broke off before its end.", {})

    def _path(self, service: str, method: str) -> str:
        return f"{self._url}/{_PACKAGE}.{service}/{method}"

    def _headers(self, content_type: str) -> list[tuple[bytes, bytes]]:
        headers = [(b"content-type", content_type.encode())]
        if self._token:
            headers.append((b"authorization", f"Bearer {self._token}".encode()))
        return headers


def _envelope(message: dict[str, Any]) -> bytes:
    body = json.dumps(message).encode()
    return _HEADER.pack(0, len(body)) + body


async def _once(content: bytes) -> AsyncIterator[bytes]:
    yield content


async def _envelopes(response: httpcore.Response) -> AsyncIterator[tuple[int, Any]]:
    rest = b""
    async for data in response.aiter_stream():
        rest += data
        while len(rest) >= _HEADER.size:
            flags, length = _HEADER.unpack_from(rest)
            end = _HEADER.size + length
            if len(rest) < end:
                break
            if flags & ~_END_FLAG:
                info = {"kind": "broken"}
                raise RpcError("unavailable", "The answer is compressed.", info)
            yield flags, _parse(rest[_HEADER.size : end])
            rest = rest[end:]


@contextlib.contextmanager
def _transport_errors() -> Any:
    try:
        yield
    except _NOT_SENT as error:
        info = {"kind": "unreachable", "outcome": "OUTCOME_NOT_RUN"}
        raise RpcError("unavailable", f"Cannot connect: {error}", info) from error
    except _BROKEN as error:
        why = f"The connection broke: {type(error).__name__}"
        raise RpcError("unavailable", why, {"kind": "broken"}) from error


def _parse(content: bytes) -> dict[str, Any]:
    """Returns a message; what is none must not pass for an empty one or for an end."""
    try:
        message = json.loads(content)
    except ValueError:
        message = None
    if not isinstance(message, dict):
        info = {"kind": "broken"}
        raise RpcError("unavailable", "The answer is no JSON object.", info)
    return message


def _parse_error(content: bytes) -> dict[str, Any]:
    """Returns a failure's body, whoever has sent it."""
    try:
        return _parse(content)
    except RpcError as error:
        return {"code": "unknown", "message": str(error)}


def _error(answer: dict[str, Any]) -> RpcError:
    info: dict[str, Any] = {}
    for detail in answer.get("details", []):
        info = detail.get("debug", {}) or info
    return RpcError(
        answer.get("code", "unknown"), answer.get("message", "No message."), info
    )
