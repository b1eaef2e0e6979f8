"""Steps for jobs of one id at two hosts."""

import ast
import json
import pathlib
import time
from collections.abc import Awaitable, Callable

import msgspec
import structlog
import trio
import trio.testing
from behave import given, then, when

from coppercleat.gateway import JobAnswer
from coppercleat.ids import InstanceId, JobId, JobRef
from coppercleat.jobs import (
    ItemState,
    JobIndex,
    JobRow,
    StalledJobs,
    StoredJob,
    Sweeper,
)
from coppercleat.observability import lines_about
from coppercleat.routing import rendezvous_order
from coppercleat.serving import ItemEvents
from coppercleat.serving._peer_messages import JobHandover, JobTakeover
from coppercleat.serving._peers import _handlers
from coppercleat.storage import MemoryPlatform, Put, Transaction
from tests.harness import (
    HOST,
    JOBS,
    LOOK_S,
    PLANTS,
    free_port,
    make_peers,
    make_repository,
    make_route,
    until,
)
from tests.harness._job_plans import OTHER_HOST
from tests.harness._job_play import (
    CANCEL_S,
    EVENTS,
    Ask,
    FiveEvents,
    Instance,
    submission_of,
    word_of,
)
from tests.harness._job_store import Trouble, View

ID = JobId("job")
ONE, OTHER = JobRef(HOST, ID), JobRef(OTHER_HOST, ID)
ITEMS = {ONE: 3, OTHER: 5}
EVENT_S = 0.4
LONGEST_S = 30.0
SLOW_S = 0.3
"""Time of a call to a slow store; with it reads of input overlap."""


class Site:
    """Instances at one store, whose clients use one id at two hosts.

    Attributes:
      answers: The last answer to each submission.
      handed_over: Progress that an owner gave for a job which it does not run.
    """

    def __init__(self, nursery: trio.Nursery, instances: int, route) -> None:
        self.memory = MemoryPlatform()
        self.caller = FiveEvents(EVENT_S)
        self.answers: dict[JobRef, JobAnswer] = {}
        self.handed_over: list[ItemEvents] = []
        self.instances = [
            Instance(
                number,
                number,
                View(self.memory, nursery),
                caller=self.caller,
                route=route,
                hosts=(HOST, OTHER_HOST),
            )
            for number in range(instances)
        ]

    async def submit(self, ref, *, number=0, large=False, items=None):
        """Submits a job to an instance."""
        ask = Ask(
            0.0,
            "submit",
            ref.id,
            number,
            host=ref.host,
            large=large,
            items=items or ITEMS[ref],
        )
        instance = self.instances[number]
        reply = await instance.service.submit(submission_of(ask), instance.route)
        self.answers[ref] = reply.answer

    async def results(self, ref):
        """Returns what is listed of a job."""
        service = self.instances[0].service
        reply = await service.results(ref.host, ref.id, after=0)
        return reply.page.results if reply.page else []

    async def until_whole(self, ref, items=None):
        """Waits until a job is listed whole, or for long; returns its results."""
        with trio.move_on_after(LONGEST_S):
            while len(await self.results(ref)) < (items or ITEMS[ref]):
                await trio.sleep(0.1)
        return await self.results(ref)


COURSES: dict[str, tuple[Callable[[Site], Awaitable[None]], int]] = {}


def course(words, *, instances=1):
    def register(call):
        COURSES[words] = call, instances
        return call

    return register


def play(run, *, instances=1, route=None):
    """Plays a course on a clock of the test."""

    async def main():
        async with trio.open_nursery() as nursery:
            site = Site(nursery, instances, route)
            for instance in site.instances:
                nursery.start_soon(instance.run)
            await trio.sleep(3)
            await run(site)
            nursery.cancel_scope.cancel()

    # A check that fails in a course is told as such, not as a group of errors.
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(main, clock=clock, strict_exception_groups=False)


@course("both come to one instance, 1 s apart, and run side by side")
async def at_one(site):
    await site.submit(ONE)
    await trio.sleep(1)
    await site.submit(OTHER)
    await trio.sleep(LOOK_S)
    assert OTHER in site.caller.began, "it waits for the end of the other host's job"
    assert await site.results(ONE) == []


@course("each comes to an instance of its own, 1 s apart", instances=2)
async def at_two(site):
    await site.submit(ONE)
    await trio.sleep(1)
    await site.submit(OTHER, number=1)


