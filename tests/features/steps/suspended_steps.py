"""Steps for a machine that is suspended: the steady clock stands still meanwhile."""

import pathlib
import random
import time
from unittest import mock

import trio
from behave import then, when

from coppercleat import clock
from coppercleat.ids import InstanceId, Revision, ZoneId
from coppercleat.membership import Heartbeat, MemberLine
from coppercleat.routing import CircuitBreaker
from coppercleat.serving import Placement, Watch
from coppercleat.storage import MemoryPlatform
from tests.harness import make_peers, node_settings

SOURCES = pathlib.Path("src/coppercleat")
SILENCE_S = 2.0


class Machine:
    """A machine whose time since boot goes on while it is suspended."""

    def __init__(self):
        self.suspended_s = 0.0

    def clock_gettime(self, which):
        assert which == time.CLOCK_BOOTTIME, which
        return time.monotonic() + self.suspended_s


class NoCatalogue:
    """A platform on which nothing is listed yet."""

    async def read_routes(self, *, full=True):
        return None

    async def read_upstreams(self, *, full=True):
        return []


async def watched(suspend, look):
    rng = random.Random(1)
    watch = Watch(
        node_settings("own", "a"),
        NoCatalogue(),
        MemoryPlatform(),
        Placement(ZoneId("a"), rng=rng),
        boot="b",
        rng=rng,
    )
    await watch._poll_routes()
    await watch._poll_upstreams()
    await watch._renew()
    suspend()
    return look(watch)


async def request_goes_on(suspend):
    with trio.move_on_after(2.0) as scope:
        suspend()
        await trio.sleep(0.01)
    return not scope.cancelled_caught


async def silence_passed(suspend):
    heard_at = trio.current_time()
    suspend()
    return trio.current_time() - heard_at > SILENCE_S


async def peer_lives(suspend, *, beats):
    peers = make_peers("own", "a", 1, 2)
    line = MemberLine(InstanceId("peer"), "127.0.0.1:9", ZoneId("a"), 1, 1, Revision(0))
    peers.detector.tick(trio.current_time(), revision=Revision(0))
    peers.detector.observe(Heartbeat(line, ()), trio.current_time())
    suspend()
    if beats:
        peers.detector.tick(trio.current_time(), revision=Revision(0))
    lives = peers.live_peers() == [InstanceId("peer")]
    peers.messenger.links.close()
    return lives


async def ejected_may_be_tried(suspend):
    breaker = CircuitBreaker()
    breaker.unreachable(trio.current_time())
    suspend()
    return breaker.allows_request(trio.current_time())


LOOKS = {
    "the lease holds": lambda s: watched(s, lambda watch: watch.holds_lease()),
    "the list of upstreams is fresh": lambda s: watched(
        s, lambda watch: not watch.needs_routes()
    ),
    "a request with 2 s left goes on": request_goes_on,
    "a silence of 2 s is over": silence_passed,
    "a peer that was heard counts as alive": lambda s: peer_lives(s, beats=False),
    "a peer that was heard counts as alive after a beat": lambda s: peer_lives(
        s, beats=True
    ),
    "an upstream that was ejected for 1 s may be tried": ejected_may_be_tried,
}


@when("a machine is suspended for {seconds:g} s, and looks at {what}")
def suspended(context, seconds, what):
    machine = Machine()

    def suspend():
        machine.suspended_s = seconds

    with mock.patch.object(clock.time, "clock_gettime", machine.clock_gettime):
        context.found = clock.run(LOOKS[what], suspend)


@then("it finds that {what}: {found}")
def finds(context, what, found):
    assert context.found == (found == "yes"), context.found


@then('no source file outside "{exempt}" has "{text}"')
def only_there(context, exempt, text):
    found = [
        str(path)
        for path in SOURCES.rglob("*.py")
        if path.name != exempt and text in path.read_text(encoding="utf-8")
    ]
    assert not found, found
