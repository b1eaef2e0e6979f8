"""Jobs at several instances in one process, on the clock of the test, under faults.

A play is drawn whole from its seed before it begins: what clients ask, what goes wrong,
when and where. It can be written out and cut down by hand. Instances are the real
watch, index, worker and service of jobs; the store is in memory and has its own faults.
"""

from __future__ import annotations

import contextlib
import random
from typing import Any

import attrs
import trio
import trio.testing

from coppercleat.errors import PlatformUnavailableError
from coppercleat.gateway import JobAnswer, JobService
from coppercleat.ids import JobId, ZoneId
from coppercleat.jobs import ItemRunner, ItemState, JobIndex, JobRepository, JobWorker
from coppercleat.serving import (
    Placement,
    Route,
    RouteConfig,
    RouteTable,
    UpstreamResponse,
    Watch,
)
from coppercleat.storage import AnswerLostError, HistoryLostError, MemoryPlatform
from coppercleat.upstreams import AttemptState
from tests.harness._jobs import HOST, make_route, submission
from tests.harness._links import node_settings, roomy_upstream

INSTANCES = 3
LENGTH_S = 20.0
SETTLE_S = 60.0
"""After all has healed each accepted job must be read to its end within this time."""

ITEMS = 4
TIMEOUT_S = 2.0
"""After so long a call to the store counts as unanswered."""

KINDS = ("away", "silent", "loses", "late", "history", "killed")


@attrs.frozen
class Fault:
    """Something that goes wrong, at one instance or at all.

    Attributes:
      instance: Its number; None for all.
    """

    at: float
    for_s: float
    kind: str
    instance: int | None


@attrs.frozen
class Ask:
    """What a client asks of an instance."""

    at: float
    what: str
    job: str
    instance: int


@attrs.frozen
class Plan:
    """All of a play."""

    faults: tuple[Fault, ...]
    asks: tuple[Ask, ...]


def draw_plan(seed: int) -> Plan:
    """Draws a play from its seed."""
    rng = random.Random(seed)
    faults = []
    for _ in range(rng.randint(3, 9)):
        kind = rng.choice(KINDS)
        one = kind == "killed" or rng.random() < 0.5
        instance = rng.randrange(INSTANCES) if one else None
        at, for_s = rng.uniform(1, LENGTH_S), rng.uniform(0.3, 5)
        faults.append(Fault(at, for_s, kind, instance))
    asks = []
    for number in range(rng.randint(3, 8)):
        at, job = rng.uniform(1, LENGTH_S), f"j-{number}"
        for _ in range(rng.randint(1, 2)):
            asks.append(Ask(at, "submit", job, rng.randrange(INSTANCES)))
        if rng.random() < 0.4:
            end_at = at + rng.uniform(0.1, 4)
            asks.append(Ask(end_at, "end", job, rng.randrange(INSTANCES)))
    return Plan(tuple(faults), tuple(sorted(asks, key=lambda ask: ask.at)))


class View:
    """The store as one instance reaches it.

    Attributes:
      takes_s: Seconds that each call takes.
    """

    def __init__(self, memory: MemoryPlatform, nursery: trio.Nursery) -> None:
        self.takes_s = 0.002
        self.memory = memory
        self.nursery = nursery
        self.trouble: list[str] = []

    async def _reach(self) -> None:
        await trio.sleep(self.takes_s)
        if "away" in self.trouble:
            raise PlatformUnavailableError("away")
        if "silent" in self.trouble:
            await trio.sleep(TIMEOUT_S)
            raise PlatformUnavailableError("silent")

    async def transact(self, transaction: Any) -> Any:
        try:
            await self._reach()
        except PlatformUnavailableError as error:
            if "silent" in self.trouble:
                raise AnswerLostError("silent") from error
            raise
        if "late" in self.trouble:
            self.nursery.start_soon(self._later, transaction)
        if "late" in self.trouble or "loses" in self.trouble:
            if "late" not in self.trouble:
                self.memory.transact_now(transaction)
            await trio.sleep(TIMEOUT_S)
            raise AnswerLostError("lost")
        return await self.memory.transact(transaction)

    async def _later(self, transaction: Any) -> None:
        await trio.sleep(1.5)
        self.memory.transact_now(transaction)

    async def changes(self, space: str, *, after: int) -> Any:
        await self._reach()
        if "history" in self.trouble:
            raise HistoryLostError("dropped")
        return await self.memory.changes(space, after=after)

    def __getattr__(self, name: str) -> Any:
        async def read(*args: Any, **options: Any) -> Any:
            await self._reach()
            return await getattr(self.memory, name)(*args, **options)

        return read


class FiveEvents:
    """A caller whose upstreams answer with five events in 0.5 s."""

    @contextlib.asynccontextmanager
    async def exchange(self, upstream: Any, request: Any, **options: Any) -> Any:
        options["attempt"].move(AttemptState.SENT)

        async def body() -> Any:
            for number in range((options["resume_after"] or 0) + 1, 6):
                await trio.sleep(0.1)
                yield f"id: {number}\ndata: w\n\n".encode()

        yield UpstreamResponse(
            status=200,
            headers=[(b"content-type", b"text/event-stream")],
            refused=False,
            wrong_upstream=False,
            body=body(),
        )


class NoCatalogue:
    """Knows nothing."""

    async def read_routes(self, *, full: bool = True) -> None:
        return None

    async def read_upstreams(self, *, full: bool = True) -> list:
        return []


