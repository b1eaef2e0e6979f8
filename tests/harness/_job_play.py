"""Jobs at several instances in one process, on the clock of the test, under faults.

A play is drawn whole from its seed before it begins: what clients ask, what goes wrong,
when and where. It can be written out and cut down by hand. Instances are the real
watch, index, worker and service of jobs; the store is in memory and has its own faults.

What it has, by the kinds of faults: the store is away or silent, loses answers, applies
writes late (also seconds after the call was given up, also after its writer is gone),
all of them or those of one purpose (acceptance, takeover, end, commit, renewal); it
drops its history or omits changes; input cannot be read; instances are killed and start
again under their name, stop as planned, or stand still longer than their lease, after
which their timers fire late; news of takeovers comes late. Clients come again at other
instances, leave in the middle of a call, submit to several hosts and ask for ends.

Beyond 24 instances their rows are read rarely while all are heard.

What it does not have: links (news of takeovers takes a drawn time), upstreams
that end or refuse, preemption by online requests, expiry, and the sweeper.
"""

from __future__ import annotations

import contextlib
import contextvars
import random
from collections.abc import Callable, Iterator
from types import SimpleNamespace
from typing import Any
from unittest import mock

import attrs
import msgspec
import trio

from coppercleat.gateway import JobAnswer, JobService
from coppercleat.gateway._run import UNREADY_S, _stop
from coppercleat.ids import InstanceId, JobId, JobRef, ZoneId
from coppercleat.jobs import (
    ItemRunner,
    ItemState,
    JobIndex,
    JobRepository,
    JobWorker,
    ResultRow,
    Submission,
)
from coppercleat.serving import (
    Placement,
    Route,
    RouteConfig,
    RouteTable,
    UpstreamResponse,
    Watch,
)
from coppercleat.upstreams import AttemptState
from tests.harness._job_store import (
    LATE_EFFECT_S,
    RecordingPlatform,
    Trouble,
    View,
)
from tests.harness._jobs import HOST, make_route, submission
from tests.harness._links import node_settings, roomy_upstream
from tests.harness._ordered import run_in_order

INSTANCES = 3
LENGTH_S = 20.0
SETTLE_S = 60.0
"""After all has healed each accepted job must be read to its end within this time."""

FINISH_S = 18.0
"""After all has healed each accepted job must be listed whole within this time, by the
users' pages (finishS)."""

CANCEL_S = 3.0
"""So long after an acknowledged end items of its job may still begin."""

GRACE_S = 8.0
"""A planned stop takes this long at most."""

RESTART_S = 3.0
"""A killed instance is back after this time at the latest."""

ITEMS = 4
EVENTS = 5
"""Events of a run of an item."""

LARGE_BYTES = 170_000
"""Body of each item of a job whose input is stored as an object."""

RETRY_S = 0.3
"""Pause of a client before it comes again."""

PATIENCE_S = 5.0
"""A client that is not answered in this time comes again."""

HEARD_S = 2.0
"""An instance that is silent is heard of for so long."""

NEWS_S = 0.03
"""Time that news of a takeover takes."""

KINDS = ("away", "silent", "loses", "late", "history", "killed")

_here: contextvars.ContextVar[Instance | None] = contextvars.ContextVar(
    "here", default=None
)
_SLEEP = trio.sleep


@attrs.frozen
class Fault:
    """Something that goes wrong, at one instance or at all.

    Attributes:
      instance: Its number; None for all.
      only: The writes that it concerns; empty for all.
      effect_s: When a write of the kind ``late`` takes effect; how long a call of the
        kind ``slow`` takes.
    """

    at: float
    for_s: float
    kind: str
    instance: int | None
    only: str = ""
    effect_s: float = LATE_EFFECT_S

    def healed_at(self, in_flight_s: float) -> float:
        """Returns when it is over, without what it has delayed.

        Args:
          in_flight_s: How long a client of an instance that stops stays.
        """
        if self.kind == "stopped":
            stays_s = min(max(UNREADY_S, in_flight_s), GRACE_S)
            return self.at + stays_s + min(self.for_s, RESTART_S)
        return self.at + (
            min(self.for_s, RESTART_S) if self.kind == "killed" else self.for_s
        )


