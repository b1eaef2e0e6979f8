"""What every ASGI application here needs: types, bodies and answers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import msgspec

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]

_MAX_BODY_BYTES = 4_000_000


async def serve_lifespan(receive: Receive, send: Send) -> None:
    """Answers the server's start and stop; nothing is done at either."""
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def read_body(receive: Receive) -> bytes:
    """Returns a request's whole body, cut at the size limit."""
    parts = []
    size = 0
    while True:
        message = await receive()
        part = message.get("body", b"")
        size += len(part)
        if size <= _MAX_BODY_BYTES:
            parts.append(part)
        if not message.get("more_body", False):
            return b"".join(parts)


async def start_response(
    send: Send, status: int, content_type: bytes, request_id: str
) -> None:
    """Sends status and headers."""
    headers = [(b"content-type", content_type), (b"x-request-id", request_id.encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers})


async def send_part(send: Send, part: bytes, *, more: bool = True) -> None:
    """Sends a part of the body."""
    await send({"type": "http.response.body", "body": part, "more_body": more})


async def send_json(
    send: Send, status: int, value: object, *, request_id: str = ""
) -> None:
    """Sends a whole JSON answer."""
    await start_response(send, status, b"application/json", request_id)
    await send_part(send, msgspec.json.encode(value), more=False)
