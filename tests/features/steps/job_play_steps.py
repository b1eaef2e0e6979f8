"""Steps for randomized simulations of jobs under faults."""

import itertools

from behave import then, when

from tests.harness import (
    PLANTS,
    JobPlay,
    draw_apart_plan,
    draw_hard_plan,
    draw_large_plan,
    draw_plan,
    draw_takeover_plan,
    draw_twin_plan,
    draw_unnamed_plan,
    grid_plans,
    pair_plans,
)

PLANS = {
    "drawn": lambda: map(draw_hard_plan, itertools.count()),
    "large": lambda: map(draw_large_plan, itertools.count()),
    "takeover": lambda: map(draw_takeover_plan, itertools.count()),
    "twin": lambda: map(draw_twin_plan, itertools.count()),
    "unnamed": lambda: map(draw_unnamed_plan, itertools.count()),
    "apart": lambda: map(draw_apart_plan, itertools.count()),
    "grid": grid_plans,
    "pair": pair_plans,
}


def plans_of(which, first, last, stride=1):
    """Returns plans by their numbers."""
    numbered = itertools.islice(enumerate(PLANS[which]()), first, last + 1, stride)
    return dict(numbered)


@then("in simulations {first:d} to {last:d} every accepted job is read to its end")
def all_jobs_read(context, first, last):
    failed, accepted = {}, 0
    for seed in range(first, last + 1):
        plan = draw_plan(seed)
        simulation = JobPlay(plan)
        simulation.play()
        accepted += len(simulation.accepted)
        if simulation.problems:
            failed[seed] = (simulation.problems, plan)
    assert not failed, failed
    # Faults may prevent the acceptance of some jobs, but not of most.
    assert accepted >= last + 1 - first, accepted


@when(
    "of the {which} simulations each {stride:d}th from {first:d} to {last:d} is played"
)
def play_plans(context, which, stride, first, last):
    context.plays = {}
    for number, plan in plans_of(which, first, last, stride).items():
        context.plays[number] = JobPlay(plan)
        context.plays[number].play()


@then("every accepted job was read to its end, and no promise broken")
def no_promise_broken(context):
    failed = {n: (p.problems, p.plan) for n, p in context.plays.items() if p.problems}
    assert not failed, failed
    accepted = sum(len(play.accepted) for play in context.plays.values())
    assert accepted >= len(context.plays) / 2, accepted


@then("every accepted job was listed whole 18 s after all had healed")
def listed_in_time(context):
    late = {n: (p.late, p.plan) for n, p in context.plays.items() if p.late}
    assert not late, late


@when("simulation {number:d} of the {which} ones is played with {plant} planted")
def play_planted(context, number, which, plant):
    (plan,) = plans_of(which, number, number).values()
    context.play = JobPlay(plan)
    with PLANTS[plant]():
        context.play.play()


@then("a promise was broken: {promise}")
def promise_broken(context, promise):
    problems = context.play.problems
    assert any(promise in problem for problem in problems), problems
