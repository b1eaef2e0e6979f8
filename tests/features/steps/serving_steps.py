"""Steps that ask decisions of the serving path and of jobs."""

import os
import random
import time

import msgspec
import structlog
import trio
import trio.testing
from behave import given, then, when

from coppercleat.errors import PlatformUnavailableError
from coppercleat.ids import InstanceId, JobId, JobRef, Revision, UpstreamId, ZoneId
from coppercleat.jobs import (
    FinishedItem,
    ItemDurationEstimator,
    ItemState,
    JobIndex,
    JobRow,
    JobRun,
    OverQuota,
    StoredJob,
    Superseded,
    Sweeper,
    next_candidates,
)
from coppercleat.membership import EnvelopeWriter, Heartbeat, MemberLine
from coppercleat.observability import LineBudget, LineOutput
from coppercleat.platform import HttpReply
from coppercleat.serving import (
    AttemptOutcome,
    EventStreamParser,
    ForwardedPart,
    InFlight,
    NoUpstreamAvailable,
    Placement,
    RecentResults,
    RequestProgress,
    StoreRates,
    Upstream,
    UpstreamList,
    Watch,
    WorkCounts,
    jobs_poll_interval_s,
    lease_s,
    renewal_interval_s,
    routes_poll_interval_s,
    upstreams_poll_interval_s,
)
from coppercleat.storage import AnswerLostError, Changes, MemoryPlatform
from tests.harness import (
    HOST,
    PREFIX,
    Relay,
    accept_job,
    free_port,
    make_peers,
    make_repository,
    make_route,
    make_worker,
    node_settings,
    roomy_upstream,
    submission,
)


def unescape(text):
    return text.replace("\\r", "\r").replace("\\n", "\n").encode()


@then("its events are {events} and {rest} is left over")
def split_events(context, events, rest):
    parts = context.scenario.name.partition("in parts ")[2].partition(" -- @")[0]
    splitter = EventStreamParser()
    found = []
    for part in parts.split(" / "):
        for event in splitter.feed(unescape(part)):
            data = event.data.decode().replace("\n", "+")
            found.append(f"{str(event.number).lower()}:{data}")
    assert " ".join(found) == events, found
    assert splitter.remainder == (b"" if rest == "-" else unescape(rest)), (
        splitter.remainder
    )


@then("the last step is {step}")
def last_step(context, step):
    words = context.scenario.name.partition(" -- @")[0].split()
    progress = RequestProgress(make_route(words[4]))
    for end in words[9:]:
        if end == "cut":
            progress.forwarded = ForwardedPart.EVENTS
        found = progress.next_step(AttemptOutcome(end))
    assert found.value == step, found


@then("the choice for {what} is {choice}")
def placed(context, what, choice):
    text = context.scenario.name.partition("among ")[2].partition(" -- @")[0]
    text, _, large = text.partition(" in a fleet")
    placement = Placement(ZoneId("a"), rng=random.Random(1))
    upstreams, peers = [], []
    for line in text.split():
        name, zone, _, _, online, batch, *flags = line.split(":")
        upstreams.append(
            Upstream(
                id=UpstreamId(name),
                service="menus",
                address=f"10.0.0.1:{len(upstreams)}",
                zone=ZoneId(zone),
                slots=8,
                draining="D" in flags,
            )
        )
        peers.append(InFlight(UpstreamId(name), int(online), int(batch)))
    placement.replace(upstreams)
    if large:
        placement.zones.observe(ZoneId("b"), peers)
    else:
        placement.peers.observe(InstanceId("peer"), peers)
    for line in text.split():
        name, _, online, batch, _, _, *flags = line.split(":")
        state = placement.states[UpstreamId(name)]
        state.online, state.batch = int(online), int(batch)
        state.gone = "G" in flags
        if "E" in flags:
            state.breaker.unreachable(0.0)
        for _ in range(2 if "F" in flags else 0):
            state.results.observe(failed=True, now=0.0)
    if what == "online":
        found = placement.choose_online("menus", tried=(), now=0.0)
    else:
        found = placement.choose_batch(make_route(), reserve=1, avoid=(), now=0.0)
    assert (
        "nowhere" if isinstance(found, NoUpstreamAvailable) else found.id
    ) == choice, found


