"""Keeps engines in the wanted state, for ever, as the one fenced holder."""

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
    """What the keeper needs to know of engines."""

    def engines_of(self, service: str) -> list[UpstreamRecord]:
        """Returns the engines of a service that are known and not leaving."""
        ...

    def record(self, upstream: UpstreamId) -> UpstreamRecord | None:
        """Returns the record of an engine, if it is known."""
        ...

    def online_client(self, upstream: UpstreamId) -> UpstreamClient:
        """Returns a client of an engine."""
        ...

    def alive(self) -> list[InstanceId]:
        """Returns the instances thought alive."""
        ...


class VersionReconciler:
    """Holds the leases of the services that fall to this instance.

    Attributes:
      leases: Leases held, by service.
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
        self._seen_revision = 0
        self._seen_at = 0.0

    async def run(self) -> None:
        """Works until cancelled."""
        while True:
            await trio.sleep(self.settings.poll_s)
            self._record_revision(trio.current_time())
            for service in self._services():
                try:
                    await self._reconcile(service)
                except CoppercleatError as error:
                    _log.warning("Orders put off.", service=service, why=error.message)

    def _record_revision(self, now: float) -> None:
        if self.document.revision != self._seen_revision:
            self._seen_revision = self.document.revision
            self._seen_at = now

    def _services(self) -> list[str]:
        deployments = self.document.bodies(Kind.DEPLOYMENT)
        return sorted({deployment.service for _, deployment in deployments})

    async def _reconcile(self, service: str) -> None:
        """Does one round for a service, if it falls to this instance."""
        chosen = rendezvous_owner(f"orders/{service}", self.engines.alive())
        if chosen != self.instance:
            self.leases.pop(service, None)
            self._expiry_monitors.pop(service, None)
            return
        lease = await self._ensure_lease(service)
        if lease is None:
            return
        now = trio.current_time()
        wanted = desired_versions(
            (body for _, body in self.document.bodies(Kind.DEPLOYMENT)), service
        )
        loaded = await self._query_loaded_versions(service)
        drift = _drift(wanted, loaded.values())
        self.metrics.drift.set({"service": service}, drift)
        may_unload = now - self._seen_at >= self.settings.unload_after_s
        orders = plan_orders(
            wanted, loaded, max_loads=self.settings.max_loads, may_unload=may_unload
        )
        for order in orders:
            await self._send_order(service, lease, order)

    async def _ensure_lease(self, service: str) -> Lease | None:
        """Renews the lease, or takes it when it is free."""
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
        own = row is not None and row.holder == self.instance
        monitor = self._expiry_monitors.setdefault(
            service, LeaseExpiryMonitor(duration_s=self.settings.lease_s)
        )
        if row is not None and not own and not monitor.expired(version, now):
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
            _log.info("Lease taken.", service=service, fence=lease.row.fence)
        return lease

    async def _query_loaded_versions(self, service: str) -> dict[UpstreamId, list[str]]:
        """Asks each engine what it has loaded; those that do not say are left out."""
        reports: dict[UpstreamId, list[str]] = {}

        async def ask(record: UpstreamRecord) -> None:
            report = await self.engines.online_client(record.upstream).load()
            if report is not None:
                reports[record.upstream] = report.versions
                record.observe_report(report, trio.current_time())

        async with trio.open_nursery() as nursery:
            for record in self.engines.engines_of(service):
                nursery.start_soon(ask, record)
        return reports

    async def _send_order(self, service: str, lease: Lease, order: Order) -> None:
        """Gives one order, if the lease outlasts the longest it may take."""
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
            "Order given.",
            service=service,
            upstream=order.upstream,
            action=order.action,
            version=order.version,
            fence=lease.row.fence,
            answered=not scope.cancelled_caught,
        )


def _drift(wanted: DesiredVersions, loaded: Iterable[list[str]]) -> int:
    return sum(set(versions) != wanted.versions for versions in loaded)
