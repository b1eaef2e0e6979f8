"""Steps for links between instances that fall silent."""

import random
import types

import trio
import trio.testing
from behave import then, when

from coppercleat.ids import InstanceId, Revision, UpstreamId, ZoneId
from coppercleat.instance._peers import Peers as EntryPeers
from coppercleat.membership import (
    Detector,
    EnvelopeWriter,
    Heartbeat,
    MemberLine,
    MessageKind,
)
from coppercleat.observability import Metrics
from coppercleat.routing import PeerOnlineCounts
from coppercleat.serving import (
    InFlight,
    QueuedWork,
    Rank,
    WorkInFlight,
    ZoneWorkInFlight,
)
from tests.harness import (
    Relay,
    RelayedFleet,
    SimulatedLinks,
    free_port,
    make_peers,
)


@when(
    "of {count:d} instances the open connections fall silent {way}, {times:d} times, "
    "and each starts work {later:g} s later"
)
def fall_silent_and_work(context, count, way, times, later):
    context.known_after = []

    async def run():
        fleet = RelayedFleet(count)
        async with trio.open_nursery() as nursery:
            for part in (*fleet.relays.values(), *fleet.all):
                nursery.start_soon(part.run)
            fleet.start_work(1)
            assert await fleet.until_all_know(8) < 8
            for _ in range(times):
                await trio.sleep(1.0)
                fleet.fall_silent(way)
                await trio.sleep(later)
                fleet.start_work(1)
                context.known_after.append(await fleet.until_all_know(8))
            context.dropped = sum(peers.expired_counts for peers in fleet.all)
            context.reopened = sum(p.messenger.links.reopened for p in fleet.all)
            nursery.cancel_scope.cancel()

    trio.run(run)


@then("all know of all work within {within:g} s, and nobody's was dropped")
def all_work_known(context, within):
    assert max(context.known_after) <= within, context.known_after
    assert context.dropped == 0, context.dropped


async def watch_counts(context, fleet, seconds):
    """Notes for how long the others count what the first instance has in flight."""
    began = trio.current_time()
    state = fleet.all[0].placement.states[UpstreamId("x")]
    context.counted_s = {peers.settings.instance: 0.0 for peers in fleet.all[1:]}
    while trio.current_time() - began < seconds:
        for peers in fleet.all[1:]:
            own = peers.placement.states[state.id]
            others = sum(p.placement.states[state.id].online for p in fleet.all[1:])
            if peers.placement.load(own) == others + state.online:
                counted_s = trio.current_time() - began
                context.counted_s[peers.settings.instance] = counted_s
        await trio.sleep(0.01)
    context.watched_s = trio.current_time() - began


async def run_fleet(context, play):
    """Runs 4 instances with work, of which the first can be ended."""
    fleet, first = RelayedFleet(4), trio.CancelScope()
    context.dropped_at = {}
    for peers in fleet.all:
        told = context.dropped_at.setdefault(peers.settings.instance, [])
        peers.on_counts_expired = told.append

    async def run_first():
        with first:
            await fleet.all[0].run()

    async with trio.open_nursery() as nursery:
        for part in (*fleet.relays.values(), *fleet.all[1:]):
            nursery.start_soon(part.run)
        nursery.start_soon(run_first)
        fleet.start_work(1)
        assert await fleet.until_all_know(8) < 8
        await trio.sleep(1.0)
        await play(fleet, first)
        nursery.cancel_scope.cancel()


@when("nothing passes to or from one of 4 instances with work for {seconds:g} s")
def nothing_passes(context, seconds):
    async def play(fleet, first):
        before = sum(peers.messenger.links.reopened for peers in fleet.all)
        fleet.hold(0, True)
        fleet.start_work(1, first=1)
        await watch_counts(context, fleet, seconds)
        fleet.hold(0, False)
        fleet.start_work(1)
        dropped = sum(peers.expired_counts for peers in fleet.all)
        context.known_after = await fleet.until_all_know(8)
        await trio.sleep(1.0)
        context.dropped_later = sum(p.expired_counts for p in fleet.all) - dropped
        reopened = [peers.messenger.links.reopened for peers in fleet.all]
        # The first has three such links, each of the others one.
        context.reopened = (sum(reopened) - before) / 6

    trio.run(run_fleet, context, play)


@when("one of 4 instances with work is killed")
def killed(context):
    async def play(fleet, first):
        first.cancel()
        await watch_counts(context, fleet, 4)

    trio.run(run_fleet, context, play)


