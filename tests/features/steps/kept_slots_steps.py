"""Courses in which slots seem taken, or upstreams are barred for a request."""

import contextlib
import random

import msgspec
import trio

from coppercleat.ids import InstanceId, RequestId, Revision, UpstreamId, ZoneId
from coppercleat.membership import EnvelopeWriter, Heartbeat, MemberLine
from coppercleat.serving import (
    Admission,
    AdmissionQueue,
    Forwarder,
    InFlight,
    LoadProber,
    NextStep,
    OnlineRequest,
    UpstreamCallError,
    UpstreamNotListeningError,
    UpstreamReport,
    UpstreamResponse,
    WorkInFlight,
    ZoneWorkInFlight,
)
from coppercleat.upstreams import AttemptState
from tests.harness import (
    NEVER,
    Door,
    course,
    first_moment,
    free_port,
    in_no_time,
    item_may_go,
    make_peers,
    make_placement,
    make_route,
)

ITEM, ONLINE, EIGHTH = "an item", "an online request", "the last of 8 requests"
FIFTH = "the last of 5 requests"
X = UpstreamId("x")


async def until_served(placement, clients):
    """Returns when the last of some clients has got its slot."""
    door = Door(placement)
    for number in range(clients):
        door.arrive(f"r{number}", trio.current_time())

    def all_served(now):
        door.look(now)
        return len(door.served_at) == clients

    return await first_moment(all_served)


async def until_item(placement):
    return await first_moment(lambda now: item_may_go(placement, now))


WORK = {
    ITEM: until_item,
    ONLINE: lambda placement: until_served(placement, 1),
    FIFTH: lambda placement: until_served(placement, 5),
    EIGHTH: lambda placement: until_served(placement, 8),
}


def slots_course(evidence, *works):
    """Registers a course in which something holds all slots of the only upstream."""

    def register(play):
        for work in works:

            @course(evidence, work)
            def course_of_work(work=work):
                return in_no_time(play, WORK[work])

        return play

    return register


# Runs that nobody tells of.


class NoReports:
    """A caller whose upstreams report so often, and then no more."""

    def __init__(self, reports=0):
        self.reports = reports

    async def report(self, upstream):
        self.reports -= 1
        if self.reports < 0:
            raise UpstreamCallError("it does not report")
        return UpstreamReport(running=8, waiting=0)


@slots_course("8 runs left unheard at an upstream without reports", ITEM, ONLINE)
async def left_unheard(until):
    placement = make_placement("x")
    load_prober = LoadProber(placement, NoReports(), rng=random.Random(1))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load_prober.run)
        await trio.sleep(3)
        for _ in range(8):
            load_prober.record_abandoned_attempt(placement.states[X], stalled=True)
        found = await until(placement)
        nursery.cancel_scope.cancel()
    return found


@slots_course("a start and the last report of an upstream, of 8 runs", ITEM, ONLINE)
async def report_at_start(until):
    placement = make_placement("x")
    load_prober = LoadProber(placement, NoReports(1), rng=random.Random(1))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load_prober.run)
        await trio.sleep(0.1)
        found = await until(placement)
        nursery.cancel_scope.cancel()
    return found


# What others have told.


class Told:
    """An instance that was told of 8 requests in flight by a peer or for a zone."""

    def __init__(self, *, teller, lives):
        self.peers = make_peers("me", "a", free_port(), free_port())
        self.zone = "a" if teller == "peer" else "b"
        self.lives = lives
        self.writers = {
            name: EnvelopeWriter(InstanceId(name), 1, key="fleet")
            for name in ("peer", "other")
        }
        counts = (InFlight(X, 8, 0),)
        self.work = WorkInFlight(counts)
        if teller == "zone":
            self.work = ZoneWorkInFlight(ZoneId("b"), counts)

    def beat(self, name, zone, number):
        place = ZoneId(zone)
        return MemberLine(InstanceId(name), "10.0.0.2:1", place, 1, number, Revision(0))

    async def hears(self, name, message):
        await self.peers.messenger.receive(self.writers[name].seal(message))

    async def tell(self):
        await self.hears("peer", Heartbeat(self.beat("peer", self.zone, 1), ()))
        await self.hears("peer", self.work)

    async def go_on(self):
        """Hears of the teller through another alone, if it lives."""
        for number in range(2, 300):
            await trio.sleep(0.5)
            passed_on = (self.beat("peer", self.zone, number),) if self.lives else ()
            heartbeat = Heartbeat(self.beat("other", "a", number), passed_on)
            await self.hears("other", heartbeat)
            self.peers.expire_stale_counts(trio.current_time())


def told_course(evidence, *works, teller, lives):
    @slots_course(evidence, *works)
    async def play(until):
        told = Told(teller=teller, lives=lives)
        async with trio.open_nursery() as nursery:
            await told.tell()
            nursery.start_soon(told.go_on)
            found = await until(told.peers.placement)
            nursery.cancel_scope.cancel()
        told.peers.messenger.links.close()
        return found


