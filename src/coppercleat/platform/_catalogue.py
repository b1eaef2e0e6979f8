"""Routes and upstreams as the operator and the upstreams write them to the store."""

from __future__ import annotations

import enum
import ipaddress
import re
from typing import Annotated, Any

import msgspec

from coppercleat.accounts import AccountDirectory, ClientAccount, digest_of
from coppercleat.ids import SoftwareVersion, TenantId, UpstreamId, ZoneId
from coppercleat.observability import part_logger
from coppercleat.platform._names import RouteWord
from coppercleat.platform._store import StoreClient
from coppercleat.serving import (
    ClientLimits,
    Route,
    RouteConfig,
    RouteKind,
    Target,
    Upstream,
)
from coppercleat.storage import BAD_BYTES, Row, TableFollower

_MS = 1000
_MAX_PORT = 65_535
_MAX_SLOTS = 65_536
"""More than an address has ports; such an entry would draw all requests to it."""

_MAX_COLD_MS = 3_600_000.0
"""An upstream that stays slow for longer than an hour after its start is none."""

_MAX_BORN_MS = 2**53
"""The largest number that every writer of JSON keeps whole."""

_ID = re.compile(r"[\x21-\x7e]{1,200}")
_ID_PATTERN = r"^[\x21-\x7e]{1,200}$"
"""An id goes into a header; the store takes keys of 200 bytes."""

_CONFIG_TABLE = "op"
_CONFIG_NAME = "config"
_CONFIG_KEY = f"{_CONFIG_TABLE}/{_CONFIG_NAME}"
_UPSTREAM_TABLE = "servers"

_KINDS = {
    RouteWord.IDEMPOTENT: RouteKind.IDEMPOTENT,
    RouteWord.NON_IDEMPOTENT: RouteKind.AT_MOST_ONCE,
    RouteWord.STREAM: RouteKind.STREAM,
    RouteWord.BATCH: RouteKind.BATCH,
}

_MAX_LOGGED_ACCOUNTS = 5

_log = part_logger("platform")


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _WireRoute(msgspec.Struct, rename="camel"):
    name: str
    hostname: str
    prefix: str
    route_type: RouteWord
    timeout_ms: float
    target_latency_ms: float = 1000
    gap_target_ms: float = 0
    max_attempts: int = 1
    priority: int = 0
    service: str = ""
    traffic_split: list[_Split] = []
    resumable: bool = False
    completion_target_ms: float = 0
    retention_s: float = 0
    # Not a number of things: tokens that may wait on the route.
    max_count: int = 0
    public: bool = False


class _WireAccount(msgspec.Struct, rename="camel"):
    """An account; a header carries its name, so that it must fit into one."""

    name: Annotated[str, msgspec.Meta(pattern=_ID_PATTERN)]
    api_keys: list[str] = []
    priority: Annotated[int, msgspec.Meta(ge=0)] | None = None
    rate_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0
    burst: Annotated[float, msgspec.Meta(ge=0)] = 0


class _WireLimits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class _WireConfig(msgspec.Struct):
    """The operator's document; its routes and accounts are checked one by one."""

    version: int
    routes: list[msgspec.Raw] = []
    tenants: list[msgspec.Raw] | None = None
    limits: _WireLimits = msgspec.field(default_factory=_WireLimits)


class _UpstreamWord(enum.Enum):
    """Words for what an upstream says that it does."""

    READY = "ready"
    DRAINING = "draining"


class _WireUpstream(msgspec.Struct, rename="camel"):
    """An upstream's entry; other writers' entries lack fields or have other types.

    An upstream that tells no birth is used like one whose birth is not known.
    """

    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    zone: Annotated[str, msgspec.Meta(min_length=1)]
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]
    state: _UpstreamWord
    cold_left_ms: Annotated[float, msgspec.Meta(ge=0, le=_MAX_COLD_MS)]
    seq_no: Annotated[int, msgspec.Meta(ge=0)]
    born: Annotated[int, msgspec.Meta(ge=0, le=_MAX_BORN_MS)] = 0


class PlatformCatalogue:
    """Reads routes and upstreams from the store."""

    def __init__(self, store: StoreClient) -> None:
        self.store = store
        self._config_rows = TableFollower(
            store, _CONFIG_TABLE, read_all=self._read_config_row
        )
        self._upstream_rows = TableFollower(
            store, _UPSTREAM_TABLE, read_all=self._read_upstream_rows
        )
        self._route_version = 0
        self._routes: RouteConfig | None = None
        self._upstreams: dict[str, tuple[int, Upstream | None]] = {}

    async def _read_config_row(self) -> dict[str, Row]:
        rows = await self.store.read([_CONFIG_KEY])
        return {key.removeprefix(f"{_CONFIG_TABLE}/"): row for key, row in rows.items()}

    async def _read_upstream_rows(self) -> dict[str, Row]:
        return dict(await self.store.rows_of(_UPSTREAM_TABLE))

    async def read_routes(self, *, full: bool = True) -> RouteConfig | None:
        """See ``Catalogue.read_routes``; what does not fit changes nothing."""
        rows = await self._config_rows.read(full=full)
        row = rows.get(_CONFIG_NAME)
        if row is None or row.version == self._route_version:
            return self._routes
        self._route_version = row.version
        try:
            self._routes = decode_routes(row.value)
        except BAD_BYTES as error:
            _log.error(
                "The configuration does not fit.",
                key=_CONFIG_KEY,
                version=row.version,
                reason=str(error),
            )
        return self._routes

    async def read_upstreams(self, *, full: bool = True) -> list[Upstream]:
        """See ``Catalogue.read_upstreams``.

        An entry that does not fit names no upstream, whatever it was before, and is
        logged once.
        """
        decoded: dict[str, tuple[int, Upstream | None]] = {}
        rows = await self._upstream_rows.read(full=full)
        for key, row in sorted(rows.items()):
            known = self._upstreams.get(key)
            if known is not None and known[0] == row.version:
                decoded[key] = known
            else:
                decoded[key] = (row.version, _upstream_or_none(key, row))
        self._upstreams = decoded
        return [upstream for _, upstream in decoded.values() if upstream is not None]


