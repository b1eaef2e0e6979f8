"""Claims segments, feeds their items to runners, and commits the results."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable, Sequence
from typing import Protocol

import attrs
import trio

from coppercleat.batch._challenges import Challenges
from coppercleat.batch._feed import FEED_POLICIES, FeedPolicy, RunnerView
from coppercleat.batch._forecast import forecast
from coppercleat.batch._items import ItemResult
from coppercleat.batch._rows import NOBODY, SegmentRow, challenge_key
from coppercleat.batch._share import ClaimChooser, OpenJob
from coppercleat.batch._store import Claimed, Commit, HeldSegment, JobStore
from coppercleat.batch._work import ItemWork, SegmentWork
from coppercleat.configuration import Deployment, Document, Kind
from coppercleat.errors import (
    NotFoundError,
    Outcome,
    PlatformUnavailableError,
    UpstreamFailedError,
    UpstreamRefusedError,
    UpstreamUnavailableError,
)
from coppercleat.ids import InstanceId, JobId, TenantId, UpstreamId
from coppercleat.observability import Metrics, part_logger
from coppercleat.platform import AnswerLostError, Check, paced
from coppercleat.routing import HealthState, UpstreamRecord
from coppercleat.settings import BatchSettings
from coppercleat.upstreams import Attempt, EngineRequest, UpstreamClient

_TICK_S = 0.05
_IDLE_TICK_S = 0.5
_COMMIT_RETRY_S = 0.5
_COMMIT_RETRY_MAX_S = 5.0
_UPSTREAM_PAUSE_S = 0.25
_PROBED_SEGMENTS = 64
_CLAIM_READS_PER_S = 50.0
_WATCH_READS_PER_S = 300.0
_WATCHES_TO_ANSWER = 2.5
_SWEEP_S = 10.0

_log = part_logger("batch")


class Fleet(Protocol):
    """What the runner needs to know of upstreams and other instances."""

    def fed(self) -> list[UpstreamRecord]:
        """Returns the upstreams that this instance feeds, those leaving not."""
        ...

    def online_total(self, upstream: UpstreamId) -> int:
        """Returns online requests in flight there, of all instances."""
        ...

    def batch_client(self, upstream: UpstreamId) -> UpstreamClient:
        """Returns the client for batch items."""
        ...

    def holder_state(self, holder: InstanceId, incarnation: int) -> HolderState:
        """Returns what is known of a segment's holder."""
        ...

    def live(self) -> int:
        """Returns how many instances are thought alive."""
        ...

    def is_steward(self, job: JobId) -> bool:
        """Returns whether this instance watches over a job's due time."""
        ...


@attrs.define(frozen=True)
class HolderState:
    """What is known of a holder.

    Attributes:
      heard: Whether peers hear it.
      restarted: Whether a later start of the same instance is known.
    """

    heard: bool
    restarted: bool


@attrs.define(eq=False)
class _Running:
    """An item that runs on a runner."""

    work: ItemWork
    segment: SegmentWork
    scope: trio.CancelScope
    yielded: bool = False


@attrs.define(eq=False)
class _Feed:
    """What this instance feeds to one runner.

    Attributes:
      retired: Whether another instance feeds it now, or it is leaving; what
        runs may end, and nothing new is begun.
    """

    record: UpstreamRecord
    policy: FeedPolicy
    running: list[_Running] = attrs.field(factory=list)
    paused_until: float = 0.0
    retired: bool = False


