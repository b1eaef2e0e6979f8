"""Speaks with the other instances: heartbeats, configuration, arrivals."""

from __future__ import annotations

from collections.abc import Callable

import trio

from coppercleat.configuration import Change
from coppercleat.ids import InstanceId, JobId, UpstreamId
from coppercleat.instance._fleet import Fleet
from coppercleat.instance._keeper import ConfigurationKeeper
from coppercleat.membership import (
    MAX_ARRIVALS,
    ConfigurationChanges,
    ConfigurationPull,
    ConfigurationSnapshot,
    Detector,
    HandlerRegistry,
    Heartbeat,
    JobHint,
    Message,
    Messenger,
    NodesKnown,
    OnlineArrivals,
    SilentLink,
    UpstreamDraining,
)
from coppercleat.observability import Metrics, part_logger
from coppercleat.quarantine import CrashDetector, CrashReport, CrashUpdate, Fingerprint
from coppercleat.routing import UpstreamRecord
from coppercleat.settings import Settings

_DEPARTURES_S = 0.05
_PULL_PAUSE_S = 0.25
_TELL_ALL_ARRIVALS = 16
_FEW_MEMBERS = 20
_MANY_MEMBERS_FACTOR = 2
"""Heartbeats are longer among many members, so they come less often."""

_log = part_logger("peers")

_handlers = HandlerRegistry()


