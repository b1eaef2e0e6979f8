"""Plans of plays of jobs: drawn with faults in clusters, and all of a small grid."""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterator

import attrs

from tests.harness._job_plan_parts import INSTANCES, ITEMS, Ask, Fault, Plan
from tests.harness._jobs import HOST

OTHER_HOST = "other.example"
HARD_LENGTH_S = 20.0
GRID_LENGTH_S = 10.0
LARGE_INSTANCES = 26
TOKENS = 10
"""Tokens of an item."""

HARD_KINDS = (
    "away",
    "silent",
    "loses",
    "late",
    "history",
    "omits",
    "no_input",
    "fails",
    "news",
    "killed",
    "paused",
    "stopped",
)
OF_ONE = ("killed", "paused", "stopped")
"""Faults of one instance; all others may be of all."""

WRITES = ("", "accept", "takeover", "end", "commit", "renewal")
LONGEST_S = {"paused": 8.0, "omits": 2.0}
"""Longest time of a fault; 5 s of those that are not named."""


def draw_hard_plan(seed: int) -> Plan:
    """Draws a play of all kinds of faults, most of them near an acceptance."""
    rng = random.Random(f"hard {seed}")
    instances = rng.choice((3, 3, 4, 6))
    asks: list[Ask] = []
    for number in range(rng.randint(3, 8)):
        asks += _draw_asks(rng, f"j-{number}", instances)
    moments = [ask.at for ask in asks]
    faults = [_draw_fault(rng, moments, instances) for _ in range(rng.randint(4, 12))]
    return Plan(
        tuple(faults),
        tuple(sorted(asks, key=lambda ask: ask.at)),
        length_s=HARD_LENGTH_S,
        instances=instances,
        lasting=True,
        pause_s=rng.choice((0.4, 0.4, 1.0)),
        quota=rng.choice((0, 0, 0, 3 * ITEMS * TOKENS)),
        in_flight_s=rng.choice((0.0, 0.0, 7.0)),
        order_seed=seed,
    )


def draw_takeover_plan(seed: int) -> Plan:
    """Draws a play in which owners go and takeovers are lost, most of them twice."""
    rng = random.Random(f"takeover {seed}")
    instances = rng.choice((3, 3, 4))
    asks: list[Ask] = []
    faults: list[Fault] = []
    for number in range(rng.randint(2, 4)):
        of_job = _draw_asks(rng, f"j-{number}", instances)
        asks += of_job
        for _ in range(2):
            at = of_job[0].at + rng.choice((0.0, rng.uniform(0, 6)))
            faults += _draw_gone_owner(rng, at, of_job[0].instance, instances)
    return Plan(
        tuple(faults),
        tuple(sorted(asks, key=lambda ask: ask.at)),
        length_s=HARD_LENGTH_S,
        instances=instances,
        lasting=True,
        in_flight_s=rng.choice((0.0, 7.0)),
        event_s=rng.choice((0.1, 0.5)),
        order_seed=seed,
    )


def _draw_gone_owner(
    rng: random.Random, at: float, owner: int, instances: int
) -> Iterator[Fault]:
    gone = rng.choice((owner, owner, rng.randrange(instances)))
    kind = rng.choice(OF_ONE)
    yield Fault(at + rng.uniform(0, 1), rng.uniform(0.3, 8), kind, gone)
    kind, effect_s = rng.choice(("loses", "late")), rng.uniform(0.3, 5)
    only = rng.choice(("takeover", "takeover", "commit", "end", "accept"))
    yield Fault(at, rng.uniform(2, 9), kind, None, only, effect_s)
    kind = rng.choice(("history", "omits", "no_input", "news"))
    for_s = rng.uniform(0.3, LONGEST_S.get(kind, 5.0))
    yield Fault(at + rng.uniform(0, 5), for_s, kind, None, effect_s=effect_s)


def draw_large_plan(seed: int) -> Plan:
    """Draws a play of a fleet so large that rows of instances are read rarely."""
    plan = draw_hard_plan(seed)
    rng = random.Random(f"large {seed}")
    faults = tuple(
        attrs.evolve(fault, instance=rng.randrange(LARGE_INSTANCES))
        if fault.instance is not None and rng.random() < 0.5
        else fault
        for fault in plan.faults
    )
    return attrs.evolve(plan, faults=faults, instances=LARGE_INSTANCES)