@then('this instance "{name}" of zone "{zone}" cuts next: {cuts}')
def who_cuts(context, name, zone, cuts):
    words = context.scenario.name.partition(" -- @")[0].replace(",", "").split()
    own = int(words[words.index("own") - 1])
    of_peers = words[words.index("items") + 1 : words.index("peers") - 1]
    of_zones = words[words.index("peers") + 1 : words.index("zones") - 1]
    placement = Placement(ZoneId(zone), rng=random.Random(1))
    placement.replace([roomy_upstream("x")])
    for counts, told in ((placement.peers, of_peers), (placement.zones, of_zones)):
        for word in told:
            teller, _, items = word.partition(":")
            if items:
                counts.observe(teller, [InFlight(UpstreamId("x"), 0, int(items))])
    state = placement.states[UpstreamId("x")]
    state.batch = own
    assert placement.should_preempt(state, InstanceId(name)) == (cuts == "yes")


@then("{steps:d} random reports and departures leave the sums as counted anew")
def sums_hold(context, steps):
    rng = random.Random(1)
    counts, told = WorkCounts(), {}
    for _ in range(steps):
        teller = rng.choice("abcd")
        if rng.random() < 0.2:
            counts.forget(teller)
            told.pop(teller, None)
        else:
            told[teller] = [
                InFlight(UpstreamId(u), *(rng.randrange(3) for _ in range(3)))
                for u in rng.sample("xyz", rng.randrange(4))
            ]
            counts.observe(teller, told[teller])
        for upstream in "xyz":
            of_upstream = [
                c for t in told.values() for c in t if c.upstream == upstream
            ]
            assert counts.online(upstream) == sum(c.online for c in of_upstream)
            assert counts.batch(upstream) == sum(c.batch for c in of_upstream)
            suspects = sum(c.crash_suspects for c in of_upstream)
            assert counts.crash_suspects(upstream) == suspects
    assert sorted(counts.reporters()) == sorted(told)


def upstreams_named(names):
    return [
        Upstream(
            id=UpstreamId(name),
            service="menus",
            address=f"{name}:1",
            zone=ZoneId("a"),
        )
        for name in names.split()
    ]


@given("a list of upstreams {names}")
def list_has(context, names):
    context.now = 0.0
    context.list = UpstreamList()
    context.list.observe(upstreams_named(names), after_outage=False, now=0.0)


@when("{seconds:d} s pass {how}, and then {names} are listed")
def list_later(context, seconds, how, names):
    context.now += seconds
    context.used = context.list.observe(
        upstreams_named(names), after_outage="outage" in how, now=context.now
    )


@then("{names} are used")
def are_used(context, names):
    assert sorted(u.id for u in context.used) == names.split(), context.used


@then("after {more:d} s more with {names} the list is {last}")
def later_list(context, more, names, last):
    used = context.list.observe(
        upstreams_named(names), after_outage=False, now=context.now + more
    )
    assert sorted(u.id for u in used) == last.split(), used


# Jobs.


@when("{jobs:d} jobs are accepted side by side")
def accept_many(context, jobs):
    words = context.scenario.name.split()
    tokens, limit = int(words[5]), int(words[-3] if "--" in words else words[-1])
    repository = make_repository()
    context.accepted = []

    async def one(number):
        job = submission(f"job-{number}", 1, tokens=tokens)
        while True:
            try:
                context.accepted.append(await accept_job(repository, job, limit))
                return
            except Exception:  # noqa: BLE001 - too many at once: come again
                await trio.sleep(0)

    async def every():
        async with trio.open_nursery() as nursery:
            for number in range(jobs):
                nursery.start_soon(one, number)

    trio.run(every)


@then("{accepted:d} of them are accepted and the others refused as over quota")
def accepted_count(context, accepted):
    found = [a for a in context.accepted if isinstance(a, StoredJob)]
    others = [a for a in context.accepted if isinstance(a, OverQuota)]
    assert len(found) == accepted, context.accepted
    assert len(found) + len(others) == len(context.accepted)


