"""One play of a schedule: its clients, its faults, and what must hold at the end."""

from __future__ import annotations

import collections
import contextlib
import json
import pathlib
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import attrs
import httpcore
import trio

from bench._soak_checks import (
    EVENTS,
    Job,
    check_listed,
    check_requests,
    check_runs_of,
    runs_by_request,
    take_page,
)
from bench._soak_faults import FaultPlayer
from bench._soak_healing import heal_processes, heal_ways, until_heard
from bench._soak_record import CallMade, Record, RecordedGateways
from bench._soak_schedule import (
    EndRequest,
    OnlineRequest,
    Read,
    Schedule,
    Submission,
)
from tests.harness import JOBS, ONCE, PLAIN, RESUMABLE, STREAM, Answer

ROUTES = {"stream": STREAM, "resumable": RESUMABLE, "plain": PLAIN, "once": ONCE}
SETTLE_S = 60.0
"""Bound for accepted jobs after healing, as ``bench.soak`` has it."""

FINISH_S = 18.0
"""The bound that users are promised, in a check of its own."""

SENTENCES = (
    "Job taken over.",
    "Job takeover failed.",
    "owned, found in a change",
    "owned, but not running here",
    "Change history was lost",
)
"""Of the gateways' logs; their counts tell what a play has met."""

_CALL_S = 4.0
_REQUEST_S = 6.0
_DEADLINE_MS = 3000
_SETTLE_READ_S = 0.1
OUT = pathlib.Path("out")
_NETWORK = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


