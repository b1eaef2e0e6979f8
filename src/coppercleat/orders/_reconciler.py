"""Reconciles the versions loaded on engines with the deployments."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

import trio

from coppercleat.configuration import Document, Kind
from coppercleat.errors import CoppercleatError
from coppercleat.ids import InstanceId, UpstreamId
from coppercleat.observability import Metrics, part_logger
from coppercleat.orders._lease import Lease, LeaseExpiryMonitor, LeaseStore
from coppercleat.orders._plan import (
    DesiredVersions,
    Order,
    desired_versions,
    plan_orders,
)
from coppercleat.routing import UpstreamRecord, rendezvous_owner
from coppercleat.settings import OrderSettings
from coppercleat.storage import Platform
from coppercleat.upstreams import OrderRefusedError, UpstreamClient

_log = part_logger("orders")


class Engines(Protocol):
    """Engines and instances of the fleet."""

    def engines_of(self, service: str) -> list[UpstreamRecord]:
        """Returns the known engines of a service that are not draining."""
        ...

    def record(self, upstream: UpstreamId) -> UpstreamRecord | None:
        """Returns the record of an engine, or None if it is unknown."""
        ...

    def online_client(self, upstream: UpstreamId) -> UpstreamClient:
        """Returns the client of an engine."""
        ...

    def alive(self) -> list[InstanceId]:
        """Returns the instances considered alive."""
        ...


class VersionReconciler:
    """Reconciles the services assigned to this instance, under a lease for each.

    Attributes:
      leases: Leases held by this instance, by service.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        incarnation: Callable[[], int],
        settings: OrderSettings,
        platform: Platform,
        document: Document,
        engines: Engines,
        metrics: Metrics,
    ) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self.settings = settings
        self.document = document
        self.engines = engines
        self.metrics = metrics
        self.leases: dict[str, Lease] = {}
        self._store = LeaseStore(platform, duration_s=settings.lease_s)
        self._expiry_monitors: dict[str, LeaseExpiryMonitor] = {}
        self._last_revision = 0
        self._revision_changed_at = 0.0

    async def run(self) -> None:
        """Reconciles at each poll interval until cancelled."""
        while True:
            await trio.sleep(self.settings.poll_s)
            self._record_revision(trio.current_time())
            for service in self._services():
                try:
                    await self._reconcile(service)
                except CoppercleatError as error:
                    _log.warning(
                        "Reconciliation failed; retrying at the next poll.",
                        service=service,
                        why=error.message,
                    )

    def _record_revision(self, now: float) -> None:
        if self.document.revision != self._last_revision:
            self._last_revision = self.document.revision
            self._revision_changed_at = now

    def _services(self) -> list[str]:
        deployments = self.document.bodies(Kind.DEPLOYMENT)
        return sorted({deployment.service for _, deployment in deployments})

    async def _reconcile(self, service: str) -> None:
        """Reconciles a service once, if it is assigned to this instance."""
        owner = rendezvous_owner(f"orders/{service}", self.engines.alive())
        if owner != self.instance:
            self.leases.pop(service, None)
            self._expiry_monitors.pop(service, None)
            return
        lease = await self._ensure_lease(service)
        if lease is None:
            return
        now = trio.current_time()
        desired = desired_versions(
            (body for _, body in self.document.bodies(Kind.DEPLOYMENT)), service
        )
        loaded = await self._query_loaded_versions(service)
        drift = _count_drift(desired, loaded.values())
        self.metrics.drift.set({"service": service}, drift)
        may_unload = now - self._revision_changed_at >= self.settings.unload_after_s
        orders = plan_orders(
            desired, loaded, max_loads=self.settings.max_loads, may_unload=may_unload
        )
        for order in orders:
            await self._send_order(service, lease, order)

    async def _ensure_lease(self, service: str) -> Lease | None:
        """Returns the lease, renewed or acquired if needed; None if it is not held."""
        now = trio.current_time()
        lease = self.leases.get(service)
        if lease is not None and now < lease.valid_until - self.settings.lease_s / 2:
            return lease
        if lease is not None:
            if await self._store.renew(service, lease, now=now):
                return lease
            del self.leases[service]
            return None
        found = await self._store.read(service)
        row, version = found
        held_before = row is not None and row.holder == self.instance
        monitor = self._expiry_monitors.setdefault(
            service, LeaseExpiryMonitor(duration_s=self.settings.lease_s)
        )
        if row is not None and not held_before and not monitor.expired(version, now):
            return None
        lease = await self._store.acquire(
            service,
            found,
            holder=self.instance,
            incarnation=self.incarnation(),
            now=now,
            orders_wait_s=self.settings.lease_s + self.settings.order_timeout_s,
        )
        if lease is not None:
            self.leases[service] = lease
            _log.info("Lease acquired.", service=service, fence=lease.row.fence)
        return lease

    async def _query_loaded_versions(self, service: str) -> dict[UpstreamId, list[str]]:
        """Returns the versions loaded on each engine that responds."""
        reports: dict[UpstreamId, list[str]] = {}

        async def query(record: UpstreamRecord) -> None:
            report = await self.engines.online_client(record.upstream).load()
            if report is not None:
                reports[record.upstream] = report.versions
                record.observe_report(report, trio.current_time())

        async with trio.open_nursery() as nursery:
            for record in self.engines.engines_of(service):
                nursery.start_soon(query, record)
        return reports

    async def _send_order(self, service: str, lease: Lease, order: Order) -> None:
        """Sends an order, if the lease stays valid until the order's timeout."""
        now = trio.current_time()
        max_order_s = self.settings.order_timeout_s
        if not lease.may_order(now, max_order_s=max_order_s):
            return
        client = self.engines.online_client(order.upstream)
        with trio.move_on_after(max_order_s) as scope:
            try:
                versions = await client.order(
                    order.action, order.version, fence=lease.row.fence
                )
            except OrderRefusedError as error:
                _log.warning("Order refused.", service=service, why=error.message)
                self.leases.pop(service, None)
                return
            record = self.engines.record(order.upstream)
            if record is not None and record.report is not None:
                record.report.versions = versions
        _log.info(
            "Order sent.",
            service=service,
            upstream=order.upstream,
            action=order.action,
            version=order.version,
            fence=lease.row.fence,
            answered=not scope.cancelled_caught,
        )


def _count_drift(desired: DesiredVersions, loaded: Iterable[list[str]]) -> int:
    return sum(set(versions) != desired.versions for versions in loaded)
