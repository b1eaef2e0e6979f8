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

from unittest import mock

import trio

from coppercleat.gateway import JobAnswer, JobService
from coppercleat.ids import InstanceId, JobRef
from coppercleat.jobs import ItemState, ResultRow
from tests.harness._job_instance import (
    EVENTS,
    FiveEvents,
    Instance,
    at_instance,
    sleep_at_instance,
)
from tests.harness._job_plan_parts import (
    RESTART_S,
    Ask,
    Fault,
    Plan,
    submission_of,
    word_of,
)
from tests.harness._job_store import RecordingPlatform, Trouble, View
from tests.harness._jobs import HOST, make_route
from tests.harness._ordered import run_in_order

SETTLE_S = 60.0
"""After all has healed each accepted job must be read to its end within this time."""

FINISH_S = 18.0
"""After all has healed each accepted job must be listed whole within this time, by the
users' pages (finishS)."""

CANCEL_S = 3.0
"""So long after an acknowledged end items of its job may still begin."""

RETRY_S = 0.3
"""Pause of a client before it comes again."""

PATIENCE_S = 5.0
"""A client that is not answered in this time comes again."""

HEARD_S = 2.0
"""An instance that is silent is heard of for so long."""

NEWS_S = 0.03
"""Time that news of a takeover takes."""

_SLEEP = trio.sleep


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
        with mock.patch.object(trio, "sleep", sleep_at_instance):
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
        with self._scopes[number], at_instance(instance):
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
        with trio.CancelScope() as scope, at_instance(instance):
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
        with (
            trio.move_on_after(ask.leaves_s or PATIENCE_S) as scope,
            at_instance(instance),
        ):
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
