"""One gateway instance: its parts put together."""

from __future__ import annotations

import random
import time

import aioprometheus
import trio

from coppercleat import clock
from coppercleat.accounts import Allowances, ClientAccount
from coppercleat.gateway._account_list import (
    AccountShare,
    AccountStatus,
    list_accounts,
)
from coppercleat.gateway._callers import Callers
from coppercleat.gateway._job_service import JobService
from coppercleat.gateway._metrics import EXPORTED_ACCOUNTS, GatewayMetrics
from coppercleat.gateway._standstill import Standstill
from coppercleat.ids import InstanceId, random_token
from coppercleat.jobs import ItemRunner, JobIndex, JobRepository, JobWorker, Sweeper
from coppercleat.machine_speed import measure_speed
from coppercleat.observability import part_logger
from coppercleat.quarantine import (
    TRIAL_STAGGER_S,
    CrashDetector,
    CrashReport,
    CrashUpdate,
    Fingerprint,
    QuarantineStore,
    format_fingerprint,
)
from coppercleat.routing import rendezvous_order
from coppercleat.serving import (
    AbandonedAttempts,
    Admission,
    AdmissionQueue,
    Catalogue,
    FairShares,
    Forwarder,
    GatewayPeers,
    GatewaySettings,
    LoadProber,
    NextStep,
    OnlineRequest,
    Placement,
    QueuedWork,
    Refusal,
    RefusalReason,
    Reply,
    Route,
    RouteTable,
    ShareWeights,
    UpstreamCaller,
    UpstreamState,
    Watch,
    incarnation_probe,
    jobs_poll_interval_s,
)
from coppercleat.storage import Platform

STARTING_RETRY_S = 0.5
"""When to come back to an instance that knows no routes yet."""

KEEPERS = 3
"""Instances that keep a quarantined request in their rows: after a start of all of them
it is learnt again, and a large fleet's rows stay small."""

_MAX_LOGGED_ACCOUNTS = 8
"""Accounts with invalid rates that are named in one line."""

_log = part_logger("gateway")


