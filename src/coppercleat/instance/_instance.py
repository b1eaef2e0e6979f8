"""Puts one entry instance together, runs it, and stops it without a cut."""

from __future__ import annotations

import random
import signal
import time

import trio

from coppercleat.batch import BatchRunner, BatchState, JobStore
from coppercleat.configuration import Change, ConfigurationStore, Deployment
from coppercleat.ids import Revision, UpstreamId
from coppercleat.instance._fleet import Fleet
from coppercleat.instance._keeper import ConfigurationKeeper
from coppercleat.instance._peers import Peers
from coppercleat.limits import AdmissionController, RetryBudget, TenantLimiter
from coppercleat.membership import Detector, MemberLine
from coppercleat.observability import EventRing, Metrics, part_logger
from coppercleat.online import IdempotencyStore, OnlineServices, Pipeline, pick_version
from coppercleat.orders import VersionReconciler
from coppercleat.platform import StoreClient
from coppercleat.quarantine import (
    TRIAL_STAGGER_S,
    CrashDetector,
    Fingerprint,
    ProbeResult,
    format_fingerprint,
)
from coppercleat.routing import UpstreamRecord, rendezvous_order
from coppercleat.settings import Settings
from coppercleat.storage import Platform

_MS = 1000
_READY_POLL_S = 0.02
_FAILURES_UNTIL_AWAY = 3

_log = part_logger("instance")