@then("the others count its work for {least:g} s at least and {most:g} s at most")
def counted_for(context, least, most):
    for counted_s in context.counted_s.values():
        assert least - 0.05 <= counted_s <= most + 0.05, context.counted_s


@then("a link is opened anew {most:d} times at most")
def no_storm(context, most):
    assert 1 <= context.reopened <= most, context.reopened


@then("all work is known {within:g} s after, and none was dropped that was told later")
def known_after(context, within):
    assert context.known_after <= within, context.known_after
    assert context.dropped_later == 0, context.dropped_later


@then("each is told at which upstreams it had work")
def told_where(context):
    for told in list(context.dropped_at.values())[1:]:
        assert told == [["x"]], context.dropped_at


def beat(name, zone, number):
    return MemberLine(
        InstanceId(name), "127.0.0.1:1", ZoneId(zone), 1, number, Revision(0)
    )


@when("a {teller} tells of work and of what waits there, and is heard {how} since")
def tells_no_more(context, teller, how):
    zone = "a" if teller == "peer" else "b"
    counts = (InFlight(UpstreamId("x"), 3, 0),)
    waiting = (QueuedWork(Rank.ONLINE, 100.0, "menus", 1),)
    work = WorkInFlight(counts, waiting)
    if teller == "zone":
        work = ZoneWorkInFlight(ZoneId("b"), counts)

    async def run():
        one = make_peers("me", "a", free_port(), free_port())
        writers = {
            name: EnvelopeWriter(InstanceId(name), 1, key="fleet")
            for name in ("peer", "other")
        }

        async def hears(name, message):
            await one.messenger.receive(writers[name].seal(message))

        state = one.placement.states[UpstreamId("x")]
        line = beat("peer", zone, 1)
        await hears("peer", Heartbeat(line, ()))
        await hears("peer", work)
        began = trio.current_time()
        for number in range(2, 32):
            await trio.sleep(0.5)
            line = beat("peer", zone, number)
            if how == "itself":
                await hears("peer", Heartbeat(line, ()))
            passed_on = (line,) if how == "through others" else ()
            await hears("other", Heartbeat(beat("other", "a", number), passed_on))
            one.expire_stale_counts(trio.current_time())
            after_s = trio.current_time() - began
            if one.placement.load(state) == 3:
                context.counted_s = {"me": after_s}
            if one.placement.peer_queues:
                context.waits_s = after_s
        one.messenger.links.close()

    context.counted_s, context.waits_s = {"me": 0.0}, 0.0
    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then("its work is counted for {least:g} s at least and {most:g} s at most")
def its_work_counted(context, least, most):
    counted_for(context, least, most)


@then("what waits there is known for {most:g} s at most")
def waiting_known_for(context, most):
    assert context.waits_s <= most, context.waits_s


class Arrivals:
    """An instance's end of what is told of online arrivals, through a relay."""

    def __init__(self, number, port, other):
        name = InstanceId(f"entry-{number}")
        self.table = {UpstreamId("x"): types.SimpleNamespace(online=0)}
        self.known = PeerOnlineCounts()
        line = MemberLine(name, f"127.0.0.1:{port}", ZoneId("a"), 1, 0, Revision(0))
        detector = Detector(
            line, suspect_after_s=3.0, fanout=4, rng=random.Random(number)
        )
        listed = [(InstanceId(f"entry-{1 - number}"), other, ZoneId("a"))]
        detector.observe_list(listed, trio.current_time())
        settings = types.SimpleNamespace(
            instance=types.SimpleNamespace(id=name),
            listen=types.SimpleNamespace(peers=f"127.0.0.1:{port}"),
            peers=types.SimpleNamespace(seeds=(), keys=("k" * 16,), heartbeat_s=0.5),
        )
        fleet = types.SimpleNamespace(
            arrivals=self.known,
            table=self.table,
            list_read=True,
            feeder_of=lambda record: None,
            note_online=lambda upstream: None,
        )
        document = types.SimpleNamespace(revision=Revision(0))
        keeper = types.SimpleNamespace(loaded=True, document=document)
        self.peers = EntryPeers(settings, detector, fleet, keeper, Metrics())

    def set_online(self, count):
        self.table[UpstreamId("x")].online = count
        self.peers.online_changed(UpstreamId("x"))