@course("one comes while the input of the other is read")
async def while_loading(site):
    site.instances[0].view.takes_s = SLOW_S
    async with trio.open_nursery() as nursery:
        nursery.start_soon(site.submit, ONE)
        await trio.sleep(SLOW_S / 2)
        nursery.start_soon(site.submit, OTHER)


@course("the input of both is an object", instances=2)
async def large(site):
    for number, ref in enumerate(ITEMS):
        await site.submit(ref, number=number, large=True)


@course("a takeover of one is told to the owner of the other")
async def takeover_told(site):
    await site.submit(ONE)
    await trio.sleep(1)
    site.handed_over = site.instances[0].worker.stop_taken_job(OTHER)
    await site.submit(OTHER)


@course("a takeover names the id alone")
async def takeover_unnamed(site):
    await at_one(site)
    site.instances[0].worker.stop_jobs_of_id(ID)


@course("progress of one is told while the input of the other is read")
async def progress_told(site):
    (instance,) = site.instances
    foreign = [b"of the other job"] * EVENTS
    await site.submit(OTHER)
    await site.until_whole(OTHER)
    instance.view.takes_s = SLOW_S
    async with trio.open_nursery() as nursery:
        nursery.start_soon(site.submit, ONE)
        for _ in range(20):
            await trio.sleep(SLOW_S / 4)
            items = [ItemEvents(0, EVENTS, foreign, 0, True)]
            instance.worker.receive_handover(OTHER, items)


@course("the owner of one is dead, that of the other lives", instances=2)
async def owner_dead(site):
    """The first in line for the job of the dead owner may not start anything."""
    owners = {one.worker.owner: one for one in site.instances}
    first, second = rendezvous_order(ID, list(owners))
    repository = make_repository(site.memory)
    holds_lease = owners[first].worker.holds_lease
    owners[first].worker.holds_lease = lambda: False
    for ref, owner in ((ONE, "gone/b0"), (OTHER, first)):
        ask = Ask(0.0, "submit", ref.id, 0, host=ref.host, items=ITEMS[ref])
        await repository.accept(
            submission_of(ask),
            owners[second].route,
            owner=owner,
            finished_tokens=lambda host, prefix, account: 0,
        )
        site.answers[ref] = JobAnswer.ACCEPTED
    check_whole(ONE, await site.until_whole(ONE))
    assert await site.results(OTHER) == []
    owners[first].worker.holds_lease = holds_lease


@when("two hosts have a job of one id, and one is ended")
def one_ended(context):
    async def run(site):
        await site.submit(OTHER)
        await trio.sleep(0.5)
        await site.submit(ONE)
        await trio.sleep(0.5)
        reply = await site.instances[1].service.end(OTHER.host, OTHER.id)
        assert reply.answer is JobAnswer.ENDED, reply
        context.ended_at = trio.current_time()
        context.results = {ONE: await site.until_whole(ONE)}
        await trio.sleep(LONGEST_S)
        context.began = site.caller.began

    play(run, instances=2)


@when("two hosts have a job of one id, and {course}")
def play_course(context, course):
    call, instances = COURSES[course]

    async def run(site):
        await call(site)
        context.answers, context.handed_over = site.answers, site.handed_over
        context.results = {ref: await site.until_whole(ref) for ref in ITEMS}
        context.began = site.caller.began

    play(run, instances=instances)


@when("with {plant} planted, two hosts have a job of one id, and {course}")
def play_planted_course(context, plant, course):
    context.found = ""
    try:
        with PLANTS[plant]():
            play_course(context, course)
        both_whole(context)
    except AssertionError as error:
        context.found = str(error)


@then("it is found")
def is_found(context):
    assert context.found, "no check has failed"


def check_whole(ref, results):
    names = sorted(result.item for result in results)
    assert names == [f"{ref.id}-{n}" for n in range(ITEMS[ref])], (str(ref), names)
    for result in results:
        assert result.state is ItemState.COMPLETED, result
        wanted = b"\n".join([word_of(ref.host, result.item)] * EVENTS)
        assert result.text == wanted, (str(ref), result)


@then("both jobs are listed whole, each with its own texts")
def both_whole(context):
    assert set(context.answers.values()) == {JobAnswer.ACCEPTED}, context.answers
    assert context.handed_over == [], context.handed_over
    for ref, results in context.results.items():
        check_whole(ref, results)