class Losing(MemoryPlatform):
    """Loses the answer of every change that takes effect."""

    losing = False

    async def transact(self, transaction):
        answer = await super().transact(transaction)
        if self.losing:
            raise AnswerLostError("lost")
        return answer


@when("its items are committed two at a time with {trouble}")
def commit_all(context, trouble):
    count = int(context.scenario.name.split()[3])
    platform = Losing()
    repository = make_repository(platform)
    text = b"w" * 120_000 if trouble == "long texts" else b"word"

    async def run():
        stored = await accept_job(repository, submission("job", count))
        done = [
            FinishedItem(index=i, item=f"job-{i}", state=ItemState.COMPLETED, text=text)
            for i in range(count)
        ]
        platform.losing = trouble == "every answer lost"
        while done:
            if trouble == "another owner between":
                taken = await repository.set_owner(stored, owner="other/1")
                assert isinstance(taken, StoredJob)
                stored, stale = taken, stored
                refused = await repository.commit(stale, done[:2], {})
                assert isinstance(refused, Superseded)
            try:
                answer = await repository.commit(stored, done[:2], {})
            except AnswerLostError:
                platform.losing = False
                answer = await repository.commit(stored, done[:2], {})
                assert isinstance(answer, Superseded), "applied twice"
                stored = answer.stored
                platform.losing = True
            else:
                stored = answer
            listed = set(stored.row.listed)
            done = [item for item in done if item.index not in listed]
        context.results = []
        while len(context.results) < count:
            after = len(context.results)
            page = await repository.results(HOST, JobId("job"), count, after=after)
            assert page.results and page.next == after + len(page.results), page
            context.results += page.results
        context.row = stored.row

    trio.run(run)
    context.item_text, context.count = text, count


@then("every item stands once in the results, in the order of its commit")
def all_listed(context):
    assert context.row.listed == tuple(range(context.count))
    names = [result.item for result in context.results]
    assert names == [f"job-{i}" for i in range(context.count)], names
    assert all(result.text == context.item_text for result in context.results)


@then("a job of {count:d} items of {size:d} bytes has {place} and reads back")
def input_kept(context, count, size, place):
    async def run():
        repository = make_repository()
        job = submission("job", count, body=b"b" * size, tokens=10)
        stored = await accept_job(repository, job)
        assert bool(stored.row.input_object) == (place == "an object"), stored.row
        assert await repository.items(stored.row) == job.items
        assert await accept_job(repository, job) == stored
        objects = repository.platform.objects
        assert len(objects) == bool(stored.row.input_object), "a resend left an object"

    trio.run(run)


# Logs.


@then("{written:d} lines are written and the next window tells of {left_out:d}")
def budgeted(context, written, left_out):
    events = int(context.scenario.name.split()[0])
    now = 0.0
    budget = LineBudget(lambda: now, lines=3)
    passed = 0
    for _ in range(events):
        try:
            budget(None, "info", {"part": "p"})
            passed += 1
        except structlog.DropEvent:
            pass
    assert passed == written, passed
    now = 1.5
    told = budget(None, "info", {"part": "p"}).get("left_out_before", 0)
    assert told == left_out, told


@then("{lines:d} lines to a full pipe return at once and are counted")
def never_waits(context, lines):
    reader, writer = os.pipe()
    output = LineOutput(writer)
    began = time.monotonic()
    for _ in range(lines):
        output.msg("x" * 100)
    assert time.monotonic() - began < 5
    assert output.left_out > lines / 2, output.left_out
    os.close(reader)
    os.close(writer)


@when("an answer is given in a scope that is cancelled")
def answer_in_cancelled_scope(context):
    context.sent = []

    async def send(message):
        # As an ASGI server does: it waits for the socket, then counts as sent.
        await trio.lowlevel.checkpoint()
        context.sent.append(message["type"])

    async def run():
        reply = HttpReply(send, closing=lambda: False)
        with trio.CancelScope() as scope:
            scope.cancel()
            await reply.start(200, [])
            await reply.send(b"data")
            await reply.finish()

    trio.run(run)


