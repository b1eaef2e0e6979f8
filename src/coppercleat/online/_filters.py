"""Filters of the online request path, in the order in which they run."""

from __future__ import annotations

import contextlib
import hashlib
import random
from collections.abc import AsyncIterator, Iterable

import msgspec
import trio

from coppercleat.configuration import Deployment, Kind, Route, Tenant
from coppercleat.errors import (
    CoppercleatError,
    InvalidRequestError,
    NotFoundError,
    Outcome,
    OverloadedError,
    UnauthenticatedError,
)
from coppercleat.ids import TenantId
from coppercleat.limits import AdmissionRequest, Refusal, TenantLimits
from coppercleat.observability import part_logger
from coppercleat.online._claims import ClaimState, IdempotencyRecord, content_hash
from coppercleat.online._exchange import (
    Chunk,
    Exchange,
    InferenceRequest,
    ServiceRequest,
)
from coppercleat.online._pipeline import online_filter
from coppercleat.online._services import OnlineServices
from coppercleat.routing import UpstreamRecord

ANONYMOUS = TenantId("anonymous")
"""Tenant of all requests while no tenants are configured."""

_MAX_KEY_CHARS = 200
_MAX_TOKENS = 100_000

_log = part_logger("online")


@online_filter(order=10)
@contextlib.asynccontextmanager
async def measure(exchange: Exchange, services: OnlineServices) -> AsyncIterator[None]:
    """Records metrics of the request and logs how it ended."""
    ended = "cancelled"
    try:
        yield
        ended = "answered"
    except CoppercleatError as error:
        ended = error.kind
        _log.info(
            "Request refused or failed.",
            request_id=exchange.request_id,
            kind=error.kind,
            outcome=error.outcome.value,
            why=error.message,
        )
        raise
    finally:
        _record_metrics(exchange, services, ended, trio.current_time())


def _record_metrics(
    exchange: Exchange, services: OnlineServices, ended: str, now: float
) -> None:
    labels = {"tenant": exchange.tenant or ANONYMOUS, "class": exchange.request_class}
    metrics = services.metrics
    metrics.requests.inc({**labels, "ended": ended})
    metrics.total.observe(labels, now - exchange.arrived_at)
    if exchange.sent_at:
        metrics.queueing.observe(labels, exchange.sent_at - exchange.arrived_at)
    if exchange.first_token_at:
        first_at = exchange.first_token_at
        metrics.first_token.observe(labels, first_at - exchange.arrived_at)
        if exchange.generated > 1:
            interval_s = (now - first_at) / (exchange.generated - 1)
            metrics.between_tokens.observe(labels, interval_s)
    _log.debug(
        "Request ended.",
        request_id=exchange.request_id,
        ended=ended,
        upstream=exchange.upstream,
        attempts=exchange.attempts,
        tokens=exchange.generated,
    )


@online_filter(order=20)
@contextlib.asynccontextmanager
async def authenticate(
    exchange: Exchange, services: OnlineServices
) -> AsyncIterator[None]:
    """Authenticates the tenant by its bearer token."""
    exchange.tenant = find_tenant(
        services.document.bodies(Kind.TENANT), exchange.bearer_token
    )
    yield


def find_tenant(tenants: list[tuple[str, Tenant]], bearer_token: str) -> TenantId:
    """Returns the tenant that a bearer token belongs to.

    Digests are compared instead of tokens, so that the comparison's timing reveals
    nothing about a token.

    Args:
      tenants: Names and configurations of all tenants; if empty, anonymous requests
        are accepted.
      bearer_token: Bearer token of the request.

    Raises:
      UnauthenticatedError: The token belongs to no tenant.
    """
    if not tenants:
        return ANONYMOUS
    digest = hashlib.sha256(bearer_token.encode()).hexdigest()
    for name, tenant in tenants:
        if tenant.token_sha256 == digest:
            return TenantId(name)
    raise UnauthenticatedError("The token belongs to no tenant")


@online_filter(order=30)
@contextlib.asynccontextmanager
async def resolve(exchange: Exchange, services: OnlineServices) -> AsyncIterator[None]:
    """Validates the request and resolves the service that runs it."""
    if len(exchange.idempotency_key) > _MAX_KEY_CHARS:
        raise InvalidRequestError(f"idempotency_key exceeds {_MAX_KEY_CHARS} letters")
    if exchange.idempotency_key and not exchange.at_most_once:
        raise InvalidRequestError(
            "idempotency_key is set without at_most_once",
            remedy="Set at_most_once, or leave the key out.",
        )
    if isinstance(exchange.payload, ServiceRequest):
        _resolve_call(exchange, exchange.payload, services)
    else:
        _resolve_infer(exchange, exchange.payload, services)
    yield


def _resolve_call(
    exchange: Exchange, call: ServiceRequest, services: OnlineServices
) -> None:
    route: Route | None = services.document.get(Kind.ROUTE, call.route)
    if route is None:
        raise NotFoundError(f"There is no route {call.route!r}")
    exchange.service = route.service
    exchange.path = route.path
    exchange.at_most_once = exchange.at_most_once or route.at_most_once