def _draw_asks(rng: random.Random, job: str, instances: int) -> list[Ask]:
    at, host = rng.uniform(1, HARD_LENGTH_S), rng.choice((HOST, HOST, OTHER_HOST))
    large = rng.random() < 0.1
    asks = [
        Ask(
            at + rng.choice((0.0, rng.uniform(0, 3))),
            "submit",
            job,
            rng.randrange(instances),
            tries=rng.randint(1, 4),
            leaves_s=rng.choice((None, None, None, rng.uniform(0.001, 2.5))),
            host=host,
            large=large,
        )
        for _ in range(rng.randint(1, 2))
    ]
    if rng.random() < 0.4:
        end_at = at + rng.uniform(0.0, 4)
        tries, instance = rng.randint(1, 4), rng.randrange(instances)
        asks.append(Ask(end_at, "end", job, instance, tries=tries, host=host))
    return asks


def _draw_fault(rng: random.Random, moments: list[float], instances: int) -> Fault:
    kind = rng.choice(HARD_KINDS)
    is_near = rng.random() < 0.7
    at = rng.choice(moments) + rng.uniform(-1, 3) if is_near else rng.uniform(1, 20)
    one = kind in OF_ONE or rng.random() < 0.5
    return Fault(
        max(0.5, at),
        rng.uniform(0.3, LONGEST_S.get(kind, 5.0)),
        kind,
        rng.randrange(instances) if one else None,
        only=rng.choice(WRITES) if kind in ("loses", "late") else "",
        effect_s=rng.choice((1.5, rng.uniform(0.03, 5.0))),
    )


# Jobs of one id at two hosts.

_TWIN_HOSTS = (HOST, OTHER_HOST)


def draw_twin_plan(seed: int) -> Plan:
    """Draws a play in which each id is submitted to two hosts, with other bodies."""
    rng = random.Random(f"twin {seed}")
    asks: list[Ask] = []
    for number in range(rng.randint(1, 3)):
        asks += _draw_twins(rng, f"j-{number}")
    return Plan(
        tuple(_draw_twin_faults(rng, asks)),
        tuple(sorted(asks, key=lambda ask: ask.at)),
        length_s=HARD_LENGTH_S,
        lasting=True,
        event_s=rng.choice((0.1, 0.3, 0.8)),
        order_seed=seed,
    )


def draw_apart_plan(seed: int) -> Plan:
    """Draws the play of ``draw_twin_plan``, with ids that differ."""
    plan = draw_twin_plan(seed)
    asks = (attrs.evolve(ask, job=f"{ask.job}-{ask.host}") for ask in plan.asks)
    return attrs.evolve(plan, asks=tuple(asks))


def draw_unnamed_plan(seed: int) -> Plan:
    """Draws the play of ``draw_twin_plan``, in which no takeover names a host."""
    return attrs.evolve(draw_twin_plan(seed), names_host=False)


def _draw_twins(rng: random.Random, job: str) -> Iterator[Ask]:
    at = rng.uniform(1, 8)
    ends = rng.choice((None, None, None, *_TWIN_HOSTS))
    first = rng.randrange(INSTANCES)
    for host in rng.sample(_TWIN_HOSTS, 2):
        yield Ask(
            at,
            "submit",
            job,
            rng.choice((first, rng.randrange(INSTANCES))),
            tries=4,
            host=host,
            items=rng.randint(2, 6),
            large=rng.random() < 0.1,
        )
        if host == ends:
            end_at, instance = at + rng.uniform(0.1, 4), rng.randrange(INSTANCES)
            yield Ask(end_at, "end", job, instance, tries=4, host=host)
        at += rng.choice((0.0, rng.uniform(0, 6)))


def _draw_twin_faults(rng: random.Random, asks: list[Ask]) -> Iterator[Fault]:
    for kind in ("killed", "paused"):
        if rng.random() < 0.3:
            ask = rng.choice(asks)
            at, for_s = ask.at + rng.uniform(0.1, 2), rng.uniform(0.3, 8)
            yield Fault(at, for_s, kind, ask.instance)
    if rng.random() < 0.4:
        # An owner that lives and loses its lease hands its progress over.
        ask = rng.choice(asks)
        at, for_s = max(0.5, ask.at - rng.uniform(0, 3)), rng.uniform(4, 8)
        yield Fault(at, for_s, "away", ask.instance, "renewal")
    if rng.random() < 0.4:
        call_s = rng.uniform(0.05, 0.3)
        yield Fault(0.5, HARD_LENGTH_S, "slow", None, effect_s=call_s)
    if rng.random() < 0.8:
        news_s = rng.choice((0.01, 0.01, rng.uniform(0.05, 3.0)))
        yield Fault(0.5, HARD_LENGTH_S, "news", None, effect_s=news_s)


# The grid: one job, accepted by instance 0, at all orders of what may go wrong with it.

