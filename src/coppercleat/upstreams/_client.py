"""HTTP calls to one upstream, each on a connection of its own while it runs.

An answer that is cut, crossed or malformed closes its connection, so that its
rest can never reach another caller.
"""

from __future__ import annotations

import contextlib
from collections.abc import AsyncGenerator, AsyncIterator

import httpcore
import msgspec
import trio

from coppercleat.errors import (
    CoppercleatError,
    Outcome,
    UpstreamFailedError,
    UpstreamRefusedError,
    UpstreamUnavailableError,
    error_kind,
)
from coppercleat.ids import UpstreamId
from coppercleat.quarantine import ProbeResult
from coppercleat.upstreams._attempt import Attempt, AttemptState
from coppercleat.upstreams._events import EventParser, MalformedStreamError
from coppercleat.upstreams._kept import KeptConnections
from coppercleat.upstreams._refused import nothing_listens
from coppercleat.upstreams._running_time import within

_MAX_ERROR_BYTES = 10_000
_MAX_ANSWER_BYTES = 16_000_000
_REPORT_TIMEOUT_S = 1.0
_HOLDS_S = 0.1
"""A process that is ending may still take a connection, and drops it at once."""

_NOT_SENT = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
_LOST = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class EngineRequest(msgspec.Struct, kw_only=True):
    """A request as engines take it.

    Attributes:
      model: The version to run.
      resume_tokens: Tokens that an earlier, cut run had made.
    """

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    resume_tokens: int = 0
    stream: bool = True


class LoadReport(msgspec.Struct, kw_only=True):
    """What an engine says of itself; it lags."""

    running: int = 0
    waiting: int = 0
    kv_used: int = 0
    kv_tokens: int = 0
    versions: list[str] = msgspec.field(default_factory=list)
    state: str = "live"
    fence: int = 0


class _ErrorBody(msgspec.Struct):
    error: str = ""
    not_run: bool = False


@error_kind(
    "order_refused",
    status="aborted",
    outcome=Outcome.NOT_RUN,
    remedy="Another holder has a newer fencing number; give up the lease.",
)
class OrderRefusedError(CoppercleatError):
    """The engine refused an order with an old fencing number."""


