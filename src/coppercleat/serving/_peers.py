"""What gateway instances tell each other: signs of life, work in flight, routes."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Iterable

import msgspec
import trio

from coppercleat.ids import InstanceId, JobId, Revision, UpstreamId, ZoneId
from coppercleat.membership import (
    Detector,
    HandlerRegistry,
    Heartbeat,
    Kind,
    LinkCheck,
    MemberLine,
    Messenger,
    Silent,
    Way,
)
from coppercleat.observability import part_logger
from coppercleat.quarantine import EndsSeen, Fingerprint, ToldEnd
from coppercleat.serving._dropped_messages import DroppedMessages
from coppercleat.serving._fleet_order import Waiting
from coppercleat.serving._model import RouteConfig, Upstream
from coppercleat.serving._node import GatewaySettings
from coppercleat.serving._placement import AttemptResults, Placement
from coppercleat.serving._work_counts import InFlight

HEARTBEAT_S = 0.5
SUSPECT_AFTER_S = 2.0
"""Four heartbeats: one lost message or a busy moment is no death."""

_FANOUT = 4
_TELL_ALL = 24
"""Up to this many members all tell all of work in flight. Beyond, members tell those of
their own availability zone, and one of each zone tells the others of the whole zone."""

_TELL_FAR_S = 0.3
"""How often a zone tells the others: its members mostly use its own upstreams."""

_TELL_UNCHANGED_S = 1.0
"""How often counts are told that have not changed; see ``COUNTS_EXPIRY_S``."""

COUNTS_EXPIRY_S = 10.0
"""Counts of a peer that lives stay for so long when they are not told anew: its work
goes on, and others would take slots that it holds. A silent link is mended in a second;
counts that stay for ever would keep slots from being used."""

WAITING_STALE_S = 1.5
"""What waits elsewhere is told once a second; after this it has a slot or is late, and
slots left to it would stay open."""

ZONE_STALE_S = 2.5
"""A zone is told of every 0.3 s; 2 s after its teller's death another one tells."""

_GATHER_S = 0.03
"""Ends of requests are told together this often; starts at once."""

_ASK_PAUSE_S = 0.3

_TEACH_BEATS = 4
"""With so many beats one that is heard anew is told the ends under requests: links to
an instance that has just started are found silent, and what they carry is lost."""

_log = part_logger("peers")


class WorkInFlight(msgspec.Struct, frozen=True, tag="work", array_like=True):
    """All that the sender has in flight or waiting; replaces what it told before.

    Attributes:
      rates: Online requests a second that arrive at the sender, by service.
    """

    counts: tuple[InFlight, ...]
    waiting: tuple[Waiting, ...] = ()
    rates: dict[str, float] = {}


class ZoneWorkInFlight(msgspec.Struct, frozen=True, tag="zone", array_like=True):
    """All that the sender's availability zone has in flight; replaces what was told."""

    zone: ZoneId
    counts: tuple[InFlight, ...]
    rates: dict[str, float] = {}


class ResultsSeen(msgspec.Struct, frozen=True, tag="results", array_like=True):
    """How the sender's attempts at upstreams have ended since it last told."""

    results: tuple[AttemptResults, ...]


class RoutesRequest(msgspec.Struct, frozen=True, tag="ask", array_like=True):
    """Asks for routes newer than a version, and for the list of upstreams."""

    after: int


class RoutesSnapshot(msgspec.Struct, frozen=True, tag="know", array_like=True):
    """Routes and upstreams as the sender knows them.

    Attributes:
      config: None if the asker's is as new.
      upstreams_age_s: Seconds since the sender read the list from the platform.
    """

    config: RouteConfig | None
    upstreams: tuple[Upstream, ...]
    upstreams_age_s: float


class JobTakeover(msgspec.Struct, frozen=True, tag="taken", array_like=True):
    """The sender has taken a job over; whoever ran it before must stop."""

    job: JobId


class ItemEvents(msgspec.Struct, frozen=True, array_like=True):
    """What an instance that must stop had made of an item.

    Attributes:
      last_event: Number of the last event.
      events: Data of each event.
      complete: Whether that is all of it.
    """

    index: int
    last_event: int
    events: list[bytes]
    failures: int
    complete: bool


