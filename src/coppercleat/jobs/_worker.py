"""Owns jobs: takes them over, runs their items, and commits the results."""

from __future__ import annotations

from collections.abc import Callable

import trio

from coppercleat.errors import CoppercleatError
from coppercleat.ids import JobId, JobRef
from coppercleat.jobs._index import JobIndex
from coppercleat.jobs._items import ItemRunner
from coppercleat.jobs._records import NO_OWNER
from coppercleat.jobs._repository import (
    JobRepository,
    StoredJob,
    Superseded,
    commit_batch_size,
    limit_checkpoints,
)
from coppercleat.jobs._run import JobRun
from coppercleat.jobs._starter import MAX_INDEX_AGE_S, ItemStarter
from coppercleat.jobs._still_jobs import StalledJobs
from coppercleat.observability import part_logger
from coppercleat.routing import rendezvous_order
from coppercleat.serving import ItemEvents, QueuedWork, RouteTable

CHECKPOINT_INTERVAL_S = 1.5
"""Interval of checkpoints of running items. A killed instance loses at most this much
work; each checkpoint costs one transaction per job."""

CHECKPOINT_MIN_EVENTS = 20
"""Minimum new events of an item for a checkpoint."""

HANDOVER_WAIT_S = 0.06
"""How long a new owner waits for the previous one to send its progress: longer than a
round trip between availability zones and a busy peer's reply."""

_HANDOVER_POLL_S = 0.005
_STOP_POLL_S = 0.02
_RETRY_DELAY_S = 0.25
_COMMIT_INTERVAL_S = 0.05
"""Items that finish within this time are committed in one transaction."""

_MAX_RELEASE_COMMITS = 6
"""A job's results may need some commits; two of them may fail."""

_TAKEOVER_STAGGER_S = 0.6
"""Extra delay per rank before a job of a dead owner is taken over."""

_MAX_LOGGED_ITEMS = 3
"""Maximum items named in one log line."""

_log = part_logger("jobs")


