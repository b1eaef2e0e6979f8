"""Clients' calls as the platform forwards them, translated for the gateway."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, unquote

import msgspec
import trio

from coppercleat.asgi import Receive, Scope, Send, serve_lifespan
from coppercleat.gateway import Gateway, JobAnswer
from coppercleat.ids import JobId, RequestId
from coppercleat.jobs import ItemSpec, ItemState, ResultsPage, Submission
from coppercleat.observability import part_logger
from coppercleat.platform._names import CONNECTION_HEADERS, HeaderName, Path
from coppercleat.serving import (
    ClientLimits,
    Header,
    OnlineRequest,
    Refusal,
    RefusalReason,
    Route,
    RouteKind,
)

_log = part_logger("ingress")

MAX_ITEMS = 200
"""Items of one job, by the platform."""

_MS = 1000
_JSON = (b"content-type", b"application/json")
_TEXT = (b"content-type", b"text/plain; charset=utf-8")

_STATUS = {
    RefusalReason.NO_CONFIGURATION: 503,
    RefusalReason.NO_ROUTE: 404,
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.TOO_LARGE: 413,
    RefusalReason.HEADERS_TOO_LARGE: 431,
    RefusalReason.NOT_RUN: 503,
    RefusalReason.OVER_QUOTA: 429,
    RefusalReason.TIMED_OUT: 504,
    RefusalReason.BROKEN: 502,
}

_JOB_STATUS = {
    JobAnswer.ACCEPTED: 202,
    JobAnswer.OVER_QUOTA: 429,
    JobAnswer.NOT_RUN: 503,
    # Neither 429 nor 503: the job may have been accepted.
    JobAnswer.UNKNOWN: 504,
    JobAnswer.FOUND: 200,
    JobAnswer.ENDED: 200,
    JobAnswer.ABSENT: 404,
    JobAnswer.UNSURE: 503,
}

_ITEM_WORD = {ItemState.COMPLETED: "completed", ItemState.FAILED: "dead_letter"}


class _WireItem(msgspec.Struct):
    id: str
    path: str
    headers: dict[str, str] = {}
    body: str = ""
    tokens: int = 0


class _WireJob(msgspec.Struct):
    items: list[_WireItem]


class _WireResult(msgspec.Struct):
    id: str
    state: str
    text: str


class _WirePage(msgspec.Struct):
    total: int
    next: int
    results: list[_WireResult]


class _BadCallError(Exception):
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
        """See ``Reply.abort``: the server closes what the application leaves open."""

    async def whole(self, status: int, headers: list[Header], body: bytes) -> None:
        """Sends an answer of our own."""
        length = (b"content-length", str(len(body)).encode())
        await self.start(status, [*headers, length])
        await self._send({"type": "http.response.body", "body": body})

    async def refuse(self, refusal: Refusal) -> None:
        """See ``Reply.refuse``."""
        headers = [_TEXT]
        if refusal.retry_after_s:
            headers.append(_retry_after(refusal.retry_after_s))
        await self.whole(_STATUS[refusal.reason], headers, refusal.detail.encode())


class Ingress:
    """The ASGI application of the clients' port."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serves one call."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        reply = HttpReply(send, closing=lambda: self.gateway.stopping)
        self.gateway.in_flight += 1
        try:
            await self._answer(scope, receive, reply)
        except _BadCallError as error:
            await reply.refuse(error.refusal)
        except Exception as error:
            # The server ends the answer; its own log is off.
            _log.exception("A call failed.", path=scope["path"], reason=repr(error))
            raise
        finally:
            self.gateway.in_flight -= 1

    async def _answer(self, scope: Scope, receive: Receive, reply: HttpReply) -> None:
        limits = self._limits()
        _check_header_size(scope, limits.header_bytes)
        headers = {name.lower(): value for name, value in scope["headers"]}
        host = headers.get(b"host", b"").decode("latin-1").partition(":")[0].lower()
        path = scope["raw_path"].decode("latin-1")
        body = await _read_body(receive, limits.body_bytes)
        if body is None:
            return
        for prefix, method, handle in _JOB_CALLS:
            if path.startswith(prefix) and scope["method"] == method:
                job = JobId(unquote(path.removeprefix(prefix)))
                query = parse_qs(scope["query_string"].decode("latin-1"))
                await handle(self.gateway, reply, host, job, query)
                return
        route = self.gateway.route(host, path)
        if isinstance(route, Refusal):
            await reply.refuse(route)
        elif route.kind is RouteKind.BATCH:
            if scope["method"] != "POST":
                raise _bad("jobs are submitted by POST")
            submission = _submission(_request_id(headers), host, path, body)
            await self._submit(submission, route, reply)
        else:
            request = _online(scope, headers, body, route)
            await _until_client_leaves(
                receive, lambda: self.gateway.forward(request, route, reply)
            )

    def _limits(self) -> ClientLimits:
        table = self.gateway.watch.table
        return table.config.limits if table else ClientLimits()

    async def _submit(
        self, submission: Submission, route: Route, reply: HttpReply
    ) -> None:
        answer = await self.gateway.jobs.submit(submission, route)
        extra = []
        if answer.retry_after_s:
            extra.append(_retry_after(answer.retry_after_s))
        await reply.whole(_JOB_STATUS[answer.answer], extra, b"")