@then("the other job is listed whole, with its own texts")
def other_whole(context):
    check_whole(ONE, context.results[ONE])


@then("each item has run once")
def ran_once(context):
    runs = {ref: len(began) for ref, began in context.began.items()}
    assert runs == ITEMS, runs


@then("no item of the ended job begins {seconds:g} s after its end")
def none_begins_after(context, seconds):
    assert seconds == CANCEL_S
    late = [at for at in context.began[OTHER] if at > context.ended_at + seconds]
    assert not late, late


# Instances of two versions.


class TakeoverBefore(msgspec.Struct, frozen=True, tag="taken", array_like=True):
    """``JobTakeover`` of the version before."""

    job: JobId


class HandoverBefore(msgspec.Struct, frozen=True, tag="handover", array_like=True):
    """``JobHandover`` of the version before."""

    job: JobId
    items: list[ItemEvents]


PROGRESS = [ItemEvents(0, 1, [b"text"], 0, False)]
MESSAGES = {
    ("a takeover", "this version"): JobTakeover(ID, HOST),
    ("a takeover", "the version before"): TakeoverBefore(ID),
    ("progress", "this version"): JobHandover(ID, PROGRESS, HOST),
    ("progress", "the version before"): HandoverBefore(ID, PROGRESS),
}
UNDERSTOOD = {
    "this version": JobTakeover | JobHandover,
    "the version before": TakeoverBefore | HandoverBefore,
}


@when("an instance of {receiver} hears {news} from one of {sender}")
def hears_news(context, receiver, news, sender):
    data = msgspec.msgpack.encode(MESSAGES[news, sender])
    message = msgspec.msgpack.decode(data, type=UNDERSTOOD[receiver])
    context.heard = [("read", message)]
    if receiver == "this version":
        context.heard = acts_on(message)


def acts_on(message):
    """Returns what an instance does with a message of a peer."""
    peers = make_peers("i", "a", free_port(), free_port())
    done = []

    def note(what, answer=None):
        return lambda *details: done.append((what, *details)) or answer

    peers.on_job_takeover = note("stops", PROGRESS)
    peers.on_unnamed_takeover = note("stops all")
    peers.on_job_handover = note("takes")
    peers.messenger.send = note("sends")
    _handlers.dispatch(peers, InstanceId("peer"), message)
    return done


OUTCOMES = {
    "stops the job of the host, and gives its progress": [
        ("stops", ONE),
        ("sends", "peer", JobHandover(ID, PROGRESS, HOST)),
    ],
    "stops all jobs of the id, and gives no progress": [("stops all", ID)],
    "reads the id": [("read", TakeoverBefore(ID))],
    "takes it for the job of the host": [("takes", ONE, PROGRESS)],
    "takes nothing": [],
    "reads the id and the items": [("read", HandoverBefore(ID, PROGRESS))],
}


@then("having heard it, the instance {outcome}")
def does(context, outcome):
    assert context.heard == OUTCOMES[outcome], context.heard


# Answers.


@when(
    "the answer to a submission is lost, beside a newer job of its id at another host"
)
def answer_lost(context):
    async def run(site):
        first, second = site.instances
        first.view.trouble.append(Trouble("loses", "accept"))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(site.submit, OTHER)
            await trio.sleep(0.01)
            await make_repository(site.memory).accept(
                submission_of(Ask(0.0, "submit", ID, 1, host=HOST)),
                second.route,
                owner=second.worker.owner,
                finished_tokens=lambda host, prefix, account: 0,
            )
            began = trio.current_time()
        context.told_s = trio.current_time() - began
        context.answer = site.answers[OTHER]

    play(run, instances=2)


@then("its client is told that it is accepted, within {seconds:g} s")
def told_within(context, seconds):
    assert context.answer is JobAnswer.ACCEPTED, context.answer
    assert context.told_s <= seconds, context.told_s


# Quotas.


@when("a job of 80 tokens is listed whole at each of two hosts, both of one id")
def whole_at_each(context):
    async def run(site):
        for ref in ITEMS:
            await site.submit(ref, items=8)
            assert len(await site.until_whole(ref, 8)) == 8
        await trio.sleep(2 * LOOK_S)
        next_job = JobRef(HOST, JobId("next"))
        await site.submit(next_job, items=8)
        context.answer = site.answers[next_job]

    # An item has 10 tokens.
    play(run, route=make_route(retention_s=600.0, max_waiting_tokens=100))