class UpstreamClient:
    """Speaks with one upstream.

    Attributes:
      upstream: The upstream's id.
      address: ``IP:PORT``.
    """

    def __init__(
        self,
        upstream: UpstreamId,
        address: str,
        *,
        connect_timeout_s: float,
        max_connections: int = 1000,
    ) -> None:
        self.upstream = upstream
        self.address = address
        self._timeout = {"connect": connect_timeout_s, "pool": connect_timeout_s}
        self._kept = KeptConnections(address, max_connections=max_connections)

    async def aclose(self) -> None:
        """Closes all connections; running calls fail."""
        await self._kept.aclose()

    async def generate(
        self, request: EngineRequest, attempt: Attempt
    ) -> AsyncGenerator[list[str], None]:
        """Runs a request and yields the tokens as they come.

        Args:
          request: What to run; ``stream`` must be set.
          attempt: Moved along, so that the caller knows what is proved.

        Yields:
          The texts of one or more tokens that arrived together.

        Raises:
          UpstreamUnavailableError: Nothing was sent.
          UpstreamRefusedError: The engine says that it did not run the request.
          UpstreamFailedError: The answer was cut, crossed, malformed or an error.
        """
        parser = EventParser(request.request_id)
        body = msgspec.json.encode(request)
        path, request_id = "/v1/completions", request.request_id
        async with self._exchange(path, body, attempt, request_id) as response:
            await _require_success(response, attempt)
            async for data in response.aiter_stream():
                texts = parser.feed(data)
                if parser.ended:
                    attempt.move(AttemptState.ANSWERED)
                if texts:
                    yield texts
                if parser.ended:
                    return
            raise MalformedStreamError("The stream ended without its end marker")

    async def call(
        self, path: str, body: bytes, attempt: Attempt, *, request_id: str
    ) -> bytes:
        """Passes a request to a plain service and returns its whole answer.

        Raises:
          UpstreamUnavailableError: Nothing was sent.
          UpstreamRefusedError: The service says that it did not run the request.
          UpstreamFailedError: The answer was cut, crossed or an error.
        """
        async with self._exchange(path, body, attempt, request_id) as response:
            await _require_success(response, attempt)
            answer = await _read_limited(response, _MAX_ANSWER_BYTES)
            echoed = dict(response.headers).get(b"x-request-id", b"").decode()
            if echoed != request_id:
                raise MalformedStreamError("The answer belongs to another request")
            attempt.move(AttemptState.ANSWERED)
            return answer

    async def load(self) -> LoadReport | None:
        """Returns the upstream's own report, or None if it gives none."""
        try:
            with trio.fail_after(_REPORT_TIMEOUT_S):
                async with self._kept.call(
                    "GET", "/load", headers=[], body=None, timeout=self._timeout
                ) as response:
                    content = await _read_limited(response, _MAX_ANSWER_BYTES)
            if response.status != 200:
                return None
            return msgspec.json.decode(content, type=LoadReport)
        except (*_LOST, trio.TooSlowError):
            return None
        except (msgspec.MsgspecError, MalformedStreamError):
            return None

    async def look(self) -> ProbeResult:
        """Finds out whether anything listens at the upstream's address.

        It only connects: a plain service would run whatever it is sent.
        """
        host, _, port = self.address.rpartition(":")
        try:
            stream = await within(
                self._timeout["connect"],
                lambda: trio.open_tcp_stream(host, int(port)),
            )
        except (OSError, trio.TooSlowError) as error:
            if nothing_listens(error):
                return ProbeResult.NOTHING_LISTENS
            return ProbeResult.NO_ANSWER
        async with stream:
            with (
                trio.move_on_after(_HOLDS_S) as held,
                contextlib.suppress(trio.BrokenResourceError),
            ):
                await stream.receive_some(1)
        if held.cancelled_caught:
            return ProbeResult.SOMETHING_LISTENS
        return ProbeResult.NO_ANSWER

    async def order(self, action: str, version: str, *, fence: int) -> list[str]:
        """Orders the engine to load or unload a version.

        Returns:
          The versions loaded afterwards.

        Raises:
          OrderRefusedError: The engine has seen a higher fencing number.
          UpstreamFailedError: The order may have been carried out.
        """
        attempt = Attempt()
        body = msgspec.json.encode(
            {"action": action, "version": version, "fence": fence}
        )
        async with self._exchange("/orders", body, attempt) as response:
            if response.status == 412:
                raise OrderRefusedError(f"{self.upstream} refused fence {fence}")
            await _require_success(response, attempt)
            answer = await _read_limited(response, _MAX_ANSWER_BYTES)
        return msgspec.json.decode(answer, type=dict[str, list[str]])["versions"]

    @contextlib.asynccontextmanager
    async def _exchange(
        self, path: str, body: bytes, attempt: Attempt, request_id: str = ""
    ) -> AsyncIterator[httpcore.Response]:
        """Sends a request, and names what a failure proves."""

        def sent() -> None:
            if attempt.state is AttemptState.QUEUED:
                attempt.move(AttemptState.SENT)

        try:
            async with self._kept.call(
                "POST",
                path,
                headers=[
                    (b"content-type", b"application/json"),
                    (b"x-request-id", request_id.encode()),
                ],
                body=body,
                timeout=self._timeout,
                on_sent=sent,
            ) as response:
                yield response
        except _NOT_SENT as error:
            raise UpstreamUnavailableError(
                f"{self.upstream} cannot be reached: {type(error).__name__}"
            ) from error
        except _LOST as error:
            _lose(attempt)
            raise UpstreamFailedError(
                f"{self.upstream} broke off: {type(error).__name__}",
                outcome=attempt.outcome,
            ) from error
        except MalformedStreamError:
            _lose(attempt)
            raise


def _lose(attempt: Attempt) -> None:
    if attempt.state is AttemptState.SENT:
        attempt.move(AttemptState.LOST)


async def _read_limited(response: httpcore.Response, limit: int) -> bytes:
    parts = []
    size = 0
    async for part in response.aiter_stream():
        size += len(part)
        if size > limit:
            raise MalformedStreamError(f"An answer exceeds {limit} bytes")
        parts.append(part)
    return b"".join(parts)


async def _require_success(response: httpcore.Response, attempt: Attempt) -> None:
    """Raises what a status other than 200 proves."""
    if response.status == 200:
        return
    content = await _read_limited(response, _MAX_ERROR_BYTES)
    try:
        body = msgspec.json.decode(content, type=_ErrorBody)
    except (msgspec.DecodeError, msgspec.ValidationError):
        body = _ErrorBody(error="an error without a readable body")
    if body.not_run:
        attempt.move(AttemptState.REFUSED)
        raise UpstreamRefusedError(f"The upstream refused: {body.error}")
    if 400 <= response.status < 500:
        attempt.move(AttemptState.ANSWERED)
        raise UpstreamFailedError(
            f"The upstream answered {response.status}: {body.error}"
        )
    attempt.move(AttemptState.LOST)
    raise UpstreamFailedError(
        f"The upstream answered {response.status}: {body.error}",
        outcome=Outcome.UNKNOWN,
    )
