"""Clients' calls as the platform forwards them, translated for the gateway."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any
from urllib.parse import parse_qs, unquote

import msgspec
import trio

from coppercleat import quarantine
from coppercleat.accounts import ClientAccount
from coppercleat.asgi import Receive, Scope, Send, serve_lifespan
from coppercleat.gateway import Gateway
from coppercleat.ids import NO_ACCOUNT, JobId, RequestId, TenantId
from coppercleat.observability import part_logger
from coppercleat.platform._held_reply import reply_for
from coppercleat.platform._job_calls import (
    JOB_CALLS,
    JobCaller,
    decode_submission,
    submit_job,
    without_account,
)
from coppercleat.platform._names import CONNECTION_HEADERS, HeaderName, Path
from coppercleat.platform._reply import JSON, TEXT, BadCallError, HttpReply, bad_call
from coppercleat.serving import (
    ClientLimits,
    OnlineRequest,
    Refusal,
    RefusalReason,
    Route,
    RouteKind,
)

_log = part_logger("ingress")

_MS = 1000

_READ_UP_S = 0.1
"""Added to a client's time, to read what already waits in its socket: some 1 ms, more
in a process that goes on with all its clients at once."""


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
        reply = reply_for(scope, send, closing=lambda: self.gateway.stopping)
        self.gateway.in_flight += 1
        try:
            await self._answer(scope, receive, reply)
        except BadCallError as error:
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
        body = await _read_body(receive, limits)
        if body is None:
            return
        for prefix, method, handle in JOB_CALLS:
            if path.startswith(prefix) and scope["method"] == method:
                job = JobId(unquote(path.removeprefix(prefix)))
                query = parse_qs(scope["query_string"].decode("latin-1"))
                account = self._account(headers, public=self._has_public_jobs(host))
                caller = JobCaller(host, self._account_name(account))
                await handle(self.gateway, reply, caller, job, query)
                return
        route = self.gateway.route(host, path)
        if isinstance(route, Refusal):
            await reply.refuse(route)
            return
        account = self._account(headers, public=route.public)
        if route.kind is RouteKind.BATCH:
            if scope["method"] != "POST":
                raise bad_call("jobs are submitted by POST")
            submission = decode_submission(
                _request_id(headers),
                host,
                path,
                body,
                account=self._account_name(account),
            )
            await submit_job(self.gateway, reply, submission, route)
        else:
            request = _online(scope, headers, body, route)
            if self._has_accounts:
                request.headers = without_account(request.headers)
            await _until_client_leaves(
                receive,
                lambda: self.gateway.forward(request, route, reply, account=account),
            )

    @property
    def _has_accounts(self) -> bool:
        table = self.gateway.watch.table
        return table is not None and table.accounts is not None

    def _account(
        self, headers: dict[bytes, bytes], *, public: bool
    ) -> ClientAccount | None:
        """Returns the caller's account, None if there is none and none is needed.

        Raises:
          BadCallError: The key is missing or unknown.
        """
        found = self.gateway.callers.identify(
            headers.get(HeaderName.API_KEY), public=public
        )
        if isinstance(found, Refusal):
            raise BadCallError(found)
        return found

    def _account_name(self, account: ClientAccount | None) -> TenantId | None:
        """Returns an account's name; empty for none, None where there are none."""
        if not self._has_accounts:
            return None
        return account.name if account else NO_ACCOUNT

    def _has_public_jobs(self, host: str) -> bool:
        table = self.gateway.watch.table
        return table is not None and any(
            route.public and route.kind is RouteKind.BATCH
            for route in table.routes_of(host)
        )

    def _limits(self) -> ClientLimits:
        table = self.gateway.watch.table
        return table.config.limits if table else ClientLimits()


def _check_header_size(scope: Scope, limit: int) -> None:
    size = len(scope["raw_path"]) + len(scope["query_string"])
    size += sum(len(name) + len(value) + 4 for name, value in scope["headers"])
    if size > limit:
        raise BadCallError(
            Refusal(
                reason=RefusalReason.HEADERS_TOO_LARGE,
                detail=f"the headers exceed {limit} bytes",
            )
        )


async def _receive_within(
    receive: Receive, seconds: float
) -> MutableMapping[str, Any] | None:
    """Returns the next message, None for a client that is gone without a word.

    A process that stood still finds its time up before it has read what came meanwhile.
    """
    for patience_s in (seconds, _READ_UP_S):
        with trio.move_on_after(patience_s):
            return await receive()
    return None


async def _read_body(receive: Receive, limits: ClientLimits) -> bytes | None:
    """Returns a request's whole body, None if the client leaves before its end."""
    parts = []
    size = 0
    while True:
        message = await _receive_within(receive, limits.header_timeout_s)
        if message is None:
            raise BadCallError(
                Refusal(
                    reason=RefusalReason.INCOMPLETE,
                    detail=f"no more of the body for {limits.header_timeout_s:g} s",
                )
            )
        if message["type"] == "http.disconnect":
            return None
        part = message.get("body", b"")
        size += len(part)
        if size > limits.body_bytes:
            raise BadCallError(
                Refusal(
                    reason=RefusalReason.TOO_LARGE,
                    detail=f"the body exceeds {limits.body_bytes} bytes",
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


def _request_id(headers: dict[bytes, bytes]) -> str:
    request_id = headers.get(HeaderName.REQUEST_ID, b"").decode("latin-1")
    if not request_id:
        raise bad_call("the request id is missing")
    return request_id


def _number(headers: dict[bytes, bytes], name: bytes) -> int | None:
    value = headers.get(name)
    if value is None:
        return None
    if not value.isdigit():
        raise bad_call(f"{name.decode()} is no whole number")
    return int(value)


def _online(
    scope: Scope, headers: dict[bytes, bytes], body: bytes, route: Route
) -> OnlineRequest:
    """Translates a client's request."""
    target = scope["raw_path"]
    if scope["query_string"]:
        target += b"?" + scope["query_string"]
    deadline_ms = _number(headers, HeaderName.DEADLINE_MS)
    resumes = headers.get(HeaderName.RESUMES, b"").decode("latin-1")
    return OnlineRequest(
        request_id=RequestId(_request_id(headers)),
        method=scope["method"],
        host=headers.get(b"host", b"").decode("latin-1"),
        target=target,
        headers=[h for h in scope["headers"] if h[0] not in CONNECTION_HEADERS],
        body=body,
        allowed_s=route.timeout_s if deadline_ms is None else deadline_ms / _MS,
        resume_after=_number(headers, HeaderName.LAST_EVENT_ID),
        resumes=RequestId(resumes) if resumes else None,
    )


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
            await reply.whole(200 if self.gateway.ready else 503, [TEXT], b"")
        elif scope["path"] == Path.METRICS:
            await reply.whole(200, [TEXT], self.gateway.render_metrics())
        elif scope["path"] == Path.ACCOUNTS:
            found = self.gateway.list_accounts()
            await reply.whole(200, [JSON], msgspec.json.encode(found))
        elif scope["path"] == quarantine.QUARANTINE_PATH:
            await quarantine.serve_quarantine(self.gateway.crash_detector, scope, send)
        else:
            await reply.whole(404, [TEXT], b"no such page")