@attrs.define
class Play:
    """One play of a schedule.

    Attributes:
      finish_s: The shorter bound.
      settle_s: The bound of ``bench.soak``.
      out: Where a play that fails leaves its folder.
      late: Jobs that broke the shorter bound, in words.
      settled_s: When the last job was whole, from healing on.
      unanswered: Jobs that no answer has told to be accepted, and whose rows are open
        when the shorter bound is over; nothing is promised about them.
      pools: Connections of clients that keep theirs.
      met: How often the gateways logged each of ``SENTENCES``.
    """

    schedule: Schedule
    finish_s: float = FINISH_S
    settle_s: float = SETTLE_S
    out: pathlib.Path = OUT
    record: Record = attrs.field(factory=Record)
    jobs: dict[str, Job] = attrs.field(factory=dict)
    answers: dict[str, tuple[str, Answer | None]] = attrs.field(factory=dict)
    late: list[str] = attrs.field(factory=list)
    settled_s: float = 0.0
    unanswered: list[str] = attrs.field(factory=list)
    folder: pathlib.Path | None = None
    fleet: RecordedGateways = attrs.field(init=False)
    faults: FaultPlayer = attrs.field(init=False)
    healed_at: float = 0.0
    pools: dict[int | None, httpcore.AsyncConnectionPool] = attrs.field(factory=dict)
    met: dict[str, int] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        schedule = self.schedule
        self.fleet = RecordedGateways(
            gateways=schedule.gateways, runners=schedule.runners, record=self.record
        )
        self.faults = FaultPlayer(self.fleet, self.record)
        for job in schedule.jobs:
            self.jobs[job.id] = Job(job.id, [f"i{n}" for n in range(job.items)])

    @property
    def problems(self) -> list[str]:
        """Broken promises, in words."""
        return self.record.problems

    @property
    def failed(self) -> bool:
        """Whether any of the bounds or checks was broken."""
        return bool(self.problems or self.late)

    def play(self) -> None:
        """Plays and checks; keeps the record in a folder if it has failed."""
        self.record.reach("start")
        try:
            self.fleet.start()
            trio.run(self._play)
        except Exception as error:  # noqa: BLE001 - a soak that breaks has failed
            self.problems.append(f"the play ended early: {error!r}")
        finally:
            self.record.reach("end")
            self._count_sentences()
            if self.failed:
                at = time.strftime("%H%M%S")
                self.folder = self.out / f"scheduled-soak-{self.schedule.seed}-{at}"
                self.record.problems += self.late
                self.record.write(self.folder, self.schedule, self.fleet)
            self.fleet.close()

    def _count_sentences(self) -> None:
        started = [n for n in self.fleet.names if n in self.fleet.processes]
        logs = [self.fleet.processes[name].output() for name in started]
        for sentence in SENTENCES:
            self.met[sentence] = sum(log.count(sentence) for log in logs)

    async def _play(self) -> None:
        for name in self.fleet.runners:
            knobs = {"events": EVENTS, "event_s": self.schedule.event_s}
            await self.fleet.control(name, **knobs)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.record.watch)
            await self._play_schedule()
            await self._heal()
            await self._settle()
            await self._check()
            nursery.cancel_scope.cancel()

    async def _play_schedule(self) -> None:
        self.record.reach("play")
        schedule, began = self.schedule, trio.current_time()
        clients = {step.client for step in schedule.requests} - {None}
        async with contextlib.AsyncExitStack() as stack, trio.open_nursery() as nursery:
            for client in clients:
                pool = httpcore.AsyncConnectionPool()
                self.pools[client] = await stack.enter_async_context(pool)
            for steps, do in (
                (schedule.submissions, self._submit),
                (schedule.ends, self._end),
                (schedule.reads, self._scheduled_read),
                (schedule.requests, self._request),
                (schedule.faults, self.faults.play),
            ):
                nursery.start_soon(_on_time, began, steps, do)

    async def _heal(self) -> None:
        self.record.reach("play is over")
        await heal_ways(self.fleet)
        await heal_processes(self.fleet)
        self.healed_at = trio.current_time()
        self.record.reach("all has healed")

    # Clients.

    def _call(self, what: str, of: str, gateway: str) -> CallMade:
        call = CallMade(what, of, gateway, time.time())
        self.record.calls.append(call)
        return call

    async def _submit(self, step: Submission) -> None:
        job = self.jobs[step.job]
        if job.accepted and step.unless_accepted:
            return
        call = self._call("submit", job.id, step.gateway)
        await _answered(
            call,
            lambda: self.fleet.submit(step.gateway, job.id, job.items),
            step.leaves_after_s,
        )
        job.statuses.append(call.status)

    async def _end(self, step: EndRequest) -> None:
        job = self.jobs[step.job]
        job.end_asked = True
        call = self._call("end", job.id, step.gateway)
        target = f"/v1/lots/{job.id}"
        await _answered(
            call,
            lambda: self.fleet.call(step.gateway, "DELETE", JOBS[0], target),
            step.leaves_after_s,
        )
        if call.status == 200 and not job.ended_at:
            job.ended_at = time.monotonic()

    async def _scheduled_read(self, step: Read) -> None:
        job = self.jobs[step.job]
        await self._read(job, step.gateway, int(step.from_share * len(job.seen)))

    async def _read(self, job: Job, gateway: str, after: int) -> int | None:
        """Reads some results and compares them with what was read before.

        Returns:
          How many there are; None if the gateway did not say.
        """
        # A read that is sent before its job's acceptance is told may truly find none.
        accepted = job.accepted
        call = self._call("read", job.id, gateway)
        target = f"/v1/lots/{job.id}?after={after}"
        answer = await _answered(
            call, lambda: self.fleet.call(gateway, "GET", JOBS[0], target)
        )
        if call.status == 404 and accepted:
            self.problems.append(f"{job.id}: 404 after it was accepted")
        if answer is None or answer.status != 200:
            return None
        page = json.loads(answer.body)
        call.told = f"from {after}: {len(page['results'])} of {page['total']}"
        self.problems.extend(take_page(job, after, page))
        return len(page["results"])

    async def _request(self, step: OnlineRequest) -> None:
        self.answers[step.id] = (step.route, None)
        call = self._call("request", step.id, step.gateway)
        answer = await _answered(
            call,
            lambda: self.fleet.ask(
                step.gateway,
                ROUTES[step.route],
                step.id,
                deadline_ms=_DEADLINE_MS,
                pool=self.pools.get(step.client),
            ),
            step.leaves_after_s,
            waits_s=_REQUEST_S,
        )
        self.answers[step.id] = (step.route, answer)

    # What must hold.

    async def _settle(self) -> None:
        """Reads until all is listed that must be, each job at gateways by turns."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._hear)
            for job in self._owed():
                nursery.start_soon(self._settle_job, job)
        self.record.reach("all has settled")

    async def _hear(self) -> None:
        self.problems.extend(await until_heard(self.fleet))

    def _owed(self) -> list[Job]:
        return [job for job in self.jobs.values() if job.accepted and not job.ended_at]

    async def _settle_job(self, job: Job) -> None:
        """Reads a job until it is whole or the longer bound is over, and checks it."""
        turn, names = 0, self.fleet.names
        while len(job.seen) < len(job.items) and self._healed_s() < self.settle_s:
            turn += 1
            await self._read(job, names[turn % len(names)], len(job.seen))
            await self._check_finish(job)
            await trio.sleep(_SETTLE_READ_S)
        self.settled_s = max(self.settled_s, round(self._healed_s(), 2))
        problems = check_listed(job)
        if problems:
            await self._keep_rows(job, "settle")
        self.problems.extend(problems)
        for name in names:
            await self._check_listed_at(name, job)

    def _healed_s(self) -> float:
        return trio.current_time() - self.healed_at

    async def _check_finish(self, job: Job) -> None:
        """Notes once that a job was not whole when the shorter bound was over."""
        if self._healed_s() <= self.finish_s or "finish" in self._kept(job):
            return
        self.late.append(
            f"{job.id}: listed by {self._healed_s():.1f} s after healing are "
            f"{job.listed_ids}, its end was asked: {job.end_asked}"
        )
        await self._keep_rows(job, "finish")

    async def _check_listed_at(self, gateway: str, job: Job) -> None:
        """Holds what a gateway lists against what others have listed before."""
        listed = await self._read(job, gateway, 0)
        if listed is not None and listed < len(job.seen):
            self.problems.append(
                f"{job.id}: {gateway} lists {listed} of {len(job.seen)} results"
            )

    def _kept(self, job: Job) -> dict[str, Any]:
        return self.record.rows.setdefault(job.id, {})

    async def _keep_rows(self, job: Job, moment: str) -> None:
        self._kept(job)[moment] = await self.fleet.rows_of_job(job.id)

    async def _check(self) -> None:
        runs = runs_by_request(await self.fleet.runs())
        self.problems.extend(check_requests(self.answers, runs))
        for job in self.jobs.values():
            found = check_runs_of(job, runs)
            self.problems.extend(found)
            if found or any(p.startswith(f"{job.id}:") for p in self.problems):
                await self._keep_rows(job, "check")
            if not job.accepted:
                await self._look_at_unanswered(job)

    async def _look_at_unanswered(self, job: Job) -> None:
        """Looks whether a job that took effect all the same is run, too."""
        while await self._is_open(job):
            if self._healed_s() > self.finish_s:
                self.unanswered.append(job.id)
                return
            await trio.sleep(_SETTLE_READ_S)

    async def _is_open(self, job: Job) -> bool:
        rows = self._kept(job)["unanswered"] = await self.fleet.rows_of_job(job.id)
        row = rows.get(f"job/{job.id}", {}).get("value")
        return bool(row) and not row["ended"] and len(row["listed"]) < len(job.items)

    def line(self) -> dict[str, Any]:
        """Returns what the play showed."""
        calls = self.record.calls
        asked = [call for call in calls if call.what == "end"]
        kinds = collections.Counter(f.kind for f in self.schedule.faults)
        return {
            "seed": self.schedule.seed,
            "gateways": self.schedule.gateways,
            "runners": self.schedule.runners,
            "event_s": self.schedule.event_s,
            "load": [round(load[0], 1) for load in self.record.load.values()],
            "requests": len(self.answers),
            "answered": sum(a is not None for _, a in self.answers.values()),
            "jobs": len(self.jobs),
            "accepted": sum(job.accepted for job in self.jobs.values()),
            "left_submissions": sum(c.left for c in calls if c.what == "submit"),
            "ends": len(asked),
            "unanswered_ends": sum(call.status == 0 for call in asked),
            "owed": len(self._owed()),
            "settled_s": self.settled_s,
            "open_unanswered": self.unanswered,
            "met": self.met,
            "faults": kinds,
            "late": self.late[:10],
            "problems": [p for p in self.problems if p not in self.late][:10],
            "folder": str(self.folder or ""),
        }


async def _on_time(
    began: float, steps: Iterable[Any], do: Callable[[Any], Awaitable[None]]
) -> None:
    """Takes each step at its time, whether or not those before are done."""
    async with trio.open_nursery() as nursery:
        for step in sorted(steps, key=lambda step: step.at_s):
            await trio.sleep_until(began + step.at_s)
            nursery.start_soon(do, step)


async def _answered(
    call: CallMade,
    ask: Callable[[], Awaitable[Answer]],
    leaves_after_s: float | None = None,
    *,
    waits_s: float = _CALL_S,
) -> Answer | None:
    """Makes a call and keeps what came of it; returns None for no answer."""
    answer = None
    with trio.move_on_after(waits_s if leaves_after_s is None else leaves_after_s):
        try:
            answer = await ask()
            call.status = answer.status
        except _NETWORK as error:
            call.told = repr(error)
    call.left = answer is None and not call.told
    call.ended_unix_s = time.time()
    return answer