@attrs.frozen
class Ask:
    """What a client asks of an instance.

    Attributes:
      tries: How often it asks, each time of the next instance, until it is answered.
      leaves_s: When it leaves in the middle of its call; None for never.
      host: The host that it submits to.
      items: How many items its job has.
      large: Whether its job's input is stored as an object.
    """

    at: float
    what: str
    job: str
    instance: int
    tries: int = 1
    leaves_s: float | None = None
    host: str = HOST
    items: int = ITEMS
    large: bool = False

    @property
    def ref(self) -> JobRef:
        """The job."""
        return JobRef(self.host, JobId(self.job))


@attrs.frozen
class Plan:
    """All of a play.

    Attributes:
      lasting: Whether the store's faults meet instances that start again as well.
      pause_s: Pause of an instance between two looks at changed jobs.
      quota: Tokens that may wait on the route; 0 for no limit.
      in_flight_s: How long a client of an instance that stops as planned stays.
      event_s: Time that each of an item's five events takes.
      names_host: Whether news of takeovers names a job's host besides its id.
      order_seed: Seed of the order in which tasks that are ready run.
    """

    faults: tuple[Fault, ...]
    asks: tuple[Ask, ...]
    length_s: float = LENGTH_S
    instances: int = INSTANCES
    lasting: bool = False
    pause_s: float = 0.4
    quota: int = 0
    in_flight_s: float = 0.0
    event_s: float = 0.1
    names_host: bool = True
    order_seed: int = 0

    @property
    def healed_at(self) -> float:
        """When the last fault is over and the last client has begun to ask."""
        faults = [fault.healed_at(self.in_flight_s) for fault in self.faults]
        return max([*faults, *(ask.at for ask in self.asks)], default=0.0)


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