def _resolve_infer(
    exchange: Exchange, infer: InferenceRequest, services: OnlineServices
) -> None:
    deployment: Deployment | None = services.document.get(
        Kind.DEPLOYMENT, infer.deployment
    )
    if deployment is None:
        raise NotFoundError(f"There is no deployment {infer.deployment!r}")
    if not infer.prompt:
        raise InvalidRequestError("prompt is empty")
    if infer.max_tokens > _MAX_TOKENS:
        raise InvalidRequestError(f"max_tokens exceeds {_MAX_TOKENS}")
    if infer.adapter and infer.adapter not in deployment.adapters:
        raise NotFoundError(f"{infer.deployment} has no adapter {infer.adapter!r}")
    exchange.service = deployment.service
    exchange.version = infer.adapter or pick_version(
        deployment, services.table, services.rng
    )
    exchange.max_tokens = infer.max_tokens or deployment.default_max_tokens


def pick_version(
    deployment: Deployment, records: Iterable[UpstreamRecord], rng: random.Random
) -> str:
    """Picks a version at random by weight, among those that an upstream has loaded.

    While a version is loading, its share goes to the other versions. If all loaded
    versions have weight 0, the first of them is picked.

    Args:
      deployment: Deployment with the weights of its versions.
      records: All known upstreams.
      rng: Random source.
    """
    serving = [r for r in records if r.node.service == deployment.service]
    loaded = {
        version: weight
        for version, weight in deployment.versions.items()
        if any(record.serves(version) for record in serving)
    }
    weights = loaded or deployment.versions
    if not any(weights.values()):
        return next(iter(weights))
    return rng.choices(list(weights), list(weights.values()))[0]


@online_filter(order=40)
@contextlib.asynccontextmanager
async def limit_tenant(
    exchange: Exchange, services: OnlineServices
) -> AsyncIterator[None]:
    """Enforces this instance's share of the limits of the tenant."""
    tenant: Tenant | None = services.document.get(Kind.TENANT, exchange.tenant)
    limits = TenantLimits()
    if tenant is not None:
        limits = TenantLimits(rate=tenant.rate, concurrency=tenant.concurrency)
    decision = services.tenants.try_acquire(
        exchange.tenant,
        limits,
        instances=services.live_instances(),
        now=trio.current_time(),
    )
    if isinstance(decision, Refusal):
        raise _overloaded_error(decision)
    try:
        yield
    finally:
        services.tenants.release(exchange.tenant)


@online_filter(order=50)
@contextlib.asynccontextmanager
async def admit(exchange: Exchange, services: OnlineServices) -> AsyncIterator[None]:
    """Refuses requests beyond capacity and those that would miss their deadline."""
    serving = [r for r in services.table if r.node.service == exchange.service]
    now = trio.current_time()
    decision = services.admission.decide(
        AdmissionRequest(
            tokens=exchange.max_tokens, remaining_s=exchange.deadline - now
        ),
        first_token_s=min((r.first_token_s for r in serving), default=0.0),
        inter_token_s=min((r.inter_token_s for r in serving), default=0.0),
        now=now,
    )
    if isinstance(decision, Refusal):
        raise _overloaded_error(decision)
    services.admission.in_flight += 1
    services.metrics.in_flight.set({}, services.admission.in_flight)
    try:
        yield
    finally:
        services.admission.in_flight -= 1
        services.metrics.in_flight.set({}, services.admission.in_flight)


def _overloaded_error(refusal: Refusal) -> OverloadedError:
    return OverloadedError(
        f"Refused: {refusal.reason}",
        retry_after_ms=max(1, round(1000 * min(60.0, refusal.retry_after_s))),
    )


@online_filter(order=60)
@contextlib.asynccontextmanager
async def claim_key(
    exchange: Exchange, services: OnlineServices
) -> AsyncIterator[None]:
    """Claims the idempotency key before the request runs and stores its response."""
    if not exchange.idempotency_key:
        yield
        return
    store, tenant, idempotency_key = (
        services.idempotency,
        exchange.tenant,
        exchange.idempotency_key,
    )
    content = msgspec.json.encode(exchange.payload)
    existing = await store.claim(tenant, idempotency_key, exchange.request_id, content)
    if existing is not None:
        if existing.state is not ClaimState.ANSWERED:
            existing = await store.wait_for_response(
                tenant, idempotency_key, deadline=exchange.deadline
            )
        exchange.stored_response = Chunk(existing.text, existing.tokens, existing.body)
        yield
        return
    claim_resolved = False
    try:
        yield
        await store.store_response(
            tenant, idempotency_key, _idempotency_record(exchange, content)
        )
        claim_resolved = True
    except CoppercleatError as error:
        if error.outcome is Outcome.NOT_RUN:
            claim_resolved = await store.release(tenant, idempotency_key)
        raise
    finally:
        if not claim_resolved:
            store.keep_claim(tenant, idempotency_key)


def _idempotency_record(exchange: Exchange, content: bytes) -> IdempotencyRecord:
    return IdempotencyRecord(
        request_id=exchange.request_id,
        content_hash=content_hash(content),
        text="".join(exchange.texts),
        tokens=exchange.generated,
        body=exchange.body,
    )
