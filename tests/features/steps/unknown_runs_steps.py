"""Steps for untracked requests, on a mock clock."""

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
REQUEST_S = 0.8


@then(
    "after an estimate of {before:d} a report of {number:d} requests "
    "beside {known} tracked ones gives {estimate:d}"
)
def report_gives(context, before, number, known, estimate):
    counts = [int(count) for count in known.split()]
    found = estimate_untracked(before, reported=number, known=counts)
    assert found == estimate, found


class LaggingUpstream:
    """Reports the load of ``REPORT_LAG_S`` ago, untracked requests included.

    Attributes:
      untracked_ends: Times at which its untracked requests end.
      unreachable: Whether it gives no reports.
    """

    def __init__(self, state):
        self.state = state
        self.untracked_ends = []
        self.unreachable = False
        self._history = []

    def running(self):
        now = trio.current_time()
        return self.state.online + sum(end > now for end in self.untracked_ends)

    async def record_load(self):
        while True:
            self._history.append((trio.current_time(), self.running()))
            await trio.sleep(0.005)

    async def report(self, upstream):
        asked_at = trio.current_time()
        await trio.sleep(0.002)
        if self.unreachable:
            raise UpstreamCallError("unreachable")
        then = [n for at, n in self._history if at <= asked_at - REPORT_LAG_S]
        # Without history yet: nothing runs before the test begins.
        return UpstreamReport(running=then[-1] if then else 0, waiting=0)


class Observed:
    """A load prober and one upstream of 8 slots under a constant arrival rate.

    Attributes:
      errors: Times, and by how much the estimate of untracked requests was too high.
    """

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
        self.errors = []

    async def _request(self):
        self.state.online += 1
        await trio.sleep(REQUEST_S)
        self.state.online -= 1

    async def _requests(self, nursery):
        while self.rate:
            await trio.sleep(self.rng.expovariate(self.rate))
            nursery.start_soon(self._request)

    async def _record_errors(self):
        while True:
            await trio.sleep(0.01)
            assert self.state.untracked >= 0
            untracked = self.upstream.running() - self.state.online
            self.errors.append((trio.current_time(), self.state.untracked - untracked))

    def run(self, act, *, lasts=5.0):
        """Calls ``act`` 3 s after the start and goes on for a time."""

        async def main():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.upstream.record_load)
                nursery.start_soon(self.load_prober.run)
                nursery.start_soon(self._requests, nursery)
                nursery.start_soon(self._record_errors)
                await trio.sleep(3)
                self.began = trio.current_time()
                self.asked_before = self.load_prober.probe_count
                act()
                await trio.sleep(lasts)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def errors_between(self, since, until):
        """Returns the errors of the estimate in a time after ``act``."""
        return [e for now, e in self.errors if since <= now - self.began <= until]


@when(
    "{count:d} attempts are abandoned {how} and run on for {lasts:g} s "
    "beside {rate:d} per s"
)
def abandoned_attempts(context, count, how, lasts, rate):
    run_abandoned_attempts(context, count, how, lasts, rate, plays=10)


@when(
    "{count:d} attempts are abandoned {how} and run on for {lasts:g} s "
    "beside {rate:d} per s, with {plays:d} seeds"
)
def abandoned_attempts_often(context, count, how, lasts, rate, plays):
    run_abandoned_attempts(context, count, how, lasts, rate, plays=plays)


def run_abandoned_attempts(context, count, how, lasts, rate, *, plays):
    context.observed = []
    for seed in range(plays):
        observed = Observed(rate=rate, seed=seed)

        def act(observed=observed):
            ends = [trio.current_time() + lasts] * count
            observed.upstream.untracked_ends += ends
            if how == "by a peer whose counts expired":
                observed.load_prober.mark_uncertain([X])
                return
            for _ in range(count):
                observed.load_prober.record_abandoned_attempt(
                    observed.state, stalled=how == "as stalled"
                )

        observed.run(act)
        context.observed.append(observed)
    context.lasts = lasts


@then("the estimate is at most {few:d} too low from {after:g} s on, until they end")
def estimate_not_too_low(context, after, few):
    for observed in context.observed:
        errors = observed.errors_between(after, context.lasts - 0.05)
        assert not errors or min(errors) >= -few, min(errors)


@then("slots stay unused for {within:g} s at most after they have ended")
def estimate_soon_falls(context, within):
    for observed in context.observed:
        late = observed.errors_between(context.lasts + within, 5)
        # Under load a report may allow one untracked request too many for a while.
        assert sum(late) <= 0.1 * len(late), (sum(late), len(late))


@then("the upstream is probed {most:d} times at most")
def probed_rarely(context, most):
    probes = [
        one.load_prober.probe_count - one.asked_before for one in context.observed
    ]
    assert max(probes) <= most, probes


@then("{upstreams:d} upstreams with uncertain counts get {most:d} probes per s at most")
def probe_rate_bounded(context, upstreams, most):
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


@then("untracked requests of an upstream without reports expire after {expiry:g} s")
def expire_without_report(context, expiry):
    observed = Observed(rate=0, seed=1)

    def act():
        observed.upstream.unreachable = True
        observed.upstream.untracked_ends = [float("inf")]
        observed.load_prober.record_abandoned_attempt(observed.state, stalled=True)

    observed.run(act, lasts=expiry + 2)
    assert set(observed.errors_between(0.05, expiry - 0.1)) == {0}
    assert set(observed.errors_between(expiry + 0.5, expiry + 2)) == {-1}


@then("stalls since {since} s count against an upstream {times:d} times")
def stalls_counted(context, since, times):
    moments = StallOnsets()
    found = [moments.is_new(float(moment)) for moment in since.split()]
    assert sum(found) == times, found
