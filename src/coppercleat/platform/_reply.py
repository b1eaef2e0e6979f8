"""Answers to clients' calls, sent over ASGI."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import trio

from coppercleat.asgi import Send
from coppercleat.platform._names import HeaderName
from coppercleat.serving import Header, Refusal, RefusalReason

TEXT = (b"content-type", b"text/plain; charset=utf-8")
JSON = (b"content-type", b"application/json")

_STATUS = {
    RefusalReason.NO_CONFIGURATION: 503,
    RefusalReason.NO_ROUTE: 404,
    RefusalReason.UNAUTHENTICATED: 401,
    RefusalReason.STALE_CONFIGURATION: 503,
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.INCOMPLETE: 408,
    RefusalReason.TOO_LARGE: 413,
    RefusalReason.HEADERS_TOO_LARGE: 431,
    RefusalReason.NOT_RUN: 503,
    RefusalReason.OVER_QUOTA: 429,
    RefusalReason.OVER_ALLOWANCE: 429,
    RefusalReason.TIMED_OUT: 504,
    RefusalReason.BROKEN: 502,
}


class BadCallError(Exception):
    """The call cannot be understood; the refusal says why."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


class HttpReply:
    """Sends an answer over ASGI; see ``Reply``.

    Each message is sent whole or not at all: the server counts a message as sent
    before it waits for the socket, so one that is cancelled in between would leave
    the connection in a state that the server does not expect, and ends the process.
    """

    def __init__(self, send: Send, *, closing: Callable[[], bool]) -> None:
        """Prepares the reply.

        Args:
          send: The ASGI server's.
          closing: Tells whether the connection is to be closed after the answer.
        """
        self._unshielded_send = send
        self._closing = closing

    async def _send(self, message: dict[str, Any]) -> None:
        with trio.CancelScope(shield=True):
            await self._unshielded_send(message)

    async def start(self, status: int, headers: list[Header]) -> None:
        """See ``Reply.start``."""
        if self._closing():
            headers = [*headers, (b"connection", b"close")]
        await self._send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def send(self, data: bytes) -> None:
        """See ``Reply.send``."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self) -> None:
        """See ``Reply.finish``."""
        await self._send({"type": "http.response.body", "body": b""})

    async def abort(self) -> None:
        """See ``Reply.abort``: the server closes what the application leaves open.

        A client sees that by the missing last chunk, or by the length.
        """

    async def whole(self, status: int, headers: list[Header], body: bytes) -> None:
        """Sends an answer of our own."""
        length = (b"content-length", str(len(body)).encode())
        await self.start(status, [*headers, length])
        await self._send({"type": "http.response.body", "body": body})

    async def refuse(self, refusal: Refusal) -> None:
        """See ``Reply.refuse``."""
        headers = [TEXT]
        if refusal.retry_after_s:
            headers.append(retry_after(refusal.retry_after_s))
        await self.whole(_STATUS[refusal.reason], headers, refusal.detail.encode())


def bad_call(detail: str) -> BadCallError:
    """Returns the error of a call that cannot be understood."""
    return BadCallError(Refusal(reason=RefusalReason.BAD_REQUEST, detail=detail))


def retry_after(seconds: float) -> Header:
    """Returns the header that says when to come back."""
    return HeaderName.RETRY_AFTER, f"{seconds:g}".encode()