@then("head, body and end have been sent, in order")
def sent_whole(context):
    head, body = "http.response.start", "http.response.body"
    assert context.sent == [head, body, body], context.sent


@then("an item with {made:d} events made is taken to need {least:g} to {most:g} s more")
def needs(context, made, least, most):
    length, times = context.scenario.name.split()[2].split("x")
    pace = ItemDurationEstimator()
    for _ in range(int(times)):
        pace.observe_attempt(events=int(length), seconds=int(length) * 0.02)
        pace.observe_item(events=int(length))
    found = pace.seconds_left(made)
    assert least <= found <= most, found


@when(
    "a job of {count:d} items of {size:d} bytes was accepted "
    "{ago:d} s ago and is {state}"
)
def old_job(context, count, size, ago, state):
    context.platform = MemoryPlatform()

    async def run():
        repository = make_repository(context.platform)
        job = submission("job", count, body=b"b" * size, tokens=10)
        stored = await accept_job(repository, job, limit=10_000)
        assert isinstance(stored, StoredJob), stored
        done = [
            FinishedItem(index=i, item=f"job-{i}", state=ItemState.COMPLETED, text=b"x")
            for i in range(count if state == "done" else 1)
        ]
        stored = await repository.commit(stored, done, {})
        if state == "ended":
            await repository.cancel(HOST, JobId("job"))
        job_index = JobIndex(context.platform)
        await job_index.refresh()
        sweeper = Sweeper(
            context.platform,
            job_index,
            keep_s=120.0,
            clock=lambda: float(ago),
            owner="me/1",
            live_instances=lambda: ["me/1"],
            quota_prefix_of=lambda host, path: PREFIX,
        )
        with trio.move_on_after(6):
            await sweeper.run()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then(
    "after a sweep {left} rows and objects of it are left, "
    "and {tokens:d} tokens in use by the quota"
)
def swept(context, left, tokens):
    rows = context.platform.rows
    of_job = [key for key in rows if "quota/" not in key]
    assert bool(of_job) == (left == "all"), of_job
    assert left == "all" or not context.platform.objects, context.platform.objects
    (quota,) = [row for key, row in rows.items() if "quota/" in key]
    assert msgspec.json.decode(quota.value)["accepted_tokens"] == tokens, quota


@then("the turns are {turns}")
def turns_are(context, turns):
    text = context.scenario.name.partition("among ")[2].partition(" -- @")[0]
    runs = []
    for line in text.split():
        name, due, made = line.split(":")
        row = JobRow(
            job=JobId(name),
            host=HOST,
            path=PREFIX,
            tokens=(1,) * len(made.split(",")),
            accepted_at=0.0,
            due_at=float(due),
            expires_at=60.0,
        )
        specs = submission(name, row.total).items
        run = JobRun(StoredJob(row, 1), specs, {})
        for item, events in zip(run.pending, made.split(","), strict=True):
            item.events = [b"x"] * int(events)
        runs.append((run, make_route()))
    found = next_candidates(
        runs,
        seconds_left=lambda item: 4.0 - len(item.events) * 0.02,
        now=0.0,
        wall=0.0,
    )
    assert " ".join(turn.item.spec.id for turn in found) == turns, found


@when("a worker with a job of {count:d} items {hears} after 1 s")
def worker_hears(context, count, hears):
    async def run():
        platform = MemoryPlatform()
        repository, job_index = make_repository(platform), JobIndex(platform)
        cut_off = "neither" in hears
        began = trio.current_time()

        def cut():
            return cut_off and trio.current_time() - began >= 1.0

        worker = make_worker(repository, job_index, cut=cut)
        placement = worker.items.placement
        with trio.move_on_after(2):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(worker.run)
                await trio.sleep(0.1)
                stored = await accept_job(repository, submission("job", count))
                worker.start_accepted_job(stored)
                await trio.sleep(1.8)
                context.running = placement.states[UpstreamId("x")].batch
                nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then("after 2 s {running:d} of its items run")
def items_running(context, running):
    assert context.running == running, context.running


