"""Follows the platform's list and the upstreams' reports, and keeps clients."""

from __future__ import annotations

import random
from collections.abc import Callable

import trio

from coppercleat.batch import HolderState
from coppercleat.errors import PlatformUnavailableError
from coppercleat.ids import InstanceId, JobId, UpstreamId, ZoneId
from coppercleat.membership import Detector
from coppercleat.observability import part_logger
from coppercleat.routing import (
    PeerOnlineCounts,
    RoutingTable,
    UpstreamRecord,
    assign_batch_dispatchers,
    rendezvous_owner,
    select_subset,
)
from coppercleat.settings import Settings
from coppercleat.storage import Node, NodeRole, Platform, paced
from coppercleat.upstreams import UpstreamClient

_OTHERS_POLL_FACTOR = 4
_ASSIGN_EVERY_S = 0.1
_LIST_READS_PER_S = 50.0

_Basis = tuple[tuple[tuple[InstanceId, ZoneId], ...], tuple[Node, ...]]
"""What an assignment rests on: living instances with zones, and the list."""

_log = part_logger("fleet")


class Fleet:
    """Upstreams and other instances as this instance knows them.

    Attributes:
      table: The upstreams followed.
      nodes: The platform's list as last read here or by a peer.
      list_read: Whether the list has been read from the platform or a peer.
      arrivals: Online requests of peers.
    """

    def __init__(
        self,
        settings: Settings,
        platform: Platform,
        detector: Detector,
        *,
        rng: random.Random,
        on_leaving: Callable[[UpstreamId], None] = lambda upstream: None,
    ) -> None:
        """Prepares the fleet.

        Args:
          settings: This instance's settings.
          platform: Where the list is read.
          detector: Tells which instances live.
          rng: Source of randomness for pauses.
          on_leaving: Told when an upstream itself says that it leaves.
        """
        self.settings = settings
        self.platform = platform
        self.detector = detector
        self.rng = rng
        self.on_leaving = on_leaving
        self.table = RoutingTable()
        self.nodes: tuple[Node, ...] = ()
        self.list_read = False
        self.arrivals = PeerOnlineCounts()
        self._online: dict[UpstreamId, UpstreamClient] = {}
        self._batch: dict[UpstreamId, UpstreamClient] = {}
        self._pollers: dict[UpstreamId, trio.CancelScope] = {}
        self._assigned: dict[ZoneId, dict[UpstreamId, InstanceId]] = {}
        self._assigned_for: _Basis = ((), ())
        self._assigned_until = 0.0
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Reads list and reports until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                await self.refresh()
                pause_s = self.settings.platform.list_poll_s
                pause_s = paced(pause_s, self.live(), _LIST_READS_PER_S)
                await trio.sleep(pause_s * self.rng.uniform(0.75, 1.25))

    async def refresh(self) -> None:
        """Reads the platform's list once; keeps the last one if it is away."""
        try:
            listing = await self.platform.list_nodes()
        except PlatformUnavailableError:
            return
        self.take_nodes(listing.nodes)

    def take_nodes(self, nodes: tuple[Node, ...]) -> None:
        """Takes a list, read here or by a peer."""
        now = trio.current_time()
        self.nodes = nodes
        self.list_read = True
        entries = [node for node in nodes if node.role is NodeRole.ENTRY]
        self.detector.observe_list(
            [(InstanceId(n.id), n.address, ZoneId(n.zone)) for n in entries], now
        )
        added, gone = self.table.observe_list(self._followed(nodes), now)
        for record in added:
            self._open(record)
        for record in gone:
            self._close(record.upstream)

    def _followed(self, nodes: tuple[Node, ...]) -> list[Node]:
        upstreams = [node for node in nodes if node.role is not NodeRole.ENTRY]
        instance = self.settings.instance
        dispatched_upstreams = self._fed_ids()
        return select_subset(
            instance.instance_id,
            instance.zone_id,
            upstreams,
            always_tracked=dispatched_upstreams,
        )

    def _open(self, record: UpstreamRecord) -> None:
        timeout = self.settings.online.connect_timeout_s
        for clients in (self._online, self._batch):
            clients[record.upstream] = UpstreamClient(
                record.upstream, record.node.address, connect_timeout_s=timeout
            )
        if self._nursery is not None and record.node.role is NodeRole.ENGINE:
            scope = trio.CancelScope()
            self._pollers[record.upstream] = scope
            self._nursery.start_soon(self._poll_load, record, scope)
        _log.info("Upstream listed.", upstream=record.upstream)

    def _close(self, upstream: UpstreamId) -> None:
        scope = self._pollers.pop(upstream, None)
        if scope is not None:
            scope.cancel()
        for clients in (self._online, self._batch):
            client = clients.pop(upstream, None)
            if client is not None and self._nursery is not None:
                self._nursery.start_soon(_close_later, client, self.settings)
        _log.info("Upstream gone.", upstream=upstream)

    async def _poll_load(self, record: UpstreamRecord, scope: trio.CancelScope) -> None:
        """Asks an upstream for its load, more often if this instance feeds it."""
        with scope:
            while True:
                report = await self._online[record.upstream].load()
                now = trio.current_time()
                if report is not None:
                    was_leaving = record.draining
                    record.observe_report(report, now)
                    if record.draining and not was_leaving:
                        self.on_leaving(record.upstream)
                else:
                    record.record_missed_report(now)
                pause = self.settings.online.load_poll_s
                if not self._feeds(record):
                    pause *= _OTHERS_POLL_FACTOR
                await trio.sleep(pause * self.rng.uniform(0.75, 1.25))

    # What the batch runner asks.

    def dispatched_upstreams(self) -> list[UpstreamRecord]:
        """See ``coppercleat.batch``: upstreams this instance feeds."""
        now = trio.current_time()
        return [
            record
            for record in self.table
            if record.node.role is NodeRole.ENGINE
            and not record.draining
            and self._feeds(record)
            and record.breaker.allows_request(now)
        ]

    def online_total(self, upstream: UpstreamId) -> int:
        """Returns online requests in flight there, of all instances."""
        record = self.table.get(upstream)
        own = record.online if record else 0
        return own + self.arrivals.total(upstream)

    def note_online(self, upstream: UpstreamId) -> None:
        """Notes when an upstream had online requests, here or at peers."""
        record = self.table.get(upstream)
        if record is None:
            return
        record.peer_online = self.arrivals.total(upstream)
        if record.online or record.peer_online:
            record.last_online_at = trio.current_time()

    def holder_state(self, holder: InstanceId, incarnation: int) -> HolderState:
        """Returns what is known of a segment's holder."""
        now = trio.current_time()
        member = self.detector.members.get(holder)
        line = member.line if member else None
        return HolderState(
            alive=self.detector.is_alive(holder, now),
            restarted=line is not None and line.incarnation > incarnation,
        )

    def live(self) -> int:
        """Returns how many instances are thought alive, this one included."""
        return len(self.alive())

    def alive(self) -> list[InstanceId]:
        """Returns the instances thought alive, this one included."""
        return self.detector.alive(trio.current_time())

    def engines_of(self, service: str) -> list[UpstreamRecord]:
        """Returns the engines of a service that are followed and not leaving."""
        return [
            record
            for record in self.table
            if record.node.role is NodeRole.ENGINE
            and record.node.service == service
            and not record.draining
        ]

    def record(self, upstream: UpstreamId) -> UpstreamRecord | None:
        """Returns the record of an upstream, if it is followed."""
        return self.table.get(upstream)

    def monitors_due_time(self, job: JobId) -> bool:
        """Returns whether this instance watches over a job's due time."""
        return rendezvous_owner(job, self.alive()) == self.settings.instance.id

    def feeder_of(self, record: UpstreamRecord) -> InstanceId | None:
        """Returns the instance that feeds batch to an upstream."""
        return self._feeders(record.zone).get(record.upstream)

    def _feeds(self, record: UpstreamRecord) -> bool:
        return self.feeder_of(record) == self.settings.instance.id

    def _feeders(self, zone: ZoneId) -> dict[UpstreamId, InstanceId]:
        """Returns the feeders of a zone's engines.

        Worked out when asked for, and again when the list or the living
        instances have changed: other zones' engines are seldom asked for.
        """
        now = trio.current_time()
        if now >= self._assigned_until:
            self._assigned_until = now + _ASSIGN_EVERY_S
            alive = tuple(
                (instance, self.detector.zone_of(instance) or ZoneId(""))
                for instance in sorted(self.detector.alive(now))
            )
            if (alive, self.nodes) != self._assigned_for:
                self._assigned_for = (alive, self.nodes)
                self._assigned = {}
        if zone not in self._assigned:
            alive, nodes = self._assigned_for
            engines = [
                (UpstreamId(node.id), zone)
                for node in nodes
                if node.role is NodeRole.ENGINE and node.zone == zone
            ]
            self._assigned[zone] = assign_batch_dispatchers(engines, alive)
        return self._assigned[zone]

    def _fed_ids(self) -> frozenset[str]:
        """Returns the ids of all listed engines that this instance feeds."""
        own = self.settings.instance
        living_zones = {self.detector.zone_of(instance) for instance in self.alive()}
        zones = {ZoneId(n.zone) for n in self.nodes if n.role is NodeRole.ENGINE}
        return frozenset(
            upstream
            for zone in zones
            if zone == own.zone or zone not in living_zones
            for upstream, feeder in self._feeders(zone).items()
            if feeder == own.id
        )

    # Clients.

    def online_client(self, upstream: UpstreamId) -> UpstreamClient:
        """Returns the client for online requests."""
        return self._online[upstream]

    def batch_client(self, upstream: UpstreamId) -> UpstreamClient:
        """Returns the client for batch items, with connections of its own."""
        return self._batch[upstream]


async def _close_later(client: UpstreamClient, settings: Settings) -> None:
    """Closes a client once requests in flight have had time to end."""
    await trio.sleep(settings.stop.drain_s)
    await client.aclose()
