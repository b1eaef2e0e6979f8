"""Steps that ask pure decisions; every clock is a number."""

import random
import re

from behave import given, then, when
from hypothesis import given as forall
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from coppercleat.batch import (
    DISPATCH_POLICIES,
    ChallengeTracker,
    ClaimScheduler,
    Division,
    ItemLineDecoder,
    JobRow,
    OpenJob,
    Progress,
    UpstreamUsage,
    divide,
    forecast,
)
from coppercleat.configuration import Change, Document, Kind, Snapshot, decode_body
from coppercleat.errors import CoppercleatError
from coppercleat.limits import (
    AdmissionController,
    AdmissionRequest,
    Admitted,
    RetryBudget,
    TenantLimiter,
    TenantLimits,
)
from coppercleat.membership import (
    Detector,
    EnvelopeReader,
    EnvelopeWriter,
    Heartbeat,
    JobHint,
    MemberLine,
)
from coppercleat.routing import (
    CircuitBreaker,
    NoUpstream,
    RoutingRequest,
    UpstreamRecord,
    assign_batch_dispatchers,
    choose_upstream,
)
from coppercleat.settings import parse_settings
from coppercleat.storage import Node, NodeRole
from coppercleat.upstreams import Attempt, AttemptState, EventParser, LoadReport

KEY = "a key that only tests know"


@given("upstreams {upstreams}")
def upstreams(context, upstreams):
    context.records = []
    for text in upstreams.split() if upstreams != "-" else ():
        name, zone, online, batch, *flags = text.split(":")
        node = Node(
            id=name,
            role=NodeRole.ENGINE,
            zone=zone,
            region="r",
            address="",
            service="s",
        )
        record = UpstreamRecord(node=node, first_seen=-100, online=int(online))
        record.batch = int(batch)
        record.draining = "L" in flags
        versions = ["v2"] if "N" in flags else ["v1"]
        record.observe_report(LoadReport(versions=versions), 0.0)
        for _ in range(3 * ("E" in flags)):
            record.breaker.failed(0.0)
        context.records.append(record)


@when('one is chosen in zone "{zone}" for version "{version}"')
def choose_one(context, zone, version):
    wanted = RoutingRequest(service="s", version=version)
    context.choice = choose_upstream(
        wanted, context.records, zone=zone, now=0.1, rng=random.Random(1)
    )


@then("the choice is {choice}")
def the_choice(context, choice):
    if isinstance(context.choice, NoUpstream):
        assert choice.startswith("none: "), context.choice
        assert choice.removeprefix("none: ") in context.choice.reason, context.choice
    else:
        assert context.choice.record.upstream == choice, context.choice


@then("the breaker is {state} and lets {lets} through")
def breaker(context, state, lets):
    breaker, now = CircuitBreaker(), 0.0
    for event in events_of(context):
        if event.startswith("w"):
            now += float(event[1:])
        else:
            breaker.allows_request(now)
            if event == "f":
                breaker.failed(now)
            else:
                {"s": breaker.succeeded, "t": breaker.started}[event]()
    may = breaker.allows_request(now)
    assert breaker.state.value == state, breaker.state
    assert may == (lets != "nothing")
    if lets == "one":
        breaker.started()
        assert not breaker.allows_request(now)


def events_of(context):
    """Returns the events column of the scenario's example row."""
    return context.active_outline["events"].split()


@then("admission says {answer}")
def admission(context, answer):
    row = context.active_outline
    door = AdmissionController(max_in_flight=10)
    door.in_flight = int(row["in_flight"])
    request = AdmissionRequest(
        tokens=int(row["tokens"]), remaining_s=float(row["allowed"])
    )
    decision = door.decide(request, first_token_s=0.2, inter_token_s=0.05, now=0.0)
    said = (
        "admitted"
        if isinstance(decision, Admitted)
        else f"refused, retry {decision.retry_after_s + 1e-9:.1f}"
    )
    assert said == answer, (said, decision)


@when("{count:d} requests come at once and again after a second")
def tenant_requests(context, count):
    row = context.active_outline
    limiter, limits = TenantLimiter(), TenantLimits(rate=float(row["rate"]))
    context.let_in = []
    for now in (0.0, 1.0):
        decisions = [
            limiter.try_acquire("t", limits, instances=int(row["instances"]), now=now)
            for _ in range(count)
        ]
        context.let_in.append(sum(isinstance(d, Admitted) for d in decisions))


@then("{first:d} are let in at first and {second:d} later")
def let_in(context, first, second):
    assert context.let_in == [first, second], context.let_in


@when("{count:d} first attempts are made with a budget of one in ten")
def attempts(context, count):
    context.budget = RetryBudget(ratio=0.1, now=0.0)
    while context.budget.grant(0.0):
        pass
    for _ in range(2 * count):
        context.budget.record_first_attempt()


@then("{first:d} retries are granted at once and {second:d} after a second")
def granted(context, first, second):
    for now, expected in ((0.0, first), (1.0, second)):
        got = 0
        while context.budget.grant(now):
            got += 1
        assert got == expected, got