class Leaving(MemoryPlatform):
    """Is away while ``away`` is set."""

    away = False

    async def scan(self, prefix, **options):
        if self.away:
            raise PlatformUnavailableError("away")
        return await super().scan(prefix, **options)

    async def transact(self, transaction):
        if self.away:
            raise PlatformUnavailableError("away")
        return await super().transact(transaction)


class NoCatalogue:
    """Knows nothing."""

    async def read_routes(self, *, full=True):
        return None

    async def read_upstreams(self, *, full=True):
        return []


def make_watch(name, platform):
    settings = node_settings(name, "a")
    rng = random.Random(name)
    placement = Placement(ZoneId("a"), rng=rng)
    return Watch(settings, NoCatalogue(), platform, placement, boot="b", rng=rng)


@when(
    "two instances watch, and the store is away for {away:d} s while one {does}",
)
def watch_through_outage(context, away, does):
    async def run():
        platform = Leaving()
        watcher, other = make_watch("w", platform), make_watch("o", platform)
        context.alive = []
        async with trio.open_nursery() as nursery:
            others = trio.CancelScope()

            async def run_other():
                with others:
                    await other.run()

            nursery.start_soon(watcher.run)
            nursery.start_soon(run_other)
            await trio.sleep(4)
            platform.away = True
            if does == "dies":
                others.cancel()
            await trio.sleep(away)
            platform.away = False
            for _ in range(70):
                await trio.sleep(0.1)
                lives = watcher.is_owner_alive(other.owner_name, since=0.0)
                context.alive.append(lives)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then("the other takes it as {taken}")
def taken_as(context, taken):
    if taken.startswith("alive"):
        assert all(context.alive), context.alive
    else:
        assert not context.alive[59], context.alive


class Forgetful(MemoryPlatform):
    """Shows no changes of one moment, and says that there were none."""

    async def changes(self, space, *, after):
        return Changes((), self.last_version)


@when("a job is accepted while the changes show nothing")
def accept_unseen(context):
    async def run():
        platform = Forgetful()
        job_index = JobIndex(platform)
        await job_index.refresh()
        await accept_job(make_repository(platform), submission("job", 3))
        with trio.move_on_after(10):
            while job_index.get(JobRef(HOST, JobId("job"))) is None:
                await trio.sleep(0.4)
                await job_index.refresh()
        context.known = job_index.get(JobRef(HOST, JobId("job")))

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then("an index that has been read before knows it within 10 s")
def board_knows(context):
    assert context.known is not None


@when("an upstream that is tried whenever it may be is unreachable for {cut:d} s")
def unreachable_for(context, cut):
    placement = Placement(ZoneId("a"), rng=random.Random(1))
    placement.replace([roomy_upstream("x")])
    breaker = placement.states[UpstreamId("x")].breaker
    now = 0.0
    while now < cut:
        if breaker.allows_request(now):
            breaker.started()
            breaker.unreachable(now)
        now += 0.1
    while not breaker.allows_request(now):
        now += 0.1
    context.back_after = now - cut


@then("it is used again at most {seconds:d} s later")
def used_again(context, seconds):
    assert context.back_after <= seconds + 0.1, context.back_after


async def until_load(peers, wanted):
    """Waits until all see so many requests in flight; returns what they see."""
    with trio.move_on_after(8):
        while True:
            seen = {
                p.placement.load(p.placement.states[UpstreamId("x")]) for p in peers
            }
            if seen == {wanted}:
                return seen
            await trio.sleep(0.05)
    return seen


@when(
    "{count:d} instances listen to each other, and one starts 3 requests and ends them"
)
def peers_listen(context, count):
    ports = [free_port() for _ in range(count)]
    context.seen = {}

    async def run():
        peers = [
            make_peers(f"i{n}", "ab"[n % 2], port, ports[0])
            for n, port in enumerate(ports)
        ]
        async with trio.open_nursery() as nursery:
            one = trio.CancelScope()

            async def run_one():
                with one:
                    await peers[0].run()

            nursery.start_soon(run_one)
            for other in peers[1:]:
                nursery.start_soon(other.run)
            with trio.move_on_after(10):
                while any(len(p.live_peers()) < count - 1 for p in peers):
                    await trio.sleep(0.05)
            state = peers[0].placement.states[UpstreamId("x")]
            for what, online in (("started", 3), ("ended", 0), ("again", 2)):
                state.online = online
                peers[0].work_changed(urgent=online > 0)
                context.seen[what] = (await until_load(peers, online), online)
            one.cancel()
            context.seen["silent"] = (await until_load(peers[1:], 0), 0)
            nursery.cancel_scope.cancel()

    trio.run(run)