def _upstream_or_none(key: str, row: Row) -> Upstream | None:
    try:
        return decode_upstream(key, row.value)
    except BAD_BYTES as error:
        _log.error(
            "An upstream's entry does not fit.",
            key=key,
            version=row.version,
            reason=str(error),
        )
        return None


def decode_upstream(key: str, value: bytes) -> Upstream:
    """Decodes an upstream's entry.

    Raises:
      BAD_BYTES: It is none.
    """
    if not _ID.fullmatch(key):
        raise msgspec.ValidationError("The key is no id")
    wire = msgspec.json.decode(value, type=_WireUpstream)
    _check_address(wire.address)
    return Upstream(
        id=UpstreamId(key),
        service=wire.service,
        address=wire.address,
        zone=ZoneId(wire.zone),
        slots=wire.slots,
        draining=wire.state is _UpstreamWord.DRAINING,
        cold_s=wire.cold_left_ms / _MS,
        born_ms=wire.born,
        version=SoftwareVersion(wire.version),
    )


def _check_address(address: str) -> None:
    """Raises ``msgspec.ValidationError`` for what is not ``IP:PORT``."""
    host, _, port = address.rpartition(":")
    # Only ASCII digits: int() takes others, and signs.
    if not (port.isascii() and port.isdigit() and 0 < int(port[:6]) <= _MAX_PORT):
        raise msgspec.ValidationError("The address has no port")
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise msgspec.ValidationError("The address has no IP") from error


def decode_routes(value: bytes) -> RouteConfig:
    """Decodes the operator's document; a route that does not fit is left out."""
    wire = msgspec.json.decode(value, type=_WireConfig)
    routes = []
    for raw in wire.routes:
        try:
            routes.append(_route(msgspec.json.decode(raw, type=_WireRoute)))
        except BAD_BYTES as error:
            _log.error("A route does not fit.", version=wire.version, reason=str(error))
    accounts = None if wire.tenants is None else _accounts(wire)
    limits = ClientLimits(
        header_bytes=wire.limits.max_header_bytes,
        body_bytes=wire.limits.max_body_bytes,
        header_timeout_s=wire.limits.header_timeout_ms / _MS,
        idle_timeout_s=wire.limits.idle_timeout_ms / _MS,
    )
    return RouteConfig(
        version=wire.version, routes=tuple(routes), limits=limits, accounts=accounts
    )


def _accounts(wire: _WireConfig) -> tuple[ClientAccount, ...]:
    """Decodes the accounts; one that does not fit has no keys and changes no other."""
    accounts = []
    for place, raw in enumerate(wire.tenants or []):
        try:
            accounts.append(_account(msgspec.json.decode(raw, type=_WireAccount)))
        except BAD_BYTES as error:
            # The error names the field and its type, never the value.
            _log.error(
                "An account does not fit; correct it.",
                version=wire.version,
                place=place,
                reason=str(error),
            )
    shared = AccountDirectory(accounts).shared_keys
    if shared:
        _log.error(
            "Accounts hold keys of earlier accounts; remove these keys.",
            version=wire.version,
            accounts=shared[:_MAX_LOGGED_ACCOUNTS],
        )
    return tuple(accounts)


def _account(wire: _WireAccount) -> ClientAccount:
    return ClientAccount(
        name=TenantId(wire.name),
        keys=tuple(digest_of(key.encode()) for key in wire.api_keys if key),
        priority=wire.priority,
        rate_per_s=wire.rate_per_s,
        burst=wire.burst,
    )


def _route(wire: _WireRoute) -> Route:
    targets = [Target(split.service, split.weight) for split in wire.traffic_split]
    if not targets:
        targets = [Target(wire.service, 1.0)]
    values: dict[str, Any] = {
        "name": wire.name,
        "host": wire.hostname.lower(),
        "prefix": wire.prefix,
        "kind": _KINDS[wire.route_type],
        "targets": tuple(targets),
        "timeout_s": wire.timeout_ms / _MS,
        "target_latency_s": wire.target_latency_ms / _MS,
        "gap_target_s": wire.gap_target_ms / _MS,
        "max_attempts": max(1, wire.max_attempts),
        "priority": wire.priority,
        "resumable": wire.resumable,
        "completion_target_s": wire.completion_target_ms / _MS,
        "retention_s": wire.retention_s,
        "max_waiting_tokens": wire.max_count,
        "public": wire.public,
    }
    return Route(**values)
