"""Starts items of this instance's jobs whenever a slot is free, in their order."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping

import trio

from coppercleat.ids import JobId
from coppercleat.jobs._items import ItemRunner, Running
from coppercleat.jobs._run import ItemRun, JobRun
from coppercleat.jobs._schedule import Turn, next_turns
from coppercleat.observability import part_logger
from coppercleat.serving import QueuedWork, Rank, Route, RouteTable

JOBS_STALE_S = 2.0
"""With a view of the jobs older than this no item is started: the job may have ended
or have another owner."""

EXPIRY_MARGIN_S = 10.0
"""Items are given up so much later than they may be: the clocks of the instance that
accepted a job and of the one that runs it may differ by seconds."""

_TICK_S = 0.02
"""Pause between looks for a free slot while items wait; their ends are told at once,
those of other instances' requests are not."""

_IDLE_TICK_S = 0.2

_FAILED_RETRY_S = 0.1
"""When an item that has failed looks again for a slot at an upstream that does not."""

_GATHER_EVERY_S = 0.03
"""How often what waits is gathered: all items are looked at, and counts are told up to
some hundred times a second."""

MAX_TOLD_JOBS = 32
"""Jobs of whose waiting items others are told, those due soonest first."""

_log = part_logger("jobs")


class ItemStarter:
    """Finds slots for the items of jobs."""

    def __init__(
        self,
        items: ItemRunner,
        runs: Mapping[JobId, JobRun],
        *,
        clock: Callable[[], float],
        routes: Callable[[], RouteTable | None],
        may_start: Callable[[], bool],
        isolated: Callable[[], bool],
    ) -> None:
        """Prepares the starter.

        Args:
          items: Runs items.
          runs: This instance's jobs, as they are now.
          clock: Unix time in seconds.
          routes: Returns the routes in force.
          may_start: Tells whether items may be started at all.
          isolated: Tells whether others must have taken this instance's jobs.
        """
        self.items = items
        self.runs = runs
        self.clock = clock
        self.routes = routes
        self.may_start = may_start
        self.isolated = isolated
        self._wake = trio.Event()
        self._gathered: tuple[QueuedWork, ...] = ()
        self._gathered_at = float("-inf")

    def late_items(self) -> int:
        """Returns how many waiting items cannot be done by their job's due time."""
        wall = self.clock()
        return sum(
            self._late(run.pending, run.due_at - wall) for run in self.runs.values()
        )

    def _late(self, items: list[ItemRun], due_in_s: float) -> int:
        return sum(self.items.seconds_left(item) > due_in_s for item in items)

    def waiting(self) -> tuple[QueuedWork, ...]:
        """Returns what waits here for a slot, as of a moment ago, to tell to others."""
        now = trio.current_time()
        if now - self._gathered_at >= _GATHER_EVERY_S:
            self._gathered_at = now
            self._gathered = self._gather()
        return self._gathered

    def _gather(self) -> tuple[QueuedWork, ...]:
        wall, now = self.clock(), trio.current_time()
        found = []
        table = self.routes()
        for run in sorted(self.runs.values(), key=lambda run: run.due_at):
            route = table.match(run.held.row.host, run.held.row.path) if table else None
            if route is None:
                continue
            service = route.targets[0].service
            due_in_s = run.due_at - wall
            self._forecast(run, self._late(run.pending, due_in_s), due_in_s)
            # Slots are left to what is told to wait: not to what may not run yet.
            startable = run.startable(now)
            late = self._late(startable, due_in_s)
            if len(startable) > late:
                on_time = len(startable) - late
                found.append(QueuedWork(Rank.BATCH, due_in_s, service, on_time))
            if late:
                found.append(QueuedWork(Rank.BATCH_LATE, due_in_s, service, late))
        return tuple(found[:MAX_TOLD_JOBS])

    def _forecast(self, run: JobRun, late: int, due_in_s: float) -> None:
        """Says once that a job will be late, as soon as that is known."""
        if late and not run.forecast_late:
            run.forecast_late = True
            _log.warning(
                "Job will be late.",
                job=run.held.row.job,
                items=late,
                due_in_s=round(due_in_s, 1),
            )

    def wake(self) -> None:
        """Notes that there may be an item or a slot."""
        self._wake.set()

    async def run(self) -> None:
        """Starts items until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                if self.isolated():
                    # What the items have made is kept here: the job may stay ours.
                    self.items.stop_all()
                if self._start_next(nursery):
                    await trio.sleep(0)
                else:
                    await self._wait()
                self._wake = trio.Event()

    async def _wait(self) -> None:
        soon = trio.current_time() + _IDLE_TICK_S
        waits = any(run.startable(soon) for run in self.runs.values())
        with trio.move_on_after(_TICK_S if waits else _IDLE_TICK_S):
            await self._wake.wait()

    def _start_next(self, nursery: trio.Nursery) -> bool:
        """Starts the item whose turn it is; returns whether the next may be looked for.

        That is so if it has a slot, or is kept from running now.
        """
        table = self.routes()
        if table is None or not self.may_start():
            return False
        wall = self.clock()
        turns = next_turns(
            self._runnable(table, wall),
            seconds_left=self.items.seconds_left,
            now=trio.current_time(),
            wall=wall,
        )
        full: set[str] = set()
        passed_over = False
        for turn in turns:
            if turn.route.name in full:
                continue
            due_in_s = turn.run.due_at - wall
            verdict = self.items.bar.verdict(turn.run, turn.item)
            state = None
            if verdict.may_run:
                state = self.items.find_slot(
                    turn.route,
                    turn.item,
                    late=turn.late,
                    due_in_s=due_in_s,
                    verdict=verdict,
                )
            if state is None and self.items.bar.holds(turn.route, verdict):
                self._pass_over(turn, due_in_s)
                passed_over = True
                continue
            turn.item.barred = None
            if state is None:
                if not turn.late:
                    self.items.cut_late(wall)
                if not turn.item.failures:
                    full.add(turn.route.name)
                    continue
                # It may go to few upstreams: the others of its job need not wait.
                turn.item.not_before = trio.current_time() + _FAILED_RETRY_S
                passed_over = True
                continue
            running = self.items.claim_slot(turn.run, turn.item, state, verdict)
            nursery.start_soon(self._run_item, running, turn.route)
            return True
        return passed_over

    def _pass_over(self, turn: Turn, due_in_s: float) -> None:
        takes_s = self.items.seconds_left
        self.items.bar.pass_over(
            turn.run, turn.route, takes_s=takes_s, due_in_s=due_in_s
        )

    def _runnable(
        self, table: RouteTable, wall: float
    ) -> Iterator[tuple[JobRun, Route]]:
        """Yields jobs with their routes; gives up items of those past their time."""
        for run in list(self.runs.values()):
            row = run.held.row
            route = table.match(row.host, row.path)
            if route is not None and wall <= row.expires_at + EXPIRY_MARGIN_S:
                yield run, route
            elif run.pending:
                _log.warning("Items given up.", job=row.job, route=route is None)
                run.fail_all()

    async def _run_item(self, running: Running, route: Route) -> None:
        await self.items.run(running, route)
        self.wake()