@then("the attempt proves {outcome}, and cannot go on to {never}")
def attempt_proves(context, outcome, never):
    attempt = Attempt()
    for step in context.active_outline["path"].replace("-", "").split():
        attempt.move(AttemptState(step))
    assert attempt.outcome.value == outcome
    try:
        attempt.move(AttemptState(never))
    except ValueError:
        return
    raise AssertionError(f"it went on to {never}")


@then("its texts are {texts}, whatever its division")
def stream_texts(context, texts):
    data = context.active_outline["bytes"].replace(";;", "\n\n").encode()
    for size in (1, 2, 3, 7, len(data)):
        found = parse(data, size)
        if texts.startswith("error: "):
            assert found.startswith("error: "), found
            assert texts.removeprefix("error: ") in found, found
        else:
            assert found == texts, found


def parse(data, size):
    parser, texts = EventParser("r"), []
    try:
        for start in range(0, len(data), size):
            texts += parser.feed(data[start : start + size])
    except CoppercleatError as error:
        return f"error: {error}"
    return "".join(texts) + (", ended" if parser.ended else ", not ended")


def feed_events(data):
    EventParser("r").feed(data)


def open_envelope(data):
    reader = EnvelopeReader(keys=[KEY])
    sealed = EnvelopeWriter("x", 1, key=KEY).seal(JobHint("j"))
    reader.open(data)
    for cut in range(0, len(sealed), 5):
        reader.open(sealed[:cut] + data)


def feed_lines(data):
    lines = ItemLineDecoder()
    lines.feed(data)
    lines.finish()


def read_settings(data):
    parse_settings(data.decode("latin-1"), source="fuzz")


def read_body(data):
    for kind in Kind:
        decode_body(kind, "n", data)


DECODERS = {
    "event streams": feed_events,
    "peers' messages": open_envelope,
    "lines of a lot": feed_lines,
    "settings": read_settings,
    "entity bodies": read_body,
}


@then("no bytes make the decoder of {what} fail with anything but its refusal")
def fuzz(context, what):
    decode = DECODERS[what]
    pieces = [b"data: ", b"\n\n", b"\n", b'{"prompt":', b'"id"', b"}", b"[", b"\xff"]

    @hypothesis_settings(max_examples=300, deadline=None, derandomize=True)
    @forall(st.lists(st.sampled_from(pieces) | st.binary(max_size=20), max_size=12))
    def never_breaks(parts):
        try:
            decode(b"".join(parts))
        except CoppercleatError as error:
            assert error.remedy

    never_breaks()


@then("the holder {verdict}")
def holder(context, verdict):
    challenges, now, free = ChallengeTracker(response_timeout_s=2.5), 0.0, False
    for event in events_of(context):
        if event == "i":
            challenges.record_outage()
        elif event[0] == "w":
            now += float(event[1:])
        else:
            free = challenges.observe("h", int(event[1:]), now)
    assert free == (verdict == "may be taken over")


@when("a holder answers {count:d} challenges in a row")
def answers(context, count):
    challenges, now = ChallengeTracker(response_timeout_s=2.5), 0.0
    context.pauses = []
    for version in range(1, count + 1):
        challenges.observe("h", version, now)
        challenges.observe("h", 0, now)
        start = now
        while not challenges.may_challenge("h", now):
            now += 1.0
        context.pauses.append(int(now - start))


@then("it is left alone for {pauses} seconds")
def left_alone(context, pauses):
    assert context.pauses == [int(n) for n in re.findall(r"\d+", pauses)]


def detector(incarnation=5):
    own = MemberLine("me", "", "z", incarnation, 0, 0)
    return Detector(own, suspect_after_s=3.0, fanout=4, rng=random.Random(1))


def line(name, incarnation, beat):
    return MemberLine(name, "1.1.1.1:1", "z", incarnation, beat, 0)


@then('member "{name}" is thought {state}')
def thought(context, name, state):
    found, now = detector(), 0.0
    found.tick(now, revision=0)
    for event in events_of(context):
        if event[0] == "h":
            incarnation, beat = map(int, event[1:].split("."))
            found.observe(Heartbeat(line(name, incarnation, beat), ()), now)
        elif event[0] == "w":
            for _ in range(2 * int(event[1:])):
                now += 0.5
                found.tick(now, revision=0)
        elif event[0] == "s":
            now += float(event[1:])
            found.tick(now, revision=0)
            assert not found.paused
        else:
            now += int(event[1:])
            found.tick(now, revision=0)
            assert found.paused
    assert found.is_alive(name, now) == (state == "alive")


@when(
    "a peer remembers incarnation {remembered:d} of an instance"
    " that started as {started:d}"
)
def remembers(context, remembered, started):
    context.detector = detector(started)
    heard = (line("me", remembered, 3),)
    context.detector.observe(Heartbeat(line("x", 1, 1), heard), 0.0)


