"""How each fault of a soak's schedule is drawn, by itself or in a course of several.

Courses bring about on purpose what is rare by chance, such as a takeover that gets no
answer. What is drawn gets its number later.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from bench._soak_schedule import (
    AnyFault,
    ConfigurationChanges,
    ConnectionsSilent,
    GatewayPaused,
    GatewayReloads,
    GatewaysKilled,
    GatewayStopped,
    HistoryLost,
    OwnerKilled,
    RunnerFaulty,
    RunnerGrey,
    RunnerLeaves,
    StoreAway,
    StoreLosesAnswers,
    StoreSilent,
    StoreSlow,
    StreamsNotResumed,
    WayHarmed,
)

if TYPE_CHECKING:
    from bench._soak_drawing import Drawing

LATE_EFFECT_S = 1.5
LEASE_S = 3.4
"""Lease of an instance in a fleet of a few: its owner is given up after it."""


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


@course
def _taker_killed_as_well(drawing: Drawing, at_s: float) -> list[AnyFault]:
    """An owner is killed, and so is whoever owns the job next, without answers."""
    first, loses_s = _owner(drawing, at_s), drawing.span(LEASE_S, LEASE_S + 4)
    again_s = round(at_s + drawing.span(1.5, LEASE_S + 3), 3)
    second = msgspec.structs.replace(first, at_s=again_s, down_s=drawing.span(0.1, 4))
    return [first, second, _loses_answers(drawing, at_s, loses_s)]