@when("an entry's online requests go from {before:d} to {after:d} as links fall silent")
def arrivals_change(context, before, after):
    async def run():
        ports = [free_port(), free_port()]
        relays = [Relay(port) for port in ports]
        ends = [
            Arrivals(n, ports[n], f"127.0.0.1:{relays[1 - n].port}") for n in (0, 1)
        ]

        async def until_known(count):
            began = trio.current_time()
            with trio.move_on_after(8):
                while ends[1].known.total(UpstreamId("x")) != count:
                    await trio.sleep(0.01)
            return trio.current_time() - began

        async with trio.open_nursery() as nursery:
            for part in (*relays, *(end.peers for end in ends)):
                nursery.start_soon(part.run)
            await trio.sleep(1.0)
            ends[0].set_online(before)
            assert await until_known(before) < 8
            for relay in relays:
                relay.fall_silent()
            ends[0].set_online(after)
            context.known_after = await until_known(after)
            nursery.cancel_scope.cancel()

    trio.run(run)


@then("another entry knows of it within {within:g} s")
def arrivals_known(context, within):
    assert context.known_after <= within, context.known_after


# One link, without sockets.


class TwoEnds:
    """Two members; the first has news every so often, the other may have some too."""

    def __init__(self):
        self.links = SimulatedLinks("ab", on_reopened=self.tell)
        self.kind = MessageKind.NEWS
        self.told = {}
        self.history = []
        self.links.on_message = self.hear
        self.known_at = {}

    def tell(self, sender, receiver, *, kind=MessageKind.NEWS):
        news = self.told.get(sender)
        if news is not None:
            self.links.send(sender, receiver, news, kind=kind)

    def hear(self, sender, receiver, news):
        self.known_at.setdefault((receiver, news), self.links.now)

    def run(self, seconds, *, news_every_s, who="a"):
        until = self.links.now + seconds
        due_at = self.links.now
        while self.links.now < until:
            if self.links.now >= due_at - 1e-9:
                due_at += news_every_s
                for sender in who:
                    if self.links.ends[sender].stopped:
                        continue
                    self.told[sender] = (sender, self.links.now)
                    self.history.append(self.told[sender])
                    self.tell(sender, "ab".replace(sender, ""), kind=self.kind)
            self.links.step()


def loses(*pairs):
    def begin(ends):
        ends.links.silent.update(pairs)

    return begin


def cuts(ends):
    ends.links.cut = {("a", "b"), ("b", "a")}


def stops(who):
    def begin(ends):
        ends.links.ends[who].stopped = True

    return begin


def slows(seconds):
    def begin(ends):
        ends.links.delay_s["b", "a"] = seconds

    return begin


def mends(ends):
    ends.links.cut = set()
    ends.links.delay_s = {}
    for end in ends.links.ends.values():
        end.stopped = False


TROUBLES = {
    "nothing happens": lambda ends: None,
    "the way there falls silent": loses(("a", "b")),
    "the way back falls silent": loses(("b", "a")),
    "both ways fall silent": loses(("a", "b"), ("b", "a")),
    "the other end is stopped": stops("b"),
    "the own end is stopped": stops("a"),
    "the network is cut": cuts,
    "answers take 0.4 s": slows(0.4),
    "answers take 1 s": slows(1.0),
}


@when("{trouble} for {seconds:g} s, with news every {every:g} s from {who}")
def link_in_trouble(context, trouble, seconds, every, who):
    ends = context.ends = TwoEnds()
    if who.endswith("by routine"):
        ends.kind = MessageKind.ROUTINE
    who = "a" if who == "one end" else "ab"
    ends.run(5, news_every_s=every, who=who)
    assert not ends.links.reopened, ends.links.reopened
    began = ends.links.now
    TROUBLES[trouble](ends)
    ends.run(seconds, news_every_s=every, who=who)
    # Silent links are mended by opening them anew; the other troubles end here.
    context.can_pass_at = began if "falls silent" in trouble else ends.links.now
    if "both ways" in trouble:
        context.can_pass_at = began
    mends(ends)
    ends.run(10, news_every_s=every, who=who)
    context.found = [at - began for at, _ in ends.links.reopened]


@then("links are opened anew {least:d} to {most:d} times, first within {within:g} s")
def opened_anew(context, least, most, within):
    assert least <= len(context.found) <= most, context.found
    assert not context.found or context.found[0] <= within, context.found


@then("news that can pass is known within {within:g} s")
def news_known(context, within):
    ends = context.ends
    for sender, told in ends.history:
        if ends.links.now - told < within:
            continue
        known_at = min(
            at
            for (_, (who, of)), at in ends.known_at.items()
            if who == sender and of >= told
        )
        late_s = known_at - max(told, context.can_pass_at)
        assert late_s <= within, (sender, told, late_s)
