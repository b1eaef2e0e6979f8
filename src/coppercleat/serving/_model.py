"""Data types of the serving path: routes, upstreams, requests and refusals."""

from __future__ import annotations

import enum
import functools
from typing import Protocol

import msgspec

from coppercleat.accounts import AccountDirectory, ClientAccount
from coppercleat.ids import (
    NO_ACCOUNT,
    UNKNOWN_VERSION,
    JobRef,
    RequestId,
    SoftwareVersion,
    TenantId,
    UpstreamId,
    ZoneId,
)
from coppercleat.quarantine import Fingerprint, fingerprint_of, item_fingerprint
from coppercleat.serving._fair_share import ShareWeights

Header = tuple[bytes, bytes]
"""A header's name in lower case, and its value."""

_AUTHORIZATION = b"authorization"


class RouteKind(enum.Enum):
    """How the requests of a route are served and retried."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"
    BATCH = "batch"


class Target(msgspec.Struct, frozen=True):
    """A service that receives a weighted share of a route's requests."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """One route of the configuration in force.

    Attributes:
      prefix: Path prefix of the requests that belong to the route.
      targets: Services that share the route's requests.
      timeout_s: Time limit of a request, in seconds.
      target_latency_s: Latency target in seconds: to the first event for a stream,
        to the complete response otherwise.
      gap_target_s: Target for the time between two events of a stream, in seconds.
      max_attempts: Upstreams that may be tried for one request; for a batch item,
        failures that it may have.
      priority: Priority among queued online requests; 0 is the most urgent.
      resumable: Whether an interrupted stream may be resumed at another upstream.
      completion_target_s: Seconds after its submission at which a job is due.
      retention_s: Seconds after its submission at which an item may be given up.
      max_waiting_tokens: Limit on the tokens of unfinished items, for each account if
        there are accounts; 0 for no limit.
      public: Whether requests need no API key.
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
    public: bool = False

    @property
    def retryable(self) -> bool:
        """Whether a request that may already have run may be retried."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumes

    def leads_to(self, service: str) -> bool:
        """Returns whether a service receives a share of the requests."""
        if not any(target.weight for target in self.targets):
            return service == self.targets[0].service
        return any(t.service == service and t.weight for t in self.targets)

    @property
    def resumes(self) -> bool:
        """Whether an interrupted response may be resumed: only events are numbered."""
        return self.kind is RouteKind.STREAM and self.resumable


class ClientLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the size and the pace of client requests.

    Attributes:
      header_bytes: Size limit of a request's head.
      body_bytes: Size limit of a request's body.
      header_timeout_s: Seconds allowed for a request's head, and between two parts
        of its body.
      idle_timeout_s: Idle timeout of a client's connection, in seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RouteConfig(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the routes; versions increase monotonically.

    Attributes:
      accounts: Client accounts; None if requests need no API key.
    """

    version: int
    routes: tuple[Route, ...]
    limits: ClientLimits = ClientLimits()
    accounts: tuple[ClientAccount, ...] | None = None


class Upstream(msgspec.Struct, frozen=True, kw_only=True):
    """A model engine or plain service as the platform lists it.

    Attributes:
      id: Stays the same when the upstream restarts.
      service: Service that the upstream implements.
      address: ``IP:PORT``; may be reused by another upstream later.
      zone: Availability zone of the upstream.
      slots: Requests that it processes concurrently.
      draining: Whether it has announced that it will shut down.
      cold_s: Seconds for which it is slow after its start.
      born_ms: Start time by its own clock, in Unix milliseconds; it identifies the
        incarnation, which shares no state with earlier ones. 0 if unknown.
      version: Version of its software; several may serve side by side.
    """

    id: UpstreamId
    service: str
    address: str
    zone: ZoneId
    slots: int = 1
    draining: bool = False
    cold_s: float = 0.0
    born_ms: int = 0
    version: SoftwareVersion = UNKNOWN_VERSION

    def is_same_incarnation(self, born_ms: int) -> bool | None:
        """Returns whether the start time is of this incarnation; None if unknown."""
        if 0 in (self.born_ms, born_ms):
            return None
        return self.born_ms == born_ms

    def is_replaced_by(self, listed: Upstream) -> bool:
        """Returns whether a newer listing of the id is of another incarnation.

        One incarnation has one version of its software.
        """
        has_versions = UNKNOWN_VERSION not in (self.version, listed.version)
        if has_versions and self.version != listed.version:
            return True
        return self.is_same_incarnation(listed.born_ms) is False


