"""Steps for runs that nobody tells of, with the clock of the test."""

import random

import trio
import trio.testing
from behave import then, when

from coppercleat.ids import UpstreamId, ZoneId
from coppercleat.serving import (
    LoadProber,
    Placement,
    StallOnsets,
    Upstream,
    UpstreamCallError,
    UpstreamReport,
    estimate_untracked,
)

X = UpstreamId("x")
REPORT_LAG_S = 0.05
RUN_S = 0.8


@then(
    "after {before:d} unknown runs a report of {number:d} "
    "beside {known} leaves {left:d}"
)
def report_leaves(context, before, number, known, left):
    counts = [int(count) for count in known.split()]
    found = estimate_untracked(before, reported=number, known=counts)
    assert found == left, found


class LaggingUpstream:
    """Reports what it ran a moment ago; a part of it nobody counts.

    Attributes:
      uncounted: Runs whose caller has gone, by the time of their end.
    """

    def __init__(self, state):
        self.state = state
        self.uncounted = []
        self.away = False
        self._history = []

    def running(self):
        now = trio.current_time()
        return self.state.online + sum(end > now for end in self.uncounted)

    async def remember(self):
        while True:
            self._history.append((trio.current_time(), self.running()))
            await trio.sleep(0.005)

    async def report(self, upstream):
        asked_at = trio.current_time()
        await trio.sleep(0.002)
        if self.away:
            raise UpstreamCallError("away")
        then = [n for at, n in self._history if at <= asked_at - REPORT_LAG_S]
        # Nothing ran before the test's own beginning.
        return UpstreamReport(running=then[-1] if then else 0, waiting=0)


class Observed:
    """An instance with a survey, an upstream of 8 slots and steady requests there."""

    def __init__(self, *, rate, seed):
        self.rng = random.Random(seed)
        self.placement = Placement(ZoneId("a"), rng=self.rng)
        self.placement.replace(
            [
                Upstream(
                    id=X,
                    service="menus",
                    address="10.0.0.1:1",
                    zone=ZoneId("a"),
                    slots=8,
                )
            ]
        )
        self.state = self.placement.states[X]
        self.upstream = LaggingUpstream(self.state)
        self.load_prober = LoadProber(self.placement, self.upstream, rng=self.rng)
        self.rate = rate
        self.off = []

    async def _one(self):
        self.state.online += 1
        await trio.sleep(RUN_S)
        self.state.online -= 1

    async def _requests(self, nursery):
        while self.rate:
            await trio.sleep(self.rng.expovariate(self.rate))
            nursery.start_soon(self._one)

    async def _watch(self):
        """Notes how far the belief is from the truth, and the slots left unused."""
        while True:
            await trio.sleep(0.01)
            assert self.state.untracked >= 0
            truth = self.upstream.running() - self.state.online
            self.off.append((trio.current_time(), self.state.untracked - truth))

    def run(self, act, *, lasts=5.0):
        """Acts beside the requests, 3 s after the start, and goes on for a time."""

        async def main():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.upstream.remember)
                nursery.start_soon(self.load_prober.run)
                nursery.start_soon(self._requests, nursery)
                nursery.start_soon(self._watch)
                await trio.sleep(3)
                self.began = trio.current_time()
                self.asked_before = self.load_prober.probe_count
                act()
                await trio.sleep(lasts)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def at(self, since, until):
        """Returns by how much the belief was off in a time after the act."""
        return [off for now, off in self.off if since <= now - self.began <= until]


@when(
    "{count:d} of an upstream's runs are left {how} for {lasts:g} s "
    "beside {rate:d} per s"
)
def left_runs(context, count, how, lasts, rate):
    play_left_runs(context, count, how, lasts, rate, plays=10)


@when(
    "{count:d} of an upstream's runs are left {how} for {lasts:g} s "
    "beside {rate:d} per s, in {plays:d} plays"
)
def left_runs_often(context, count, how, lasts, rate, plays):
    play_left_runs(context, count, how, lasts, rate, plays=plays)


def play_left_runs(context, count, how, lasts, rate, *, plays):
    context.seen = []
    for seed in range(plays):
        seen = Observed(rate=rate, seed=seed)

        def act(seen=seen):
            ends = [trio.current_time() + lasts] * count
            seen.upstream.uncounted += ends
            if how == "by a peer that was dropped":
                seen.load_prober.mark_uncertain([X])
                return
            for _ in range(count):
                seen.load_prober.record_abandoned_attempt(
                    seen.state, stalled=how == "as silent"
                )

        seen.run(act)
        context.seen.append(seen)
    context.lasts = lasts


@then("from {after:g} s on all of them but {few:d} are believed in, until they end")
def believed(context, after, few):
    for seen in context.seen:
        off = seen.at(after, context.lasts - 0.05)
        assert not off or min(off) >= -few, min(off)


@then("slots are left unused for {within:g} s at most after they have ended")
def soon_forgotten(context, within):
    for seen in context.seen:
        late = seen.at(context.lasts + within, 5)
        # A report in a busy time allows one more than there are, for a question.
        assert sum(late) <= 0.1 * len(late), (sum(late), len(late))


@then("the upstream is asked {most:d} times at most")
def asked_rarely(context, most):
    asked = [seen.load_prober.probe_count - seen.asked_before for seen in context.seen]
    assert max(asked) <= most, asked


@then("{upstreams:d} doubted upstreams are asked {most:d} times a second at most")
def bounded(context, upstreams, most):
    placement = Placement(ZoneId("a"), rng=random.Random(1))
    placement.replace(
        Upstream(
            id=UpstreamId(f"x{number}"),
            service="menus",
            address="10.0.0.1:1",
            zone=ZoneId("a"),
            slots=8,
        )
        for number in range(upstreams)
    )
    asked = []

    class Counting:
        async def report(self, upstream):
            asked.append(upstream.id)
            return UpstreamReport(running=1, waiting=0)

    load_prober = LoadProber(placement, Counting(), rng=random.Random(1))

    async def main():
        with trio.move_on_after(4):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(load_prober.run)
                await trio.sleep(2)
                asked.clear()
                for _ in range(20):
                    load_prober.mark_uncertain(list(placement.states))
                    await trio.sleep(0.1)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert 1 <= len(asked) / 2 <= most, len(asked)


@then("an upstream that cannot be asked keeps its unknown runs for {held:g} s")
def held_without_report(context, held):
    seen = Observed(rate=0, seed=1)

    def act():
        seen.upstream.away = True
        seen.upstream.uncounted = [float("inf")]
        seen.load_prober.record_abandoned_attempt(seen.state, stalled=True)

    seen.run(act, lasts=held + 2)
    assert set(seen.at(0.05, held - 0.1)) == {0}
    assert set(seen.at(held + 0.5, held + 2)) == {-1}


@then("runs last heard of at {heard} s count against an upstream {times:d} times")
def counted(context, heard, times):
    moments = StallOnsets()
    found = [moments.is_new(float(since)) for since in heard.split()]
    assert sum(found) == times, found
