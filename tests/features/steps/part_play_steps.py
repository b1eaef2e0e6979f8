"""Steps for deadly parts of prompts in drawn courses, without processes."""

from unittest import mock

from behave import then, when

from tests.harness import PartPlay, draw_part_course


def play_courses(count, first, instances):
    plays = []
    for seed in range(first, first + count):
        plays.append(PartPlay(draw_part_course(seed, instances=instances)))
        plays[-1].play()
    return plays


@when("{count:d} courses of parts are played from seed {first:d}, at {n:d} instances")
def play(context, count, first, n):
    context.plays = play_courses(count, first, n)


@when(
    "{count:d} courses of parts are played from seed {first:d}, at {n:d} instances "
    "that read no parts"
)
def play_without_parts(context, count, first, n):
    with mock.patch.object(PartPlay, "parts_of", staticmethod(lambda request: ())):
        context.plays = play_courses(count, first, n)


@then("in each, at most 3 upstreams end under a part later than 3 s after the fifth")
def few_end(context):
    late = {play.course.seed: play.late_ends() for play in context.plays}
    assert max(late.values()) <= 3, late


@then("in each, sound requests are served at once at least half as often as before")
def sound_served(context):
    for play in context.plays:
        before, after = play.shares()
        assert after >= before / 2, (play.course, before, after)


@then("in all, more than 3 upstreams end under a part later than 3 s after the fifth")
def many_end(context):
    late = {play.course.seed: play.late_ends() for play in context.plays}
    assert min(late.values()) > 3, late


@then("in each, every instance tells the others at most {most:d} times for each end")
def told_in_proportion(context, most):
    for play in context.plays:
        ends = sum(map(len, play.ends.values())) + play.course.rack
        allowed = most * play.course.instances * ends
        assert play.told <= allowed, (play.course, play.told, allowed)