class OnlineRequest(msgspec.Struct, kw_only=True, dict=True):
    """A client's request, forwarded to an upstream unchanged.

    Attributes:
      target: Path and query as the client sent them.
      headers: End-to-end headers; hop-by-hop headers are removed.
      allowed_s: Seconds from its arrival after which the client gives up.
      resume_after: Number of the last event that the client has received; None for a
        new request.
      resumes: Id of the client's attempt that brought the first event of the stream
        that it takes up; None if it names none.
      account: Name of the client account, which upstreams get; empty if none is known.
      priority: The account's priority; None for the route's.
      job: The batch job that it is an item of; None for an online request.
    """

    request_id: RequestId
    method: str
    host: str
    target: bytes
    headers: list[Header]
    body: bytes = b""
    allowed_s: float
    resume_after: int | None = None
    resumes: RequestId | None = None
    account: TenantId = NO_ACCOUNT
    priority: int | None = None
    job: JobRef | None = None

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @functools.cached_property
    def fingerprint(self) -> Fingerprint:
        """Identifies the request's content or the item; a retry has the same."""
        if self.job is not None:
            return item_fingerprint(self.job, self.request_id)
        return fingerprint_of(
            method=self.method,
            host=self.host,
            target=self.target,
            account=self._account_or_credentials,
            body=self.body,
        )

    @property
    def _account_or_credentials(self) -> bytes:
        """The client account, else the credentials that upstreams get; may be empty."""
        if self.account:
            return self.account.encode()
        for name, value in self.headers:
            if name.lower() == _AUTHORIZATION:
                return value
        return b""


class RefusalReason(enum.Enum):
    """Why the gateway itself answers a request with an error."""

    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    UNAUTHENTICATED = "unauthenticated"
    STALE_CONFIGURATION = "stale_configuration"
    BAD_REQUEST = "bad_request"
    INCOMPLETE = "incomplete"
    TOO_LARGE = "too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    NOT_RUN = "not_run"
    OVER_QUOTA = "over_quota"
    OVER_ALLOWANCE = "over_allowance"
    TIMED_OUT = "timed_out"
    BROKEN = "broken"


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """An error response of the gateway in place of an upstream's response.

    Attributes:
      detail: Cause in words, sent to the client.
      retry_after_s: Seconds after which to retry a request that was not run.
    """

    reason: RefusalReason
    detail: str
    retry_after_s: float = 0.0


class Reply(Protocol):
    """Writes the response to one client request."""

    async def start(self, status: int, headers: list[Header]) -> None:
        """Sends status and headers of an upstream's response."""
        ...

    async def send(self, data: bytes) -> None:
        """Sends the next part of the body."""
        ...

    async def finish(self) -> None:
        """Ends a complete body."""
        ...

    async def abort(self) -> None:
        """Ends the response so that the client sees that it is incomplete."""
        ...

    async def refuse(self, refusal: Refusal) -> None:
        """Sends a refusal; nothing may have been sent before."""
        ...


class RouteTable:
    """Finds the route and the client account of a request.

    Attributes:
      config: The configuration that the table was built from.
      accounts: Finds accounts by their keys; None if requests need no key.
      share_weights: Weights of the accounts in the sharing of slots; None without
        accounts.
    """

    def __init__(self, config: RouteConfig) -> None:
        self.config = config
        self.accounts: AccountDirectory | None = None
        self.share_weights: ShareWeights | None = None
        if config.accounts is not None:
            self.accounts = AccountDirectory(config.accounts)
        if config.accounts:
            self.share_weights = ShareWeights(config.accounts)
        self._by_host: dict[str, list[Route]] = {}
        for route in config.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def routes_of(self, host: str) -> list[Route]:
        """Returns the routes of a host."""
        return self._by_host.get(host.lower(), [])

    def match(self, host: str, path: str) -> Route | None:
        """Returns the host's route with the longest matching prefix, if any."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None