class Peers:
    """This instance's end of all that instances tell each other.

    Attributes:
      messenger: Sends to other instances and receives.
      on_arrivals: Told of upstreams whose online requests changed.
      on_job_hint: Told to look for jobs now.
      crash_detector: Knows requests that end their upstreams; None before it is set.
    """

    def __init__(
        self,
        settings: Settings,
        detector: Detector,
        fleet: Fleet,
        keeper: ConfigurationKeeper,
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.detector = detector
        self.fleet = fleet
        self.keeper = keeper
        self.metrics = metrics
        self.on_arrivals: Callable[[UpstreamId], None] = lambda upstream: None
        self.on_job_hint: Callable[[], None] = lambda: None
        self.messenger = Messenger(
            detector,
            listen=settings.listen.peers,
            seeds=settings.peers.seeds,
            keys=settings.peers.keys,
            receiver=self,
            handlers=_handlers,
            on_rejected=lambda reason: metrics.garbage.inc({"reason": reason}),
            on_reopened=self._tell_again,
        )
        self.crash_detector: CrashDetector[UpstreamRecord] | None = None
        self._pulled_at = float("-inf")
        self._told: dict[UpstreamId, int] = {}
        self._departed: set[UpstreamId] = set()
        self._departure = trio.Event()

    async def run(self) -> None:
        """Sends and receives until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.messenger.run)
            nursery.start_soon(self._beat_forever)
            nursery.start_soon(self._tell_departures_forever)

    # Sending.

    async def _beat_forever(self) -> None:
        while True:
            self._beat(trio.current_time())
            slower = len(self.detector.members) > _FEW_MEMBERS
            factor = _MANY_MEMBERS_FACTOR if slower else 1
            await trio.sleep(factor * self.settings.peers.heartbeat_s)

    def _beat(self, now: float) -> None:
        self.messenger.beat(now, revision=self.keeper.document.revision)
        self._remind_one(now)
        self._forget_dead(now)
        self._pull_if_behind(now)
        self.metrics.members.set({}, len(self.detector.alive(now)))
        self.metrics.peer_bytes.set({"way": "sent"}, self.messenger.links.sent_bytes)
        self.metrics.peer_bytes.set(
            {"way": "received"}, self.messenger.links.received_bytes
        )

    def _forget_dead(self, now: float) -> None:
        for peer in self.fleet.arrivals.peers():
            if not self.detector.is_alive(peer, now):
                for upstream in self.fleet.arrivals.forget(peer):
                    self.fleet.note_online(upstream)
                    self.on_arrivals(upstream)

    def _pull_if_behind(self, now: float) -> None:
        """Asks whoever is ahead, or anybody while nothing is known at all."""
        revision, ahead = self.detector.highest_revision()
        starved = not self.keeper.loaded or not self.fleet.list_read
        if ahead is None and starved:
            others = self.detector.alive(now)[1:]
            ahead = others[0] if others else None
        if ahead is None or now - self._pulled_at < _PULL_PAUSE_S:
            return
        if revision > self.keeper.document.revision or starved:
            self._pulled_at = now
            pull = ConfigurationPull(
                self.keeper.document.revision, not self.fleet.list_read
            )
            self.messenger.send(ahead, pull)

    def send_all(self, message: Message) -> None:
        """Sends to some members of each zone, who pass it on if it is news."""
        for instance in self.detector.gossip_targets():
            self.messenger.send(instance, message)

    def spread_changes(self, changes: list[Change]) -> None:
        """Spreads changes just adopted."""
        if changes:
            self.send_all(ConfigurationChanges(tuple(changes)))

    def spread_leaving(self, upstream: UpstreamId) -> None:
        """Spreads that an upstream is leaving."""
        self.send_all(UpstreamDraining(upstream))

    def spread_ends(
        self, ends: tuple[CrashReport, ...], cleared: tuple[Fingerprint, ...]
    ) -> None:
        """Spreads that upstreams ended under requests."""
        self.send_all(CrashUpdate(ends, cleared))

    def _remind_one(self, now: float) -> None:
        """Tells a member by chance what it may have missed."""
        others = self.detector.alive(now)[1:]
        ends = (
            self.crash_detector.history.crash_reports(now=now)
            if self.crash_detector
            else ()
        )
        if others and ends:
            self.messenger.send(self.fleet.rng.choice(others), CrashUpdate(ends))

    def hint_job(self, job: JobId) -> None:
        """Tells members to look for jobs now."""
        self.send_all(JobHint(job))

    def online_changed(self, upstream: UpstreamId) -> None:
        """Tells who must know: of an arrival now, of an end soon."""
        record = self.fleet.table.get(upstream)
        if record is None:
            return
        if record.online > self._told.get(upstream, 0):
            self._tell_arrivals([upstream])
        else:
            self._departed.add(upstream)
            self._departure.set()

    async def _tell_departures_forever(self) -> None:
        while True:
            await self._departure.wait()
            await trio.sleep(_DEPARTURES_S)
            self._departure = trio.Event()
            departed, self._departed = self._departed, set()
            self._tell_arrivals(list(departed))

    def _tell_arrivals(self, upstreams: list[UpstreamId]) -> None:
        """Tells the feeders; all members while they are few, for routing."""
        counts = []
        feeders: dict[InstanceId, list[tuple[UpstreamId, int]]] = {}
        for upstream in upstreams:
            record = self.fleet.table.get(upstream)
            count = record.online if record else 0
            self._told[upstream] = count
            counts.append((upstream, count))
            feeder = self.fleet.feeder_of(record) if record else None
            if feeder is not None and feeder != self.settings.instance.id:
                feeders.setdefault(feeder, []).append((upstream, count))
        if len(self.detector.members) <= _TELL_ALL_ARRIVALS:
            self.send_all(OnlineArrivals(tuple(counts)))
            return
        for feeder, of_feeder in feeders.items():
            self.messenger.send(feeder, OnlineArrivals(tuple(of_feeder)))

    def _tell_again(self, silent: SilentLink) -> None:
        """Tells all that was told before to whom it may not have reached."""
        told = list(self._told.items())
        if len(self.detector.members) > _TELL_ALL_ARRIVALS:
            told = [one for one in told if self._feeds(silent.peer, one[0])]
        for start in range(0, len(told), MAX_ARRIVALS):
            counts = tuple(told[start : start + MAX_ARRIVALS])
            self.messenger.send(silent.peer, OnlineArrivals(counts))

    def _feeds(self, instance: InstanceId, upstream: UpstreamId) -> bool:
        record = self.fleet.table.get(upstream)
        return record is not None and self.fleet.feeder_of(record) == instance

    # Receiving.

    @_handlers.handles(Heartbeat)
    def _on_heartbeat(self, sender: InstanceId, heartbeat: Heartbeat) -> None:
        self.detector.observe(heartbeat, trio.current_time())

    @_handlers.handles(ConfigurationPull)
    def _on_pull(self, sender: InstanceId, pull: ConfigurationPull) -> None:
        if pull.wants_nodes and self.fleet.list_read:
            self.messenger.send(sender, NodesKnown(self.fleet.nodes))
        if not self.keeper.loaded:
            return
        changes = self.keeper.document.changes_after(pull.after)
        if changes is None or pull.after == 0:
            snapshot = self.keeper.document.snapshot()
            self.messenger.send(sender, ConfigurationSnapshot(snapshot))
        elif changes:
            self.messenger.send(sender, ConfigurationChanges(tuple(changes)))

    @_handlers.handles(ConfigurationChanges)
    def _on_changes(self, sender: InstanceId, message: ConfigurationChanges) -> None:
        self.keeper.adopt_changes(message.changes)

    @_handlers.handles(ConfigurationSnapshot)
    def _on_snapshot(self, sender: InstanceId, message: ConfigurationSnapshot) -> None:
        self.keeper.adopt_snapshot(message.snapshot)

    @_handlers.handles(NodesKnown)
    def _on_nodes(self, sender: InstanceId, message: NodesKnown) -> None:
        if not self.fleet.list_read:
            self.fleet.take_nodes(message.nodes)

    @_handlers.handles(OnlineArrivals)
    def _on_arrivals(self, sender: InstanceId, message: OnlineArrivals) -> None:
        for upstream in self.fleet.arrivals.observe(sender, message.in_flight):
            self.fleet.note_online(upstream)
            self.on_arrivals(upstream)

    @_handlers.handles(UpstreamDraining)
    def _on_leaving(self, sender: InstanceId, message: UpstreamDraining) -> None:
        if self.fleet.table.mark_draining(message.upstream):
            self.spread_leaving(message.upstream)

    @_handlers.handles(CrashUpdate)
    def _on_ends(self, sender: InstanceId, seen: CrashUpdate) -> None:
        watch = self.crash_detector
        if watch and watch.apply_update(sender, seen.reports, seen.cleared):
            self.send_all(seen)

    @_handlers.handles(JobHint)
    def _on_job_hint(self, sender: InstanceId, message: JobHint) -> None:
        self.on_job_hint()
