"""Takes jobs, has their items run, and commits what they give."""

from __future__ import annotations

from collections.abc import Callable

import trio

from coppercleat.errors import CoppercleatError
from coppercleat.ids import JobId
from coppercleat.jobs._index import JobIndex
from coppercleat.jobs._items import ItemRunner
from coppercleat.jobs._records import NOBODY
from coppercleat.jobs._repository import (
    Held,
    JobRepository,
    Superseded,
    bounded_partials,
    fits_one_commit,
)
from coppercleat.jobs._run import JobRun
from coppercleat.jobs._starter import JOBS_STALE_S, ItemStarter
from coppercleat.jobs._still_jobs import StillJobs
from coppercleat.observability import part_logger
from coppercleat.routing import ranked
from coppercleat.serving import ItemEvents, QueuedWork, RouteTable

KEEP_EVERY_S = 1.5
"""How often the events of running items are kept on the platform: a killed instance
costs at most this much work again, at one transaction a job."""

KEEP_LEAST_EVENTS = 20
"""Fewer new events are not worth a write."""

HANDOVER_WAIT_S = 0.06
"""There and back between availability zones takes 2 ms, a busy peer some 10 ms."""

_HANDOVER_POLL_S = 0.005
_STOP_POLL_S = 0.02
_RETRY_S = 0.25
_COMMIT_GATHER_S = 0.05
"""Items that finish within this time are listed by one transaction."""

_TAKE_STAGGER_S = 0.6
"""The next in line takes an orphaned job so much later than the one before."""

_MOST_NAMED = 3
"""Items that a line names; each has lines of its own."""

_log = part_logger("jobs")


