"""Steps for streams and items while upstreams of two software versions serve."""

import json
import re
import time

import attrs
import httpcore
import trio
from behave import given, then, when

from tests.harness import RESUMABLE, Gateways, until

VERSIONS = ("v1", "v1.1")
EVENTS = 12
EVENT_S = 0.03
LEFT_AFTER = 4
CUT_AFTER = 3
ITEMS = 30
JOB = "job-1"
AT_ONCE_S = 0.5
REFUSED = 503
_EVENT = re.compile(rb"id: (\d+)\ndata: word \d+ (\S+)\n\n")


@attrs.define
class Stream:
    """A stream as its client has it, over all tries.

    Attributes:
      request: Id of the client attempt that brought its first event.
      events: Numbers of the events, in order.
      versions: The versions that wrote them.
      whole: Whether the last answer came to its end.
      taken_up: Status of the attempt that took it up; None if there was none.
      took_s: Seconds until that attempt's answer ended.
    """

    request: str
    events: list[int] = attrs.field(factory=list)
    versions: set[str] = attrs.field(factory=set)
    whole: bool = False
    taken_up: int | None = None
    took_s: float = 0.0

    def take(self, answer):
        """Adds what an answer brought."""
        for number, version in _EVENT.findall(answer.body):
            self.events.append(int(number))
            self.versions.add(version.decode())
        self.whole = answer.status == 200 and answer.whole

    @property
    def complete(self):
        return self.whole and self.events == list(range(1, EVENTS + 1))


async def begin(fleet, stream, gateway, **options):
    """Asks for a stream; a gateway that is killed brings what it has sent."""
    try:
        stream.take(await fleet.ask(gateway, RESUMABLE, stream.request, **options))
    except (httpcore.NetworkError, httpcore.ProtocolError):
        stream.whole = False


async def take_up(fleet, stream, gateway):
    """Takes a stream up after the last event that its client has."""
    began = time.monotonic()
    answer = await fleet.ask(
        gateway,
        RESUMABLE,
        f"{stream.request}-again",
        body=f"prompt of {stream.request}",
        Resumes=stream.request,
        Last_Event_Id=str(stream.events[-1]),
    )
    stream.taken_up, stream.took_s = answer.status, time.monotonic() - began
    stream.take(answer)


async def side_by_side(function, fleet, pairs):
    """Does something with each stream at its gateway, some 15 ms apart."""
    async with trio.open_nursery() as nursery:
        for stream, gateway in pairs:
            nursery.start_soon(function, fleet, stream, gateway)
            await trio.sleep(0.015)


def spread(fleet, streams, names):
    """Returns the streams with gateways, in turn."""
    return [(stream, names[n % len(names)]) for n, stream in enumerate(streams)]


async def leave_and_go_on(fleet, streams):
    """Each client leaves after some events and goes on at the next gateway."""
    names = fleet.names

    async def play(fleet, stream, gateway):
        await begin(fleet, stream, gateway, leave_after=LEFT_AFTER)
        other = names[(names.index(gateway) + 1) % len(names)]
        await take_up(fleet, stream, other)

    await side_by_side(play, fleet, spread(fleet, streams, names))


async def cut_answers(fleet, streams):
    """Upstreams cut answers; what a gateway does not mend its client takes up."""
    for name in fleet.runners:
        await fleet.control(name, cut_next=5, cut_after=CUT_AFTER)

    async def play(fleet, stream, gateway):
        await begin(fleet, stream, gateway)
        if not stream.whole and stream.events:
            await take_up(fleet, stream, gateway)

    await side_by_side(play, fleet, spread(fleet, streams, fleet.names))


