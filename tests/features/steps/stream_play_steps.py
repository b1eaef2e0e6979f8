"""Steps for streams in drawn courses, without processes."""

import contextlib
from unittest import mock

from behave import then, when

from coppercleat.serving import GatewayPeers, Placement
from coppercleat.serving._stream_origins import StreamOrigins
from tests.harness import StreamPlay, draw_stream_course

PLANTS = {
    "a choice that ignores versions": [
        mock.patch.object(
            Placement, "upstreams_of_other_versions", lambda self, origin: set()
        )
    ],
    "instances that tell and ask nothing of streams": [
        mock.patch.object(StreamOrigins, "take_untold", lambda self, now: ()),
        mock.patch.object(GatewayPeers, "_ask_origin", lambda self, key: []),
    ],
}


def play_courses(count, first, **options):
    plays = []
    for seed in range(first, first + count):
        plays.append(StreamPlay(draw_stream_course(seed, **options)))
        plays[-1].play()
    return plays


@when("{count:d} courses of streams are played from seed {first:d}")
def play_drawn(context, count, first):
    context.plays = play_courses(count, first)


@when("{count:d} courses of {instances:d} instances are played from seed {first:d}")
def play_large(context, count, instances, first):
    context.plays = play_courses(count, first, instances=instances)


@when("{count:d} courses with upstreams born again are played from seed {first:d}")
def play_reborn(context, count, first):
    context.plays = play_courses(count, first, reborn=True)


@when("{count:d} courses of streams are played from seed {first:d}, with {plant}")
def play_planted(context, count, first, plant):
    with contextlib.ExitStack() as planted:
        for patch in PLANTS[plant]:
            planted.enter_context(patch)
        context.plays = play_courses(count, first)


def broken_seeds(plays):
    return [
        play.course.seed
        for play in plays
        if any(len(stream.versions) > 1 for stream in play.streams)
    ]


def share_that_goes_on(plays):
    streams = [stream for play in plays for stream in play.streams]
    taken_up = sum(stream.taken_up for stream in streams)
    assert taken_up >= 12, taken_up
    return sum(stream.went_on for stream in streams) / taken_up


@then("no course has a stream of two versions")
def none_broken(context):
    assert not broken_seeds(context.plays), broken_seeds(context.plays)


@then("every stream has its events in order, each once")
def in_order(context):
    for play in context.plays:
        for stream in play.streams:
            numbers = [number for number, _ in stream.events]
            assert numbers == list(range(1, len(numbers) + 1)), (play.course, stream)


@then("half or more of the streams that are taken up go on")
def most_go_on(context):
    share = share_that_goes_on(context.plays)
    assert share >= 0.5, share


@then("the courses find it: {what}")
def found(context, what):
    if what == "streams of two versions":
        assert broken_seeds(context.plays)
    else:
        share = share_that_goes_on(context.plays)
        assert share < 0.5, share