class JobWorker:
    """Owns jobs: takes them, has their items run, and commits the results.

    Attributes:
      stopping: Whether no more items may be started.
    """

    def __init__(
        self,
        repository: JobRepository,
        job_index: JobIndex,
        items: ItemRunner,
        *,
        owner: str,
        clock: Callable[[], float],
        routes: Callable[[], RouteTable | None],
        is_owner_alive: Callable[..., bool],
        live_instances: Callable[[], list[str]],
        holds_lease: Callable[[], bool],
        isolated: Callable[[], bool],
        pause_s: Callable[[], float],
        on_taken: Callable[[JobId], None],
        on_commit: Callable[[str], None],
    ) -> None:
        """Prepares the worker.

        Args:
          repository: Commits results.
          job_index: All jobs as known here.
          items: Runs items.
          owner: Names this start of this instance.
          clock: Unix time in seconds.
          routes: Returns the routes in force.
          is_owner_alive: Tells whether the owner of a job is alive, given since when
            its name has been known here.
          live_instances: Names all living instances.
          holds_lease: Tells whether others still take this instance as alive.
          isolated: Tells whether this instance hears neither the store nor any
            other instance, so that others must have taken its jobs.
          pause_s: Returns seconds between looks at what has changed of the jobs.
          on_taken: Told of each job taken over here.
          on_commit: Told how each commit ended.
        """
        self.repository = repository
        self.job_index = job_index
        self.items = items
        self.owner = owner
        self.clock = clock
        self.is_owner_alive = is_owner_alive
        self.live_instances = live_instances
        self.holds_lease = holds_lease
        self.pause_s = pause_s
        self.on_taken = on_taken
        self.on_commit = on_commit
        self.stopping = False
        self.runs: dict[JobId, JobRun] = {}
        self._met: dict[str, float] = {}
        self._orphans: dict[JobId, float] = {}
        self._taking: set[JobId] = set()
        self._handed: dict[JobId, list[ItemEvents]] = {}
        self._still = StillJobs()
        self._nursery: trio.Nursery | None = None
        self._starter = ItemStarter(
            items,
            self.runs,
            clock=clock,
            routes=routes,
            may_start=self._may_start,
            isolated=isolated,
        )
        job_index.on_change = self._job_changed

    async def run(self) -> None:
        """Works until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._follow_forever)
            nursery.start_soon(self._starter.run)

    def late_jobs(self) -> int:
        """Returns how many jobs of this instance are past their due time."""
        now = self.clock()
        return sum(run.due_at < now for run in self.runs.values())

    def late_items(self) -> int:
        """Returns how many waiting items cannot be done by their job's due time."""
        return self._starter.late_items()

    def barred_items_s(self) -> list[float]:
        """Returns for how long each item has been kept from running, in seconds."""
        now = trio.current_time()
        return [
            now - item.barred.since
            for run in self.runs.values()
            for item in run.pending
            if item.barred is not None
        ]

    def waiting(self) -> tuple[QueuedWork, ...]:
        """Returns what waits here for a slot, to be told to others."""
        return self._starter.waiting() if self._may_start() else ()

    def waits(self) -> bool:
        """Returns whether an item waits here for a slot."""
        now = trio.current_time()
        return any(run.startable(now) for run in self.runs.values())

    def look(self) -> None:
        """Looks for slots anew, if anything waits."""
        if self.waits():
            self._starter.wake()

    # Which jobs are ours.

    @property
    def may_own(self) -> bool:
        """Whether a new job may be put into the hands of this instance."""
        return self.holds_lease() and not self.stopping

    def _may_start(self) -> bool:
        age_s = trio.current_time() - self.job_index.fresh_at
        return self.may_own and age_s < JOBS_STALE_S

    def own(self, held: Held) -> None:
        """Begins a job that was just accepted here."""
        self.job_index.observe(held)

    async def _follow_forever(self) -> None:
        while True:
            try:
                await self.job_index.refresh()
            except CoppercleatError as error:
                _log.debug("Jobs could not be read.", reason=str(error))
            self._look_for_orphans()
            self._say_what_stands_still()
            await trio.sleep(self.pause_s())

    def _job_changed(self, held: Held) -> None:
        job = held.row.job
        run = self.runs.get(job)
        if run is not None and run.held.version < held.version:
            if not self._is_ours(held):
                self._drop(run, "ended" if held.row.ended else "taken over")
        elif run is None and held.row.open and held.row.owner == self.owner:
            self._begin(held, "ours, as it changed")

    def _begin(self, held: Held, why: str) -> None:
        job = held.row.job
        if job in self._taking or self._nursery is None or self.stopping:
            return
        self._taking.add(job)
        self._nursery.start_soon(self._run_job, held, why)

    def _look_for_orphans(self) -> None:
        """Takes jobs whose owner is gone; the first in line begins."""
        now = trio.current_time()
        if not self.job_index.loaded or not self._may_start():
            return
        for held in self.job_index:
            job = held.row.job
            if not held.row.open or job in self.runs or job in self._taking:
                self._orphans.pop(job, None)
            elif held.row.owner == self.owner:
                self._begin(held, "ours, but not held here")
            elif self._owner_lives(held.row.owner, now):
                self._orphans.pop(job, None)
            else:
                since = self._orphans.setdefault(job, now)
                place = ranked(job, self.live_instances()).index(self.owner)
                if now - since >= place * _TAKE_STAGGER_S:
                    self._taking.add(job)
                    assert self._nursery is not None
                    self._nursery.start_soon(self._take_orphan, held)

    def _owner_lives(self, owner: str, now: float) -> bool:
        since = self._met.setdefault(owner, now)
        return owner != NOBODY and self.is_owner_alive(owner, since=since)

    async def _take_orphan(self, held: Held) -> None:
        try:
            taken = await self.repository.take(held, owner=self.owner)
        except CoppercleatError as error:
            _log.info("A job could not be taken.", job=held.row.job, reason=str(error))
            self._taking.discard(held.row.job)
            return
        if isinstance(taken, Superseded):
            self._taking.discard(held.row.job)
            if taken.held is not None:
                self.job_index.observe(taken.held)
            return
        _log.info("Job taken over.", job=held.row.job, owner_before=held.row.owner)
        self.job_index.observe(taken)
        self.on_taken(held.row.job)
        await self._wait_for_handover(held.row.job)
        await self._run_job(taken, "taken over")

    def _say_what_stands_still(self) -> None:
        """Says of jobs that stand still what is known of them here.

        A job that another runs is spoken of by the first in line alone.
        """
        now = trio.current_time()
        still = self._still.look(
            self.job_index, is_ours_to_say=self._is_ours_to_say, now=now
        )
        for held, still_s in still:
            job, owner = held.row.job, held.row.owner
            run = self.runs.get(job)
            pending = run.pending if run is not None else []
            kept = {i.spec.id: i.barred for i in pending if i.barred is not None}
            until = min((barred.until for barred in kept.values()), default=now)
            _log.warning(
                "Job stands still.",
                job=job,
                still_s=round(still_s, 1),
                version=held.version,
                owner=owner,
                owner_lives=self._owner_lives(owner, now),
                held=run is not None,
                begun=job in self._taking,
                pending=len(pending) if run is not None else None,
                kept_from_running=len(kept),
                kept_items=list(kept)[:_MOST_NAMED],
                kept_for_s=round(until - now, 1),
                may_start=self._may_start(),
                jobs_age_s=round(now - self.job_index.fresh_at, 1),
            )

    def _is_ours_to_say(self, held: Held) -> bool:
        run = self.runs.get(held.row.job)
        if run is not None and run.running:
            return False
        if held.row.owner == self.owner:
            return True
        return ranked(held.row.job, self.live_instances())[0] == self.owner

    async def _wait_for_handover(self, job: JobId) -> None:
        """Waits a moment for what the owner before had made, if it can be heard."""
        with trio.move_on_after(HANDOVER_WAIT_S):
            while job not in self._handed:
                await trio.sleep(_HANDOVER_POLL_S)

    def taken_elsewhere(self, job: JobId) -> list[ItemEvents]:
        """Stops a job that another has taken over; returns what was made of it.

        An instance that the store turns away learns only so that it has lost a job.
        """
        run = self.runs.get(job)
        if run is None:
            return []
        made = run.made()
        self._drop(run, "taken over, by a peer's word")
        return made

    def handed_over(self, job: JobId, items: list[ItemEvents]) -> None:
        """Takes what the owner before had made; it comes before the job is loaded."""
        if job in self._taking and job not in self.runs:
            self._handed[job] = items
            _log.info("Job handed on.", job=job, items=len(items))

    # One job.

    async def _run_job(self, held: Held, why: str) -> None:
        """Runs a job until all its items are listed or it is no longer ours."""
        job = held.row.job
        began = trio.current_time()
        try:
            run = await self._load(held)
            if run is None:
                _log.info("Job given up.", job=job, why="changed as it was loaded")
                return
            self.runs[job] = run
            _log.info(
                "Job begun.",
                job=job,
                why=why,
                version=run.held.version,
                pending=len(run.pending),
                finished=len(run.finished),
                ms=round((trio.current_time() - began) * 1000),
            )
            self._starter.wake()
            await self._commit_forever(run)
        finally:
            self.runs.pop(job, None)
            self._taking.discard(job)
            self._handed.pop(job, None)

    async def _load(self, held: Held) -> JobRun | None:
        while True:
            try:
                items = await self.repository.items(held.row)
                partials = await self.repository.partials(held.row)
                # It may have ended or changed hands while its input was read.
                newest = self.job_index.get(held.row.job)
                if newest is not None and newest.version > held.version:
                    held = newest
                if not self._is_ours(held):
                    return None
                run = JobRun(held, items, partials)
                run.take_over(self._handed.pop(held.row.job, []))
                return run
            except CoppercleatError as error:
                _log.info("A job waits for input.", job=held.row.job, reason=str(error))
            await trio.sleep(_RETRY_S)
            newest = self.job_index.get(held.row.job)
            if newest is None or not self._is_ours(newest):
                return None
            held = newest

    def _is_ours(self, held: Held) -> bool:
        return held.row.owner == self.owner and not held.row.ended

    async def _commit_forever(self, run: JobRun) -> None:
        kept_at = trio.current_time()
        while run.held.row.job in self.runs:
            now = trio.current_time()
            partials = {}
            if now - kept_at >= KEEP_EVERY_S:
                partials = bounded_partials(run.unkept(KEEP_LEAST_EVENTS))
                kept_at = now
            if run.finished or partials:
                if not await self._commit(run, partials):
                    return
            elif run.all_listed:
                _log.info("Job done.", job=run.held.row.job, items=run.held.row.total)
                return
            await trio.sleep(_COMMIT_GATHER_S)

    async def _commit(
        self, run: JobRun, partials: dict, *, owner: str | None = None
    ) -> bool:
        """Commits once; returns whether the job is still ours."""
        batch = run.finished[: fits_one_commit(run.finished)]
        try:
            held = await self.repository.commit(run.held, batch, partials, owner=owner)
        except CoppercleatError as error:
            self.on_commit(error.kind)
            _log.info(
                "A commit waits.",
                job=run.held.row.job,
                finished=len(batch),
                kind=error.kind,
                reason=error.message,
            )
            await trio.sleep(_RETRY_S)
            return True
        if isinstance(held, Superseded):
            self.on_commit("superseded")
            return self._settle(run, held)
        self.on_commit("done")
        run.held = held
        del run.finished[: len(batch)]
        run.note_kept(partials)
        self.job_index.observe(held)
        return True

    def _settle(self, run: JobRun, superseded: Superseded) -> bool:
        """Learns what a refused commit means; returns whether the job is ours.

        A commit whose answer was lost shows as a newer row with the same owner, in
        which the items stand that it listed.
        """
        held = superseded.held
        if held is None or not self._is_ours(held):
            self._drop(run, "changed by another")
            if held is not None:
                self.job_index.observe(held)
            return False
        listed = set(held.row.listed)
        run.held = held
        run.finished = [item for item in run.finished if item.index not in listed]
        self.job_index.observe(held)
        return True

    def _drop(self, run: JobRun, why: str) -> None:
        job = run.held.row.job
        self.runs.pop(job, None)
        self.items.stop_job(run)
        _log.info("Job given up.", job=job, why=why)

    # Stopping.

    async def hand_over(self) -> None:
        """Stops all items and gives up all jobs, with what the items have made."""
        self.stopping = True
        self.items.stop_all()
        async with trio.open_nursery() as nursery:
            for run in list(self.runs.values()):
                nursery.start_soon(self._release, run)

    async def _release(self, run: JobRun) -> None:
        self.runs.pop(run.held.row.job, None)
        while run.running:
            await trio.sleep(_STOP_POLL_S)
        for _ in range(3):
            partials = bounded_partials(run.unkept(1))
            if not await self._commit(run, partials, owner=NOBODY):
                return
            if run.held.row.owner == NOBODY:
                _log.info("Job handed over.", job=run.held.row.job)
                return