@then(
    "all the others knew of them and know of their end, and of a peer that fell silent"
)
def all_knew(context):
    for what, (seen, wanted) in context.seen.items():
        assert seen == {wanted}, (what, seen)


@given(
    "bounds of {apply:g} s for changes, {drain:g} s for leaving upstreams, "
    "{cancel:g} s for ended jobs"
)
def bounds_given(context, apply, drain, cancel):
    context.bounds = {"apply_s": apply, "drain_s": drain, "cancel_s": cancel}


@given("a store of {reads:g} reads and {writes:g} writes a second")
def rates_given(context, reads, writes):
    context.instances = int(context.scenario.name.split()[0])
    store = StoreRates(reads_per_s=reads, writes_per_s=writes)
    own = node_settings("i", "a")
    context.settings = msgspec.structs.replace(own, store=store, **context.bounds)


@then(
    "they read routes every {routes:g}, upstreams every {upstreams:g}, "
    "jobs every {jobs:g} s"
)
def read_pauses(context, routes, upstreams, jobs):
    asked = context.settings, context.instances
    pauses = (
        routes_poll_interval_s(*asked),
        upstreams_poll_interval_s(*asked),
        jobs_poll_interval_s(*asked),
    )
    found = [round(pause, 6) for pause in pauses]
    assert found == [routes, upstreams, jobs], found


@then("they renew every {renew:g} s and count as gone after {lease:g} s")
def renewals(context, renew, lease):
    asked = context.settings, context.instances
    assert (renewal_interval_s(*asked), lease_s(*asked)) == (renew, lease)


@then(
    "all of them together leave half of the writes and a fifth of the reads to others"
)
def within_rates(context):
    asked = context.settings, context.instances
    pauses = (
        routes_poll_interval_s(*asked),
        upstreams_poll_interval_s(*asked),
        jobs_poll_interval_s(*asked),
    )
    renewal_s = renewal_interval_s(*asked)
    reads = sum(context.instances / pause for pause in (*pauses, renewal_s))
    store = context.settings.store
    assert reads <= store.reads_per_s * 0.8, reads
    assert context.instances / renewal_s <= store.writes_per_s / 2


@given("two instances that tell each other of work in flight, through relays")
def two_behind_relays(context):
    ports = [free_port(), free_port()]
    context.relays = [Relay(port) for port in ports]
    context.ports = ports


@when("the open connections {way} fall silent, while new ones work")
def links_fall_silent(context, way):
    context.known_after = {}

    async def run():
        pair = [make_peers(f"i{n}", "a", context.ports[n], 1) for n in (0, 1)]
        for n, peers in enumerate(pair):
            other = InstanceId(f"i{1 - n}")
            address = f"127.0.0.1:{context.relays[1 - n].port}"
            peers.observe_list([(other, address, ZoneId("a"))])
        states = [peers.placement.states[UpstreamId("x")] for peers in pair]
        async with trio.open_nursery() as nursery:
            for part in (*context.relays, *pair):
                nursery.start_soon(part.run)
            states[0].online, states[1].online = 1, 1
            assert await until_load(pair, 2) == {2}
            for relay in context.relays if way == "both ways" else context.relays[:1]:
                relay.fall_silent()
            began = trio.current_time()
            states[0].online, states[1].online = 4, 4
            with trio.move_on_after(20):
                while await until_load(pair, 8) != {8}:
                    pass
            context.known_after = trio.current_time() - began
            nursery.cancel_scope.cancel()

    trio.run(run)


@then("each knows of the other's new work within {within:g} s")
def new_work_known(context, within):
    assert context.known_after <= within, context.known_after