class Gateway:
    """All parts of a gateway instance.

    Attributes:
      stopping: Whether a planned stop has begun.
      in_flight: Clients' calls that have not ended.
      startup_objects: Objects that garbage collection leaves out.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        *,
        platform: Platform,
        catalogue: Catalogue,
        caller: UpstreamCaller,
        metrics: GatewayMetrics,
        rng: random.Random | None = None,
    ) -> None:
        """Builds the parts; nothing runs yet.

        Args:
          settings: This instance's settings.
          platform: What must last.
          catalogue: Routes and upstreams as others have written them.
          caller: Reaches upstreams.
          metrics: Counts what happens.
          rng: Source of randomness.
        """
        self.settings = settings
        self.rng = rng or random.SystemRandom()
        self.stopping = False
        self.in_flight = 0
        self.boot = random_token(self.rng)
        self.placement = Placement(settings.zone, rng=self.rng)
        self.watch = Watch(
            settings,
            catalogue,
            platform,
            self.placement,
            boot=self.boot,
            rng=self.rng,
        )
        self.allowances = Allowances(
            settings.allowance,
            zone=settings.zone,
            zones=settings.zones,
            started_at=clock.seconds_since_boot(),
            rng=self.rng,
        )
        self.peers = GatewayPeers(
            settings,
            self.placement,
            allowances=self.allowances,
            incarnation=time.time_ns() // 1_000_000,
            rng=self.rng,
            speed=measure_speed(),
        )
        self.metrics = metrics
        self.callers = Callers(
            self.allowances,
            routes=lambda: self.watch.table,
            rejected=lambda reason: metrics.rejected.inc({"reason": reason}),
            use_changed=lambda: self.peers.work_changed(urgent=False),
            is_stale=self._may_miss_routes,
        )
        self.standstill = Standstill()
        self.startup_objects = 0
        self._seen_weights: ShareWeights | None = None
        self.admission = Admission(
            AdmissionQueue(self.placement, rng=self.rng, overload=settings.overload),
            on_change=self._work_changed,
            on_queue_change=lambda: self.peers.work_changed(urgent=True),
        )
        self.load_prober = LoadProber(self.placement, caller, rng=self.rng)
        self.abandoned_attempts = AbandonedAttempts()
        self.crash_detector = CrashDetector(incarnation_probe(caller))
        self.crash_detector.verdicts.parts_of = caller.prompt_parts
        self.quarantine_store = QuarantineStore(
            self.crash_detector.history, clock=time.time, should_store=self._keeps
        )
        self.forwarder = Forwarder(
            self.admission,
            caller,
            on_end=metrics.request_ended,
            abandoned_attempts=self.abandoned_attempts,
            crash_detector=self.crash_detector,
        )
        self.job_index = JobIndex(platform)
        repository = JobRepository(platform, clock=time.time, rng=self.rng)
        self.items = ItemRunner(
            self.placement,
            caller,
            instance=settings.instance,
            on_change=self._work_changed,
            on_end=metrics.item_run_ended,
            abandoned_attempts=self.abandoned_attempts,
            crash_detector=self.crash_detector,
        )
        self.worker = JobWorker(
            repository,
            self.job_index,
            self.items,
            owner=self.watch.owner_name,
            clock=time.time,
            routes=lambda: self.watch.table,
            is_owner_alive=self.watch.is_owner_alive,
            live_instances=self.watch.live_instances,
            holds_lease=self.watch.holds_lease,
            isolated=self._isolated,
            pause_s=lambda: jobs_poll_interval_s(self.settings, self.watch.instances),
            on_takeover=self.peers.announce_job_takeover,
            on_commit=metrics.committed,
        )
        self.sweeper = Sweeper(
            platform,
            self.job_index,
            keep_s=settings.keep_s,
            clock=time.time,
            owner=self.watch.owner_name,
            live_instances=self.watch.live_instances,
            quota_prefix_of=self._quota_of,
        )
        self.jobs = JobService(
            repository,
            self.job_index,
            self.worker,
            quota_tolerance=settings.quota_tolerance,
            on_submit=lambda answer: metrics.jobs.inc({"outcome": answer}),
        )
        self._connect()

    def _connect(self) -> None:
        """Tells each part whom to ask and whom to tell."""
        self.forwarder.find_origin = self.peers.inquiries.find
        self.forwarder.on_stream_began = self.peers.stream_began
        self.forwarder.on_stream_ended = self.peers.origins.end
        self.forwarder.on_taken_up = self.metrics.stream_taken_up
        queue, metrics = self.admission.queue, self.metrics
        queue.share_weights = self._share_weights
        queue.on_over_share = lambda request: metrics.request_over_share()
        queue.shedder.on_shed = metrics.request_shed
        queue.shedder.on_retry_after = metrics.retry_told
        self.watch.on_members = self.peers.observe_list
        self.watch.is_settled = self.peers.hears_all
        self.peers.version = lambda: self.watch.version
        self.peers.needs_routes = self.watch.needs_routes
        self.peers.routes_snapshot = self.watch.routes_snapshot
        self.peers.on_routes_snapshot = self.watch.adopt_routes_snapshot
        self.peers.on_counts_changed = self._counts_changed
        self.peers.has_waiting = self._waits
        self.peers.waiting = self._waiting
        # Runs of a peer that is gone may go on; their upstreams can tell.
        self.peers.on_counts_expired = self.load_prober.mark_uncertain
        self.peers.on_job_takeover = self.worker.stop_taken_job
        self.peers.on_unnamed_takeover = self.worker.stop_jobs_of_id
        self.peers.on_job_handover = self.worker.receive_handover
        self.watch.quarantine_records = self.quarantine_store.export_records
        self.watch.on_quarantine_records = self.quarantine_store.import_records
        self.watch.account_use = lambda: self.allowances.stored_use(
            now=trio.current_time()
        )
        self.watch.on_own_account_use = lambda stored: self.allowances.restore(
            stored, now=trio.current_time()
        )
        self.peers.crash_reports = self._ends
        self.peers.on_crash_update = self._hear_of_ends
        self.crash_detector.on_update = self.peers.announce_crashes
        self.placement.follow_crashes(self.crash_detector)
        self.crash_detector.verdicts.may_run_trial = self._tries
        self.crash_detector.on_blocked = self.metrics.request_barred
        self.load_prober.on_change = self._unknown_changed
        self.abandoned_attempts.on_abandoned = self.load_prober.record_abandoned_attempt
        self.abandoned_attempts.on_count = self.metrics.run_silent

    def _may_miss_routes(self) -> bool:
        """Returns whether a newer configuration may be in force elsewhere."""
        is_read = self.watch.routes_age_s() <= self.settings.apply_s
        return not (is_read or self.peers.hears_others())

    def _share_weights(self) -> ShareWeights | None:
        """Returns the weights by which accounts share slots; None if they do not."""
        table = self.watch.table
        if table is None or not self.settings.overload.fair_shares:
            return None
        weights = table.share_weights
        if weights is not self._seen_weights:
            self._seen_weights = weights
            if weights is not None and weights.invalid:
                _log.warning(
                    "Allowed rates are negative or not finite; these accounts share "
                    "slots as one of the median rate.",
                    accounts=weights.invalid[:_MAX_LOGGED_ACCOUNTS],
                    count=len(weights.invalid),
                    version=table.config.version,
                )
        return weights

    def _hear_of_ends(self, sender: InstanceId, seen: CrashUpdate) -> bool:
        return self.crash_detector.apply_update(sender, seen.reports, seen.cleared)

    def _ends(self) -> tuple[CrashReport, ...]:
        return self.crash_detector.history.crash_reports(now=trio.current_time())

    def _ranked(self, fingerprint: Fingerprint) -> list[str]:
        """Returns all living instances, in an order that they agree on."""
        live_instances = [self.settings.instance, *self.peers.live_peers()]
        return rendezvous_order(format_fingerprint(fingerprint), live_instances)

    def _tries(self, fingerprint: Fingerprint, overdue_s: float) -> bool:
        """Returns whether a trial of a request falls to this instance.

        The first in line may not be asked for it, so the next ones step in.
        """
        place = self._ranked(fingerprint).index(self.settings.instance)
        return overdue_s >= place * TRIAL_STAGGER_S

    def _keeps(self, fingerprint: Fingerprint) -> bool:
        """Returns whether this instance is one of those that keep a request's ends."""
        return self.settings.instance in self._ranked(fingerprint)[:KEEPERS]

    def _work_changed(self, state: UpstreamState, started: bool) -> None:
        self.peers.work_changed(urgent=started)
        if started:
            self.items.preempt()

    def _counts_changed(self) -> None:
        """Looks anew for slots, after others have told what they have in flight."""
        self.items.preempt()
        self.admission.dispatch()
        self.worker.wake()

    def _unknown_changed(self) -> None:
        """Tells peers of slots that are held or have come free, and uses these."""
        self.peers.work_changed(urgent=True)
        self._counts_changed()

    def _waits(self) -> bool:
        return len(self.admission.queue) > 0 or self.worker.has_waiting_items()

    def _waiting(self) -> tuple[QueuedWork, ...]:
        now = trio.current_time()
        return (*self.admission.queue.summary(now=now), *self.worker.waiting())

    def _isolated(self) -> bool:
        """Whether neither the store nor any other instance can be heard."""
        if self.watch.holds_lease() or not self.watch.has_live_peers:
            return False
        return not self.peers.live_peers()

    def _quota_of(self, host: str, path: str) -> str | None:
        """Returns the prefix whose quota counts a job's tokens, None for none."""
        table = self.watch.table
        route = table.match(host, path) if table else None
        limited = route is not None and route.max_waiting_tokens > 0
        return route.prefix if route is not None and limited else None

    @property
    def ready(self) -> bool:
        """Whether new clients should come here."""
        return self.watch.ready and not self.stopping

    async def run(self) -> None:
        """Runs all parts until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.standstill.run)
            nursery.start_soon(self.watch.run)
            nursery.start_soon(self.peers.run)
            nursery.start_soon(self.admission.run)
            nursery.start_soon(self.forwarder.stall_detector.run)
            nursery.start_soon(self.load_prober.run)
            nursery.start_soon(self.crash_detector.run)
            nursery.start_soon(self.items.cancel_stalled)
            nursery.start_soon(self.worker.run)
            nursery.start_soon(self.sweeper.run)

    def route(self, host: str, path: str) -> Route | Refusal:
        """Returns the route of a request, or why there is none."""
        table: RouteTable | None = self.watch.table
        if table is None:
            return Refusal(
                reason=RefusalReason.NO_CONFIGURATION,
                detail="this instance knows no routes yet",
                retry_after_s=STARTING_RETRY_S,
            )
        route = table.match(host, path)
        if route is None:
            return Refusal(reason=RefusalReason.NO_ROUTE, detail="no such route")
        return route

    def list_accounts(self) -> list[AccountStatus]:
        """Returns the accounts in force, with what they use and hold."""
        reports = self.peers.settings.overload.fair_shares
        load = self.placement.account_load if reports else None
        return list_accounts(
            self.callers, self.watch.table, load=load, shares=self._account_shares()
        )

    def _account_shares(self) -> dict[str, AccountShare] | None:
        """Returns the accounts' shares of the service that has most slots."""
        weights, table = self._share_weights(), self.watch.table
        if weights is None or table is None:
            return None
        now = trio.current_time()
        services = {state.upstream.service for state in self.placement.states.values()}
        slots = {s: self.placement.total_slots(s, now=now) for s in services}
        largest = max(slots, key=lambda service: slots[service], default="")
        shares = FairShares.at_present(
            weights, self.placement.account_load, queued=(), total_slots=slots
        )
        return {
            account.name: AccountShare(
                share=round(shares.share(account.name, largest), 2),
                weight=round(weights.weight(account.name), 3),
            )
            for account in table.config.accounts or ()
        }

    def render_metrics(self) -> bytes:
        """Returns the metrics page as text."""
        metrics = self.metrics
        metrics.in_flight.set({}, self.in_flight)
        metrics.standstill.set({}, self.standstill.longest_s)
        metrics.startup_objects.set({}, self.startup_objects)
        metrics.waiting.set({}, len(self.admission.queue))
        if self.peers.settings.overload.fair_shares:
            load = self.placement.account_load
            metrics.set_account_slots(load.most_held(EXPORTED_ACCOUNTS))
        metrics.late_items.set({}, self.worker.late_items())
        metrics.route_version.set({}, self.watch.version)
        metrics.peers.set({}, len(self.peers.live_peers()))
        metrics.links_reopened.set({}, self.peers.messenger.links.reopened)
        metrics.links_mended.set({}, self.peers.messenger.recovered)
        metrics.links_silent.set({}, len(self.peers.messenger.watch.silent()))
        metrics.peers_silent.set({}, self.peers.expired_counts)
        for reason, count in self.peers.dropped.counts.items():
            metrics.garbage.set({"reason": reason}, count)
        quarantined = self.crash_detector.history.quarantined(now=trio.current_time())
        metrics.quarantined.set({}, len(quarantined))
        states = self.placement.states.values()
        metrics.unknown_runs.set({}, sum(state.untracked for state in states))
        quarantined_items_s = self.worker.quarantined_items_s()
        metrics.barred_items.set({}, len(quarantined_items_s))
        metrics.barred_item_seconds.set({}, max(quarantined_items_s, default=0.0))
        metrics.owned_jobs.set({}, len(self.worker.runs))
        metrics.late_jobs.set({}, self.worker.late_jobs())
        page, _ = aioprometheus.render(metrics.registry, [])
        return page

    async def forward(
        self,
        request: OnlineRequest,
        route: Route,
        reply: Reply,
        *,
        account: ClientAccount | None = None,
    ) -> None:
        """Answers an online request.

        Args:
          request: The request.
          route: Its route.
          reply: Takes the answer.
          account: The client account; None if none is known.
        """
        if account is None:
            await self.forwarder.forward(request, route, reply)
            return
        request.account, request.priority = account.name, account.priority
        admitted_at = trio.current_time()
        over = self.callers.admit(account, request=request.request_id)
        if over is not None:
            await reply.refuse(over)
            return
        step = await self.forwarder.forward(request, route, reply)
        if step is NextStep.REFUSE_AS_NOT_RUN:
            self.allowances.withdraw(account.name, admitted_at=admitted_at)