_ACCEPTED_AT = 3.0
_WRITE_FAULTS = (None, ("loses", 0.0), ("late", 1.5), ("late", 4.0))
_KILLED_AFTER_S = (None, 0.001, 0.2, 2.2)
_READ_FAULTS = (None, "history", "omits")
_ENDS_AFTER_S = (None, 0.3, 4.6)


def grid_plans() -> Iterator[Plan]:
    """Yields a play of each combination of the grid.

    Acceptance answered, lost or late; its owner killed at once, before the first item
    is done, or after the client gave up; the takeover answered, lost or late; the
    history lost or changes omitted meanwhile; an end not asked, asked at once, or about
    when the job is taken over, its answer lost as the takeover's is; the client comes
    again at another instance at once, or not.
    """
    for number, choice in enumerate(
        itertools.product(
            _WRITE_FAULTS,
            _KILLED_AFTER_S,
            _WRITE_FAULTS,
            _READ_FAULTS,
            _ENDS_AFTER_S,
            (False, True),
        )
    ):
        yield _grid_plan(number, *choice)


def _grid_plan(
    number: int,
    accept: tuple[str, float] | None,
    killed_after_s: float | None,
    takeover: tuple[str, float] | None,
    read_fault: str | None,
    ends_after_s: float | None,
    comes_again: bool,
) -> Plan:
    at = _ACCEPTED_AT
    faults = []
    asks = [Ask(at, "submit", "j-0", 0)]
    if accept:
        faults.append(Fault(at - 0.1, 1.0, accept[0], 0, "accept", accept[1]))
    if killed_after_s is not None:
        faults.append(Fault(at + killed_after_s, 3.0, "killed", 0))
    if takeover:
        for only in ("takeover", "end"):
            faults.append(Fault(at + 0.1, 7.0, takeover[0], None, only, takeover[1]))
    if read_fault:
        faults.append(Fault(at - 0.1, 7.0, read_fault, None))
    if ends_after_s is not None:
        asks.append(Ask(at + ends_after_s, "end", "j-0", 1, tries=2))
    if comes_again:
        asks.append(Ask(at + 0.4, "submit", "j-0", 1, tries=2))
    return Plan(
        tuple(faults),
        tuple(asks),
        length_s=GRID_LENGTH_S,
        lasting=True,
        order_seed=number,
    )


# All pairs of faults about one job, in three orders.

_PAIR_LENGTH_S = 14.0
_PAIR_FAULTS = (
    ("away", None, ""),
    ("silent", None, ""),
    ("history", None, ""),
    ("omits", None, ""),
    ("no_input", None, ""),
    ("fails", None, ""),
    ("news", None, ""),
    *(
        (kind, None, only)
        for kind in ("loses", "late")
        for only in ("accept", "takeover", "end", "commit", "renewal")
    ),
    ("killed", 0, ""),
    ("paused", 0, ""),
    ("stopped", 0, ""),
    ("killed", 1, ""),
    ("paused", 1, ""),
)
_PAIR_FOR_S = 5.0
_PAIR_OFFSETS_S = (-0.1, 0.3, 2.1)
"""Before the job is accepted, while its first items run, after some are listed."""


def pair_plans() -> Iterator[Plan]:
    """Yields a play of each two faults, each begun at three moments of a job's course.

    The job's items take 2.5 s; its client comes again at the next instance until it is
    answered; another client asks for the end of a second job in the middle.
    """
    number = 0
    for first, second in itertools.combinations_with_replacement(_PAIR_FAULTS, 2):
        for offsets in itertools.product(_PAIR_OFFSETS_S, repeat=2):
            yield _pair_plan(number, (first, second), offsets)
            number += 1


def _pair_plan(
    number: int,
    pair: tuple[tuple[str, int | None, str], ...],
    offsets: tuple[float, ...],
) -> Plan:
    at = _ACCEPTED_AT
    faults = tuple(
        Fault(
            at + offset,
            2.0 if kind == "omits" else _PAIR_FOR_S,
            kind,
            instance,
            only,
            effect_s=1.5 if number % 2 else 4.0,
        )
        for (kind, instance, only), offset in zip(pair, offsets, strict=True)
    )
    asks = (
        Ask(at, "submit", "j-0", 0, tries=4),
        Ask(at, "submit", "j-1", 0, tries=4),
        Ask(at + 1.0, "end", "j-1", 1, tries=4),
    )
    return Plan(
        faults,
        asks,
        length_s=_PAIR_LENGTH_S,
        lasting=True,
        in_flight_s=7.0,
        event_s=0.5,
        order_seed=number,
    )