def _check_header_size(scope: Scope, limit: int) -> None:
    size = len(scope["raw_path"]) + len(scope["query_string"])
    size += sum(len(name) + len(value) + 4 for name, value in scope["headers"])
    if size > limit:
        raise _BadCallError(
            Refusal(
                reason=RefusalReason.HEADERS_TOO_LARGE,
                detail=f"the headers exceed {limit} bytes",
            )
        )


async def _read_body(receive: Receive, limit: int) -> bytes | None:
    """Returns a request's whole body, None if the client leaves before its end."""
    parts = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        part = message.get("body", b"")
        size += len(part)
        if size > limit:
            raise _BadCallError(
                Refusal(
                    reason=RefusalReason.TOO_LARGE,
                    detail=f"the body exceeds {limit} bytes",
                )
            )
        parts.append(part)
        if not message.get("more_body", False):
            return b"".join(parts)


async def _until_client_leaves(
    receive: Receive, work: Callable[[], Awaitable[None]]
) -> None:
    """Runs work until it is done or the client closes its connection."""
    async with trio.open_nursery() as nursery:

        async def watch() -> None:
            while (await receive())["type"] != "http.disconnect":
                pass
            nursery.cancel_scope.cancel()

        nursery.start_soon(watch)
        await work()
        nursery.cancel_scope.cancel()


def _bad(detail: str) -> _BadCallError:
    return _BadCallError(Refusal(reason=RefusalReason.BAD_REQUEST, detail=detail))


def _retry_after(seconds: float) -> Header:
    return HeaderName.RETRY_AFTER, f"{seconds:g}".encode()


def _request_id(headers: dict[bytes, bytes]) -> str:
    request_id = headers.get(HeaderName.REQUEST_ID, b"").decode("latin-1")
    if not request_id:
        raise _bad("the request id is missing")
    return request_id


def _number(headers: dict[bytes, bytes], name: bytes) -> int | None:
    value = headers.get(name)
    if value is None:
        return None
    if not value.isdigit():
        raise _bad(f"{name.decode()} is no whole number")
    return int(value)


def _online(
    scope: Scope, headers: dict[bytes, bytes], body: bytes, route: Route
) -> OnlineRequest:
    """Translates a client's request."""
    target = scope["raw_path"]
    if scope["query_string"]:
        target += b"?" + scope["query_string"]
    deadline_ms = _number(headers, HeaderName.DEADLINE_MS)
    return OnlineRequest(
        request_id=RequestId(_request_id(headers)),
        method=scope["method"],
        host=headers.get(b"host", b"").decode("latin-1"),
        target=target,
        headers=[h for h in scope["headers"] if h[0] not in CONNECTION_HEADERS],
        body=body,
        allowed_s=route.timeout_s if deadline_ms is None else deadline_ms / _MS,
        resume_after=_number(headers, HeaderName.LAST_EVENT_ID),
    )


