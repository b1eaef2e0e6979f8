"""Starts items of this instance's jobs, in order, whenever a slot is free."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping

import trio

from coppercleat.ids import JobRef
from coppercleat.jobs._item_progress import ItemProgress
from coppercleat.jobs._items import ItemRunner, RunningItem
from coppercleat.jobs._run import JobRun
from coppercleat.jobs._schedule import Candidate, next_candidates
from coppercleat.observability import part_logger
from coppercleat.serving import QueuedWork, Rank, Route, RouteTable

MAX_INDEX_AGE_S = 2.0
"""Items start only while the job index is fresher than this; otherwise their job may
have been cancelled or taken over unnoticed."""

EXPIRY_MARGIN_S = 10.0
"""Grace after a job's expiry before its items fail: the clocks of the instance that
accepted the job and of its owner may differ by seconds."""

ROUTE_GRACE_S = 10.0
"""Grace before the items of a job without a route fail: its owner may learn of a new
route some seconds after the instance that accepted the job."""

_SLOT_POLL_S = 0.02
"""Poll interval for free slots while items wait. The end of a local run wakes the
starter at once; slots freed by other instances are seen only by polling."""

_IDLE_POLL_S = 0.2

_CHOOSY_RETRY_S = 0.1
"""Delay before an item that may use some upstreams only, and found no slot there, is
tried again."""

_WAITING_CACHE_S = 0.03
"""How long the list of waiting items is reused: building it visits every pending item,
and it is announced up to some hundred times a second."""

MAX_ANNOUNCED_ENTRIES = 32
"""Maximum entries of waiting items announced to other instances, earliest due first."""

_log = part_logger("jobs")


class ItemStarter:
    """Assigns free slots to the pending items of this instance's jobs."""

    def __init__(
        self,
        items: ItemRunner,
        runs: Mapping[JobRef, JobRun],
        *,
        clock: Callable[[], float],
        routes: Callable[[], RouteTable | None],
        may_start: Callable[[], bool],
        isolated: Callable[[], bool],
    ) -> None:
        """Initializes the starter.

        Args:
          items: Runs items.
          runs: Live view of this instance's jobs.
          clock: Returns the Unix time in seconds.
          routes: Returns the current route table; None before it is loaded.
          may_start: Returns whether items may start at all.
          isolated: Returns whether this instance reaches neither the store nor any
            other instance, so that others must be assumed to take over its jobs.
        """
        self.items = items
        self.runs = runs
        self.clock = clock
        self.routes = routes
        self.may_start = may_start
        self.isolated = isolated
        self._wake = trio.Event()
        self._cached_waiting: tuple[QueuedWork, ...] = ()
        self._cached_at = float("-inf")

    def late_items(self) -> int:
        """Returns how many pending items cannot finish by their job's due time."""
        wall = self.clock()
        return sum(
            self._count_late(run.pending, run.due_at - wall)
            for run in self.runs.values()
        )

    def _count_late(self, items: list[ItemProgress], due_in_s: float) -> int:
        return sum(self.items.seconds_left(item) > due_in_s for item in items)

    def waiting(self) -> tuple[QueuedWork, ...]:
        """Returns the waiting items to announce to other instances; briefly cached."""
        now = trio.current_time()
        if now - self._cached_at >= _WAITING_CACHE_S:
            self._cached_at = now
            self._cached_waiting = self._collect_waiting()
        return self._cached_waiting

    def _collect_waiting(self) -> tuple[QueuedWork, ...]:
        wall, now = self.clock(), trio.current_time()
        waiting = []
        table = self.routes()
        for run in sorted(self.runs.values(), key=lambda run: run.due_at):
            route = (
                table.match(run.stored.row.host, run.stored.row.path) if table else None
            )
            if route is None:
                continue
            service = route.targets[0].service
            due_in_s = run.due_at - wall
            self._log_lateness(run, self._count_late(run.pending, due_in_s), due_in_s)
            # Other instances leave slots to announced items, so that items that may not
            # run yet are left out.
            startable = run.startable(now)
            late = self._count_late(startable, due_in_s)
            if len(startable) > late:
                on_time = len(startable) - late
                waiting.append(QueuedWork(Rank.BATCH, due_in_s, service, on_time))
            if late:
                waiting.append(QueuedWork(Rank.BATCH_LATE, due_in_s, service, late))
        return tuple(waiting[:MAX_ANNOUNCED_ENTRIES])

    def _log_lateness(self, run: JobRun, late: int, due_in_s: float) -> None:
        """Logs, once per job, that some of its items will be late."""
        if late and not run.lateness_logged:
            run.lateness_logged = True
            _log.warning(
                "Job will be late.",
                host=run.stored.ref.host,
                job=run.stored.ref.id,
                items=late,
                due_in_s=round(due_in_s, 1),
            )

    def wake(self) -> None:
        """Wakes the starter, as there may be a new item or a free slot."""
        self._wake.set()

    async def run(self) -> None:
        """Starts items until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                if self.isolated():
                    # The items keep their progress, since this instance may remain the
                    # owner.
                    self.items.stop_all()
                if self._start_next(nursery):
                    await trio.sleep(0)
                else:
                    await self._wait()
                self._wake = trio.Event()

    async def _wait(self) -> None:
        soon = trio.current_time() + _IDLE_POLL_S
        has_waiting = any(run.startable(soon) for run in self.runs.values())
        with trio.move_on_after(_SLOT_POLL_S if has_waiting else _IDLE_POLL_S):
            await self._wake.wait()

    def _start_next(self, nursery: trio.Nursery) -> bool:
        """Starts at most one item.

        Returns:
          Whether another pass may start more: an item was started, or blocked items
          were deferred.
        """
        table = self.routes()
        if table is None or not self.may_start():
            # Routes may be as old as the time in which nothing was read.
            for run in self.runs.values():
                run.unrouted_since = None
            return False
        wall = self.clock()
        candidates = next_candidates(
            self._runnable(table, wall),
            seconds_left=self.items.seconds_left,
            now=trio.current_time(),
            wall=wall,
        )
        full: set[str] = set()
        deferred = False
        for candidate in candidates:
            if candidate.route.name in full:
                continue
            due_in_s = candidate.run.due_at - wall
            verdict = self.items.item_quarantine.verdict(candidate.run, candidate.item)
            state = None
            if verdict.may_run:
                state = self.items.find_slot(
                    candidate.route,
                    candidate.item,
                    late=candidate.late,
                    due_in_s=due_in_s,
                    verdict=verdict,
                )
            if state is None and self.items.item_quarantine.is_blocked(
                candidate.route, verdict
            ):
                self._defer_blocked(candidate, due_in_s)
                deferred = True
                continue
            candidate.item.quarantine = None
            if state is None:
                if not candidate.late:
                    self.items.preempt_late(wall)
                if not self._is_choosy(candidate):
                    full.add(candidate.route.name)
                    continue
                # Its job's other items may run elsewhere.
                candidate.item.not_before = trio.current_time() + _CHOOSY_RETRY_S
                deferred = True
                continue
            running = self.items.claim_slot(
                candidate.run, candidate.item, state, verdict
            )
            nursery.start_soon(self._run_item, running, candidate.route)
            return True
        return deferred

    def _is_choosy(self, candidate: Candidate) -> bool:
        """Returns whether an item without a slot cannot use all upstreams.

        A failed item avoids failing upstreams, one with progress other versions.
        """
        service = candidate.route.targets[0].service
        now = trio.current_time()
        held = self.items.is_held(candidate.item, service, now=now)
        return held or candidate.item.failures > 0

    def _defer_blocked(self, candidate: Candidate, due_in_s: float) -> None:
        seconds_left = self.items.seconds_left
        self.items.item_quarantine.defer_blocked(
            candidate.run, candidate.route, seconds_left=seconds_left, due_in_s=due_in_s
        )

    def _runnable(
        self, table: RouteTable, wall: float
    ) -> Iterator[tuple[JobRun, Route]]:
        """Yields jobs with their routes; fails pending items of the others in time."""
        for run in list(self.runs.values()):
            row = run.stored.row
            route = table.match(row.host, row.path)
            has_expired = wall > row.expires_at + EXPIRY_MARGIN_S
            if route is not None and not has_expired:
                run.unrouted_since = None
                yield run, route
            elif run.pending and (has_expired or _is_route_gone(run)):
                _log.warning(
                    "Pending items failed: the job expired or has no route.",
                    host=row.host,
                    job=row.job,
                    route=route is None,
                )
                run.fail_pending()

    async def _run_item(self, running: RunningItem, route: Route) -> None:
        await self.items.run(running, route)
        self.wake()


def _is_route_gone(run: JobRun) -> bool:
    """Returns whether a job without a route has had none for the grace."""
    now = trio.current_time()
    if run.unrouted_since is None:
        run.unrouted_since = now
    return now - run.unrouted_since >= ROUTE_GRACE_S