class Instance:
    """One start of an instance.

    Attributes:
      calls: Clients' calls that it has not answered.
    """

    def __init__(
        self,
        number: int,
        start: int,
        view: View,
        *,
        caller: Any = None,
        route: Route | None = None,
    ) -> None:
        rng = random.Random(f"{number} {start}")
        placement = Placement(ZoneId("a"), rng=rng)
        settings = node_settings(f"i-{number}", "a")
        boot = f"b{start}"
        self.view = view
        self.calls: set[trio.CancelScope] = set()
        self.watch = Watch(settings, NoCatalogue(), view, placement, boot=boot, rng=rng)
        placement.replace([roomy_upstream("x")])
        clock = trio.current_time
        self.index = JobIndex(view)
        repository = JobRepository(view, clock=clock, rng=rng)
        items = ItemRunner(
            placement,
            caller or FiveEvents(),
            instance=settings.instance,
            on_change=lambda state, started: None,
            on_end=lambda outcome: None,
        )
        self.route = route or make_route(retention_s=600.0)
        self.placement = placement
        config = RouteConfig(version=1, routes=(self.route,))
        self.worker = JobWorker(
            repository,
            self.index,
            items,
            owner=self.watch.owner_name,
            clock=clock,
            routes=lambda: RouteTable(config),
            is_owner_alive=self.watch.is_owner_alive,
            live_instances=self.watch.live_instances,
            holds_lease=self.watch.holds_lease,
            isolated=lambda: False,
            pause_s=lambda: 0.4,
            on_takeover=lambda job, previous: None,
            on_commit=lambda outcome: None,
        )
        self.service = JobService(
            repository,
            self.index,
            self.worker,
            quota_tolerance=0.0,
            on_submit=lambda outcome: None,
        )

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            # As in the gateway, without routes and upstreams to be read.
            for name, poll in (
                ("renewal", self.watch._renew),
                ("instances", self.watch._poll_instances),
            ):
                nursery.start_soon(
                    self.watch._poll_forever, name, poll, lambda *a, **k: 1.0
                )
            nursery.start_soon(self.worker.run)


class JobPlay:
    """Plays a plan and finds jobs that were accepted and cannot be read to their end.

    Attributes:
      accepted: Jobs that were acknowledged.
      end_asked: Jobs whose end was asked.
      problems: Broken promises, in words.
    """

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.accepted: set[str] = set()
        self.end_asked: set[str] = set()
        self.problems: list[str] = []
        self.instances: list[Instance] = []
        self._scopes: list[trio.CancelScope] = []
        self._starts = 0

    def play(self) -> None:
        """Plays it, in no time."""
        trio.run(self._play, clock=trio.testing.MockClock(autojump_threshold=0))

    async def _play(self) -> None:
        self.memory = MemoryPlatform()
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            for number in range(INSTANCES):
                self.instances.append(self._make(number))
                self._scopes.append(trio.CancelScope())
                nursery.start_soon(self._run, number)
            for fault in self.plan.faults:
                nursery.start_soon(self._harm, fault)
            for ask in self.plan.asks:
                nursery.start_soon(self._ask, ask)
            await trio.sleep(LENGTH_S + 10)
            with trio.move_on_after(SETTLE_S):
                for job in sorted(self.accepted):
                    await self._read_whole(job)
            for job in sorted(self.accepted):
                await self._check(job)
            nursery.cancel_scope.cancel()

    def _make(self, number: int) -> Instance:
        self._starts += 1
        return Instance(number, self._starts, View(self.memory, self.nursery))

    async def _run(self, number: int) -> None:
        with self._scopes[number]:
            await self.instances[number].run()

    async def _harm(self, fault: Fault) -> None:
        await trio.sleep(fault.at)
        if fault.kind == "killed":
            assert fault.instance is not None
            self._scopes[fault.instance].cancel()
            for call in self.instances[fault.instance].calls:
                call.cancel()
            await trio.sleep(min(fault.for_s, 3.0))
            if self._scopes[fault.instance].cancel_called:
                self.instances[fault.instance] = self._make(fault.instance)
                self._scopes[fault.instance] = trio.CancelScope()
                self.nursery.start_soon(self._run, fault.instance)
            return
        numbers = range(INSTANCES) if fault.instance is None else [fault.instance]
        views = [self.instances[number].view for number in numbers]
        for view in views:
            view.trouble.append(fault.kind)
        await trio.sleep(fault.for_s)
        for view in views:
            view.trouble.remove(fault.kind)

    async def _ask(self, ask: Ask) -> None:
        await trio.sleep(ask.at)
        if self._scopes[ask.instance].cancel_called:
            return
        instance = self.instances[ask.instance]
        if ask.what == "end":
            self.end_asked.add(ask.job)
        with trio.CancelScope() as scope:
            # It ends with the instance that it is asked of.
            instance.calls.add(scope)
            await self._ask_service(instance.service, ask)
        instance.calls.discard(scope)

    async def _ask_service(self, service: JobService, ask: Ask) -> None:
        if ask.what == "end":
            await service.end(HOST, JobId(ask.job))
            return
        reply = await service.submit(submission(ask.job, ITEMS), make_route())
        if reply.answer is JobAnswer.ACCEPTED:
            self.accepted.add(ask.job)

    async def _results(self, job: str) -> list:
        instance = self.instances[0]
        reply = await instance.service.results(HOST, JobId(job), after=0)
        return reply.page.results if reply.page else []

    async def _read_whole(self, job: str) -> None:
        while len(await self._results(job)) < ITEMS:
            await trio.sleep(0.5)

    async def _check(self, job: str) -> None:
        results = await self._results(job)
        names = sorted(result.item for result in results)
        if names != [f"{job}-{number}" for number in range(ITEMS)]:
            self.problems.append(f"{job}: listed are {names}")
        cancelled = [r for r in results if r.state is ItemState.CANCELLED]
        if cancelled and job not in self.end_asked:
            self.problems.append(f"{job}: cancelled, and nobody asked for it")
