"""What the online path works with, given to every filter."""

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
from coppercleat.quarantine import EndWatch
from coppercleat.routing import RoutingTable, UpstreamRecord
from coppercleat.upstreams import UpstreamClient


class ClientProvider(Protocol):
    """Gives the client of an upstream."""

    def online_client(self, upstream: UpstreamId) -> UpstreamClient:
        """Returns the client for online requests."""
        ...


@attrs.define(kw_only=True)
class OnlineServices:
    """Everything that filters and dispatch need.

    Attributes:
      live_instances: Gives the number of instances thought alive.
      online_changed: Told when online requests on an upstream changed.
      batch_active: Tells whether batch jobs are open.
      end_watch: Knows requests that end their upstreams.
      stall_s: Seconds without a token after which an engine counts as hung.
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
    end_watch: EndWatch[UpstreamRecord]
    stall_s: float
