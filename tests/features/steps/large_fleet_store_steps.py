"""Steps for what a large fleet reads of the store."""

import random

import msgspec
import trio
import trio.testing
from behave import then, when

from coppercleat.ids import InstanceId, ZoneId
from coppercleat.serving import (
    GatewaySettings,
    Placement,
    RouteConfig,
    RouteTable,
    StoreRates,
    Watch,
)
from coppercleat.serving._watch import InstanceRow
from coppercleat.storage import (
    HistoryLostError,
    MemoryPlatform,
    Put,
    TableFollower,
    Transaction,
)
from tests.harness import node_settings
from tests.harness._links import roomy_upstream

DETECTION_S = 2.0


class CountingPlatform(MemoryPlatform):
    """Counts calls, and loses its history or omits changes when it is told to."""

    def __init__(self):
        super().__init__()
        self.calls = 0
        self.lost = self.omits = False

    async def scan(self, prefix, **options):
        self.calls += 1
        return await super().scan(prefix, **options)

    async def newest_version(self):
        self.calls += 1
        return await super().newest_version()

    async def changes(self, space, *, after):
        self.calls += 1
        if self.lost:
            self.lost = False
            raise HistoryLostError("dropped")
        found = await super().changes(space, after=after)
        return msgspec.structs.replace(found, rows=()) if self.omits else found

    def put(self, key, value, part=""):
        self.transact_now(Transaction(puts=[Put(key, value)], part=part))


def make_follower(platform):
    async def read_all():
        rows = await platform.scan("t/", limit=10_000)
        return {key.removeprefix("t/"): row for key, row in rows}

    return TableFollower(platform, "t", read_all=read_all)


def values_of(rows):
    return {key: row.value for key, row in rows.items()}


EVENTS = {
    "a row is changed": lambda platform: platform.put("t/1", b"new"),
    "a row is deleted": lambda platform: platform.transact_now(
        Transaction(deletes=["t/1"])
    ),
    "nothing is changed": lambda platform: None,
    "another part gets a row": lambda platform: platform.put("t/1", b"x", part="p"),
}


@when("a table of {rows:d} rows is read in full, and {event}")
def read_table(context, rows, event):
    async def run():
        platform = CountingPlatform()
        for number in range(rows):
            platform.put(f"t/{number}", b"old")
        follower = make_follower(platform)
        await follower.read(full=False)
        what, _, history = event.partition(", ")
        EVENTS[what](platform)
        platform.lost = bool(history)
        platform.calls = 0
        context.seen = values_of(await follower.read(full=False))
        context.calls = platform.calls
        context.stored = values_of(dict(await platform.scan("t/", limit=10_000)))

    trio.run(run)


@then("the next read of changes shows it, and {calls:d} calls are made for it")
def read_shows(context, calls):
    stored = {key.removeprefix("t/"): value for key, value in context.stored.items()}
    assert context.seen == stored
    assert context.calls == calls, context.calls


@when("a row is changed and the platform omits the change for a moment")
def omits_change(context):
    async def run():
        platform = CountingPlatform()
        platform.put("t/1", b"old")
        follower = make_follower(platform)
        await follower.read(full=False)
        platform.put("t/1", b"new")
        platform.omits = True
        context.omitted = values_of(await follower.read(full=False))
        platform.omits = False
        context.later = values_of(await follower.read(full=False))
        context.full = values_of(await follower.read(full=True))

    trio.run(run)


@then("a read of changes does not show it, and the next full read does")
def full_read_shows(context):
    assert context.omitted == context.later == {"1": b"old"}
    assert context.full == {"1": b"new"}


class NoCatalogue:
    async def read_routes(self, *, full=True):
        return None

    async def read_upstreams(self, *, full=True):
        return []


class SlowCatalogue(NoCatalogue):
    """Lists one upstream, as it is when a read begins.

    Attributes:
      takes_s: Seconds that a read takes.
      draining: Whether the upstream drains.
    """

    def __init__(self):
        self.takes_s = 0.0
        self.draining = False

    async def read_upstreams(self, *, full=True):
        found = msgspec.structs.replace(roomy_upstream("x"), draining=self.draining)
        await trio.sleep(self.takes_s)
        return [found]