@then("the first host takes another job of 80 tokens, of 100 that may wait")
def takes_another(context):
    assert context.answer is JobAnswer.ACCEPTED, context.answer


# Rows.


def row_of(ref, **fields):
    times = {"accepted_at": 0.0, "due_at": 9.0, "expires_at": 9.0}
    return JobRow(job=ref.id, host=ref.host, path="/", tokens=(1,), **times | fields)


def put(platform, part, value):
    puts = [Put(f"job/{ID}", value)]
    platform.transact_now(Transaction(puts=puts, part=part))


@when("jobs of one id at two hosts have expired")
def have_expired(context):
    async def run():
        platform = MemoryPlatform()
        for ref in ITEMS:
            put(platform, ref.host, msgspec.json.encode(row_of(ref, ended=True)))
        index = JobIndex(platform)
        await index.refresh()
        sweeper = Sweeper(
            platform,
            index,
            keep_s=60.0,
            clock=lambda: 10_000.0,
            owner="me/1",
            live_instances=lambda: ["me/1"],
            quota_prefix_of=lambda host, path: None,
        )
        with trio.move_on_after(12):
            await sweeper.run()
        context.left = sorted(platform.rows)

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then("nothing of them is left in the store after 12 s")
def nothing_left(context):
    assert context.left == [], context.left


BAD = b"no row"
ROWS = {
    "both bad": {HOST: BAD, OTHER_HOST: BAD},
    "one bad, and the good one is deleted": {
        HOST: BAD,
        OTHER_HOST: msgspec.json.encode(row_of(OTHER)),
    },
    "one good, and the bad one names its host": {
        HOST: msgspec.json.encode(row_of(ONE)),
        OTHER_HOST: msgspec.json.encode(row_of(ONE)),
    },
}


@when("two hosts have a row of one key, {rows}")
def have_rows(context, rows):
    async def run():
        platform = MemoryPlatform()
        for part, value in ROWS[rows].items():
            put(platform, part, value)
        index = JobIndex(platform)
        await index.refresh()
        if "is deleted" in rows:
            deletes = [f"job/{ID}"]
            platform.transact_now(Transaction(deletes=deletes, part=OTHER_HOST))
            await index.refresh()
        # A read of all is due.
        await trio.sleep(LONGEST_S)
        await index.refresh()

    with structlog.testing.capture_logs() as lines:
        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    context.reported = [
        line for line in lines if line["event"] == "Job row is invalid; ignored."
    ]


@then("a bad row is reported {count:d} times")
def bad_reported(context, count):
    assert len(context.reported) == count, context.reported


# Processes.

GATEWAY_HOSTS = (JOBS[0], "second.example")
GATEWAY_JOB = "job-1"
GATEWAY_ITEMS = (5, 8)
RUNNING_S = 1.0


def bodies(host, count):
    return [f"{host} {number}" for number in range(count)]


@given("two hosts take jobs")
def two_hosts(context):
    (batch,) = [r for r in context.fleet.config["routes"] if r["name"] == "r-jobs"]
    second = batch | {"name": "r-second", "hostname": GATEWAY_HOSTS[1]}
    routes = [*context.fleet.config["routes"], second]
    context.fleet.run(lambda: context.fleet.apply_config(routes=routes))


def submit_at(context, gateway, host, count):
    """Submits a job, again until the gateway knows the host's route."""

    async def accepted():
        answer = await context.fleet.submit(
            gateway, GATEWAY_JOB, bodies(host, count), host=host
        )
        return answer.status == 202

    context.fleet.run(until, f"{host} takes a job", accepted)


async def end_second(system):
    path = f"/v1/lots/{GATEWAY_JOB}"
    answer = await system.call("gateway-2", "DELETE", GATEWAY_HOSTS[1], path)
    assert answer.status == 200, answer


async def kill_first(system):
    system.processes["gateway-1"].kill()


async def lose_lease(system):
    """The store turns the first gateway away, so that others take its jobs over."""
    await system.control("store", cut_zones=["gateway-1"])


HAPPENS = {
    "the second is ended while both run": end_second,
    "the gateway that runs both is killed": kill_first,
    "the store turns away the gateway that runs both": lose_lease,
}


