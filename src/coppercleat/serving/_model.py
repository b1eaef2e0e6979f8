"""Routes, upstreams and requests, as the serving path knows them."""

from __future__ import annotations

import enum
import functools
from typing import Protocol

import msgspec

from coppercleat.ids import RequestId, UpstreamId, ZoneId
from coppercleat.quarantine import Fingerprint, fingerprint_of

Header = tuple[bytes, bytes]
"""A header's name in lower case, and its value."""


_AUTHORIZATION = b"authorization"


class RouteKind(enum.Enum):
    """What may be done with a request of a route."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"
    BATCH = "batch"


class Target(msgspec.Struct, frozen=True):
    """A service that takes a share of a route's requests."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """One route of the configuration in force.

    Attributes:
      prefix: Requests whose path begins with it belong to the route.
      timeout_s: Longest time a request is kept waiting.
      target_latency_s: To the first event of a stream, else to the answer.
      gap_target_s: Longest pause between events that is still on time.
      max_attempts: Upstreams that one request, or failures that one batch item,
        may meet.
      resumable: Whether a cut stream may go on at another upstream.
      completion_target_s: How long after its submission a job is due.
      retention_s: How long after its submission an item may be given up.
      max_waiting_tokens: Tokens of unfinished items at most; 0 for no limit.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout_s: float
    target_latency_s: float = 1.0
    gap_target_s: float = 0.0
    max_attempts: int = 1
    priority: int = 0
    resumable: bool = False
    completion_target_s: float = 0.0
    retention_s: float = 0.0
    max_waiting_tokens: int = 0

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumes

    @property
    def resumes(self) -> bool:
        """Whether an answer that was cut may go on: other bodies have no numbers."""
        return self.kind is RouteKind.STREAM and self.resumable


class ClientLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What a client may send and how long it may take.

    Attributes:
      header_timeout_s: For a request's head, and between the parts of its body.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RouteConfig(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the routes; versions only ever grow."""

    version: int
    routes: tuple[Route, ...]
    limits: ClientLimits = ClientLimits()


class Upstream(msgspec.Struct, frozen=True, kw_only=True):
    """A model engine or service as the platform lists it.

    Attributes:
      id: Names the upstream; it may start again under the same.
      address: ``IP:PORT``; may later belong to another upstream.
      slots: Requests that it runs side by side.
      draining: Whether it has said that it will leave.
      cold_s: Seconds for which it stays slow after its start.
      born_ms: Unix milliseconds of its start by its own clock: another value is
        another life, which holds and knows nothing of the one before; 0 if unknown.
    """

    id: UpstreamId
    service: str
    address: str
    zone: ZoneId
    slots: int = 1
    draining: bool = False
    cold_s: float = 0.0
    born_ms: int = 0

    def is_same_life(self, born_ms: int) -> bool | None:
        """Returns whether this start is the one of a birth; None if it is not known."""
        if 0 in (self.born_ms, born_ms):
            return None
        return self.born_ms == born_ms


class OnlineRequest(msgspec.Struct, kw_only=True, dict=True):
    """A client's request, to be passed on unchanged.

    Attributes:
      target: Path and query as the client sent them.
      headers: Without those that concern one connection only.
      allowed_s: Seconds that the client will wait, from its arrival.
      resume_after: Number of the last event that the client has; None for none.
    """

    request_id: RequestId
    method: str
    host: str
    target: bytes
    headers: list[Header]
    body: bytes = b""
    allowed_s: float
    resume_after: int | None = None

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @functools.cached_property
    def fingerprint(self) -> Fingerprint:
        """Names what it asks: the same when a client sends it again."""
        return fingerprint_of(
            method=self.method,
            host=self.host,
            target=self.target,
            account=self._account,
            body=self.body,
        )

    @property
    def _account(self) -> bytes:
        """What the client proves its account by, if it does."""
        for name, value in self.headers:
            if name.lower() == _AUTHORIZATION:
                return value
        return b""


class RefusalReason(enum.Enum):
    """Why a request gets an answer of our own."""

    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    BAD_REQUEST = "bad_request"
    INCOMPLETE = "incomplete"
    TOO_LARGE = "too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    NOT_RUN = "not_run"
    OVER_QUOTA = "over_quota"
    TIMED_OUT = "timed_out"
    BROKEN = "broken"


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """An answer of our own in place of an upstream's.

    Attributes:
      retry_after_s: When to come back, for requests that were not run.
    """

    reason: RefusalReason
    detail: str
    retry_after_s: float = 0.0


class Reply(Protocol):
    """Where the answer to one request goes."""

    async def start(self, status: int, headers: list[Header]) -> None:
        """Sends status and headers of an upstream's answer."""
        ...

    async def send(self, data: bytes) -> None:
        """Sends a part of the body."""
        ...

    async def finish(self) -> None:
        """Ends the body as complete."""
        ...

    async def abort(self) -> None:
        """Ends the answer so that the client sees it as broken off."""
        ...

    async def refuse(self, refusal: Refusal) -> None:
        """Sends an answer of our own; nothing may have been sent before."""
        ...


class RouteTable:
    """Finds the route of a request.

    Attributes:
      config: The configuration it was built from.
    """

    def __init__(self, config: RouteConfig) -> None:
        self.config = config
        self._by_host: dict[str, list[Route]] = {}
        for route in config.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of the path, if any."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None
