"""Claims segments, takes over those of failed holders, and releases others."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import trio

from coppercleat.batch._challenges import ChallengeTracker
from coppercleat.batch._claim_scheduler import ClaimScheduler, OpenJob
from coppercleat.batch._feeding import ItemDispatcher
from coppercleat.batch._rows import NO_HOLDER, SegmentRow, challenge_key
from coppercleat.batch._segment_work import SegmentWork
from coppercleat.batch._segments import ClaimRefusal, HeldSegment
from coppercleat.batch._state import BatchState
from coppercleat.configuration import Kind
from coppercleat.errors import NotFoundError, PlatformUnavailableError
from coppercleat.ids import InstanceId, TenantId
from coppercleat.observability import part_logger
from coppercleat.storage import AnswerLostError, Check, paced

# Claims choose at random among these, so that instances seldom conflict.
_MAX_CLAIM_CANDIDATES = 64
_MAX_CLAIM_READS_PER_S = 50.0
# Check intervals that a holder has at least to respond to a challenge.
_CHALLENGE_CHECK_INTERVALS = 2.5
# Sweeps continue for this time after a failed round.
_SWEEP_PERIOD_S = 10.0

_log = part_logger("batch")


class SegmentClaimer:
    """Claims segments while the upstreams of this instance have free capacity."""

    def __init__(
        self,
        state: BatchState,
        dispatcher: ItemDispatcher,
        *,
        stop_work: Callable[[SegmentWork, str], None],
        on_jobs: Callable[[Sequence[OpenJob]], None],
    ) -> None:
        """Initializes the claimer.

        Args:
          state: Shared batch state of this instance.
          dispatcher: Dispatcher of the items of claimed segments.
          stop_work: Called with a segment and a reason to stop all work on it.
          on_jobs: Called with all open jobs at each poll.
        """
        self.state = state
        self._dispatcher = dispatcher
        self._stop_work = stop_work
        self._on_jobs = on_jobs
        self._scheduler = ClaimScheduler()
        self._challenges = ChallengeTracker(
            response_timeout_s=state.settings.challenge_s
        )
        self._sweep_until = 0.0

    async def run(self) -> None:
        """Claims segments at each poll or request to poll, until cancelled."""
        while True:
            self.state.poll_requested = trio.Event()
            try:
                await self._claim_round()
            except (PlatformUnavailableError, AnswerLostError):
                self._sweep_until = trio.current_time() + _SWEEP_PERIOD_S
            interval_s = paced(
                self.state.settings.poll_s,
                self.state.fleet.live(),
                _MAX_CLAIM_READS_PER_S,
            )
            with trio.move_on_after(interval_s * self.state.rng.uniform(0.75, 1.25)):
                await self.state.poll_requested.wait()

    async def _claim_round(self) -> None:
        if self.state.draining:
            return
        await self._release_undispatchable()
        jobs = [
            OpenJob(row, version)
            for row, version in await self.state.store.reader.list_open()
        ]
        if trio.current_time() < self._sweep_until:
            await self._sweep(jobs)
        self.state.open_jobs = len(jobs)
        self._on_jobs(jobs)
        while self._needs_segments():
            held: dict[TenantId, int] = {}
            for segment in self.state.held:
                tenant = segment.held.job.tenant
                held[tenant] = held.get(tenant, 0) + 1
            weights = {
                TenantId(name): body.weight
                for name, body in self.state.document.bodies(Kind.TENANT)
            }
            ordered = self._scheduler.order(jobs, held=held, weights=weights)
            for job in ordered:
                if await self._claim_from(job):
                    break
            else:
                return

    async def _release_undispatchable(self) -> None:
        """Releases segments that no upstream dispatched to from here can run."""
        services = self._dispatcher.services()
        busy = self._dispatcher.running_segments()
        for segment in list(self.state.held):
            deployment = self.state.deployment_of(segment)
            service = deployment.service if deployment else None
            if service in services or segment in busy or not segment.queued_items:
                continue
            if segment.commit_lock.locked():
                continue
            self._stop_work(
                segment, "this instance dispatches to no upstream of its deployment"
            )
            await self.state.store.segments.release(segment.held)

    async def _sweep(self, jobs: Sequence[OpenJob]) -> None:
        """Releases segments that list this instance as holder but are not processed.

        A lost response to a claim or release, or an outage in between, leaves such
        rows. No other instance takes them over while this one is alive.
        """
        working = {(w.held.job.job, w.held.segment) for w in self.state.held}
        for job in jobs:
            for number, (row, version) in (
                await self.state.store.reader.segments(job.row)
            ).items():
                if row.done or (job.row.job, number) in working:
                    continue
                if row.holder != self.state.instance:
                    continue
                unprocessed = HeldSegment(
                    job=job.row,
                    job_version=job.version,
                    segment=number,
                    row=row,
                    version=version,
                )
                await self.state.store.segments.release(unprocessed)
                _log.info(
                    "Unprocessed segment released.", job=job.row.job, segment=number
                )

    def _needs_segments(self) -> bool:
        """Returns whether fewer items are queued than the upstreams could run."""
        capacity = (
            self._dispatcher.upstream_count() * self.state.settings.max_concurrency
        )
        queued_items = sum(segment.queued_items for segment in self.state.held)
        return (
            not self.state.draining
            and not self.state.at_uncommitted_limit
            and queued_items < capacity
        )

    async def _claim_from(self, job: OpenJob) -> bool:
        """Claims a segment of a job; returns whether one was claimed."""
        deployment = self.state.document.get(Kind.DEPLOYMENT, job.row.deployment)
        if deployment is None or deployment.service not in self._dispatcher.services():
            return False
        rows = await self.state.store.reader.segments(job.row)
        division = job.row.division
        if len(rows) == division.segments and all(r.done for r, _ in rows.values()):
            await self.state.store.finisher.complete_if_done(job.row.job)
            return False
        own_segments = {
            w.held.segment for w in self.state.held if w.held.job.job == job.row.job
        }
        open_segments = [
            number
            for number in range(division.segments)
            if number not in own_segments
            and not (number in rows and rows[number][0].done)
        ]
        for number in open_segments:
            if number not in rows:
                continue
            may_take_over, challenge = await self._may_take_over(rows[number][0])
            if may_take_over and await self._claim_segment(
                job, number, rows[number], challenge
            ):
                return True
        unclaimed = [number for number in open_segments if number not in rows]
        if not unclaimed:
            return False
        number = self.state.rng.choice(unclaimed[:_MAX_CLAIM_CANDIDATES])
        return await self._claim_segment(job, number, None, None)

    async def _may_take_over(self, row: SegmentRow) -> tuple[bool, Check | None]:
        """Returns whether a segment may be taken over, and on which condition.

        A row that lists this instance as holder of a segment it does not process
        is from an earlier incarnation or from a claim that failed halfway.
        """
        if row.holder in (NO_HOLDER, self.state.instance):
            return True, None
        state = self.state.fleet.holder_state(row.holder, row.incarnation)
        if state.restarted:
            return True, None
        if state.alive:
            self._challenges.record_alive(row.holder)
            return False, None
        return await self._challenge(row.holder)

    async def _challenge(self, holder: InstanceId) -> tuple[bool, Check | None]:
        """Challenges a holder; without a response its segments may be taken over."""
        now = trio.current_time()
        self._challenges.response_timeout_s = max(
            self.state.settings.challenge_s,
            _CHALLENGE_CHECK_INTERVALS * self.state.check_interval_s(),
        )
        try:
            version = await self.state.store.segments.challenge_version(holder)
            timed_out = self._challenges.observe(holder, version, now)
            if not version and self._challenges.may_challenge(holder, now):
                await self.state.store.segments.challenge(holder, self.state.instance)
                _log.info("Liveness challenge sent.", holder=holder)
        except (PlatformUnavailableError, AnswerLostError):
            self._challenges.record_outage()
            raise
        return timed_out, Check(challenge_key(holder), version)

    async def _claim_segment(
        self,
        job: OpenJob,
        number: int,
        known: tuple[SegmentRow, int] | None,
        challenge: Check | None,
    ) -> bool:
        claimed = await self.state.store.segments.claim(
            job.row,
            job.version,
            number,
            instance=self.state.instance,
            incarnation=self.state.incarnation(),
            known=known,
            challenge=challenge,
        )
        outcome = (
            claimed.name.lower() if isinstance(claimed, ClaimRefusal) else "claimed"
        )
        self.state.metrics.claims.inc({"outcome": outcome})
        if isinstance(claimed, ClaimRefusal):
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
            items = await self.state.store.segments.read_items(held)
        except NotFoundError as error:
            _log.error("Input object is missing.", job=held.job.job, why=error.message)
            return
        except PlatformUnavailableError:
            await self.state.store.segments.release(held)
            raise
        work = SegmentWork(held, items)
        work.draining = self.state.draining
        self.state.held.append(work)
        self.state.wake.set()