class FiveEvents:
    """A caller whose upstreams answer with five events, each the body's first line.

    Attributes:
      event_s: Time that each takes.
      began: When runs began of each job's items, in trio time.
      failing: Whether runs fail, with status 500.
    """

    def __init__(self, event_s: float = 0.1) -> None:
        self.event_s = event_s
        self.began: dict[JobRef, list[float]] = {}
        self.failing = False

    @contextlib.asynccontextmanager
    async def exchange(self, upstream: Any, request: Any, **options: Any) -> Any:
        options["attempt"].move(AttemptState.SENT)
        job, _, _ = request.request_id.rpartition("-")
        ref = JobRef(request.host, JobId(job))
        self.began.setdefault(ref, []).append(trio.current_time())
        word = request.body.partition(b"\n")[0]

        async def body() -> Any:
            for number in range((options["resume_after"] or 0) + 1, EVENTS + 1):
                await trio.sleep(self.event_s)
                yield b"id: %d\ndata: %s\n\n" % (number, word)

        yield UpstreamResponse(
            status=500 if self.failing else 200,
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
      pauses: Faults under way for which it stands still.
    """

    def __init__(
        self,
        number: int,
        start: int,
        view: View,
        *,
        caller: Any = None,
        route: Route | None = None,
        hosts: tuple[str, ...] = (HOST,),
        pause_s: float = 0.4,
        on_takeover: Callable[[JobRef, str], None] = lambda ref, previous: None,
        hears: Callable[[], set[InstanceId]] | None = None,
    ) -> None:
        rng = random.Random(f"{number} {start}")
        placement = Placement(ZoneId("a"), rng=rng)
        settings = node_settings(f"i-{number}", "a")
        boot = f"b{start}"
        self.view = view
        self.calls: set[trio.CancelScope] = set()
        self.pauses = 0
        self._resumed = trio.Event()
        self.watch = Watch(settings, NoCatalogue(), view, placement, boot=boot, rng=rng)
        if hears is not None:
            self.watch.is_settled = lambda live: live == hears()
        view.owner = self.watch.owner_name
        view.pass_pause = self.pass_pause
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
        routes = tuple(msgspec.structs.replace(self.route, host=h) for h in hosts)
        config = RouteConfig(version=1, routes=routes)
        self.worker = JobWorker(
            repository,
            self.index,
            items,
            owner=self.watch.owner_name,
            clock=clock,
            routes=lambda: None if self.pauses else RouteTable(config),
            is_owner_alive=self.watch.is_owner_alive,
            live_instances=self.watch.live_instances,
            holds_lease=self.watch.holds_lease,
            isolated=lambda: False,
            pause_s=lambda: pause_s,
            on_takeover=on_takeover,
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

    async def pass_pause(self) -> None:
        """Waits while it stands still."""
        while self.pauses:
            await self._resumed.wait()

    async def stand_still(self, for_s: float) -> None:
        """Lets nothing of it run for a time; its timers fire late."""
        self.pauses += 1
        await _SLEEP(for_s)
        self.pauses -= 1
        if not self.pauses:
            self._resumed.set()
            self._resumed = trio.Event()

    async def stop(self, in_flight_s: float) -> None:
        """Stops it as the gateway does on a signal, with a client that stays on."""
        leaves_at = trio.current_time() + in_flight_s
        gateway = _Stopping(
            settings=self.watch.settings,
            admission=SimpleNamespace(queue=SimpleNamespace(shutdown_at=0.0)),
            worker=self.worker,
            watch=self.watch,
            leaves_at=leaves_at,
        )
        await _stop(gateway, trio.Event())  # type: ignore[arg-type]


class _Stopping(SimpleNamespace):
    """What a planned stop needs of a gateway."""

    @property
    def in_flight(self) -> int:
        return int(trio.current_time() < self.leaves_at)


async def _sleep_here(seconds: float) -> None:
    """Sleeps, and goes on only when the instance that sleeps does not stand still."""
    await _SLEEP(seconds)
    here = _here.get()
    if here is not None:
        await here.pass_pause()


@contextlib.contextmanager
def _at(instance: Instance) -> Iterator[None]:
    token = _here.set(instance)
    try:
        yield
    finally:
        _here.reset(token)


class JobPlay:
    """Plays a plan and finds jobs that were accepted and cannot be read to their end.

    Attributes:
      accepted: When jobs were acknowledged, by job.
      end_asked: Jobs whose end was asked.
      ended: When an end was first acknowledged, by job.
      problems: Broken promises, in words.
      late: Jobs that were not listed whole ``FINISH_S`` after all had healed.
      listed_after_s: Seconds from the last healing to the last listing of each
        accepted job; below 0 for before.
    """

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.accepted: dict[JobRef, float] = {}
        self.end_asked: set[JobRef] = set()
        self.ended: dict[JobRef, float] = {}
        self.answers: dict[JobRef, list[JobAnswer | None]] = {}
        self.problems: list[str] = []
        self.late: list[str] = []
        self.listed_after_s: dict[JobRef, float] = {}
        self.instances: list[Instance] = []
        self.caller = FiveEvents(plan.event_s)
        self.memory = RecordingPlatform()
        self._items = {a.ref: a.items for a in plan.asks if a.what == "submit"}
        letter = "R" if plan.lasting else "S"
        quota = plan.quota
        self._route = make_route(letter, retention_s=600.0, max_waiting_tokens=quota)
        self._trouble: list[list[Trouble]] = [[] for _ in range(plan.instances)]
        self._scopes: list[trio.CancelScope] = []
        self._silent_since: dict[int, float] = {}
        self._starts = 0

    def play(self) -> None:
        """Plays it, in no time."""
        with mock.patch.object(trio, "sleep", _sleep_here):
            run_in_order(self._play, seed=self.plan.order_seed)

    async def _play(self) -> None:
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            for number in range(self.plan.instances):
                self.instances.append(self._make(number))
                self._scopes.append(trio.CancelScope())
                nursery.start_soon(self._run, number)
            for fault in self.plan.faults:
                nursery.start_soon(self._harm, fault)
            for ask in self.plan.asks:
                nursery.start_soon(self._ask, ask)
            await trio.sleep(self.plan.length_s + 10)
            with trio.move_on_after(SETTLE_S):
                for ref in self._accepted_in_order():
                    await self._read_whole(ref)
                # Jobs whose acceptance was not acknowledged are run as well.
                while self.memory.open_jobs:
                    await trio.sleep(0.5)
            for ref in self._accepted_in_order():
                await self._check(ref)
            self._check_promises()
            nursery.cancel_scope.cancel()

    # Instances.

    def _make(self, number: int) -> Instance:
        self._starts += 1
        trouble = self._trouble[number] if self.plan.lasting else None
        return Instance(
            number,
            self._starts,
            View(self.memory, self.nursery, trouble),
            caller=self.caller,
            route=self._route,
            hosts=tuple(dict.fromkeys([HOST, *(ask.host for ask in self.plan.asks)])),
            pause_s=self.plan.pause_s,
            on_takeover=lambda ref, owner: self._announce(number, ref, owner),
            hears=lambda: self._heard_at(number),
        )

    def _heard_at(self, number: int) -> set[InstanceId]:
        """Returns the other instances that an instance hears."""
        gone = trio.current_time() - HEARD_S
        silent = {n for n, since in self._silent_since.items() if since < gone}
        others = set(range(self.plan.instances)) - silent - {number}
        return {InstanceId(f"i-{other}") for other in others}

    async def _run(self, number: int) -> None:
        instance = self.instances[number]
        with self._scopes[number], _at(instance):
            await instance.run()

    def _announce(self, number: int, ref: JobRef, previous: str) -> None:
        if self.plan.lasting:
            self.nursery.start_soon(self._tell, number, ref, previous)

    async def _tell(self, number: int, ref: JobRef, previous: str) -> None:
        """Tells the previous owner of a takeover, and brings its progress back."""
        told = int(previous.partition("/")[0].removeprefix("i-") or number)
        if told == number:
            return
        await self._pass_news(number, told)
        owner = self.instances[told]
        if self._scopes[told].cancel_called:
            return
        if not self.plan.names_host:
            owner.worker.stop_jobs_of_id(ref.id)
            return
        items = owner.worker.stop_taken_job(ref)
        if items:
            await self._pass_news(told, number)
            self.instances[number].worker.receive_handover(ref, items)

    async def _pass_news(self, sender: int, receiver: int) -> None:
        slow = [t.effect_s for t in self._trouble[sender] if t.kind == "news"]
        await _SLEEP(max(slow, default=NEWS_S))
        await self.instances[receiver].pass_pause()

    # Faults.

    async def _harm(self, fault: Fault) -> None:
        await trio.sleep(fault.at)
        if fault.kind in _HARMS:
            assert fault.instance is not None
            await _HARMS[fault.kind](self, fault, fault.instance)
            return
        numbers = (
            range(self.plan.instances) if fault.instance is None else [fault.instance]
        )
        trouble = Trouble(fault.kind, fault.only, fault.effect_s)
        if self.plan.lasting:
            lists = [self._trouble[number] for number in numbers]
        else:
            lists = [self.instances[number].view.trouble for number in numbers]
        for troubles in lists:
            troubles.append(trouble)
        self.caller.failing = fault.kind == "fails" or self.caller.failing
        await trio.sleep(fault.for_s)
        for troubles in lists:
            troubles.remove(trouble)
        self.caller.failing = fault.kind != "fails" and self.caller.failing

    async def _kill(self, fault: Fault, number: int) -> None:
        self._scopes[number].cancel()
        for call in self.instances[number].calls:
            call.cancel()
        self._silent_since.setdefault(number, trio.current_time())
        await trio.sleep(min(fault.for_s, RESTART_S))
        self._silent_since.pop(number, None)
        if self._scopes[number].cancel_called:
            self.instances[number] = self._make(number)
            self._scopes[number] = trio.CancelScope()
            self.nursery.start_soon(self._run, number)

    async def _pause(self, fault: Fault, number: int) -> None:
        self._silent_since.setdefault(number, trio.current_time())
        await self.instances[number].stand_still(fault.for_s)
        self._silent_since.pop(number, None)

    async def _stop(self, fault: Fault, number: int) -> None:
        instance = self.instances[number]
        if self._scopes[number].cancel_called or instance.worker.stopping:
            return
        with trio.CancelScope() as scope, _at(instance):
            # It ends with the instance.
            instance.calls.add(scope)
            await instance.stop(self.plan.in_flight_s)
        if self.instances[number] is instance:
            await self._kill(fault, number)

    # Clients.

    async def _ask(self, ask: Ask) -> None:
        await trio.sleep(ask.at)
        if ask.what == "end":
            self.end_asked.add(ask.ref)
        for attempt in range(ask.tries):
            number = (ask.instance + attempt) % self.plan.instances
            if await self._ask_once(ask, number):
                return
            await trio.sleep(RETRY_S)

    async def _ask_once(self, ask: Ask, number: int) -> bool:
        """Returns whether the client got the answer that it wanted."""
        if self._scopes[number].cancel_called:
            return False
        instance = self.instances[number]
        asked_at = trio.current_time()
        answer = None
        with trio.move_on_after(ask.leaves_s or PATIENCE_S) as scope, _at(instance):
            # It ends with the instance that it is asked of.
            instance.calls.add(scope)
            answer = await self._ask_service(instance.service, ask)
        instance.calls.discard(scope)
        if ask.what == "end":
            return self._note_end(ask, answer, asked_at)
        self.answers.setdefault(ask.ref, []).append(answer)
        if answer is JobAnswer.ACCEPTED:
            self.accepted.setdefault(ask.ref, trio.current_time())
        return answer is JobAnswer.ACCEPTED

    def _note_end(self, ask: Ask, answer: JobAnswer | None, asked_at: float) -> bool:
        known_s = asked_at - self.accepted.get(ask.ref, asked_at)
        if answer is JobAnswer.ABSENT and known_s > 1.0:
            self.problems.append(f"{ask.ref}: absent {known_s:.1f} s after acceptance")
        if answer is JobAnswer.ENDED:
            self.ended.setdefault(ask.ref, trio.current_time())
        return answer is JobAnswer.ENDED

    async def _ask_service(self, service: JobService, ask: Ask) -> JobAnswer:
        if ask.what == "end":
            return (await service.end(ask.host, ask.ref.id)).answer
        return (await service.submit(submission_of(ask), self._route)).answer

    # Checks.

    def _accepted_in_order(self) -> list[JobRef]:
        return sorted(self.accepted, key=lambda ref: (ref.id, ref.host))

    async def _results(self, ref: JobRef) -> list:
        service = self.instances[0].service
        reply = await service.results(ref.host, ref.id, after=0)
        return reply.page.results if reply.page else []

    async def _read_whole(self, ref: JobRef) -> None:
        while len(await self._results(ref)) < self._items[ref]:
            await trio.sleep(0.5)

    async def _check(self, ref: JobRef) -> None:
        results = await self._results(ref)
        names = sorted(result.item for result in results)
        if names != [f"{ref.id}-{number}" for number in range(self._items[ref])]:
            self.problems.append(f"{ref}: listed are {names}")
        for result in results:
            if result.state is ItemState.COMPLETED:
                self._check_text(ref, result)
        cancelled = [r for r in results if r.state is ItemState.CANCELLED]
        if cancelled and ref not in self.end_asked:
            self.problems.append(f"{ref}: cancelled, and nobody asked for it")
        given_up = [r for r in results if r.state is ItemState.FAILED]
        if given_up and all(fault.kind != "fails" for fault in self.plan.faults):
            self.problems.append(f"{ref}: given up, and no run failed")

    def _check_text(self, ref: JobRef, result: ResultRow) -> None:
        wanted = b"\n".join([word_of(ref.host, result.item)] * EVENTS)
        if result.text != wanted:
            self.problems.append(f"{ref}: {result.item} has the text {result.text!r}")

    def _check_promises(self) -> None:
        self.problems += self.memory.problems
        for ref, ended_at in self.ended.items():
            for began in self.caller.began.get(ref, []):
                if began > ended_at + CANCEL_S:
                    late_s = began - ended_at
                    self.problems.append(f"{ref}: runs {late_s:.1f} s after its end")
        refusals = {JobAnswer.NOT_RUN, JobAnswer.OVER_QUOTA}
        for ref, answers in self.answers.items():
            if set(answers) <= refusals and ref in self.caller.began:
                self.problems.append(f"{ref}: refused each time, and runs")
        for ref, began_at in self.caller.began.items():
            if not self.plan.faults and len(began_at) > self._items[ref]:
                self.problems.append(f"{ref}: {len(began_at)} runs without a fault")
        for ref in self.memory.open_jobs:
            self.problems.append(f"{ref}: in the store, and not whole at the end")
        for ref in self.accepted:
            whole_at = self.memory.whole_at.get(ref, float("inf"))
            self.listed_after_s[ref] = whole_at - self.plan.healed_at
            if self.listed_after_s[ref] > FINISH_S:
                self.late.append(f"{ref}: {self.listed_after_s[ref]:.1f} s")


_HARMS = {"killed": JobPlay._kill, "paused": JobPlay._pause, "stopped": JobPlay._stop}


def submission_of(ask: Ask) -> Submission:
    """Returns what a client submits; each item's body tells it from all others."""
    submitted = submission(ask.job, ask.items)
    padding = b"\n" + b"x" * (LARGE_BYTES if ask.large else 0)
    items = [
        msgspec.structs.replace(item, body=word_of(ask.host, item.id) + padding)
        for item in submitted.items
    ]
    return msgspec.structs.replace(submitted, host=ask.host, items=items)


def word_of(host: str, item: str) -> bytes:
    """Returns the first line of an item's body, and of each of its events."""
    return f"{host}/{item}".encode()