@when("each host gets a job of one id, and {what}")
def each_gets(context, what):
    gateways = ("gateway-1", "gateway-1")
    if what == "each comes to a gateway of its own":
        gateways = ("gateway-1", "gateway-2")
    for gateway, host, count in zip(
        gateways, GATEWAY_HOSTS, GATEWAY_ITEMS, strict=True
    ):
        submit_at(context, gateway, host, count)
    time.sleep(RUNNING_S)
    context.whole = dict(zip(GATEWAY_HOSTS, GATEWAY_ITEMS, strict=True))
    if what in HAPPENS:
        context.fleet.run(HAPPENS[what], context.fleet)
    if "is ended" in what:
        del context.whole[GATEWAY_HOSTS[1]]


@then("each job that was not ended is listed whole, with its own texts")
def listed_with_own(context):
    for host, count in context.whole.items():
        results = context.fleet.run(
            lambda host=host: context.fleet.whole_job(
                "gateway-3", GATEWAY_JOB, host=host
            )
        )
        texts = {result["id"]: set(result["text"].split("\n")) for result in results}
        assert len(results) == count, results
        assert texts == {
            f"{GATEWAY_JOB}-item-{number}": {body}
            for number, body in enumerate(bodies(host, count))
        }, texts


# Log lines.

LOGGING = ("src/coppercleat/jobs", "src/coppercleat/gateway")
SUBJECTS = {"job", "item"}


def logging_calls():
    """Yields the place of each call that logs of a job or an item, and its fields."""
    for folder in LOGGING:
        for path in pathlib.Path(folder).glob("*.py"):
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
                if isinstance(node, ast.Call) and is_sentence(node.args):
                    fields = {keyword.arg for keyword in node.keywords}
                    if fields & SUBJECTS:
                        yield f"{path}:{node.lineno}", fields


def is_sentence(arguments):
    """Whether arguments are those of a log line: a sentence first."""
    first = arguments[0] if arguments else None
    return isinstance(first, ast.Constant) and str(first.value).endswith(".")


@then("each line of jobs and gateways that names a job or an item names its host")
def lines_name_host(context):
    calls = dict(logging_calls())
    assert len(calls) > 15, calls
    unnamed = [place for place, fields in calls.items() if "host" not in fields]
    assert not unnamed, unnamed


def lines_of(letter, host, item):
    """Returns a line of a job, and one of its item."""
    of_job = {"event": f"{letter}2", "job": ID, "host": host, "timestamp": letter}
    return [of_job | {"event": f"{letter}1", "item": item}, of_job]


def without_host(events):
    return [{k: v for k, v in event.items() if k != "host"} for event in events]


ASKED = "item-1"
LINES = {
    "have one, in jobs of one id": [
        *lines_of("a", HOST, ASKED),
        *lines_of("b", OTHER_HOST, ASKED),
    ],
    "have one, in jobs of one id, lines of other ids": [
        *lines_of("a", HOST, ASKED),
        *lines_of("b", OTHER_HOST, ASKED),
        {"event": "c", "job": "other", "host": HOST},
    ],
    "do not have one, but jobs of one id": [
        *lines_of("a", HOST, ASKED),
        *lines_of("b", OTHER_HOST, "item-2"),
    ],
    "do not have one, but jobs of one id, logged before": [
        *lines_of("a", HOST, ASKED),
        *without_host(lines_of("b", OTHER_HOST, "item-2")),
    ],
}


@when("it is asked what lines tell of an item, of whose id two hosts {state}")
def ask_lines(context, state):
    lines = [json.dumps(event) for event in LINES[state]]
    context.found = [event["event"] for event in lines_about(ASKED, lines)]


@then("the lines found are {events}")
def lines_found(context, events):
    assert context.found == events.split(), context.found


# Stalled jobs.


@when("two jobs of one id are stalled for {seconds:d} s")
def are_stalled(context, seconds):
    known = [StoredJob(row_of(ref), version) for version, ref in enumerate(ITEMS, 1)]
    stalled_jobs = StalledJobs()
    context.reported = []
    for now in range(seconds + 1):
        found = stalled_jobs.find_due(
            known, should_report=lambda job: True, now=float(now)
        )
        context.reported += [stored.row.host for stored, _ in found]


@then("each of them is reported {count:d} times")
def each_reported(context, count):
    assert sorted(context.reported) == sorted([HOST, OTHER_HOST] * count), (
        context.reported
    )