class JobHandover(msgspec.Struct, frozen=True, tag="handover", array_like=True):
    """Answers ``JobTakeover`` with what the sender had made of the job."""

    job: JobId
    items: list[ItemEvents]


_Messages = (
    Heartbeat
    | LinkCheck
    | WorkInFlight
    | ZoneWorkInFlight
    | ResultsSeen
    | EndsSeen
    | RoutesRequest
    | RoutesSnapshot
    | JobTakeover
    | JobHandover
)
_handlers = HandlerRegistry()


class GatewayPeers:
    """Exchanges messages with the other gateway instances.

    Attributes:
      detector: Detects which instances are alive.
      messenger: Sends and receives messages.
      dropped: Counts of messages that were dropped.
      expired_counts: How often the counts of a peer expired.
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
    ) -> None:
        self.settings = settings
        self.placement = placement
        own = MemberLine(
            settings.instance,
            settings.peers,
            settings.zone,
            incarnation,
            0,
            Revision(0),
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
        self.waiting: Callable[[], tuple[Waiting, ...]] = tuple
        self.on_counts_expired: Callable[[Collection[UpstreamId]], None] = (
            lambda upstreams: None
        )
        self.on_job_takeover: Callable[[JobId], list[ItemEvents]] = lambda job: []
        self.on_job_handover: Callable[[JobId, list[ItemEvents]], None] = (
            lambda job, items: None
        )
        self.crash_reports: Callable[[], tuple[ToldEnd, ...]] = tuple
        self.on_crash_update: Callable[[InstanceId, EndsSeen], bool] = (
            lambda sender, seen: False
        )
        self.dropped = DroppedMessages()
        self.messenger = Messenger(
            self.detector,
            listen=settings.peers,
            seeds=settings.seeds,
            # Peers share no secret on this network; the name keeps fleets apart.
            keys=[settings.fleet_name],
            receiver=self,
            handlers=_handlers,
            messages=_Messages,
            on_garbage=self.dropped.note,
            on_reopened=self._on_reopened,
        )
        self.expired_counts = 0
        self._asked_at = float("-inf")
        self._told_at = float("-inf")
        self._to_teach: dict[InstanceId, int] = {}
        self._told_last: tuple[tuple[InFlight, ...], tuple[Waiting, ...]] = ((), ())
        self._met: dict[InstanceId, int] = {}
        self._counts_at: dict[InstanceId, float] = {}
        self._zones_at: dict[ZoneId, float] = {}
        self._changed = trio.Event()
        self._urgent = trio.Event()

    async def run(self) -> None:
        """Sends and receives until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.messenger.run)
            nursery.start_soon(self._beat_forever)
            nursery.start_soon(self._tell_forever)
            nursery.start_soon(self._tell_far_forever)

    def work_changed(self, *, urgent: bool) -> None:
        """Notes that work in flight or waiting has changed.

        Starts are urgent: others would take the same slot. So are ends while something
        waits for the slot, here or elsewhere, in a fleet that is small enough.
        """
        self._changed.set()
        if urgent or (self._tells_all() and self._scarce()):
            self._urgent.set()

    def _scarce(self) -> bool:
        return bool(self.placement.order) or self.has_waiting()

    def _tells_all(self) -> bool:
        return len(self.placement.peers.tellers()) <= _TELL_ALL

    def announce_job_takeover(self, job: JobId) -> None:
        """Tells all others that this instance has taken a job over."""
        for instance in self.live_peers():
            self.messenger.send(instance, JobTakeover(job))

    def announce_crashes(
        self, crash_reports: tuple[ToldEnd, ...], cleared: tuple[Fingerprint, ...]
    ) -> None:
        """Tells others of upstreams that ended under requests.

        In a large fleet a few are told, who pass on what is news to them: as many links
        as members can't be kept, and what a link carries is lost when it is closed.
        """
        self._spread_ends(EndsSeen(crash_reports, cleared))

    def _spread_ends(self, seen: EndsSeen) -> None:
        live_peers = self.live_peers()
        if len(live_peers) > _TELL_ALL:
            live_peers = self.detector.audience()
        for instance in live_peers:
            self.messenger.send(instance, seen)

    def observe_list(self, members: list[tuple[InstanceId, str, ZoneId]]) -> None:
        """Takes instances and their addresses as the platform keeps them.

        Those that are listed for the first time are greeted, so that both ends tell
        each other of their work at once: after all have started together, each would
        else take the same free slots until a beat of each has reached each.
        """
        now = trio.current_time()
        known = set(self.detector.members)
        self.detector.observe_list(members, now)
        new = set(self.detector.members) - known
        self.messenger.greet(self._near(list(new)))

    def live_peers(self) -> list[InstanceId]:
        """Returns the other instances that are heard of."""
        return self.detector.alive(trio.current_time())[1:]

    # Sending.

    async def _beat_forever(self) -> None:
        while True:
            now = trio.current_time()
            self.messenger.beat(now, revision=Revision(self.version()))
            self.expire_stale_counts(now)
            self._ask_if_behind(now)
            self._tell_results()
            self._teach()
            if now - self._told_at >= _TELL_UNCHANGED_S - HEARTBEAT_S / 2:
                self.work_changed(urgent=False)
            await trio.sleep(HEARTBEAT_S)

    def expire_stale_counts(self, now: float) -> None:
        """Gives up what was told by those that are dead or have told nothing since."""
        for gone in set(self._met) - set(self.detector.members):
            del self._met[gone]
        silent = [p for p in self.placement.peers.tellers() if self._is_silent(p, now)]
        zones = [
            z for z in self.placement.zones.tellers() if self._zone_is_silent(z, now)
        ]
        changed = self._forget_waiting(now)
        for peer in silent:
            self._drop_peer(peer)
        for zone in zones:
            self._drop_zone(zone)
        if changed or silent or zones:
            self.on_counts_changed()

    def _is_silent(self, peer: InstanceId, now: float) -> bool:
        """Returns whether a peer has died or not told of its work for long.

        While it lives its work goes on, though it can't be heard here.
        """
        told_s = now - self._counts_at.get(peer, float("-inf"))
        lives = self.detector.is_alive(peer, now) or told_s <= SUSPECT_AFTER_S
        if lives and told_s <= COUNTS_EXPIRY_S:
            return False
        told_s = round(told_s, 1)
        _log.warning("A peer fell silent.", peer=peer, told_s=told_s, lives=lives)
        return True

    def _zone_is_silent(self, zone: ZoneId, now: float) -> bool:
        """Returns whether a zone has died or not told of its work for long."""
        told_s = now - self._zones_at.get(zone, float("-inf"))
        lives = any(self.detector.zone_of(peer) == zone for peer in self.live_peers())
        if told_s <= (COUNTS_EXPIRY_S if lives else ZONE_STALE_S):
            return False
        told_s = round(told_s, 1)
        _log.warning("A zone fell silent.", zone=zone, told_s=told_s, lives=lives)
        return True

    def _forget_waiting(self, now: float) -> bool:
        """Drops what was told to wait too long ago; returns whether there was any."""
        stale = [
            peer
            for peer in self.placement.order.tellers()
            if now - self._counts_at.get(peer, float("-inf")) > WAITING_STALE_S
        ]
        for peer in stale:
            self.placement.order.forget(peer)
        return bool(stale)

    def _drop_peer(self, peer: InstanceId) -> None:
        """Gives up what a peer has told, and has its upstreams asked instead."""
        upstreams = self.placement.peers.upstreams_of(peer)
        self._forget_peer(peer)
        self.expired_counts += 1
        self.on_counts_expired(upstreams)

    def _drop_zone(self, zone: ZoneId) -> None:
        upstreams = self.placement.zones.upstreams_of(zone)
        self._forget_zone(zone)
        self.on_counts_expired(upstreams)

    def _forget_peer(self, peer: InstanceId) -> None:
        self.placement.peers.forget(peer)
        self.placement.order.forget(peer)
        self.placement.demand.forget(peer)
        self._counts_at.pop(peer, None)

    def _forget_zone(self, zone: ZoneId) -> None:
        self.placement.zones.forget(zone)
        self.placement.demand.forget(zone)
        self._zones_at.pop(zone, None)

    def _on_reopened(self, silent: Silent) -> None:
        """Tells all to whom a link was silent; what waits there isn't known by now."""
        if silent.way is Way.EITHER and self.placement.order.forget(silent.peer):
            self.on_counts_changed()
        self._tell_ends(silent.peer)
        if silent.peer in self._near(self.live_peers()):
            self._tell_work(silent.peer)

    def _tells_as_one(self, zone: ZoneId | None, now: float) -> bool:
        """Returns whether a whole zone's work has been told of lately."""
        if zone is None:
            return False
        return now - self._zones_at.get(zone, float("-inf")) <= ZONE_STALE_S

    def _ask_if_behind(self, now: float) -> None:
        """Asks whoever has newer routes, or anybody while the store is away."""
        _, ahead = self.detector.highest_revision()
        if ahead is None and self.needs_routes():
            live_peers = self.live_peers()
            ahead = live_peers[int(now * 10) % len(live_peers)] if live_peers else None
        if ahead is None or now - self._asked_at < _ASK_PAUSE_S:
            return
        self._asked_at = now
        self.messenger.send(ahead, RoutesRequest(self.version()))

    def _tell_results(self) -> None:
        """Tells the own availability zone: from another an upstream may look well."""
        results = self.placement.untold_results()
        if not results:
            return
        for instance in self.live_peers():
            if self.detector.zone_of(instance) == self.settings.zone:
                self.messenger.send(instance, ResultsSeen(tuple(results)))

    async def _tell_forever(self) -> None:
        while True:
            await self._changed.wait()
            with trio.move_on_after(_GATHER_S):
                await self._urgent.wait()
            self._changed = trio.Event()
            self._urgent = trio.Event()
            self._told_at = trio.current_time()
            self._tell_all(self._near(self.live_peers()))

    def _tell_all(self, instances: Iterable[InstanceId]) -> None:
        """Tells of work in flight and waiting; it is routine if nothing has changed."""
        work = self._own_work()
        told, self._told_last = self._told_last, (work.counts, work.waiting)
        kind = Kind.ROUTINE if told == self._told_last else Kind.NEWS
        for instance in instances:
            self.messenger.send(instance, work, kind=kind)

    def _tell_ends(self, instance: InstanceId) -> None:
        """Tells one that was not heard of for a while what it may have missed."""
        crash_reports = self.crash_reports()
        if crash_reports:
            self.messenger.send(instance, EndsSeen(crash_reports))

    def _teach(self) -> None:
        """Tells ends to those that were heard anew, and to one other by chance.

        Whatever was lost on the way reaches all in the end: with as many members as
        pick one, each is picked about once a beat.
        """
        live_peers = self.live_peers()
        chosen = self.placement.rng.choice(live_peers) if live_peers else None
        crash_reports = self.crash_reports()
        for instance in {*self._to_teach, *([chosen] if chosen else [])}:
            if crash_reports:
                self.messenger.send(instance, EndsSeen(crash_reports))
        self._to_teach = {
            instance: beats - 1
            for instance, beats in self._to_teach.items()
            if beats > 1
        }

    def _tell_work(self, instance: InstanceId) -> None:
        """Tells one of work in flight and waiting that may know nothing of it."""
        self.messenger.send(instance, self._own_work())

    def _own_work(self) -> WorkInFlight:
        return WorkInFlight(
            tuple(self.placement.own()),
            self.waiting(),
            self.placement.demand.own_rates(now=trio.current_time()),
        )

    async def _tell_far_forever(self) -> None:
        """Tells other zones of this one's work, if that falls to this instance."""
        while True:
            await trio.sleep(_TELL_FAR_S)
            live_peers = self.live_peers()
            near = self._near(live_peers)
            if len(near) == len(live_peers):
                continue
            if self.settings.instance != self._reporter(self.settings.zone):
                continue
            rates = self.placement.demand.rates_of(near, now=trio.current_time())
            zone_work = ZoneWorkInFlight(
                self.settings.zone, tuple(self.placement.of_own_zone()), rates
            )
            for instance in set(live_peers) - set(near):
                self.messenger.send(instance, zone_work, kind=Kind.ROUTINE)

    def _near(self, live_peers: list[InstanceId]) -> list[InstanceId]:
        """Returns those that this instance tells of its own work."""
        if len(live_peers) <= _TELL_ALL:
            return live_peers
        own = self.settings.zone
        return [i for i in live_peers if self.detector.zone_of(i) == own]

    def _reporter(self, zone: ZoneId | None) -> InstanceId | None:
        """Returns who tells the others of a zone's work: the first that lives."""
        living = [self.settings.instance, *self.live_peers()]
        of_zone = [i for i in living if self.detector.zone_of(i) == zone]
        return min(of_zone, default=None)

    # Receiving.

    @_handlers.handles(Heartbeat)
    def _on_heartbeat(self, sender: InstanceId, heartbeat: Heartbeat) -> None:
        now = trio.current_time()
        incarnation = heartbeat.own.incarnation
        met = self.detector.is_alive(sender, now)
        # Others may have told of it before; it has heard nothing from here yet.
        met = met and self._met.get(sender) == incarnation
        self._met[sender] = incarnation
        self.detector.observe(heartbeat, now)
        if not met:
            # What was told before did not reach it.
            self._tell_ends(sender)
            self._to_teach[sender] = _TEACH_BEATS
            if sender in self._near(self.live_peers()):
                self._tell_work(sender)

    @_handlers.handles(WorkInFlight)
    def _on_work(self, sender: InstanceId, work: WorkInFlight) -> None:
        now = trio.current_time()
        zone = self.detector.zone_of(sender)
        if self._tells_as_one(zone, now):
            # It takes the fleet to be small still; its zone's sums hold this already.
            return
        if zone in self._zones_at:
            self._forget_zone(zone)
        if self.detector.has_died(sender, now):
            # Nothing was told to it while it was taken for dead.
            self._tell_work(sender)
        self._counts_at[sender] = now
        self.placement.peers.observe(sender, work.counts)
        self.placement.order.observe(sender, work.waiting, now=now)
        self.placement.demand.observe(sender, work.rates)
        self.on_counts_changed()

    @_handlers.handles(ZoneWorkInFlight)
    def _on_zone_work(self, sender: InstanceId, work: ZoneWorkInFlight) -> None:
        if work.zone == self.settings.zone:
            return
        self._zones_at[work.zone] = trio.current_time()
        self.placement.zones.observe(work.zone, work.counts)
        self.placement.demand.observe(work.zone, work.rates)
        for peer in self.placement.peers.tellers():
            if self.detector.zone_of(peer) == work.zone:
                self._forget_peer(peer)
        self.on_counts_changed()

    @_handlers.handles(ResultsSeen)
    def _on_results(self, sender: InstanceId, seen: ResultsSeen) -> None:
        self.placement.observe_results(seen.results, now=trio.current_time())

    @_handlers.handles(EndsSeen)
    def _on_ends(self, sender: InstanceId, seen: EndsSeen) -> None:
        news = self.on_crash_update(sender, seen)
        if news and len(self.live_peers()) > _TELL_ALL:
            self._spread_ends(seen)

    @_handlers.handles(RoutesRequest)
    def _on_wanted(self, sender: InstanceId, wanted: RoutesRequest) -> None:
        routes_snapshot = self.routes_snapshot(wanted.after)
        if routes_snapshot is not None:
            self.messenger.send(sender, routes_snapshot)

    @_handlers.handles(RoutesSnapshot)
    def _on_known(self, sender: InstanceId, routes_snapshot: RoutesSnapshot) -> None:
        self.on_routes_snapshot(routes_snapshot)

    @_handlers.handles(JobTakeover)
    def _on_taken(self, sender: InstanceId, taken: JobTakeover) -> None:
        items = self.on_job_takeover(taken.job)
        if items:
            self.messenger.send(sender, JobHandover(taken.job, items))

    @_handlers.handles(JobHandover)
    def _on_handover(self, sender: InstanceId, handover: JobHandover) -> None:
        self.on_job_handover(handover.job, handover.items)
