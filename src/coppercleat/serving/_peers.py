"""Messages between gateway instances: heartbeats, work in flight, routes, jobs.

``WorkSender`` sends work in flight to whom ``PeerRecipients`` chooses, ``ReportedWork``
takes over what others send, and ``WorkExpiry`` drops it once it is too old.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection

import msgspec
import trio

from coppercleat.accounts import Allowances
from coppercleat.ids import (
    InstanceId,
    JobId,
    JobRef,
    Revision,
    StreamKey,
    UpstreamId,
    ZoneId,
)
from coppercleat.membership import (
    Detector,
    FailedDirection,
    HandlerRegistry,
    Heartbeat,
    LinkCheck,
    MemberLine,
    Messenger,
    SilentLink,
)
from coppercleat.observability import part_logger
from coppercleat.quarantine import CrashReport, CrashUpdate, Fingerprint
from coppercleat.serving._dropped_messages import DroppedMessages
from coppercleat.serving._fleet_order import QueuedWork
from coppercleat.serving._heard_zones import HeardZones, hears_others
from coppercleat.serving._peer_messages import (
    AttemptResultsReport,
    ItemEvents,
    JobHandover,
    JobTakeover,
    OriginReply,
    OriginRequest,
    RelayedWork,
    RoutesRequest,
    RoutesSnapshot,
    WorkInFlight,
    ZoneRelayed,
    ZoneWorkInFlight,
)
from coppercleat.serving._peer_recipients import PeerRecipients
from coppercleat.serving._placement import Placement
from coppercleat.serving._reported_work import ReportedWork
from coppercleat.serving._settings import GatewaySettings
from coppercleat.serving._stream_inquiry import StreamInquiries
from coppercleat.serving._stream_origins import (
    BegunStreams,
    StreamOrigin,
    StreamOrigins,
)
from coppercleat.serving._work_expiry import SUSPECT_AFTER_S, WorkExpiry
from coppercleat.serving._work_sender import WorkSender
from coppercleat.serving._zone_relay import ZoneRelay

HEARTBEAT_INTERVAL_S = 0.5
_FANOUT = 4
_COUNTS_REFRESH_S = 1.0
"""Interval between unchanged counts; see ``COUNTS_EXPIRY_S`` of ``WorkExpiry``."""

_ROUTES_REQUEST_INTERVAL_S = 0.3

_CRASH_REPORT_REPEATS = 4
"""Heartbeats with which crash reports are repeated to an instance that has just
appeared: the first links to it may be broken, and lose messages."""

_log = part_logger("peers")


_Messages = (
    Heartbeat
    | LinkCheck
    | WorkInFlight
    | ZoneWorkInFlight
    | ZoneRelayed
    | AttemptResultsReport
    | CrashUpdate
    | RoutesRequest
    | RoutesSnapshot
    | JobTakeover
    | JobHandover
    | OriginRequest
    | OriginReply
)
_handlers = HandlerRegistry()


class GatewayPeers:
    """Exchanges messages with the other gateway instances.

    Attributes:
      detector: Detects which instances are alive.
      messenger: Sends and receives messages.
      dropped: Counts of messages that were dropped.
      relay: What this instance passes on within its zone.
      recipients: To whom messages are sent.
      origins: What began recent streams, here and at other instances.
      inquiries: Finds what began a stream that a client takes up here.
      version: Returns the version of the routes of this instance.
      needs_routes: Returns whether this instance has no fresh routes or upstreams.
      routes_snapshot: Returns the snapshot for a peer with a version of the routes.
      on_routes_snapshot: Called with a peer's snapshot.
      on_counts_changed: Called when the counts of a peer or a zone have changed.
      has_waiting: Returns whether work is queued at this instance.
      waiting: Returns the queued work of this instance.
      on_counts_expired: Called with the upstreams of expired counts, which may still
        run the work.
      on_job_takeover: Called with a job that a peer has taken over; returns this
        instance's progress on it.
      on_unnamed_takeover: Called with the id of a job that a peer has taken over, if
        the peer's version names no host.
      on_job_handover: Called with a peer's progress on a job that was taken over here.
      crash_reports: Returns the crash reports known to this instance.
      on_crash_update: Called with a peer's crash reports and cleared requests; returns
        whether any of them is new.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        placement: Placement,
        *,
        incarnation: int,
        rng: random.Random,
        speed: int = 0,
        allowances: Allowances | None = None,
    ) -> None:
        """Prepares the instance's sockets; nothing is sent yet.

        Args:
          settings: Settings of this instance.
          placement: Work in flight of this instance and the others.
          incarnation: Increases with each start of the instance.
          rng: Source of randomness.
          speed: What the machine carries; see ``measure_speed``.
          allowances: Learns what accounts use elsewhere; None for a private one.
        """
        self.settings = settings
        self.placement = placement
        self.allowances = allowances or Allowances(
            settings.allowance,
            zone=settings.zone,
            zones=settings.zones,
            started_at=float("-inf"),
            rng=rng,
        )
        own = MemberLine(
            settings.instance,
            settings.peers,
            settings.zone,
            incarnation,
            0,
            Revision(0),
            speed,
        )
        self.detector = Detector(
            own, suspect_after_s=SUSPECT_AFTER_S, fanout=_FANOUT, rng=rng
        )
        self.version: Callable[[], int] = lambda: 0
        self.needs_routes: Callable[[], bool] = lambda: False
        self.routes_snapshot: Callable[[int], RoutesSnapshot | None] = lambda after: (
            None
        )
        self.on_routes_snapshot: Callable[[RoutesSnapshot], None] = (
            lambda routes_snapshot: None
        )
        self.on_counts_changed: Callable[[], None] = lambda: None
        self.has_waiting: Callable[[], bool] = lambda: False
        self.waiting: Callable[[], tuple[QueuedWork, ...]] = tuple
        self.on_counts_expired: Callable[[Collection[UpstreamId]], None] = (
            lambda upstreams: None
        )
        self.on_job_takeover: Callable[[JobRef], list[ItemEvents]] = lambda ref: []
        self.on_unnamed_takeover: Callable[[JobId], None] = lambda job: None
        self.on_job_handover: Callable[[JobRef, list[ItemEvents]], None] = (
            lambda ref, items: None
        )
        self.crash_reports: Callable[[], tuple[CrashReport, ...]] = tuple
        self.on_crash_update: Callable[[InstanceId, CrashUpdate], bool] = (
            lambda sender, seen: False
        )
        self.dropped = DroppedMessages()
        self.messenger = Messenger(
            self.detector,
            listen=settings.peers,
            seeds=settings.seeds,
            # No secret on this network; the name only separates fleets.
            keys=[settings.fleet_name],
            receiver=self,
            handlers=_handlers,
            messages=_Messages,
            on_rejected=self.dropped.record,
            on_reopened=self._on_link_reopened,
        )
        self.relay = ZoneRelay()
        self.origins = StreamOrigins()
        self.inquiries = StreamInquiries(self.origins)
        self.inquiries.ask = self._ask_origin
        self.recipients = PeerRecipients(self.detector, placement)
        self._reported = ReportedWork(
            placement, self.detector, self.allowances, self.relay
        )
        self._expiry = WorkExpiry(
            self._reported,
            self.detector,
            on_expired=self._report_expired,
        )
        self._sender = WorkSender(
            settings,
            self.messenger,
            self.detector,
            self._reported,
            self.origins,
            has_waiting=self._has_own_waiting,
            waiting=self._own_waiting,
        )
        self._routes_requested_at = float("-inf")
        self._crash_report_repeats: dict[InstanceId, int] = {}
        self._incarnations: dict[InstanceId, int] = {}
        self._heard = HeardZones(self.detector, settings.zone, self._reported.zones_at)

    @property
    def expired_counts(self) -> int:
        """How often the counts of a peer expired."""
        return self._expiry.expired_counts

    async def run(self) -> None:
        """Sends and receives until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.messenger.run)
            nursery.start_soon(self._send_heartbeats)
            self._sender.start(nursery)

    def work_changed(self, *, urgent: bool) -> None:
        """Schedules a message about changed work in flight or queued.

        Args:
          urgent: Whether to skip the batching delay. Started attempts are urgent, since
            peers would otherwise take the same slot.
        """
        self._sender.work_changed(urgent=urgent)

    def stream_began(self, key: StreamKey, origin: StreamOrigin) -> None:
        """Tells peers of a stream whose first event has come here."""
        self.origins.begin(key, origin, now=trio.current_time())
        self.work_changed(urgent=False)

    def _ask_origin(self, key: StreamKey) -> list[InstanceId]:
        """Asks peers what began a stream, and returns them.

        In a small fleet these are all that are listed: after a start none is heard yet.
        In a large one they are the zone's own, and one that speaks for each other zone
        and knows the streams of it.
        """
        peers = sorted(set(self.detector.members) - {self.settings.instance})
        if not self.recipients.lists_few():
            now = trio.current_time()
            peers = self.detector.alive_in(self.settings.zone, now)
            peers += self.recipients.speakers_elsewhere(0, now)
        for instance in peers:
            self.messenger.send(instance, OriginRequest(key))
        return peers

    def announce_job_takeover(self, ref: JobRef, previous: str) -> None:
        """Tells the previous owner of a job that this instance has taken it over.

        Args:
          ref: The job.
          previous: Name of its previous owner, of an instance and its start.
        """
        instance, _, _ = previous.rpartition("/")
        self.messenger.send(InstanceId(instance), JobTakeover(ref.id, ref.host))

    def announce_crashes(
        self, crash_reports: tuple[CrashReport, ...], cleared: tuple[Fingerprint, ...]
    ) -> None:
        """Sends crash reports and cleared requests to the peers.

        In a large fleet they spread by gossip, since an instance cannot keep a link to
        every other one.
        """
        self._gossip_crashes(CrashUpdate(crash_reports, cleared))

    def _gossip_crashes(self, seen: CrashUpdate) -> None:
        for instance in self.recipients.of_crashes(trio.current_time()):
            self.messenger.send(instance, seen)

    def observe_list(self, members: list[tuple[InstanceId, str, ZoneId]]) -> None:
        """Updates the known instances and their addresses from the platform's list.

        New instances are greeted, so that both sides exchange counts before their next
        heartbeats. Otherwise instances that start together would take the same slots.
        """
        now = trio.current_time()
        known = set(self.detector.members)
        self.detector.observe_list(members, now)
        new = set(self.detector.members) - known
        here = {i for i in new if self.detector.zone_of(i) == self.settings.zone}
        self.messenger.announce_self(new if self.recipients.lists_few() else here)

    def hears_all(self, instances: set[InstanceId]) -> bool:
        """Returns whether the live peers are these instances."""
        return set(self.live_peers()) == instances

    def live_peers(self) -> list[InstanceId]:
        """Returns the other instances with recent heartbeats."""
        return self.recipients.live_peers(trio.current_time())

    # Sending.

    async def _send_heartbeats(self) -> None:
        while True:
            now = trio.current_time()
            self.messenger.beat(now, revision=Revision(self.version()))
            self.placement.lagging = self.recipients.is_relayed(now)
            self._sender.log_speakers(now)
            self.expire_stale_counts(now)
            heard = self._heard.fractions(self.allowances.zones, now)
            self.allowances.refresh(heard, now=now)
            self._request_newer_routes(now)
            self._sender.send_results()
            self._repeat_crash_reports()
            if (
                now - self._sender.sent_at
                >= _COUNTS_REFRESH_S - HEARTBEAT_INTERVAL_S / 2
            ):
                self.work_changed(urgent=False)
            await trio.sleep(HEARTBEAT_INTERVAL_S)

    def expire_stale_counts(self, now: float) -> None:
        """Drops counts of dead peers and zones, and counts without a recent refresh."""
        for removed in set(self._incarnations) - set(self.detector.members):
            del self._incarnations[removed]
            self.relay.forget(removed)
        if self._expiry.expire(now):
            self.on_counts_changed()

    # The callbacks are set after construction, so that they are looked up at each call.

    def _report_expired(self, upstreams: Collection[UpstreamId]) -> None:
        self.on_counts_expired(upstreams)

    def _has_own_waiting(self) -> bool:
        return self.has_waiting()

    def _own_waiting(self) -> tuple[QueuedWork, ...]:
        return self.waiting()

    def hears_others(self) -> bool:
        """Returns whether others are heard, of all zones, who would tell of news."""
        return hears_others(self.allowances.heard, self.live_peers())

    def _on_link_reopened(self, silent: SilentLink) -> None:
        """Sends everything again to a peer whose link was broken.

        Its queued work is dropped if its messages may have been lost as well.
        """
        if silent.way is FailedDirection.EITHER and self.placement.peer_queues.forget(
            silent.peer
        ):
            self.on_counts_changed()
        self._send_crash_reports(silent.peer)
        if silent.peer in self.recipients.of_counts(trio.current_time()):
            self._sender.send_to(silent.peer)

    def _request_newer_routes(self, now: float) -> None:
        """Requests routes from a peer with a newer version, or from any if needed."""
        _, newer_peer = self.detector.highest_revision()
        if newer_peer is None and self.needs_routes():
            live_peers = self.live_peers()
            newer_peer = (
                live_peers[int(now * 10) % len(live_peers)] if live_peers else None
            )
        if (
            newer_peer is None
            or now - self._routes_requested_at < _ROUTES_REQUEST_INTERVAL_S
        ):
            return
        self._routes_requested_at = now
        self.messenger.send(newer_peer, RoutesRequest(self.version()))

    def _send_crash_reports(self, instance: InstanceId) -> None:
        """Sends all known crash reports to a peer that may have missed some."""
        crash_reports = self.crash_reports()
        if crash_reports:
            self.messenger.send(instance, CrashUpdate(crash_reports))

    def _repeat_crash_reports(self) -> None:
        """Sends all crash reports to new peers and to a random one (anti-entropy).

        A lost report reaches every instance eventually, since each is chosen about once
        per heartbeat interval.
        """
        live_peers = self.live_peers()
        random_peer = self.placement.rng.choice(live_peers) if live_peers else None
        crash_reports = self.crash_reports()
        for instance in {
            *self._crash_report_repeats,
            *([random_peer] if random_peer else []),
        }:
            if crash_reports:
                self.messenger.send(instance, CrashUpdate(crash_reports))
        self._crash_report_repeats = {
            instance: repeats - 1
            for instance, repeats in self._crash_report_repeats.items()
            if repeats > 1
        }

    # Receiving.

    @_handlers.handles(Heartbeat)
    def _on_heartbeat(self, sender: InstanceId, heartbeat: Heartbeat) -> None:
        now = trio.current_time()
        incarnation = heartbeat.own.incarnation
        is_known = self.detector.is_alive(sender, now)
        # A peer that was known through others has received nothing from here yet.
        is_known = is_known and self._incarnations.get(sender) == incarnation
        self._incarnations[sender] = incarnation
        self.detector.observe(heartbeat, now)
        if not is_known:
            # Earlier messages did not reach it.
            self._send_crash_reports(sender)
            self._crash_report_repeats[sender] = _CRASH_REPORT_REPEATS
            if sender in self.recipients.of_counts(now):
                self._sender.send_to(sender)
            self._sender.send_relayed_to(sender, now)

    @_handlers.handles(WorkInFlight)
    def _on_work_in_flight(self, sender: InstanceId, work: WorkInFlight) -> None:
        now = trio.current_time()
        self.inquiries.hear(work.streams)
        self._sender.collect_streams(sender, work.streams, now)
        zone = self.detector.zone_of(sender)
        if self._reported.has_zone(zone, now):
            # The sender has not noticed the fleet's growth; its zone's sums include it.
            return
        if zone in self._reported.zones_at:
            self._reported.forget_zone(zone)
        if self.detector.has_died(sender, now):
            # Nothing was sent to it while it was taken for dead.
            self._sender.send_to(sender)
        incarnation = self._incarnations.get(sender, 0)
        self._reported.observe(RelayedWork(sender, incarnation, 0.0, work), now)
        self.on_counts_changed()

    @_handlers.handles(ZoneRelayed)
    def _on_relayed(self, sender: InstanceId, relayed: ZoneRelayed) -> None:
        now = trio.current_time()
        for one in relayed.works:
            if self._reported.is_news(one):
                # It has reached all of the zone.
                work = msgspec.structs.replace(one.work, pass_on=False)
                self._reported.observe(msgspec.structs.replace(one, work=work), now)
        for zone_work in relayed.zones:
            heard_at = now - zone_work.age_s
            self._reported.observe_zone(zone_work.work, heard_at, now)
        self.inquiries.hear(relayed.streams)
        for found in relayed.results:
            if found.instance != self.settings.instance:
                self.placement.observe_results(found.results, now=now)
        self.on_counts_changed()

    @_handlers.handles(OriginRequest)
    def _on_origin_request(self, sender: InstanceId, request: OriginRequest) -> None:
        origin = self.origins.find(request.key, now=trio.current_time())
        self.messenger.send(sender, OriginReply(request.key, origin))

    @_handlers.handles(OriginReply)
    def _on_origin_reply(self, sender: InstanceId, reply: OriginReply) -> None:
        if reply.origin is None:
            self.inquiries.hear_unknown(sender, reply.key)
        else:
            self.inquiries.hear((BegunStreams(reply.origin, (reply.key,)),))

    @_handlers.handles(ZoneWorkInFlight)
    def _on_zone_work(self, sender: InstanceId, work: ZoneWorkInFlight) -> None:
        if work.zone == self.settings.zone:
            return
        now = trio.current_time()
        work = self._reported.checked_zone(work, now)
        self.inquiries.hear(work.streams)
        self.relay.observe_streams(work.streams)
        self.relay.observe_zone(work, now=now)
        self._reported.observe_zone(work, now, now)
        self.on_counts_changed()

    @_handlers.handles(AttemptResultsReport)
    def _on_results(self, sender: InstanceId, seen: AttemptResultsReport) -> None:
        self.placement.observe_results(seen.results, now=trio.current_time())
        if seen.pass_on:
            self.relay.observe_results(sender, seen.results)

    @_handlers.handles(CrashUpdate)
    def _on_crashes(self, sender: InstanceId, seen: CrashUpdate) -> None:
        is_new = self.on_crash_update(sender, seen)
        if is_new and not self.recipients.tells_all(trio.current_time()):
            self._gossip_crashes(seen)

    @_handlers.handles(RoutesRequest)
    def _on_routes_request(self, sender: InstanceId, request: RoutesRequest) -> None:
        routes_snapshot = self.routes_snapshot(request.after)
        if routes_snapshot is not None:
            self.messenger.send(sender, routes_snapshot)

    @_handlers.handles(RoutesSnapshot)
    def _on_routes_snapshot(
        self, sender: InstanceId, routes_snapshot: RoutesSnapshot
    ) -> None:
        self.on_routes_snapshot(routes_snapshot)

    @_handlers.handles(JobTakeover)
    def _on_job_takeover(self, sender: InstanceId, takeover: JobTakeover) -> None:
        if takeover.host is None:
            # It may mean a job of any host. A wrong guess would list one job's items
            # with the texts of another, so that nothing is handed over.
            self.on_unnamed_takeover(takeover.job)
            return
        items = self.on_job_takeover(JobRef(takeover.host, takeover.job))
        if items:
            handover = JobHandover(takeover.job, items, takeover.host)
            self.messenger.send(sender, handover)

    @_handlers.handles(JobHandover)
    def _on_job_handover(self, sender: InstanceId, handover: JobHandover) -> None:
        if handover.host is None:
            _log.info(
                "Job progress ignored: it names no host.",
                job=handover.job,
                sender=sender,
            )
            return
        self.on_job_handover(JobRef(handover.host, handover.job), handover.items)