class BatchRunner:
    """Runs this instance's part of all open jobs.

    Attributes:
      held: Segments that this instance holds.
      draining: Whether nothing new is begun.
      held_results: Chunks complete and not yet committed.
      open_jobs: Open jobs at the last look.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        incarnation: Callable[[], int],
        settings: BatchSettings,
        store: JobStore,
        fleet: Fleet,
        document: Document,
        metrics: Metrics,
        clock: Callable[[], float],
        rng: random.Random,
        pick_version: Callable[[Deployment], str],
    ) -> None:
        """Prepares the runner.

        Args:
          instance: This instance.
          incarnation: Gives which start of it this is.
          settings: Limits.
          store: Jobs on the platform.
          fleet: Upstreams and other instances.
          document: The configuration in force.
          metrics: Where to count.
          clock: Gives Unix time in seconds.
          rng: Source of randomness.
          pick_version: Draws a version of a deployment.
        """
        self.instance = instance
        self.incarnation = incarnation
        self.settings = settings
        self.store = store
        self.fleet = fleet
        self.document = document
        self.metrics = metrics
        self.clock = clock
        self.rng = rng
        self.pick_version = pick_version
        self.held: list[SegmentWork] = []
        self.draining = False
        self.held_results = 0
        self.open_jobs = 0
        self._feeds: dict[UpstreamId, _Feed] = {}
        self._chooser = ClaimChooser()
        self._challenges = Challenges(wait_s=settings.challenge_s)
        self._sweep_until = 0.0
        self._wake = trio.Event()
        self._look = trio.Event()
        self._late: set[JobId] = set()
        self._nursery: trio.Nursery | None = None

    # Entry points.

    async def run(self) -> None:
        """Works until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._schedule_forever)
            nursery.start_soon(self._claim_forever)
            nursery.start_soon(self._watch_forever)

    def online_changed(self, upstream: UpstreamId) -> None:
        """Lets go of a runner at once if online requests have come to it."""
        feed = self._feeds.get(upstream)
        if feed is not None:
            self._let_go(feed, trio.current_time())

    def hint(self) -> None:
        """Looks for work and for cancelled jobs now rather than at the next poll."""
        self._look.set()

    def batch_limits(self) -> dict[UpstreamId, tuple[int, int]]:
        """Returns items running and the limit, for each runner fed."""
        now = trio.current_time()
        return {
            upstream: (len(feed.running), self._limit(feed, now))
            for upstream, feed in self._feeds.items()
        }

    async def drain(self, *, deadline: float) -> None:
        """Finishes begun chunks by a deadline, then gives all segments up."""
        self.draining = True
        for segment in self.held:
            segment.draining = True
        self._wake.set()
        while trio.current_time() < deadline and self._busy():
            await trio.sleep(_TICK_S)
        for feed in self._feeds.values():
            for running in feed.running:
                running.scope.cancel()
        with trio.move_on_after(2 * _TICK_S + 1.0):
            for segment in list(self.held):
                with contextlib.suppress(PlatformUnavailableError, AnswerLostError):
                    await self.store.release(segment.held)
        self.held.clear()

    def _busy(self) -> bool:
        running = any(feed.running for feed in self._feeds.values())
        return running or self.held_results > 0

    # Scheduling items onto runners.

    async def _schedule_forever(self) -> None:
        while True:
            self._wake = trio.Event()
            self._schedule(trio.current_time())
            active = self.held or any(f.running for f in self._feeds.values())
            with trio.move_on_after(_TICK_S if active else _IDLE_TICK_S):
                await self._wake.wait()

    def _schedule(self, now: float) -> None:
        self._refresh_feeds()
        for feed in self._feeds.values():
            self._let_go(feed, now)
            if feed.retired or now < feed.paused_until or self._results_full():
                continue
            limit = self._limit(feed, now)
            health = feed.record.health
            if health.state is HealthState.HALF_OPEN:
                limit = min(limit, 1)
            while len(feed.running) < limit and self._start_next(feed):
                health.started()

    def _refresh_feeds(self) -> None:
        records = {record.upstream: record for record in self.fleet.fed()}
        for upstream, feed in list(self._feeds.items()):
            feed.retired = records.get(upstream) is not feed.record
            if feed.retired and not feed.running:
                del self._feeds[upstream]
        for upstream, record in records.items():
            if upstream not in self._feeds:
                policy = FEED_POLICIES[self.settings.policy]()
                self._feeds[upstream] = _Feed(record, policy)

    def _services(self) -> set[str]:
        """Returns the services whose runners this instance feeds."""
        return {
            feed.record.node.service
            for feed in self._feeds.values()
            if not feed.retired
        }

    def _limit(self, feed: _Feed, now: float) -> int:
        view = RunnerView(
            online=self.fleet.online_total(feed.record.upstream),
            batch=len(feed.running),
            max_concurrency=self.settings.max_concurrency,
        )
        return feed.policy.limit(view, now)

    def _let_go(self, feed: _Feed, now: float) -> None:
        """Cancels the items that exceed the limit, the latest begun first."""
        excess = len(feed.running) - self._limit(feed, now)
        for running in reversed(feed.running):
            if excess <= 0:
                return
            if not running.yielded:
                self._yield(running)
                self.metrics.yields.inc({"upstream": feed.record.upstream})
            excess -= 1

    @staticmethod
    def _yield(running: _Running) -> None:
        running.yielded = True
        running.scope.cancel()

    def _results_full(self) -> bool:
        return self.held_results >= self.settings.max_held_chunks

    def _start_next(self, feed: _Feed) -> bool:
        for segment in self.held:
            deployment = self._deployment(segment)
            if deployment is None or deployment.service != feed.record.node.service:
                continue
            work = segment.take()
            if work is None:
                continue
            running = _Running(work, segment, trio.CancelScope())
            feed.running.append(running)
            feed.record.batch += 1
            assert self._nursery is not None
            self._nursery.start_soon(self._run_item, feed, running, deployment)
            return True
        return False

    def _deployment(self, segment: SegmentWork) -> Deployment | None:
        return self.document.get(Kind.DEPLOYMENT, segment.held.job.deployment)

    # Running one item.

    async def _run_item(
        self, feed: _Feed, running: _Running, deployment: Deployment
    ) -> None:
        work, segment = running.work, running.segment
        result: ItemResult | None = None
        try:
            with (
                running.scope,
                trio.move_on_after(self.settings.item_timeout_s) as limit,
            ):
                result = await self._execute(feed, work, segment, deployment)
            if limit.cancelled_caught and not running.yielded:
                why = f"no answer within {self.settings.item_timeout_s} s"
                self._lost(feed, work, ("timeout", why))
        finally:
            feed.running.remove(running)
            feed.record.batch -= 1
            self._wake.set()
        if result is None and work.given_up(self.settings.max_attempts):
            result = _gave_up(work)
        if result is None:
            segment.put_back(work)
            return
        self._finish(segment, work, result)

    def _lost(self, feed: _Feed, work: ItemWork, error: tuple[str, str]) -> None:
        """Notes an attempt without an answer, and lets the upstream rest."""
        now = trio.current_time()
        work.lost(feed.record.health, error)
        feed.record.health.failed(now)
        feed.paused_until = now + _UPSTREAM_PAUSE_S

    async def _execute(
        self,
        feed: _Feed,
        work: ItemWork,
        segment: SegmentWork,
        deployment: Deployment,
    ) -> ItemResult | None:
        """Runs an item; None means that it must run again."""
        job = segment.held.job
        tokens = work.item.max_tokens or job.max_tokens or deployment.default_max_tokens
        if len(work.made) >= tokens:
            return _answered(work)
        work.attempts += 1
        request = EngineRequest(
            request_id=f"{job.job}-{work.index}.{work.attempts}",
            model=self.pick_version(deployment),
            prompt=work.item.prompt,
            max_tokens=tokens,
            resume_tokens=len(work.made),
        )
        attempt = Attempt()
        client = self.fleet.batch_client(feed.record.upstream)
        try:
            answer = client.generate(request, attempt)
            async with contextlib.aclosing(answer) as parts:
                async for texts in parts:
                    work.made += texts
        except UpstreamFailedError as error:
            if error.outcome is Outcome.RUN:
                work.refused((error.kind, error.message))
            else:
                self._lost(feed, work, (error.kind, error.message))
            return None
        except UpstreamUnavailableError:
            work.attempts -= 1
            feed.record.health.failed(trio.current_time())
            return None
        except UpstreamRefusedError:
            work.attempts -= 1
            feed.paused_until = trio.current_time() + _UPSTREAM_PAUSE_S
            return None
        feed.record.health.succeeded()
        return _answered(work)

    def _finish(self, segment: SegmentWork, work: ItemWork, result: ItemResult) -> None:
        self.metrics.items.inc({"ended": "answered" if result.ok else "failed"})
        chunk = segment.finish(work, result)
        if chunk is None or segment.lost:
            return
        self.held_results += 1
        assert self._nursery is not None
        self._nursery.start_soon(self._commit, segment, chunk)

    # Committing.

    async def _commit(self, segment: SegmentWork, chunk: int) -> None:
        """Commits a chunk, however long the platform is away."""
        pause = _COMMIT_RETRY_S
        try:
            while not segment.lost:
                try:
                    async with segment.commit_lock:
                        outcome = await self.store.commit(
                            segment.held, chunk, segment.results(chunk)
                        )
                except (PlatformUnavailableError, AnswerLostError) as error:
                    _log.warning("Commit put off.", why=error.message)
                    await trio.sleep(pause * self.rng.uniform(0.5, 1.0))
                    pause = min(_COMMIT_RETRY_MAX_S, 2 * pause)
                    continue
                self.metrics.commits.inc({"outcome": outcome.name.lower()})
                if outcome is Commit.DONE:
                    segment.committed(chunk)
                else:
                    self._lose(segment, outcome.value)
                break
        finally:
            self.held_results -= 1
        if segment.finished:
            await self._finish_segment(segment)

    async def _finish_segment(self, segment: SegmentWork) -> None:
        if segment in self.held:
            self.held.remove(segment)
        self.hint()
        job = segment.held.job.job
        with contextlib.suppress(PlatformUnavailableError, AnswerLostError):
            if await self.store.complete_if_done(job):
                _log.info("Job ended.", job=job)

    def _lose(self, segment: SegmentWork, why: str) -> None:
        """Stops all work on a segment that is no longer this instance's."""
        segment.lost = True
        if segment in self.held:
            self.held.remove(segment)
        for feed in self._feeds.values():
            for running in feed.running:
                if running.segment is segment:
                    self._yield(running)
        _log.info(
            "Segment given up.",
            job=segment.held.job.job,
            segment=segment.held.segment,
            why=why,
        )

    # Claiming.

    async def _claim_forever(self) -> None:
        while True:
            self._look = trio.Event()
            try:
                await self._claim_round()
            except (PlatformUnavailableError, AnswerLostError):
                self._sweep_until = trio.current_time() + _SWEEP_S
            pause = paced(self.settings.poll_s, self.fleet.live(), _CLAIM_READS_PER_S)
            with trio.move_on_after(pause * self.rng.uniform(0.75, 1.25)):
                await self._look.wait()

    async def _claim_round(self) -> None:
        if self.draining:
            return
        await self._release_stranded()
        jobs = [OpenJob(row, version) for row, version in await self.store.list_open()]
        if trio.current_time() < self._sweep_until:
            await self._sweep(jobs)
        self.open_jobs = len(jobs)
        self._watch_due_times(jobs)
        while self._hungry():
            held: dict[TenantId, int] = {}
            for segment in self.held:
                tenant = segment.held.job.tenant
                held[tenant] = held.get(tenant, 0) + 1
            weights = {
                TenantId(name): body.weight
                for name, body in self.document.bodies(Kind.TENANT)
            }
            ordered = self._chooser.order(jobs, held=held, weights=weights)
            for job in ordered:
                if await self._claim_from(job):
                    break
            else:
                return

    async def _release_stranded(self) -> None:
        """Gives up segments that no runner fed by this instance can run."""
        services = self._services()
        busy = {r.segment for feed in self._feeds.values() for r in feed.running}
        for segment in list(self.held):
            deployment = self._deployment(segment)
            wanted = deployment.service if deployment else None
            if wanted in services or segment in busy or not segment.waiting:
                continue
            if segment.commit_lock.locked():
                continue
            self._lose(segment, "no runner of its deployment is fed from here")
            await self.store.release(segment.held)

    async def _sweep(self, jobs: Sequence[OpenJob]) -> None:
        """Gives up segments in this instance's name that it does not work on.

        They are left when the answer to a claim or to a release was lost, or
        the platform went away in between; while this instance lives, no other
        would take them over.
        """
        working = {(w.held.job.job, w.held.segment) for w in self.held}
        for job in jobs:
            for number, (row, version) in (await self.store.segments(job.row)).items():
                if row.done or (job.row.job, number) in working:
                    continue
                if row.holder != self.instance:
                    continue
                left = HeldSegment(
                    job=job.row,
                    job_version=job.version,
                    segment=number,
                    row=row,
                    version=version,
                )
                await self.store.release(left)
                _log.info("Segment swept.", job=job.row.job, segment=number)

    def _hungry(self) -> bool:
        """Whether fewer items wait than the runners fed could take."""
        feeds = sum(not feed.retired for feed in self._feeds.values())
        room = feeds * self.settings.max_concurrency
        waiting = sum(segment.waiting for segment in self.held)
        return not self.draining and not self._results_full() and waiting < room

    async def _claim_from(self, job: OpenJob) -> bool:
        """Claims one segment of a job; returns whether it did."""
        deployment = self.document.get(Kind.DEPLOYMENT, job.row.deployment)
        if deployment is None or deployment.service not in self._services():
            return False
        rows = await self.store.segments(job.row)
        division = job.row.division
        if len(rows) == division.segments and all(r.done for r, _ in rows.values()):
            await self.store.complete_if_done(job.row.job)
            return False
        mine = {w.held.segment for w in self.held if w.held.job.job == job.row.job}
        open_segments = [
            number
            for number in range(division.segments)
            if number not in mine and not (number in rows and rows[number][0].done)
        ]
        for number in open_segments:
            if number not in rows:
                continue
            free, challenge = await self._may_take_over(rows[number][0])
            if free and await self._take(job, number, rows[number], challenge):
                return True
        unclaimed = [number for number in open_segments if number not in rows]
        if not unclaimed:
            return False
        number = self.rng.choice(unclaimed[:_PROBED_SEGMENTS])
        return await self._take(job, number, None, None)

    async def _may_take_over(self, row: SegmentRow) -> tuple[bool, Check | None]:
        """Returns whether a held segment may be taken over, on what condition.

        A row with this instance's own name, for a segment that it does not
        work on, is from an earlier start or from a claim whose answer or whose
        input never came.
        """
        if row.holder in (NOBODY, self.instance):
            return True, None
        state = self.fleet.holder_state(row.holder, row.incarnation)
        if state.restarted:
            return True, None
        if state.heard:
            self._challenges.heard(row.holder)
            return False, None
        return await self._challenge(row.holder)

    async def _challenge(self, holder: InstanceId) -> tuple[bool, Check | None]:
        """Asks a silent holder for a sign of life; silence frees its segments."""
        now = trio.current_time()
        self._challenges.wait_s = max(
            self.settings.challenge_s, _WATCHES_TO_ANSWER * self._watch_pause()
        )
        try:
            version = await self.store.challenge_version(holder)
            unanswered = self._challenges.observe(holder, version, now)
            if not version and self._challenges.may_ask(holder, now):
                await self.store.challenge(holder, self.instance)
                _log.info("Holder challenged.", holder=holder)
        except (PlatformUnavailableError, AnswerLostError):
            self._challenges.interrupted()
            raise
        return unanswered, Check(challenge_key(holder), version)

    async def _take(
        self,
        job: OpenJob,
        number: int,
        known: tuple[SegmentRow, int] | None,
        challenge: Check | None,
    ) -> bool:
        claimed = await self.store.claim(
            job.row,
            job.version,
            number,
            instance=self.instance,
            incarnation=self.incarnation(),
            known=known,
            challenge=challenge,
        )
        outcome = claimed.name.lower() if isinstance(claimed, Claimed) else "claimed"
        self.metrics.claims.inc({"outcome": outcome})
        if isinstance(claimed, Claimed):
            return False
        if known is not None:
            _log.info(
                "Segment taken over.",
                job=job.row.job,
                segment=number,
                holder=known[0].holder,
            )
        await self._open_segment(claimed)
        return True

    async def _open_segment(self, held: HeldSegment) -> None:
        try:
            items = await self.store.read_items(held)
        except NotFoundError as error:
            _log.error("Input missing.", job=held.job.job, why=error.message)
            return
        except PlatformUnavailableError:
            await self.store.release(held)
            raise
        work = SegmentWork(held, items)
        work.draining = self.draining
        self.held.append(work)
        self._wake.set()

    # Watching.

    async def _watch_forever(self) -> None:
        while True:
            await trio.sleep(self._watch_pause() * self.rng.uniform(0.75, 1.0))
            if not self.held:
                continue
            with contextlib.suppress(PlatformUnavailableError, AnswerLostError):
                await self._watch()

    def _watch_pause(self) -> float:
        return paced(self.settings.poll_s, self.fleet.live(), _WATCH_READS_PER_S)

    async def _watch(self) -> None:
        """Notices challenges, take-overs and ended jobs, in one read."""
        by_held = {id(work.held): work for work in self.held}
        version, lost = await self.store.look(
            self.instance, [work.held for work in self.held]
        )
        if version:
            await self.store.answer_challenge(self.instance, version)
            _log.info("Challenge answered.")
        for held in lost:
            work = by_held[id(held)]
            if not work.lost and work in self.held:
                self._lose(work, "taken over, or the job has ended")

    def _watch_due_times(self, jobs: Sequence[OpenJob]) -> None:
        watched = [j for j in jobs if j.row.due_at and self.fleet.is_steward(j.row.job)]
        self._late &= {job.row.job for job in watched}
        if self._nursery is not None and watched:
            self._nursery.start_soon(self._forecast, watched)
        self.metrics.late_jobs.set({}, len(self._late))

    async def _forecast(self, jobs: list[OpenJob]) -> None:
        with contextlib.suppress(PlatformUnavailableError):
            for job in jobs:
                progress = await self.store.progress(job.row)
                seen = forecast(job.row, progress, now=self.clock())
                if seen.late and job.row.job not in self._late:
                    self._late.add(job.row.job)
                    _log.warning(
                        "Job will be late.",
                        job=job.row.job,
                        tenant=job.row.tenant,
                        due_at=job.row.due_at,
                        ends_at=seen.ends_at,
                    )
                elif not seen.late:
                    self._late.discard(job.row.job)
        self.metrics.late_jobs.set({}, len(self._late))


def _gave_up(work: ItemWork) -> ItemResult:
    kind, message = work.last_error
    return ItemResult(
        index=work.index,
        id=work.item.id,
        ok=False,
        error_kind=kind,
        error_message=message,
        attempts=work.attempts,
    )


def _answered(work: ItemWork) -> ItemResult:
    return ItemResult(
        index=work.index,
        id=work.item.id,
        text="".join(work.made),
        attempts=work.attempts,
    )