@then("its next heartbeat has incarnation {incarnation:d}")
def next_incarnation(context, incarnation):
    heartbeat, _ = context.detector.tick(1.0, revision=0)
    assert heartbeat.own.incarnation == incarnation


def change(revision):
    return Change(
        revision=revision, change_id="", author="", accepted_at=0, operations=()
    )


@then("it is at revision {revision:d}")
def at_revision(context, revision):
    document = Document()
    document.adopt_changes([change(n) for n in (1, 2, 3)])
    for word in context.active_outline["changes"].split():
        if word[0] == "s":
            document.adopt_snapshot(Snapshot(revision=int(word[1:]), entities=()))
        else:
            document.adopt_changes([change(int(word))])
    assert document.revision == revision, document.revision


@then("there are {segments:d} segments of {segment:d} items in chunks of {chunk:d}")
def division(context, segments, segment, chunk):
    row = context.active_outline
    found = divide(
        int(row["items"]),
        upstream_count=int(row["runners"]),
        chunk_items=512,
        segment_chunks=8,
    )
    assert (found.segments, found.segment_items, found.chunk_items) == (
        segments,
        segment,
        chunk,
    ), found
    covered = [
        index
        for number in range(found.segments)
        for part in range(found.chunks(number))
        for index in found.chunk_range(number, part)
    ]
    assert covered == list(range(found.items))


@then("it allows {limit:d} items")
def allows(context, limit):
    policy, now, allowed = (
        DISPATCH_POLICIES[context.active_outline["policy"]](),
        0.0,
        None,
    )
    for event in events_of(context):
        if event[0] == "w":
            now += int(event[1:]) / 1000
            continue
        view = UpstreamUsage(online=int(event[1:]), batch=0, max_concurrency=32)
        allowed = policy.limit(view, now)
    assert allowed == limit, allowed


@when("{count:d} upstreams in 3 zones are assigned to {instances:d} instances")
def assign(context, count, instances):
    zones = "abc"
    context.upstreams = [(f"u{i}", zones[i % 3]) for i in range(count)]
    context.alive = [(f"e{i}", zones[i % 3]) for i in range(instances)]
    context.assigned = assign_batch_dispatchers(context.upstreams, context.alive)


@then("no instance feeds more than {most:d}, and all in its own zone")
def evenly(context, most):
    feeders = list(context.assigned.values())
    assert len(feeders) == len(context.upstreams)
    assert max(feeders.count(name) for name in feeders) <= most
    where = dict(context.alive)
    for upstream, zone in context.upstreams:
        assert where[context.assigned[upstream]] == zone


@when("one instance dies")
def one_dies(context):
    context.before = dict(context.assigned)
    context.dead = context.alive.pop(0)
    context.assigned = assign_batch_dispatchers(context.upstreams, context.alive)


@then("only the upstreams of its zone change hands")
def little_moves(context):
    for upstream, zone in context.upstreams:
        if zone != context.dead[1]:
            assert context.assigned[upstream] == context.before[upstream]
    assert context.dead[0] not in context.assigned.values()


@when("a whole zone dies")
def zone_dies(context):
    context.alive = [(name, zone) for name, zone in context.alive if zone != "a"]
    context.assigned = assign_batch_dispatchers(context.upstreams, context.alive)


@then("its upstreams are fed from the other zones")
def fed_elsewhere(context):
    living = {name for name, _ in context.alive}
    assert set(context.assigned) == {upstream for upstream, _ in context.upstreams}
    assert set(context.assigned.values()) <= living


def job(name, *, items=100, due=0.0, tenant="t"):
    division = Division(items=items, segment_items=items, chunk_items=items)
    return JobRow(
        job=name,
        tenant=tenant,
        deployment="d",
        job_key="",
        content_hash="",
        due_at=due,
        max_tokens=1,
        division=division,
        accepted_at=0.0,
    )


@when("{turns:d} turns are taken among a large early job and a small late one")
def turns(context, turns):
    jobs = [
        OpenJob(job("small", due=20, tenant="s"), 1),
        OpenJob(job("large", items=670000, due=10, tenant="l"), 1),
    ]
    chooser, held = ClaimScheduler(), {}
    context.turns = []
    for _ in range(turns):
        first = chooser.order(jobs, held=held, weights={})[0].row
        held[first.tenant] = held.get(first.tenant, 0) + 1
        context.turns.append(first.job)


@then("the turns go to {names}")
def turns_go(context, names):
    assert context.turns == names.split(", "), context.turns


@then("it ends at {ends:d} and is {late}")
def ends(context, ends, late):
    row = context.active_outline
    progress = Progress(
        items_completed=int(row["completed"]),
        items_claimed=int(row["claimed"]),
        segments_done=0,
        unclaimed=[],
        held={},
    )
    found = forecast(job("j", due=float(row["due"])), progress, now=10.0)
    assert round(found.ends_at) == ends, found
    assert found.late == (late == "late"), found