class JobWorker:
    """Owns jobs: takes them over, runs their items, and commits the results.

    Each job has one owner at a time, recorded in its row. Live instances take over the
    jobs of dead owners; every write is conditional on the version of the row, so that a
    previous owner cannot commit any more.

    Attributes:
      runs: Jobs that this instance owns and has loaded, by host and id.
      stopping: Whether the instance is shutting down and starts no more items.
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
        on_takeover: Callable[[JobRef, str], None],
        on_commit: Callable[[str], None],
    ) -> None:
        """Initializes the worker.

        Args:
          repository: Commits results.
          job_index: All jobs as known here.
          items: Runs items.
          owner: Owner name of this instance; it changes with each restart.
          clock: Returns the Unix time in seconds.
          routes: Returns the current route table; None before it is loaded.
          is_owner_alive: Returns whether the owner of a job is alive, given the time
            ``since`` which its name has been known here.
          live_instances: Returns the owner names of all live instances.
          holds_lease: Returns whether others still consider this instance alive.
          isolated: Returns whether this instance reaches neither the store nor any
            other instance, so that others must be assumed to take over its jobs.
          pause_s: Returns the seconds between two refreshes of the job index.
          on_takeover: Called with each job that was taken over here, and the name of
            its previous owner.
          on_commit: Called with the outcome of each commit.
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
        self.on_takeover = on_takeover
        self.on_commit = on_commit
        self.stopping = False
        self.runs: dict[JobRef, JobRun] = {}
        self._first_seen: dict[str, float] = {}
        self._orphans: dict[JobRef, float] = {}
        self._active: set[JobRef] = set()
        self._handovers: dict[JobRef, dict[int, ItemEvents]] = {}
        self._stalled_jobs = StalledJobs()
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
        job_index.on_delete = self._job_deleted

    async def run(self) -> None:
        """Runs jobs until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._follow_jobs)
            nursery.start_soon(self._starter.run)

    def late_jobs(self) -> int:
        """Returns how many jobs of this instance are past their due time."""
        now = self.clock()
        return sum(run.due_at < now for run in self.runs.values())

    def late_items(self) -> int:
        """Returns how many pending items cannot finish by their job's due time."""
        return self._starter.late_items()

    def quarantined_items_s(self) -> list[float]:
        """Returns the seconds that each quarantined item has been in quarantine."""
        now = trio.current_time()
        return [
            now - item.quarantine.since
            for run in self.runs.values()
            for item in run.pending
            if item.quarantine is not None
        ]

    def waiting(self) -> tuple[QueuedWork, ...]:
        """Returns the waiting items to announce to other instances."""
        return self._starter.waiting() if self._may_start() else ()

    def has_waiting_items(self) -> bool:
        """Returns whether any item waits for a slot."""
        now = trio.current_time()
        return any(run.startable(now) for run in self.runs.values())

    def wake(self) -> None:
        """Triggers a search for free slots if any item waits."""
        if self.has_waiting_items():
            self._starter.wake()

    # Ownership.

    @property
    def accepts_jobs(self) -> bool:
        """Whether new jobs may be assigned to this instance."""
        return self.holds_lease() and not self.stopping

    def _may_start(self) -> bool:
        age_s = trio.current_time() - self.job_index.fresh_at
        return self.accepts_jobs and age_s < MAX_INDEX_AGE_S

    def start_accepted_job(self, stored: StoredJob) -> None:
        """Adds a job that was just accepted to the index, and starts it if owned."""
        self.job_index.observe(stored)

    async def _follow_jobs(self) -> None:
        while True:
            try:
                await self.job_index.refresh()
            except CoppercleatError as error:
                _log.debug("Job index could not be refreshed.", reason=str(error))
            self._take_over_orphans()
            self._log_stalled_jobs()
            await trio.sleep(self.pause_s())

    def _job_changed(self, stored: StoredJob) -> None:
        run = self.runs.get(stored.ref)
        if run is not None and run.stored.version < stored.version:
            if not self._is_owned(stored):
                self._abandon(run, "ended" if stored.row.ended else "taken over")
        elif run is None and stored.row.open and stored.row.owner == self.owner:
            self._start_job(stored, "owned, found in a change")

    def _job_deleted(self, stored: StoredJob) -> None:
        run = self.runs.get(stored.ref)
        if run is not None:
            self._abandon(run, "deleted")

    def _start_job(self, stored: StoredJob, why: str) -> None:
        ref = stored.ref
        if ref in self._active or self._nursery is None or self.stopping:
            return
        self._active.add(ref)
        self._nursery.start_soon(self._run_job, stored, why)

    def _take_over_orphans(self) -> None:
        """Takes over jobs whose owner is dead.

        Instances are ranked for each job; each rank waits longer than the one before,
        so that usually only the first one tries.
        """
        now = trio.current_time()
        if not self.job_index.loaded or not self._may_start():
            return
        for stored in self.job_index:
            ref = stored.ref
            if not stored.row.open or ref in self.runs or ref in self._active:
                self._orphans.pop(ref, None)
            elif stored.row.owner == self.owner:
                self._start_job(stored, "owned, but not running here")
            elif self._is_owner_alive(stored.row.owner, now):
                self._orphans.pop(ref, None)
            else:
                since = self._orphans.setdefault(ref, now)
                rank = rendezvous_order(ref.id, self.live_instances()).index(self.owner)
                if now - since >= rank * _TAKEOVER_STAGGER_S:
                    self._active.add(ref)
                    assert self._nursery is not None
                    self._nursery.start_soon(self._take_over, stored)

    def _is_owner_alive(self, owner: str, now: float) -> bool:
        since = self._first_seen.setdefault(owner, now)
        return owner != NO_OWNER and self.is_owner_alive(owner, since=since)

    async def _take_over(self, stored: StoredJob) -> None:
        try:
            taken = await self.repository.set_owner(stored, owner=self.owner)
        except CoppercleatError as error:
            _log.info(
                "Job takeover failed.",
                host=stored.ref.host,
                job=stored.ref.id,
                reason=str(error),
            )
            self._active.discard(stored.ref)
            return
        if isinstance(taken, Superseded):
            self._active.discard(stored.ref)
            if taken.stored is not None:
                self.job_index.observe(taken.stored)
            return
        _log.info(
            "Job taken over.",
            host=stored.ref.host,
            job=stored.ref.id,
            owner_before=stored.row.owner,
        )
        self.job_index.observe(taken)
        self.on_takeover(stored.ref, stored.row.owner)
        await self._wait_for_handover(stored.ref)
        await self._run_job(taken, "taken over")

    def _log_stalled_jobs(self) -> None:
        """Logs the state of stalled jobs as known here.

        A job of another owner is logged only by the first-ranked instance.
        """
        now = trio.current_time()
        stalled = self._stalled_jobs.find_due(
            self.job_index, should_report=self._should_report, now=now
        )
        for stored, stalled_s in stalled:
            ref, owner = stored.ref, stored.row.owner
            run = self.runs.get(ref)
            pending = run.pending if run is not None else []
            quarantined = {
                i.spec.id: i.quarantine for i in pending if i.quarantine is not None
            }
            until = min(
                (quarantine.until for quarantine in quarantined.values()), default=now
            )
            _log.warning(
                "Job is stalled.",
                host=ref.host,
                job=ref.id,
                still_s=round(stalled_s, 1),
                version=stored.version,
                owner=owner,
                owner_lives=self._is_owner_alive(owner, now),
                held=run is not None,
                begun=ref in self._active,
                pending=len(pending) if run is not None else None,
                kept_from_running=len(quarantined),
                kept_items=list(quarantined)[:_MAX_LOGGED_ITEMS],
                kept_for_s=round(until - now, 1),
                may_start=self._may_start(),
                jobs_age_s=round(now - self.job_index.fresh_at, 1),
            )

    def _should_report(self, stored: StoredJob) -> bool:
        run = self.runs.get(stored.ref)
        if run is not None and run.running:
            return False
        if stored.row.owner == self.owner:
            return True
        return rendezvous_order(stored.row.job, self.live_instances())[0] == self.owner

    async def _wait_for_handover(self, ref: JobRef) -> None:
        """Waits briefly for the progress that the previous owner may send."""
        with trio.move_on_after(HANDOVER_WAIT_S):
            while ref not in self._handovers:
                await trio.sleep(_HANDOVER_POLL_S)

    def stop_taken_job(self, ref: JobRef) -> list[ItemEvents]:
        """Stops a job that another instance has taken over; returns its progress.

        Without a working store, the new owner's message is the only notice of the
        takeover.
        """
        run = self.runs.get(ref)
        if run is None:
            return []
        progress = run.progress()
        self._abandon(run, "taken over, reported by the new owner")
        return progress

    def stop_jobs_of_id(self, job: JobId) -> None:
        """Stops all jobs of an id, one of which another instance has taken over.

        Those that are still owned here start again from their checkpoints.
        """
        for run in list(self.runs.values()):
            if run.stored.row.job == job:
                self._abandon(run, "one job of its id was taken over, its host unnamed")

    def receive_handover(self, ref: JobRef, items: list[ItemEvents]) -> None:
        """Takes a previous owner's progress of a job that is not loaded yet.

        Several previous owners may answer one takeover, each of them more than once.
        """
        if ref in self._active and ref not in self.runs:
            newest = self._handovers.setdefault(ref, {})
            for progress in items:
                known = newest.get(progress.index)
                if known is None or known.precedence < progress.precedence:
                    newest[progress.index] = progress
            _log.info(
                "Job progress received.",
                host=ref.host,
                job=ref.id,
                items=len(items),
            )

    # Running a job.

    async def _run_job(self, stored: StoredJob, why: str) -> None:
        """Runs a job until all its items are listed or it is no longer owned."""
        ref = stored.ref
        began = trio.current_time()
        try:
            run = await self._load(stored)
            if run is None:
                _log.info(
                    "Job stopped.",
                    host=ref.host,
                    job=ref.id,
                    why="ownership changed during loading",
                )
                return
            self.runs[ref] = run
            _log.info(
                "Job started.",
                host=ref.host,
                job=ref.id,
                why=why,
                version=run.stored.version,
                pending=len(run.pending),
                finished=len(run.finished),
                ms=round((trio.current_time() - began) * 1000),
            )
            self._starter.wake()
            await self._commit_until_done(run)
        finally:
            self.runs.pop(ref, None)
            self._active.discard(ref)
            self._handovers.pop(ref, None)

    async def _load(self, stored: StoredJob) -> JobRun | None:
        while True:
            try:
                items = await self.repository.items(stored.row)
                checkpoints = await self.repository.checkpoints(stored.row)
                # The job may have been cancelled or taken over during these reads.
                newest = self.job_index.get(stored.ref)
                if newest is not None and newest.version > stored.version:
                    stored = newest
                if not self._is_owned(stored):
                    return None
                run = JobRun(stored, items, checkpoints)
                self._apply_handover(run)
                return run
            except CoppercleatError as error:
                _log.info(
                    "Job could not be loaded; retrying.",
                    host=stored.ref.host,
                    job=stored.ref.id,
                    reason=str(error),
                )
            await trio.sleep(_RETRY_DELAY_S)
            newest = self.job_index.get(stored.ref)
            if newest is None or not self._is_owned(newest):
                return None
            stored = newest

    def _apply_handover(self, run: JobRun) -> None:
        handover = self._handovers.pop(run.stored.ref, None)
        if handover is None:
            return
        result = run.apply_handover(handover.values())
        _log.info(
            "Job progress applied.",
            host=run.stored.ref.host,
            job=run.stored.ref.id,
            completed=result.completed,
            adopted=result.adopted,
            outdated=result.outdated,
        )

    def _is_owned(self, stored: StoredJob) -> bool:
        return stored.row.owner == self.owner and not stored.row.ended

    async def _commit_until_done(self, run: JobRun) -> None:
        checkpointed_at = trio.current_time()
        while run.stored.ref in self.runs:
            now = trio.current_time()
            checkpoints = {}
            if now - checkpointed_at >= CHECKPOINT_INTERVAL_S:
                checkpoints = limit_checkpoints(
                    run.new_checkpoints(CHECKPOINT_MIN_EVENTS)
                )
                checkpointed_at = now
            if run.finished or checkpoints:
                if not await self._commit(run, checkpoints):
                    return
            elif run.all_listed:
                _log.info(
                    "Job completed.",
                    host=run.stored.ref.host,
                    job=run.stored.ref.id,
                    items=run.stored.row.total,
                )
                return
            await trio.sleep(_COMMIT_INTERVAL_S)

    async def _commit(
        self, run: JobRun, checkpoints: dict, *, owner: str | None = None
    ) -> bool:
        """Commits once; returns whether the job is still owned."""
        batch = run.finished[: commit_batch_size(run.finished)]
        try:
            stored = await self.repository.commit(
                run.stored, batch, checkpoints, owner=owner
            )
        except CoppercleatError as error:
            self.on_commit(error.kind)
            _log.info(
                "Commit failed; retrying.",
                host=run.stored.ref.host,
                job=run.stored.ref.id,
                finished=len(batch),
                kind=error.kind,
                reason=error.message,
            )
            await trio.sleep(_RETRY_DELAY_S)
            return True
        if isinstance(stored, Superseded):
            self.on_commit("superseded")
            return self._resolve_conflict(run, stored)
        self.on_commit("done")
        run.adopt(stored)
        run.record_checkpoints(checkpoints)
        self.job_index.observe(stored)
        return True

    def _resolve_conflict(self, run: JobRun, superseded: Superseded) -> bool:
        """Handles a commit that was refused; returns whether the job is still owned.

        After a commit whose response was lost, the row is newer but has the same owner:
        the items that it lists must not be committed again.
        """
        stored = superseded.stored
        if stored is None or not self._is_owned(stored):
            self._abandon(run, "changed by another instance")
            if stored is not None:
                self.job_index.observe(stored)
            return False
        run.adopt(stored)
        self.job_index.observe(stored)
        return True

    def _abandon(self, run: JobRun, why: str) -> None:
        ref = run.stored.ref
        self.runs.pop(ref, None)
        self.items.stop_job(run)
        _log.info("Job stopped.", host=ref.host, job=ref.id, why=why)

    # Shutdown.

    async def release_jobs(self) -> None:
        """Stops all items, stores their progress, and releases all jobs."""
        self.stopping = True
        self.items.stop_all()
        async with trio.open_nursery() as nursery:
            for run in list(self.runs.values()):
                nursery.start_soon(self._release, run)

    async def _release(self, run: JobRun) -> None:
        self.runs.pop(run.stored.ref, None)
        while run.running:
            await trio.sleep(_STOP_POLL_S)
        for _ in range(_MAX_RELEASE_COMMITS):
            checkpoints = limit_checkpoints(run.new_checkpoints(1))
            is_last = commit_batch_size(run.finished) == len(run.finished)
            owner = NO_OWNER if is_last else None
            if not await self._commit(run, checkpoints, owner=owner):
                return
            if run.stored.row.owner == NO_OWNER:
                _log.info(
                    "Job released.",
                    host=run.stored.ref.host,
                    job=run.stored.ref.id,
                )
                return
