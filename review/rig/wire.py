"""HTTP/1.1 for the stand-ins: a server and a client, by the standard library alone."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Awaitable, Callable
from urllib.parse import parse_qs, unquote

_READ_BYTES = 65_536


@dataclasses.dataclass
class Call:
    """A request as a stand-in gets it.

    Attributes:
      path: The path without its query.
      target: Path and query as they were sent.
      headers: By lower-case name.
      closed: Set once the caller has closed the channel.
    """

    method: str
    path: str
    target: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter
    closed: asyncio.Event


Handler = Callable[[Call], Awaitable[None]]


async def reply(
    call: Call,
    status: int,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> None:
    """Sends a whole answer with a length."""
    lines = [f"HTTP/1.1 {status} X", f"content-length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    call.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    await call.writer.drain()


async def _read_call(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> Call | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    path, _, query = target.partition("?")
    values = {name: found[0] for name, found in parse_qs(query).items()}
    return Call(
        method, unquote(path), target, values, headers, body, writer, asyncio.Event()
    )


async def serve(port: int, handle: Handler, *, keep: bool) -> asyncio.Server:
    """Serves on a loopback port; port 0 takes a free one.

    Args:
      port: The port.
      handle: Answers a call.
      keep: Whether channels are kept for further calls. If not, the end of the
        channel is watched while a call is answered.
    """

    async def connected(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while call := await _read_call(reader, writer):
                if keep:
                    await handle(call)
                    continue
                watch = asyncio.create_task(_watch(reader, call.closed))
                try:
                    await handle(call)
                finally:
                    watch.cancel()
                break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            with contextlib.suppress(Exception):
                writer.close()

    return await asyncio.start_server(connected, "127.0.0.1", port)


async def _watch(reader: asyncio.StreamReader, closed: asyncio.Event) -> None:
    with contextlib.suppress(ConnectionError):
        while await reader.read(_READ_BYTES):
            pass
    closed.set()


@dataclasses.dataclass
class Answer:
    """What a client got.

    Attributes:
      status: 0 if no answer came.
      whole: Whether the body came to its end.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool

    @property
    def event_ids(self) -> list[int]:
        """Ids of the events in the body, in order."""
        lines = self.body.decode("utf-8", "replace").splitlines()
        return [int(line[4:]) for line in lines if line.startswith("id: ")]


NO_ANSWER = Answer(0, {}, b"", whole=False)


class Channel:
    """A client's channel to a gateway, kept for several requests."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Takes an open connection; see ``open_channel``."""
        self._reader = reader
        self._writer = writer

    async def ask(
        self, method: str, target: str, headers: dict[str, str], body: bytes = b""
    ) -> Answer:
        """Sends a request and returns its answer, whole or not."""
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"content-length: {len(body)}")
        try:
            self._writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await self._writer.drain()
            head = await self._reader.readuntil(b"\r\n\r\n")
        except (ConnectionError, asyncio.IncompleteReadError):
            return NO_ANSWER
        first, *rest = head.decode("latin-1").split("\r\n")
        found = {}
        for line in filter(None, rest):
            name, _, value = line.partition(":")
            found[name.strip().lower()] = value.strip()
        parts: list[bytes] = []
        whole = True
        try:
            async for part in self._body(found):
                parts.append(part)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            whole = False
        return Answer(int(first.split(" ")[1]), found, b"".join(parts), whole)

    async def _body(self, headers: dict[str, str]) -> AsyncIterator[bytes]:
        if headers.get("transfer-encoding") == "chunked":
            while size := int((await self._reader.readuntil(b"\r\n")).strip(), 16):
                yield (await self._reader.readexactly(size + 2))[:-2]
            await self._reader.readuntil(b"\r\n")
        elif "content-length" in headers:
            yield await self._reader.readexactly(int(headers["content-length"]))
        else:
            while part := await self._reader.read(_READ_BYTES):
                yield part

    def close(self) -> None:
        """Closes the channel."""
        with contextlib.suppress(Exception):
            self._writer.close()


async def open_channel(port: int, *, within_s: float = 1.0) -> Channel | None:
    """Opens a channel to a loopback port; None if nobody takes it in time."""
    try:
        opening = asyncio.open_connection("127.0.0.1", port, limit=4_000_000)
        reader, writer = await asyncio.wait_for(opening, within_s)
    except (TimeoutError, OSError):
        return None
    return Channel(reader, writer)


async def ask(
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    within_s: float = 8.0,
) -> Answer:
    """Makes a call on a channel of its own."""
    channel = await open_channel(port)
    if channel is None:
        return NO_ANSWER
    try:
        return await asyncio.wait_for(
            channel.ask(method, target, headers, body), within_s
        )
    except TimeoutError:
        return NO_ANSWER
    finally:
        channel.close()