def watch_upstreams(name):
    placement = Placement(ZoneId("a"), rng=random.Random(1))
    watch = Watch(
        node_settings(name, "a"),
        SlowCatalogue(),
        MemoryPlatform(),
        placement,
        boot="b",
        rng=random.Random(1),
    )
    watch.table = RouteTable(RouteConfig(version=1, routes=()))
    return watch


@when(
    "an upstream drains after a peer's read of 1.9 s began and before an instance's own"
)
def slow_read_at_peer(context):
    async def run():
        peer, instance = watch_upstreams("peer"), watch_upstreams("own")
        peer.catalogue.takes_s = 1.9
        async with trio.open_nursery() as nursery:
            nursery.start_soon(peer._poll_upstreams)
            await trio.sleep(0.4)
            instance.catalogue.draining = True
            await instance._poll_upstreams()
        instance.adopt_routes_snapshot(peer.routes_snapshot(0))
        context.upstream = instance.placement.states["x"].upstream

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then("the instance keeps it as draining when the peer tells its list")
def keeps_draining(context):
    assert context.upstream.draining, context.upstream


class RowsPlatform(MemoryPlatform):
    """Counts the reads of the instances' rows."""

    def __init__(self):
        super().__init__()
        self.scans = 0

    async def scan(self, prefix, **options):
        self.scans += prefix == "instance/"
        return await super().scan(prefix, **options)


def large_settings() -> GatewaySettings:
    rates = StoreRates(reads_per_s=16_000, writes_per_s=3200)
    return node_settings("i-0000", "a", store=rates)


async def renew_rows(platform, names, dead):
    """Renews the rows of instances that live, once a second."""
    while True:
        for name in names:
            if name not in dead:
                row = InstanceRow(boot="b", peers="10.0.0.2:1", zone=ZoneId("a"))
                value = msgspec.json.encode(row)
                platform.transact_now(
                    Transaction(puts=[Put(f"instance/{name}", value)])
                )
        await trio.sleep(1.0)


def watch_rows(context, instances, *, heard="all of them are heard", dies_after=None):
    async def run():
        platform, rng = RowsPlatform(), random.Random(1)
        names = [InstanceId(f"i-{n:04d}") for n in range(1, instances)]
        dead: set[InstanceId] = set()
        known = set(names)
        if heard == "one of them is not heard":
            known.discard(names[0])
        elif heard == "one more of them is heard":
            known.add(InstanceId("stranger"))
        placement = Placement(ZoneId("a"), rng=rng)
        settings = large_settings()
        watch = Watch(settings, NoCatalogue(), platform, placement, boot="b", rng=rng)
        watch.is_settled = lambda live: live == known
        async with trio.open_nursery() as nursery:
            nursery.start_soon(renew_rows, platform, names, dead)
            nursery.start_soon(watch.run)
            await trio.sleep(12)
            scans = platform.scans
            if dies_after:
                dead.add(names[0])
                died_at = trio.current_time()
                await trio.sleep(DETECTION_S)
                known.discard(names[0])
                owner = f"{names[0]}/b"
                while watch.is_owner_alive(owner, since=0.0):
                    await trio.sleep(0.05)
                context.found_s = trio.current_time() - died_at
            await trio.sleep(30)
            context.scans = platform.scans - scans
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@when("an instance among {instances:d} watches their rows for 30 s, {heard}")
def watch_heard(context, instances, heard):
    watch_rows(context, instances, heard=heard)


@then("it reads them {least:d} to {most:d} times")
def reads_counted(context, least, most):
    assert least <= context.scans <= most, context.scans


@when("of {instances:d} instances whose rows an instance watches one dies after 12 s")
def watch_dying(context, instances):
    watch_rows(context, instances, dies_after=12)


@then("its jobs have no live owner {within:g} s later at the latest")
def found_dead(context, within):
    assert context.found_s <= within, context.found_s