async def kill_and_go_on(fleet, streams, *, there=False):
    """A gateway is killed while it streams, and its clients go on elsewhere."""
    first, *others = fleet.names

    async def kill():
        await trio.sleep(0.015 * len(streams) + LEFT_AFTER * EVENT_S)
        fleet.processes[first].kill()

    # Streams last until the last one has begun.
    for name in fleet.runners:
        await fleet.control(name, event_s=0.1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(kill)
        await side_by_side(begin, fleet, spread(fleet, streams, fleet.names))
    if there:
        fleet.start_gateway(first)
        await fleet.ready(first)
    names = [first] if there else others
    left = [stream for stream in streams if stream.events and not stream.whole]
    await side_by_side(take_up, fleet, spread(fleet, left, names))


async def kill_and_go_on_there(fleet, streams):
    """The same, and the killed gateway starts again."""
    await kill_and_go_on(fleet, streams, there=True)


TRY_FOR_S = 8.0
TRY_EVERY_S = 0.5
GIVEN_UP_S = 2.0


async def keep_trying(fleet, stream, gateway):
    """Takes a stream up until it goes on, for as long as a client tries."""
    until_at = trio.current_time() + TRY_FOR_S
    while trio.current_time() < until_at and not stream.complete:
        try:
            with trio.move_on_after(GIVEN_UP_S):
                await take_up(fleet, stream, gateway)
        except (httpcore.NetworkError, httpcore.ProtocolError):
            stream.taken_up = stream.taken_up or 0
        await trio.sleep(TRY_EVERY_S)


async def kill_all(fleet, streams, versions):
    """All gateways are killed while they stream, start again, and clients go on."""
    for name in fleet.runners:
        await fleet.control(name, event_s=0.1)

    async def kill():
        await trio.sleep(0.015 * len(streams) + LEFT_AFTER * EVENT_S)
        for name in fleet.names:
            fleet.processes[name].kill()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(kill)
        await side_by_side(begin, fleet, spread(fleet, streams, fleet.names))
    for name in fleet.runners:
        if fleet.software[name] == "v1" and versions != "both versions serve":
            await _LEAVES[versions](fleet, name)
    for name in fleet.names:
        fleet.start_gateway(name)
    left = [stream for stream in streams if stream.events and not stream.whole]
    for name in fleet.names:
        await fleet.ready(name)
    async with trio.open_nursery() as nursery:
        for stream, gateway in spread(fleet, left, fleet.names):
            nursery.start_soon(keep_trying, fleet, stream, gateway)


async def leave(fleet, name):
    """An upstream of the old version is gone from the list."""
    await fleet.unlist_runner(name)


async def come_back(fleet, name):
    """An upstream writes as the new version; the list still shows the old one."""
    await fleet.control(name, mark="v1.1")


_LEAVES = {"v1 leaves": leave, "v1 comes back as v1.1 under its ids": come_back}


@when(
    "{count:d} streams are asked for, and all gateways are killed, start again, "
    "and clients try for 8 s while {versions}"
)
def kill_all_and_go_on(context, count, versions):
    context.streams = [Stream(f"s-{number}") for number in range(count)]
    context.fleet.run(kill_all, context.fleet, context.streams, versions)
    left = [s for s in context.streams if s.taken_up is not None]
    assert len(left) >= 12, f"only {len(left)} streams were broken off"


COURSES = {
    "clients leave after 4 events and go on at another gateway": leave_and_go_on,
    "upstreams cut answers after 3 events": cut_answers,
    "a gateway is killed and clients go on at the others": kill_and_go_on,
    "a gateway starts again and clients go on there": kill_and_go_on_there,
}


@given("{gateways:d} gateways and {runners:d} runners, every other one of version v1.1")
def two_versions(context, gateways, runners):
    fleet = context.fleet = Gateways(gateways=gateways, runners=runners)
    for number, name in enumerate(fleet.runners):
        fleet.software[name] = VERSIONS[number % 2]
    fleet.start()
    for name in fleet.runners:
        knobs = {"events": EVENTS, "event_s": EVENT_S, "mark": fleet.software[name]}
        fleet.run(lambda name=name, knobs=knobs: fleet.control(name, **knobs))


@when("{count:d} streams are asked for, and {course}")
def play(context, count, course):
    context.streams = [Stream(f"s-{number}") for number in range(count)]
    context.fleet.run(COURSES[course], context.fleet, context.streams)


@then("no stream has events of two versions")
def one_version(context):
    mixed = [stream for stream in context.streams if len(stream.versions) > 1]
    assert not mixed, f"{len(mixed)} of {len(context.streams)}: {mixed[:3]}"


@then("at least half of the streams that were broken off go on")
def half_go_on(context):
    streams = [s for s in context.streams if s.taken_up is not None]
    if not streams:
        streams = context.streams  # They went on inside their answers.
    gone_on = [stream for stream in streams if stream.complete]
    assert streams and len(gone_on) >= len(streams) / 2, (len(gone_on), streams)


@when(
    "a job of {items:d} items runs, and upstreams cut answers after {events:d} events"
)
def run_job(context, items, events):
    fleet = context.fleet

    async def course():
        for name in fleet.runners:
            await fleet.control(name, cut_next=5, cut_after=events)
        answer = await fleet.submit(
            "gateway-1", JOB, [f"item {n}" for n in range(items)]
        )
        assert answer.status == 202, answer
        return await fleet.whole_job("gateway-2", JOB)

    context.results = fleet.run(course)


@then("all items are listed, each with a whole text of one version")
def whole_texts(context):
    wanted = {
        "\n".join(f"word {number} {version}" for number in range(1, EVENTS + 1))
        for version in VERSIONS
    }
    wrong = [one for one in context.results if one["text"] not in wanted]
    assert len(context.results) == ITEMS and not wrong, (len(wrong), wrong[:3])


@when("a client goes on after event 4 and names {named}")
def goes_on(context, named):
    stream = Stream("s-1")
    headers = {"a request that nobody knows": {"Resumes": "r-unknown"}}
    ask = context.fleet.ask

    async def course():
        began = time.monotonic()
        answer = await ask(
            "gateway-1",
            RESUMABLE,
            "s-1-again",
            Last_Event_Id="4",
            **headers.get(named, {}),
        )
        stream.taken_up, stream.took_s = answer.status, time.monotonic() - began
        await trio.sleep(0.5)
        return await context.fleet.runs()

    context.runs = context.fleet.run(course)
    context.streams = [stream]


def refused_at_once(stream):
    return stream.taken_up == REFUSED and stream.took_s <= AT_ONCE_S


@then("it is told at once that the request has not run, and it never runs")
def not_run(context):
    assert all(refused_at_once(stream) for stream in context.streams), context.streams
    assert not context.runs, context.runs


@when("clients leave after {events:d} events, and all upstreams of version v1 leave")
def version_leaves(context, events):
    fleet = context.fleet
    context.streams = [Stream(f"s-{number}") for number in range(24)]

    async def play_first(fleet, stream, gateway):
        await begin(fleet, stream, gateway, leave_after=events)

    async def course():
        await side_by_side(
            play_first, fleet, spread(fleet, context.streams, fleet.names)
        )
        for name in fleet.runners:
            if fleet.software[name] == "v1":
                await fleet.unlist_runner(name)
        for gateway in fleet.names:
            await until(
                f"{gateway} knows", lambda gateway=gateway: forgot_v1(fleet, gateway)
            )
        names = fleet.names[1:] + fleet.names[:1]
        await side_by_side(take_up, fleet, spread(fleet, context.streams, names))

    fleet.run(course)


async def forgot_v1(fleet, gateway):
    """Returns whether a gateway has dropped all upstreams of version v1."""
    lines = fleet.processes[gateway].output().splitlines()
    gone = {
        json.loads(line)["upstream"]
        for line in lines
        if "Upstream no longer listed." in line
    }
    return len(gone) >= sum(v == "v1" for v in fleet.software.values())


@then("streams of version v1 are told at once that the request has not run")
def v1_refused(context):
    left = [stream for stream in context.streams if "v1" in stream.versions]
    assert left and all(refused_at_once(stream) for stream in left), left


@then("streams of version v1.1 go on")
def other_goes_on(context):
    others = [stream for stream in context.streams if "v1" not in stream.versions]
    assert others and all(stream.complete for stream in others), others
