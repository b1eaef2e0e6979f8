"""Requests to upstreams: one connection each, closed after its answer.

A connection that is never used again cannot deliver the extra or late answers that
an upstream may send, and closing it ends the run.
"""

from __future__ import annotations

import contextlib
import re
from collections.abc import AsyncIterator
from typing import Annotated, Any

import httpcore
import msgspec
import trio

from coppercleat.platform._names import (
    ACCOUNT_HEADERS,
    CONNECTION_HEADERS,
    HeaderName,
    Path,
)
from coppercleat.quarantine import Fingerprint, part_fingerprint
from coppercleat.serving import (
    Header,
    OnlineRequest,
    Upstream,
    UpstreamCallError,
    UpstreamNotListeningError,
    UpstreamReport,
    UpstreamResponse,
)
from coppercleat.storage import BAD_BYTES
from coppercleat.upstreams import (
    Attempt,
    AttemptState,
    RunningTimeBackend,
    nothing_listens,
    within,
)

CONNECT_TIMEOUT_S = 0.1
"""Connecting takes about 2 ms; an upstream that does not answer by then, while this
process runs, is taken as unreachable, with most of a request's 0.3 s still unspent
elsewhere."""

_BACKEND = RunningTimeBackend()

_MS = 1000
_MISDIRECTED = 421
_BROKEN = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
_REPLACED = frozenset(
    {
        *CONNECTION_HEADERS,
        b"content-length",
        b"host",
        HeaderName.REQUEST_ID,
        HeaderName.DEADLINE_MS,
        HeaderName.EXPECT_INSTANCE,
        HeaderName.LAST_EVENT_ID,
    }
)


REPORT_TIMEOUT_S = 0.2
"""An upstream answers without a slot, in some 2 ms; a report that comes later says
nothing of now."""


_STAMP = re.compile(rb"[!-~]+")

_MAX_REPORT_BYTES = 65_536
"""Some 100 times the usual report; the body may have no end."""

_Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
_UnixMs = Annotated[int, msgspec.Meta(ge=0, lt=2**53)]


class _ReportBody(msgspec.Struct):
    """The fields of a report that are read; ``queued`` waits for a slot."""

    running: _Count
    queued: _Count
    born: _UnixMs = 0


class HttpUpstreamCaller:
    """Sends requests as the platform's upstreams take them."""

    async def report(self, upstream: Upstream) -> UpstreamReport:
        """See ``UpstreamCaller.report``."""
        try:
            content = await within(
                CONNECT_TIMEOUT_S + REPORT_TIMEOUT_S, lambda: _read_report(upstream)
            )
            body = msgspec.json.decode(content, type=_ReportBody)
        except (*_BROKEN, *BAD_BYTES, trio.TooSlowError) as error:
            if nothing_listens(error):
                raise UpstreamNotListeningError("no report: refused") from error
            raise UpstreamCallError(f"no report: {error!r}") from error
        return UpstreamReport(
            running=body.running, waiting=body.queued, born_ms=body.born
        )

    def prompt_parts(self, request: OnlineRequest) -> tuple[Fingerprint, ...]:
        """See ``UpstreamCaller.prompt_parts``; the last part is the request's own."""
        for name, value in request.headers:
            if name.lower() == HeaderName.PROMPT_PREFIX:
                parts = (entry.partition(b":")[0] for entry in value.split(b",")[:-1])
                return tuple(part_fingerprint(part.strip()) for part in parts)
        return ()

    @contextlib.asynccontextmanager
    async def exchange(
        self,
        upstream: Upstream,
        request: OnlineRequest,
        *,
        attempt: Attempt,
        allowed_s: float | None,
        resume_after: int | None,
    ) -> AsyncIterator[UpstreamResponse]:
        """See ``UpstreamCaller.exchange``."""
        url = _url(upstream, request.target)
        connection = _connection_to(url)

        async def trace(event: str, info: dict[str, Any]) -> None:
            if event.endswith("send_request_headers.started"):
                attempt.move(AttemptState.SENT)

        wire = httpcore.Request(
            request.method,
            url,
            headers=_headers(upstream, request, allowed_s, resume_after),
            content=request.body or None,
            extensions={"timeout": {"connect": CONNECT_TIMEOUT_S}, "trace": trace},
        )
        try:
            response = await connection.handle_async_request(wire)
            yield _answer(request, response, attempt)
        except _BROKEN as error:
            raise _broke(upstream, error, attempt) from error
        finally:
            await connection.aclose()