ALL_WORK = (ITEM, ONLINE, FIFTH, EIGHTH)
told_course("counts of a peer that has died", *ALL_WORK, teller="peer", lives=False)
told_course(
    "counts of a peer that lives and is not heard", *ALL_WORK, teller="peer", lives=True
)
told_course("counts of a zone that has died", *ALL_WORK, teller="zone", lives=False)
told_course(
    "counts of a zone that lives and is not heard", *ALL_WORK, teller="zone", lives=True
)


@slots_course("runs left unheard by a peer that is not heard since", ITEM)
async def unheard_by_peer(until):
    """The peer holds them for 5 s, and the last that it tells is that it does."""
    began = trio.current_time()
    told = Told(teller="peer", lives=True)
    load_prober = LoadProber(make_placement("x"), NoReports(), rng=random.Random(1))
    state = load_prober.placement.states[X]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load_prober.run)
        await trio.sleep(3)
        began = trio.current_time()
        for _ in range(8):
            load_prober.record_abandoned_attempt(state, stalled=True)
        while load_prober.placement.own_in_flight():
            told.work = WorkInFlight(tuple(load_prober.placement.own_in_flight()))
            await told.tell()
            await trio.sleep(0.1)
        nursery.start_soon(told.go_on)
        found = await until(told.peers.placement)
        nursery.cancel_scope.cancel()
    told.peers.messenger.links.close()
    return trio.current_time() - began if found < NEVER else NEVER


# Upstreams that a request has been to.


class Recovering:
    """Upstream x takes no request before a moment; y takes any and says nothing."""

    def __init__(self, well_at, breaks):
        self.well_at = well_at
        self.breaks = breaks

    @contextlib.asynccontextmanager
    async def exchange(self, upstream, request, **options):
        if upstream.id != X:
            options["attempt"].move(AttemptState.SENT)
            await trio.sleep_forever()
        if trio.current_time() < self.well_at:
            if self.breaks:
                options["attempt"].move(AttemptState.SENT)
                options["attempt"].move(AttemptState.LOST)
                raise UpstreamCallError("cut", disconnected=True)
            raise UpstreamNotListeningError("refused")
        options["attempt"].move(AttemptState.SENT)

        async def body():
            yield b"id: 1\ndata: a\n\n"

        yield UpstreamResponse(
            status=200,
            headers=[],
            refused=False,
            wrong_upstream=False,
            authenticated=True,
            body=body(),
        )

    async def report(self, upstream):
        raise UpstreamCallError("it does not report")


class Reply:
    """Takes an answer, and when a refused client is to come again."""

    retry_after_s = 0.0

    async def start(self, status, headers):
        pass

    async def send(self, data):
        pass

    async def finish(self):
        pass

    async def abort(self):
        pass

    async def refuse(self, refusal):
        self.retry_after_s = refusal.retry_after_s


def barred_course(evidence, *, breaks, for_s=0.3):
    @course(evidence, ONLINE)
    def play():
        return in_no_time(answered_after, breaks, for_s)


async def answered_after(breaks, for_s):
    """Returns when a request was answered whose client comes again as it is told."""
    placement = make_placement("x", "y")
    placement.states[UpstreamId("y")].online = 8
    admission = Admission(
        AdmissionQueue(placement, rng=random.Random(1)),
        on_change=lambda state, started: None,
        on_queue_change=lambda: None,
    )
    caller = Recovering(trio.current_time() + for_s, breaks)
    forwarder = Forwarder(admission, caller, on_end=lambda end: None)
    route = msgspec.structs.replace(make_route("R"), prefix="/")
    began, step = trio.current_time(), None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(admission.run)
        nursery.start_soon(forwarder.stall_detector.run)
        while step is not NextStep.DONE:
            reply = Reply()
            step = await forwarder.forward(proper_request(), route, reply)
            await trio.sleep(0 if step is NextStep.DONE else reply.retry_after_s)
        nursery.cancel_scope.cancel()
    return trio.current_time() - began


def proper_request():
    return OnlineRequest(
        request_id=RequestId("r"),
        method="POST",
        host="ask.example",
        target=b"/x",
        headers=[],
        allowed_s=5.0,
    )


barred_course("a connection refused for 0.3 s while all else is full", breaks=False)
barred_course("a connection that broke while all else is full", breaks=True)
for for_s in (0.05, 0.8, 1.1):
    barred_course(
        f"a connection refused for {for_s:g} s while all else is full",
        breaks=False,
        for_s=for_s,
    )
    barred_course(
        f"connections that broke for {for_s:g} s while all else is full",
        breaks=True,
        for_s=for_s,
    )