class Instance:
    """All parts of an entry instance.

    Attributes:
      stopping: Whether a planned stop has begun.
      in_flight: Calls from outside that have not ended.
      platform_reachable: Whether any of the last calls to the platform was
        answered.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        ring: EventRing,
        platform: Platform | None = None,
        rng: random.Random | None = None,
    ) -> None:
        """Builds the parts; nothing runs yet.

        Args:
          settings: This instance's settings.
          ring: The latest log events.
          platform: In place of the one that the settings name.
          rng: Source of randomness.
        """
        self.settings = settings
        self.ring = ring
        self.rng = rng or random.SystemRandom()
        self.metrics = Metrics()
        self.stopping = False
        self.in_flight = 0
        self.platform_reachable = True
        self._platform_failures = 0
        self.platform: Platform = platform or StoreClient(
            settings.platform.url,
            timeout_s=settings.platform.timeout_s,
            on_call=self._on_platform_call,
            on_drop=lambda why, count: self.metrics.platform_drops.add(
                {"reason": why.value}, count
            ),
        )
        self.detector = Detector(
            self._own_line(),
            suspect_after_s=settings.peers.suspect_after_s,
            fanout=settings.peers.fanout,
            rng=self.rng,
        )
        self.fleet = Fleet(settings, self.platform, self.detector, rng=self.rng)
        self.keeper = ConfigurationKeeper(
            ConfigurationStore(self.platform, clock=time.time),
            metrics=self.metrics,
            rng=self.rng,
            live_instances=self.live_instances,
            on_adopted=self._spread_changes,
        )
        self.peers = Peers(
            settings, self.detector, self.fleet, self.keeper, self.metrics
        )
        self.jobs = JobStore(self.platform, clock=time.time, rng=self.rng)
        self.batch = BatchRunner(
            BatchState(
                instance=settings.instance.instance_id,
                incarnation=lambda: self.detector.own.incarnation,
                settings=settings.batch,
                store=self.jobs,
                fleet=self.fleet,
                document=self.keeper.document,
                metrics=self.metrics,
                clock=time.time,
                rng=self.rng,
                pick_version=self._pick_version,
            )
        )
        self.orders = VersionReconciler(
            instance=settings.instance.instance_id,
            incarnation=lambda: self.detector.own.incarnation,
            settings=settings.orders,
            platform=self.platform,
            document=self.keeper.document,
            engines=self.fleet,
            metrics=self.metrics,
        )
        self.crash_detector = CrashDetector(self._look_at)
        self.crash_detector.on_update = self.peers.spread_ends
        self.crash_detector.verdicts.may_run_trial = self._tries
        self.crash_detector.on_blocked = lambda standing: self.metrics.barred.inc(
            {"standing": standing}
        )
        self.peers.crash_detector = self.crash_detector
        self.pipeline = Pipeline(self._online_services())
        self.fleet.on_leaving = self.peers.spread_leaving
        self.peers.on_arrivals = self.batch.online_changed
        self.peers.on_job_hint = self.batch.poll_now

    def _own_line(self) -> MemberLine:
        own = self.settings.instance
        return MemberLine(
            instance=own.instance_id,
            address=self.settings.listen.peers,
            zone=own.zone_id,
            incarnation=int(time.time() * _MS),
            beat=0,
            revision=Revision(0),
        )

    def _online_services(self) -> OnlineServices:
        online = self.settings.online
        return OnlineServices(
            document=self.keeper.document,
            table=self.fleet.table,
            clients=self.fleet,
            zone=self.settings.instance.zone_id,
            rng=self.rng,
            admission=AdmissionController(max_in_flight=online.max_in_flight),
            tenants=TenantLimiter(),
            retries=RetryBudget(ratio=online.retry_ratio, now=0.0),
            idempotency=IdempotencyStore(self.platform),
            metrics=self.metrics,
            live_instances=self.live_instances,
            online_changed=self._online_changed,
            batch_active=lambda: self.batch.state.open_jobs > 0,
            crash_detector=self.crash_detector,
            stall_s=online.stall_s,
        )

    async def _look_at(self, record: UpstreamRecord) -> ProbeResult:
        try:
            client = self.fleet.online_client(record.upstream)
        except KeyError:
            return ProbeResult.NO_ANSWER  # No longer followed.
        return await client.look()

    def _tries(self, fingerprint: Fingerprint, overdue_s: float) -> bool:
        """Returns whether a trial falls to this instance: to one of all that live.

        The first in line may not be asked for it, so the next ones step in.
        """
        own = self.settings.instance.instance_id
        place = rendezvous_order(
            format_fingerprint(fingerprint), self.fleet.alive()
        ).index(own)
        return overdue_s >= place * TRIAL_STAGGER_S

    def _spread_changes(self, changes: list[Change]) -> None:
        self.peers.spread_changes(changes)

    def _online_changed(self, upstream: UpstreamId) -> None:
        self.fleet.note_online(upstream)
        self.batch.online_changed(upstream)
        self.peers.online_changed(upstream)

    def _on_platform_call(self, answered: bool, seconds: float) -> None:
        self.metrics.platform.inc({"answered": str(answered).lower()})
        self._platform_failures = 0 if answered else self._platform_failures + 1
        reachable = self._platform_failures < _FAILURES_UNTIL_AWAY
        if reachable != self.platform_reachable:
            self.platform_reachable = reachable
            _log.warning("Platform reachable." if reachable else "Platform away.")

    def _pick_version(self, deployment: Deployment) -> str:
        return pick_version(deployment, self.fleet.table, self.rng)

    def live_instances(self) -> int:
        """Returns how many instances are thought alive, this one included."""
        return self.fleet.live()

    @property
    def ready(self) -> bool:
        """Whether callers may be sent here."""
        return not self.stopping and self.keeper.loaded and self.fleet.list_read

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs all parts until cancelled; reports started when ready."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.fleet.run)
            nursery.start_soon(self.keeper.run)
            nursery.start_soon(self.peers.run)
            nursery.start_soon(self.batch.run)
            nursery.start_soon(self.orders.run)
            nursery.start_soon(self.crash_detector.run)
            while not self.ready:
                await trio.sleep(_READY_POLL_S)
            _log.info("Instance ready.", instance=self.settings.instance.id)
            task_status.started()

    async def drain(self) -> None:
        """Turns unready, waits for what is in flight, hands over what is held."""
        self.stopping = True
        _log.info("Instance stopping.", in_flight=self.in_flight)
        deadline = trio.current_time() + self.settings.stop.drain_s
        await trio.sleep(self.settings.stop.unready_s)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._drain_batch, deadline)
            while self.in_flight and trio.current_time() < deadline:
                await trio.sleep(_READY_POLL_S)
        _log.info("Instance drained.", cut=self.in_flight)

    async def _drain_batch(self, deadline: float) -> None:
        await self.batch.drain(deadline=deadline)


async def stop_on_signal(instance: Instance, scope: trio.CancelScope) -> None:
    """Drains at the first SIGTERM or SIGINT and then cancels; the second exits."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        await anext(signals)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_exit_on_next, signals)
            await instance.drain()
            nursery.cancel_scope.cancel()
    scope.cancel()


async def _exit_on_next(signals: object) -> None:
    await anext(signals)  # type: ignore[call-overload]
    raise SystemExit(1)
