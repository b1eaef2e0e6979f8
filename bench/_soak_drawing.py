"""Draws a soak's schedule from its seed.

Beside faults at any moment, and in series, it draws on purpose the courses that are
rare by chance: a takeover that gets no answer, and clients that leave in the middle of
an acceptance or of an end.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import msgspec

from bench._soak_schedule import (
    AnyFault,
    ConfigurationChanges,
    ConnectionsSilent,
    EndRequest,
    GatewayPaused,
    GatewayReloads,
    GatewaysKilled,
    GatewayStopped,
    HistoryLost,
    OnlineRequest,
    OwnerKilled,
    PlannedJob,
    Read,
    RunnerFaulty,
    RunnerGrey,
    RunnerLeaves,
    Schedule,
    StoreAway,
    StoreLosesAnswers,
    StoreSilent,
    StoreSlow,
    StreamsNotResumed,
    Submission,
    WayHarmed,
)

ROUTES = ("stream", "resumable", "plain", "once")
EVENT_S = (0.02, 0.05, 0.08)
"""Times between events. With the longest a job is still open when another gateway has
taken it over from one that was killed; a request still ends within its deadline."""

LATE_EFFECT_S = 1.5
LEASE_S = 3.4
"""Lease of an instance in a fleet of a few: its owner is given up after it."""

_SINGLE_PER_S = 0.7
_COURSES_PER_S = 0.25
_FIRST_FAULT_S = 0.3
_COURSE_S = 3.0
"""Left for a course before the end."""

_LAST_FAULT_S = 0.5
"""Before the end of a play no fault begins any more."""

_SHORTEST_S = 0.1
_READ_EVERY_S = 0.1

Drawer = Callable[["Drawing", float], list[AnyFault]]
SINGLE: list[Drawer] = []
"""Faults that are drawn one by one, each as often as the others."""

COURSES: list[Drawer] = []
"""Several faults that belong together."""


def single(drawer: Drawer) -> Drawer:
    """Registers a fault that is drawn by itself."""
    SINGLE.append(drawer)
    return drawer


def course(drawer: Drawer) -> Drawer:
    """Registers several faults that are drawn together."""
    COURSES.append(drawer)
    return drawer


class Drawing:
    """A schedule while it is drawn."""

    def __init__(
        self, seed: int, *, length_s: float, gateways: int | None, every: bool
    ) -> None:
        self.rng = random.Random(f"schedule {seed}")
        self.seed = seed
        self.every = every
        self.length_s = length_s
        drawn = self.rng.choice((4, 4, 4, 5, 6, 8))
        self.gateways = [f"gateway-{n + 1}" for n in range(gateways or drawn)]
        self.runners = [f"runner-{n + 1}" for n in range(self.rng.randint(3, 4))]
        self.event_s = self.rng.choice(EVENT_S)
        self.jobs: list[PlannedJob] = []
        self.submissions: list[Submission] = []
        self.ends: list[EndRequest] = []
        self.requests: list[OnlineRequest] = []
        self.faults: list[AnyFault] = []
        self.first_sent_s: dict[str, float] = {}

    def draw(self) -> Schedule:
        """Draws everything."""
        for _ in range(self.rng.randint(1, 3)):
            self._draw_submitter()
        for client in range(5):
            self._draw_client(client)
        reads = self._draw_reads()
        self._draw_faults()
        return Schedule(
            seed=self.seed,
            length_s=self.length_s,
            gateways=len(self.gateways),
            runners=len(self.runners),
            event_s=self.event_s,
            jobs=tuple(self.jobs),
            submissions=tuple(self.submissions),
            ends=tuple(self.ends),
            reads=reads,
            requests=tuple(self.requests),
            faults=tuple(self.faults),
        )

    def gateway(self) -> str:
        """Draws a gateway."""
        return self.rng.choice(self.gateways)

    def runner(self) -> str:
        """Draws a runner."""
        return self.rng.choice(self.runners)

    def span(self, shortest_s: float, longest_s: float) -> float:
        """Draws a time in seconds, to a millisecond."""
        return round(self.rng.uniform(shortest_s, longest_s), 3)

    def _leaves(self, share: float) -> float | None:
        """Draws whether a client leaves, and how soon: mostly while it is served."""
        if self.rng.random() >= share:
            return None
        return self.span(0.0, self.rng.choice((0.01, 0.05, 0.5)))

    def _draw_submitter(self) -> None:
        at_s = self.span(0.0, 1.0)
        while at_s < self.length_s:
            job = PlannedJob(id=f"j-{len(self.jobs)}", items=self.rng.randint(1, 6))
            self.jobs.append(job)
            self.first_sent_s[job.id] = at_s
            sent_s = at_s
            for _ in range(self.rng.randint(1, 4)):
                self._draw_submission(job.id, sent_s)
                sent_s = round(sent_s + self.span(0.01, 1.5), 3)
            if self.rng.random() < 0.3:
                self._draw_end(job.id, at_s)
            at_s = round(at_s + self.span(0.2, 1.4), 3)

    def _draw_submission(self, job: str, at_s: float) -> None:
        leaves_after_s = self._leaves(0.25)
        submission = Submission(
            at_s=at_s,
            job=job,
            gateway=self.gateway(),
            leaves_after_s=leaves_after_s,
            unless_accepted=self.rng.random() < 0.8,
        )
        self.submissions.append(submission)

    def _draw_end(self, job: str, submitted_s: float) -> None:
        at_s = round(submitted_s + self.span(0.05, 3.0), 3)
        for _ in range(self.rng.randint(1, 2)):
            leaves_after_s = self._leaves(0.3)
            end = EndRequest(
                at_s=at_s,
                job=job,
                gateway=self.gateway(),
                leaves_after_s=leaves_after_s,
            )
            self.ends.append(end)
            at_s = round(at_s + self.span(0.1, 2.0), 3)

    def _draw_client(self, client: int) -> None:
        at_s, count = self.span(0.0, 0.3), 0
        while at_s < self.length_s:
            count += 1
            request = OnlineRequest(
                at_s=at_s,
                id=f"r-{client}-{count}",
                client=client,
                route=self.rng.choice(ROUTES),
                gateway=self.gateway(),
                leaves_after_s=self._leaves(0.1),
            )
            self.requests.append(request)
            at_s = round(at_s + self.span(0.3, 1.5), 3)

    def _draw_reads(self) -> tuple[Read, ...]:
        reads = []
        for step in range(int(self.length_s / _READ_EVERY_S)):
            at_s = round(step * _READ_EVERY_S, 3)
            sent = [job for job, first_s in self.first_sent_s.items() if first_s < at_s]
            if sent:
                read = Read(
                    at_s=at_s,
                    job=self.rng.choice(sent),
                    gateway=self.gateway(),
                    from_share=self.span(0.0, 1.0),
                )
                reads.append(read)
        return tuple(reads)

    def _draw_faults(self) -> None:
        drawn: list[AnyFault] = []
        last_s = self.length_s - _LAST_FAULT_S
        for drawer in self._drawers():
            longest_s = last_s - _COURSE_S if drawer in COURSES else last_s
            at_s = self.span(_FIRST_FAULT_S, max(2 * _FIRST_FAULT_S, longest_s))
            drawn += drawer(self, at_s)
        drawn.sort(key=lambda fault: fault.at_s)
        ends_by_s = self.length_s + self.rng.choice((0.1, 0.1, 1, 4))
        self.faults = [
            _placed(fault, number, ends_by_s=ends_by_s)
            for number, fault in enumerate(drawn, 1)
        ]

    def _drawers(self) -> list[Drawer]:
        """Draws what is to go wrong."""
        if self.every:
            return SINGLE + COURSES
        most = max(3, int(self.length_s * _SINGLE_PER_S))
        singles = self.rng.choices(SINGLE, k=self.rng.randint(2, most))
        most = max(1, int(self.length_s * _COURSES_PER_S))
        return singles + self.rng.choices(COURSES, k=self.rng.randint(1, most))

    def sent_about(self, at_s: float) -> str:
        """Draws a job that is first submitted within the second before a moment."""
        first_s = self.first_sent_s
        recent = [job for job, sent_s in first_s.items() if 0 <= at_s - sent_s < 1]
        return self.rng.choice(recent or list(first_s) or ["j-0"])


def draw_schedule(
    seed: int, *, length_s: float, gateways: int | None = None, every: bool = False
) -> Schedule:
    """Draws a schedule.

    Args:
      seed: Gives the same schedule each time.
      length_s: From the first call to the last.
      gateways: How many there are; None draws four to eight.
      every: Whether each fault and each course comes once, instead of some.
    """
    drawing = Drawing(seed, length_s=length_s, gateways=gateways, every=every)
    return drawing.draw()


def _placed(fault: AnyFault, number: int, *, ends_by_s: float) -> AnyFault:
    """Returns a fault with its number, cut so that it ends by a moment."""
    at_s = min(max(0.0, fault.at_s), ends_by_s - _SHORTEST_S)
    left_s = ends_by_s - at_s
    cut: dict[str, Any] = {"for_s": round(min(fault.for_s, left_s), 3)}
    if isinstance(fault, OwnerKilled):
        cut["down_s"] = round(min(fault.down_s, left_s), 3)
    elif isinstance(fault, GatewaysKilled):
        cut["down_s"] = tuple(round(min(s, left_s), 3) for s in fault.down_s)
    return msgspec.structs.replace(fault, number=number, at_s=round(at_s, 3), **cut)


@single
def _store_away(drawing: Drawing, at_s: float) -> list[AnyFault]:
    return [StoreAway(number=0, at_s=at_s, for_s=drawing.span(0.5, 4))]


@single
def _store_silent(drawing: Drawing, at_s: float) -> list[AnyFault]:
    return [StoreSilent(number=0, at_s=at_s, for_s=drawing.span(0.5, 4))]


@single
def _store_slow(drawing: Drawing, at_s: float) -> list[AnyFault]:
    for_s, latency_s = drawing.span(0.5, 4), drawing.span(0.1, 0.6)
    return [StoreSlow(number=0, at_s=at_s, for_s=for_s, latency_s=latency_s)]


def _loses_answers(drawing: Drawing, at_s: float, for_s: float) -> StoreLosesAnswers:
    return StoreLosesAnswers(
        number=0,
        at_s=at_s,
        for_s=for_s,
        share=drawing.rng.choice((0.4, 0.4, 0.7, 1.0)),
        late_effect_s=drawing.rng.choice((0.0, LATE_EFFECT_S)),
        table=drawing.rng.choice(("", "job")),
    )


@single
def _store_loses_answers(drawing: Drawing, at_s: float) -> list[AnyFault]:
    return [_loses_answers(drawing, at_s, drawing.span(0.5, 4))]


@single
def _history_lost(drawing: Drawing, at_s: float) -> list[AnyFault]:
    return [HistoryLost(number=0, at_s=at_s, for_s=drawing.span(0.5, 2))]


@single
def _way_harmed(drawing: Drawing, at_s: float) -> list[AnyFault]:
    way = drawing.rng.choice(drawing.gateways + drawing.runners)
    return [_harm(drawing, at_s, way)]


@single
def _way_to_the_store_harmed(drawing: Drawing, at_s: float) -> list[AnyFault]:
    return [_harm(drawing, at_s, drawing.gateway())]


def _harm(drawing: Drawing, at_s: float, way: str) -> WayHarmed:
    harm = drawing.rng.choice(("cut", "swallow", "mute", "mute", "delay"))
    return WayHarmed(
        number=0,
        at_s=at_s,
        for_s=drawing.span(0.3, 4),
        way=way,
        cut=harm == "cut",
        swallow=harm == "swallow",
        mute=harm == "mute",
        delay_s=0.1 if harm == "delay" else 0.0,
    )


def _silent(drawing: Drawing, at_s: float, names: list[str]) -> ConnectionsSilent:
    one = drawing.rng.random() < 0.5
    times = drawing.rng.randint(1, 4)
    return ConnectionsSilent(
        number=0,
        at_s=at_s,
        ways=(drawing.rng.choice(names),) if one else tuple(names),
        pauses_s=tuple(drawing.span(0.1, 2.5) for _ in range(times)),
    )


@single
def _store_connections_silent(drawing: Drawing, at_s: float) -> list[AnyFault]:
    return [_silent(drawing, at_s, drawing.gateways)]


@single
def _runner_connections_silent(drawing: Drawing, at_s: float) -> list[AnyFault]:
    return [_silent(drawing, at_s, drawing.runners)]


@single
def _gateway_killed(drawing: Drawing, at_s: float) -> list[AnyFault]:
    return [_killed(drawing, at_s, count=1, times=drawing.rng.choice((1, 1, 2)))]


@single
def _gateways_killed(drawing: Drawing, at_s: float) -> list[AnyFault]:
    count = drawing.rng.choice((2, 2, 3, len(drawing.gateways)))
    return [_killed(drawing, at_s, count=count, times=drawing.rng.choice((1, 1, 2)))]


def _killed(drawing: Drawing, at_s: float, *, count: int, times: int) -> GatewaysKilled:
    return GatewaysKilled(
        number=0,
        at_s=at_s,
        gateways=tuple(drawing.rng.sample(drawing.gateways, count)),
        down_s=tuple(drawing.span(0.1, 3) for _ in range(times)),
        up_s=drawing.span(0.1, 2),
    )


@single
def _owner_killed(drawing: Drawing, at_s: float) -> list[AnyFault]:
    return [_owner(drawing, at_s)]


def _owner(drawing: Drawing, at_s: float) -> OwnerKilled:
    job, down_s = drawing.sent_about(at_s), drawing.span(0.1, 5)
    return OwnerKilled(number=0, at_s=at_s, job=job, down_s=down_s)


@single
def _gateway_paused(drawing: Drawing, at_s: float) -> list[AnyFault]:
    name = drawing.gateway()
    for_s = drawing.span(0.3, LEASE_S)
    return [GatewayPaused(number=0, at_s=at_s, for_s=for_s, gateway=name)]


@single
def _gateway_paused_beyond_its_lease(drawing: Drawing, at_s: float) -> list[AnyFault]:
    name = drawing.gateway()
    for_s = drawing.span(LEASE_S, LEASE_S + 3)
    return [GatewayPaused(number=0, at_s=at_s, for_s=for_s, gateway=name)]


@single
def _gateway_stopped(drawing: Drawing, at_s: float) -> list[AnyFault]:
    return [GatewayStopped(number=0, at_s=at_s, gateway=drawing.gateway())]


@single
def _gateway_reloads(drawing: Drawing, at_s: float) -> list[AnyFault]:
    return [GatewayReloads(number=0, at_s=at_s, gateway=drawing.gateway())]


@single
def _runner_faulty(drawing: Drawing, at_s: float) -> list[AnyFault]:
    knobs = drawing.rng.choice(
        [
            {"cut_next": 5, "cut_after": drawing.rng.randint(0, 9)},
            {"cross_next": 3},
            {"fail_next": 3},
            {"shed_next": 5},
            {"silent": True},
            {"silenced": 1},
        ]
    )
    name, for_s = drawing.runner(), drawing.span(0.5, 2)
    return [RunnerFaulty(number=0, at_s=at_s, for_s=for_s, runner=name, **knobs)]


@single
def _streams_not_resumed(drawing: Drawing, at_s: float) -> list[AnyFault]:
    fault = StreamsNotResumed(
        number=0,
        at_s=at_s,
        for_s=drawing.span(0.5, 4),
        status=drawing.rng.choice((200, 404, 500)),
        cut_after=drawing.rng.randint(1, 20),
    )
    return [fault]


@single
def _runner_grey(drawing: Drawing, at_s: float) -> list[AnyFault]:
    name, for_s = drawing.runner(), drawing.span(1, 5)
    every = drawing.rng.choice((2, 3, 5))
    return [RunnerGrey(number=0, at_s=at_s, for_s=for_s, runner=name, fail_every=every)]


@single
def _runner_leaves(drawing: Drawing, at_s: float) -> list[AnyFault]:
    name, drains_s = drawing.rng.choice(drawing.runners[1:]), drawing.span(0.2, 2)
    return [RunnerLeaves(number=0, at_s=at_s, runner=name, drains_s=drains_s)]


@single
def _configuration_changes(drawing: Drawing, at_s: float) -> list[AnyFault]:
    versions = drawing.rng.randint(1, 6)
    return [ConfigurationChanges(number=0, at_s=at_s, versions=versions)]


@course
def _takeover_without_answer(drawing: Drawing, at_s: float) -> list[AnyFault]:
    """An owner is killed; takeovers until after its lease lose their answers."""
    before_s, after_s = drawing.span(-0.3, 1.5), drawing.span(0.0, 3)
    loses_s = LEASE_S + after_s
    return [_owner(drawing, at_s), _loses_answers(drawing, at_s + before_s, loses_s)]


@course
def _takeover_without_answer_nor_history(
    drawing: Drawing, at_s: float
) -> list[AnyFault]:
    """The same, and the changes that would tell of it are lost as well."""
    lost_s = at_s + drawing.span(0.0, LEASE_S + 2)
    history = HistoryLost(number=0, at_s=round(lost_s, 3), for_s=drawing.span(0.5, 2))
    return [*_takeover_without_answer(drawing, at_s), history]


@course
def _acceptance_without_answer(drawing: Drawing, at_s: float) -> list[AnyFault]:
    """Acceptances lose their answers, and gateways are killed in the middle."""
    killed_s = round(at_s + drawing.span(0.1, 2), 3)
    count = drawing.rng.randint(1, 2)
    return [
        _loses_answers(drawing, at_s, drawing.span(1, 4)),
        _killed(drawing, killed_s, count=count, times=1),
    ]


@course
def _takeover_by_one_that_hears_nothing(
    drawing: Drawing, at_s: float
) -> list[AnyFault]:
    """An owner is killed, and some others lose all answers of the store for a while."""
    count = drawing.rng.randint(1, len(drawing.gateways) - 1)
    muted = [
        WayHarmed(
            number=0,
            at_s=round(at_s + drawing.span(0, 3), 3),
            for_s=drawing.span(1, 4),
            way=way,
            mute=True,
        )
        for way in drawing.rng.sample(drawing.gateways, count)
    ]
    return [_owner(drawing, at_s), *muted]


@course
def _owner_paused_and_killed(drawing: Drawing, at_s: float) -> list[AnyFault]:
    """A gateway stands still beyond its lease, goes on, and others are killed then."""
    name, for_s = drawing.gateway(), drawing.span(LEASE_S, LEASE_S + 2)
    killed_s = round(at_s + for_s + drawing.span(-1, 0.5), 3)
    return [
        GatewayPaused(number=0, at_s=at_s, for_s=for_s, gateway=name),
        _killed(drawing, killed_s, count=2, times=1),
    ]