async def _read_report(upstream: Upstream) -> bytes:
    """Returns the body of an upstream's report.

    Raises:
      UpstreamCallError: The body is too long.
    """
    url = _url(upstream, Path.UPSTREAM_REPORT)
    body = bytearray()
    async with (
        _connection_to(url) as connection,
        connection.stream(
            "GET",
            url,
            headers=[(b"host", upstream.address.encode())],
            extensions={"timeout": {"connect": CONNECT_TIMEOUT_S}},
        ) as response,
    ):
        async for data in response.aiter_stream():
            body += data
            if len(body) > _MAX_REPORT_BYTES:
                raise UpstreamCallError(
                    f"no report: the body exceeds {_MAX_REPORT_BYTES} bytes"
                )
    return bytes(body)


def _connection_to(url: httpcore.URL) -> httpcore.AsyncHTTPConnection:
    return httpcore.AsyncHTTPConnection(origin=url.origin, network_backend=_BACKEND)


def _url(upstream: Upstream, target: bytes) -> httpcore.URL:
    """Returns where a call to an upstream goes; ``target`` is its path and query."""
    host, _, port = upstream.address.rpartition(":")
    return httpcore.URL(
        scheme=b"http", host=host.encode(), port=int(port), target=target
    )


def _headers(
    upstream: Upstream,
    request: OnlineRequest,
    allowed_s: float | None,
    resume_after: int | None,
) -> list[Header]:
    headers = [(b"host", request.host.encode())]
    replaced = _REPLACED | ACCOUNT_HEADERS if request.account else _REPLACED
    headers += [h for h in request.headers if h[0].lower() not in replaced]
    headers.append((HeaderName.REQUEST_ID, request.request_id.encode()))
    headers.append((HeaderName.EXPECT_INSTANCE, upstream.id.encode()))
    if request.account:
        headers.append((HeaderName.ACCOUNT, request.account.encode()))
    if allowed_s is not None:
        left_ms = max(1, int(allowed_s * _MS))
        headers.append((HeaderName.DEADLINE_MS, str(left_ms).encode()))
    if resume_after is not None:
        headers.append((HeaderName.LAST_EVENT_ID, str(resume_after).encode()))
    if request.body or request.method not in ("GET", "HEAD"):
        headers.append((b"content-length", str(len(request.body)).encode()))
    return headers


def _answer(
    request: OnlineRequest, response: httpcore.Response, attempt: Attempt
) -> UpstreamResponse:
    """Takes the head of an answer apart."""
    by_name: dict[bytes, list[bytes]] = {}
    for name, value in response.headers:
        by_name.setdefault(name.lower(), []).append(value)
    other = response.status == _MISDIRECTED
    refused = HeaderName.NOT_EXECUTED in by_name
    if other or refused:
        attempt.move(AttemptState.REFUSED)
    else:
        echoed = by_name.get(HeaderName.REQUEST_ID, [])
        if set(echoed) != {request.request_id.encode()}:
            attempt.move(AttemptState.LOST)
            raise UpstreamCallError("the answer belongs to another request")
    headers = [
        (name, value)
        for name, value in response.headers
        if name.lower() not in CONNECTION_HEADERS
    ]
    return UpstreamResponse(
        status=response.status,
        headers=headers,
        refused=refused,
        wrong_upstream=other,
        authenticated=_has_stamp(by_name.get(HeaderName.RESPONSE_STAMP, [])),
        body=_body(response, attempt),
        self_delimited=b"content-length" in by_name or b"transfer-encoding" in by_name,
    )


def _has_stamp(stamps: list[bytes]) -> bool:
    """Returns whether there is one stamp; what it says is for the client to check."""
    return len(stamps) == 1 and bool(_STAMP.fullmatch(stamps[0]))


async def _body(response: httpcore.Response, attempt: Attempt) -> AsyncIterator[bytes]:
    try:
        async for data in response.aiter_stream():
            yield data
    except _BROKEN as error:
        kind = type(error).__name__
        raise UpstreamCallError(
            f"the answer was cut: {kind}", disconnected=True
        ) from error
    if attempt.state is AttemptState.SENT:
        attempt.move(AttemptState.ANSWERED)


def _broke(upstream: Upstream, error: Exception, attempt: Attempt) -> UpstreamCallError:
    if attempt.state is AttemptState.SENT:
        attempt.move(AttemptState.LOST)
    kind = UpstreamNotListeningError if nothing_listens(error) else UpstreamCallError
    return kind(
        f"{upstream.id} at {upstream.address}: {type(error).__name__} {error}",
        disconnected=True,
    )
