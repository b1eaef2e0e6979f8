"""Dependencies of the online filters and the dispatcher."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

import attrs

from coppercleat.configuration import Document
from coppercleat.ids import UpstreamId, ZoneId
from coppercleat.limits import AdmissionController, RetryBudget, TenantLimiter
from coppercleat.observability import Metrics
from coppercleat.online._claims import IdempotencyStore
from coppercleat.quarantine import CrashDetector
from coppercleat.routing import RoutingTable, UpstreamRecord
from coppercleat.upstreams import UpstreamClient


class ClientProvider(Protocol):
    """Provides the clients of upstreams."""

    def online_client(self, upstream: UpstreamId) -> UpstreamClient:
        """Returns the client for online requests to an upstream."""
        ...


@attrs.define(kw_only=True)
class OnlineServices:
    """Dependencies of the online filters and the dispatcher.

    Attributes:
      document: Current configuration.
      table: Upstreams that this instance tracks.
      clients: Clients of the upstreams.
      zone: Availability zone of this instance.
      rng: Random source for routing and for the choice of a version.
      admission: Admission control of this instance.
      tenants: Limits of the client accounts.
      retries: Retry budget.
      idempotency: Idempotency store.
      metrics: Metrics of this instance.
      live_instances: Returns the number of live instances.
      online_changed: Called when the number of online requests in flight on an
        upstream has changed.
      batch_active: Returns whether any batch job is open.
      crash_detector: Detects crashes of upstreams and quarantines their requests.
      stall_s: Seconds without a token after which an engine counts as stalled.
    """

    document: Document
    table: RoutingTable
    clients: ClientProvider
    zone: ZoneId
    rng: random.Random
    admission: AdmissionController
    tenants: TenantLimiter
    retries: RetryBudget
    idempotency: IdempotencyStore
    metrics: Metrics
    live_instances: Callable[[], int]
    online_changed: Callable[[UpstreamId], None]
    batch_active: Callable[[], bool]
    crash_detector: CrashDetector[UpstreamRecord]
    stall_s: float