def _submission(job: str, host: str, path: str, body: bytes) -> Submission:
    """Translates a job; an item that does not fit spoils the whole."""
    try:
        wire = msgspec.json.decode(body, type=_WireJob)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise _bad(f"the job does not fit: {error}") from error
    if not 1 <= len(wire.items) <= MAX_ITEMS:
        raise _bad(f"a job has 1 to {MAX_ITEMS} items")
    if len({item.id for item in wire.items}) < len(wire.items):
        raise _bad("two items have the same id")
    return Submission(
        job=JobId(job), host=host, path=path, items=[_item(i) for i in wire.items]
    )


def _item(wire: _WireItem) -> ItemSpec:
    try:
        body = base64.b64decode(wire.body, validate=True)
    except binascii.Error as error:
        raise _bad(f"the body of item {wire.id} is no base64") from error
    if not wire.path.startswith("/") or wire.tokens < 0 or not wire.id:
        raise _bad(f"item {wire.id!r} has no valid path, id or tokens")
    headers = [(name.encode(), value.encode()) for name, value in wire.headers.items()]
    return ItemSpec(wire.id, wire.path, headers, body, wire.tokens)


async def _send_results(
    gateway: Gateway, reply: HttpReply, host: str, job: JobId, query: dict
) -> None:
    after = query.get("after", ["0"])[0]
    if not after.isdigit():
        raise _bad("after is no whole number")
    answer = await gateway.jobs.results(host, job, after=int(after))
    body = _encode_page(answer.page) if answer.page else b""
    await _send_job_answer(reply, answer.answer, body, [_JSON], answer.retry_after_s)


async def _send_item_body(
    gateway: Gateway, reply: HttpReply, host: str, job: JobId, query: dict
) -> None:
    item = query.get("id", [""])[0]
    answer = await gateway.jobs.item_body(host, job, item)
    await _send_job_answer(reply, answer.answer, answer.body, [], answer.retry_after_s)


async def _end_job(
    gateway: Gateway, reply: HttpReply, host: str, job: JobId, query: dict
) -> None:
    answer = await gateway.jobs.end(host, job)
    await _send_job_answer(reply, answer.answer, b"", [], answer.retry_after_s)


async def _send_job_answer(
    reply: HttpReply,
    answer: JobAnswer,
    body: bytes,
    headers: list[Header],
    retry_after_s: float,
) -> None:
    if retry_after_s:
        headers = [*headers, _retry_after(retry_after_s)]
    await reply.whole(_JOB_STATUS[answer], headers, body)


def _encode_page(page: ResultsPage) -> bytes:
    results = [
        _WireResult(r.item, _ITEM_WORD[r.state], r.text.decode("utf-8", "replace"))
        for r in page.results
    ]
    return msgspec.json.encode(_WirePage(page.total, page.next, results))


_JOB_CALLS = (
    (Path.JOB, "GET", _send_results),
    (Path.JOB_ITEM, "GET", _send_item_body),
    (Path.JOB, "DELETE", _end_job),
)
"""Paths and methods of calls about a job, and what answers them."""


class Readiness:
    """The ASGI application of the readiness port."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serves one call."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        reply = HttpReply(send, closing=lambda: False)
        if scope["path"] == Path.READINESS:
            await reply.whole(200 if self.gateway.ready else 503, [_TEXT], b"")
        elif scope["path"] == Path.METRICS:
            await reply.whole(200, [_TEXT], self.gateway.render_metrics())
        else:
            await reply.whole(404, [_TEXT], b"no such page")