@then("after {later:g} s more it is {taken}")
def taken_for(context, later, taken):
    ends = context.scenario.name.split()[5].rstrip(",")
    results, now = RecentResults(), 100.0
    for end in ends:
        now += 0.5
        results.observe(failed=end == "f", now=now)
    assert results.suspect(now + later) == (taken == "suspect")
    assert results.take_unreported() == (ends.count("w"), ends.count("f"))
    assert results.take_unreported() == (0, 0)


@when("3 requests are in flight at an instance for {later:g} s and another starts")
def another_starts(context, later):
    ports = [free_port(), free_port()]
    context.loads = []

    async def run():
        first, other = (make_peers(f"i{n}", "a", ports[n], ports[0]) for n in (0, 1))
        first.placement.states[UpstreamId("x")].online = 3
        state = other.placement.states[UpstreamId("x")]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(first.run)
            first.work_changed(urgent=True)
            await trio.sleep(later)
            nursery.start_soon(other.run)
            began = trio.current_time()
            while trio.current_time() - began < 1.9:
                await trio.sleep(0.02)
                load = other.placement.load(state)
                context.loads.append((trio.current_time() - began, load))
            nursery.cancel_scope.cancel()

    trio.run(run)


@then("the other knows of them within {within:g} s and for the next {more:g} s")
def known_soon(context, within, more):
    late = [load for at, load in context.loads if within <= at <= within + more]
    assert late and set(late) == {3}, context.loads


@when(
    "{count:d} instances start together, each with 1 request in flight, "
    "and read who is listed"
)
def start_together(context, count):
    ports = [free_port() for _ in range(count)]

    async def run():
        peers = [
            make_peers(f"i{n}", "ab"[n % 2], port, ports[0])
            for n, port in enumerate(ports)
        ]
        listed = [
            (InstanceId(f"i{n}"), f"127.0.0.1:{port}", ZoneId("ab"[n % 2]))
            for n, port in enumerate(ports)
        ]
        async with trio.open_nursery() as nursery:
            for one in peers:
                one.placement.states[UpstreamId("x")].online = 1
                nursery.start_soon(one.run)
            began = trio.current_time()
            for one in peers:
                one.observe_list(listed)
            context.all_known = await until_load(peers, count)
            context.known_after = trio.current_time() - began
            nursery.cancel_scope.cancel()

    trio.run(run)


@then("each knows of all {count:d} requests within {within:g} s")
def all_known(context, count, within):
    assert context.all_known == {count}, context.all_known
    assert context.known_after <= within, context.known_after


def beat_of(name, incarnation, beat):
    line = MemberLine(
        InstanceId(name), "127.0.0.1:1", ZoneId("a"), incarnation, beat, Revision(0)
    )
    return line, Heartbeat(line, ())


@when("an instance hears of a peer from another, and then two beats of the peer itself")
def hears_of_peer(context):
    async def run():
        one = make_peers("me", "a", free_port(), free_port())
        sent = []
        one.messenger.send = lambda instance, message, **_: sent.append(
            (instance, message)
        )
        told_by = {}

        async def hears(heartbeat):
            line = heartbeat.own
            writer = EnvelopeWriter(line.instance, line.incarnation, key="fleet")
            await one.messenger.receive(writer.seal(heartbeat))

        line, _ = beat_of("peer", 1, 1)
        other, _ = beat_of("other", 1, 1)
        await hears(Heartbeat(other, (line,)))
        for name, (incarnation, beat) in {
            "first": (1, 2),
            "second": (1, 3),
            "restarted": (2, 1),
        }.items():
            sent.clear()
            _, heartbeat = beat_of("peer", incarnation, beat)
            await hears(heartbeat)
            told_by[name] = [i for i, m in sent if i == "peer"]
        one.messenger.links.close()
        return told_by

    context.told_by = trio.run(run)


@then(
    "it tells that peer of its work at the first of them, and after a new start again"
)
def told_at_first(context):
    expected = {"first": ["peer"], "second": [], "restarted": ["peer"]}
    assert context.told_by == expected, context.told_by
