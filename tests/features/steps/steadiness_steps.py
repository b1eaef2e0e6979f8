"""Steps that ask which upstreams are steady, and what an end there says."""

import random

import msgspec
import trio
import trio.testing
from behave import then, when

from coppercleat.ids import UpstreamId, ZoneId
from coppercleat.quarantine import (
    Crash,
    CrashDetector,
    CrashHistory,
    CrashReport,
    Fingerprint,
    ProbeResult,
)
from coppercleat.serving import (
    AdmissionQueue,
    Placement,
    QueuedRequest,
    Upstream,
    UpstreamNotListeningError,
    UpstreamState,
    incarnation_probe,
)
from tests.harness import make_route

FINGERPRINT, OTHER = Fingerprint(b"f" * 16), Fingerprint(b"o" * 16)
MENUS = "menus"


def upstream(name="a", born_ms=1, slots=8):
    return Upstream(
        id=UpstreamId(name),
        service=MENUS,
        address=f"127.0.0.1:{ord(name)}",
        zone=ZoneId("z"),
        born_ms=born_ms,
        slots=slots,
    )


class Lives:
    """One upstream as a placement learns of it.

    Attributes:
      placement: Knows it; another was listed before, so that it can be new.
    """

    def __init__(self):
        self.placement = Placement(ZoneId("z"), rng=random.Random(1))
        self.upstream = upstream()

    def learn(self, what):
        if what == "is in the first list":
            self.placement.replace([self.upstream], now=0.0)
            return
        what, at = what.rsplit(" at ", 1)
        now = float(at)
        end = Crash(self.upstream.id, now, self.upstream.born_ms)
        if what == "ends":
            self.placement.record_crash(end, now)
            return
        if what == "lives after all, found":
            self.placement.retract_crash(end)
            return
        if not self.placement.states:
            self.placement.replace([], now=0.0)
        if what == "is listed anew":
            born_ms = self.upstream.born_ms + 1
            self.upstream = msgspec.structs.replace(self.upstream, born_ms=born_ms)
        draining = what == "leaves"
        self.upstream = msgspec.structs.replace(self.upstream, draining=draining)
        listed = [self.upstream] if what != "is gone" else []
        self.placement.replace(listed, now=now)

    @property
    def state(self):
        return self.placement.states[self.upstream.id]


@when("an upstream {has}")
def upstream_has(context, has):
    context.lives = Lives()
    for what in has.split(" and "):
        context.lives.learn(what)


@then("it is steady from {s:g} s on")
def is_steady_from(context, s):
    state = context.lives.state
    assert abs(max(0.0, state.steady_from) - s) < 1e-6, state


LIVED = {
    "is in the first list": ["is in the first list"],
    "started 1 s ago": ["is listed at 99"],
    "started 1 s ago, as before": [
        "is listed at 97",
        "ends at 97.5",
        "is listed anew at 99",
    ],
    "started 3 s ago": ["is listed at 97"],
    "started 3 s ago, as before": [
        "is listed at 80",
        "ends at 90",
        "is listed anew at 91",
        "ends at 96",
        "is listed anew at 97",
    ],
    "started 1 s ago, as another tells": ["is listed at 80"],
    "ended 1 s ago, as another tells": ["is listed at 80"],
}
RUNS = {
    "had just begun": (0.0, 0.0),
    "made nothing for 2 s": (2.0, 0.0),
    "made some for 0.1 s": (0.1, 0.1),
    "made some for 0.1 s, and nothing for 2 s": (2.1, 0.1),
    "made some for 2 s": (2.0, 2.0),
}
"""How long ago it began, and for how long it made something, in seconds."""


class Gone:
    """An upstream at whose address nothing listens."""

    async def report(self, asked):
        raise UpstreamNotListeningError("no report")


@when("a run that {run} meets the end of an upstream that {lived}")
def run_meets_end(context, run, lived):
    lives = Lives()
    for what in LIVED[lived]:
        lives.learn(what)
    watch, other = CrashDetector(incarnation_probe(Gone())), CrashHistory()
    watch.on_crash = lives.placement.record_crash
    watch.on_update = lambda ends, cleared: other.merge_reports(
        ends, cleared, now=trio.current_time()
    )

    async def play():
        await trio.sleep(100.0 - trio.current_time())
        if lived.endswith("another tells"):
            told = CrashReport(OTHER, lives.upstream.id, 1.0, born_ms=1)
            watch.apply_update("peer", (told,), ())
        began_s, progress_s = RUNS[run]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch.run)
            await trio.testing.wait_all_tasks_blocked()
            watch.record_interruption(
                FINGERPRINT,
                lives.state,
                began=trio.current_time() - began_s,
                progress_s=progress_s,
            )
            await trio.sleep(1.0)
            nursery.cancel_scope.cancel()

    trio.run(play, clock=trio.testing.MockClock(autojump_threshold=0))
    context.histories = [watch.history, other]


@then("the end counts {counts}, here and where it is told")
def counts_so(context, counts):
    for history in context.histories:
        [end] = history.crashes_of(FINGERPRINT)
        assert end.weak == (counts == "half"), end


@when(
    "of three upstreams {unsteady:d} have just started, "
    "and {ends:d} have ended under a request {ago:g} s ago"
)
def just_started(context, unsteady, ends, ago):
    context.placement = Placement(ZoneId("z"), rng=random.Random(1))
    names = "abc"
    context.placement.replace([upstream(n) for n in names[unsteady:]], now=0.0)
    context.placement.replace([upstream(n) for n in names], now=100.0)
    context.verdict = verdict_with(ends, at=100.0 - ago, now=100.0)


@then("it may go to {count:d}, and comes back in {s:g} s if to none")
def may_go(context, count, s):
    placement = context.placement
    avoid = placement.upstreams_to_avoid(context.verdict, MENUS, now=100.0)
    assert len(placement.states.keys() - avoid) == count, avoid
    assert placement.serves(MENUS, avoid=avoid) == (count > 0)
    assert placement.steady_in_s(MENUS, now=100.0) == s


def verdict_with(ends, *, at, now=None):
    history = CrashHistory()
    for number in range(ends):
        end = Crash(UpstreamId(f"u{number}"), at, number=1)
        history.record_crash(FINGERPRINT, end)
    return history.verdict(FINGERPRINT, now=at if now is None else now)


@when("a request with {ends:d} ends waits for the one steady upstream, and {what}")
def waits_for_steady(context, ends, what):
    placement = Placement(ZoneId("z"), rng=random.Random(1))
    steady, other = upstream("a"), upstream("b")
    placement.replace([steady], now=0.0)
    placement.replace([steady, other], now=100.0)
    placement.states[steady.id].online = steady.slots
    queue = AdmissionQueue(placement, rng=random.Random(1))
    waiter = QueuedRequest(
        service=MENUS,
        priority=0,
        on_time_by=105.0,
        serve_by=105.0,
        verdict=verdict_with(ends, at=100.0),
    )
    queue.enter(waiter, now=100.0)
    now = 100.1
    if what == "3 s pass":
        now = 103.0
    elif what == "the steady one is gone":
        placement.replace([other], now=now)
    queue.dispatch(now=now, on_decided=lambda settled: None)
    context.waiter = waiter


@then("it is given {given}")
def is_given(context, given):
    outcome = context.waiter.outcome
    if given == "nothing so far":
        assert outcome is None, outcome
    else:
        assert isinstance(outcome, UpstreamState) and outcome.id == "b", outcome


@when(
    "an item with {ends:d} end looks for a slot, {online:d} are left for online "
    "requests, 8 are steady and 16 not"
)
def looks_for_slot(context, ends, online):
    placement = Placement(ZoneId("z"), rng=random.Random(1))
    placement.replace([upstream("a")], now=0.0)
    placement.replace([upstream(name) for name in "abc"], now=100.0)
    placement._online_headroom = lambda service, now: online
    verdict = verdict_with(ends, at=100.0)
    ineligible = placement.upstreams_to_avoid(verdict, MENUS, now=100.0)
    context.chosen = placement.choose_batch(
        make_route(), reserve=0, avoid=(), now=100.0, ineligible=ineligible
    )


@then("it gets a steady one")
def gets_steady(context):
    assert isinstance(context.chosen, UpstreamState), context.chosen
    assert context.chosen.id == "a", context.chosen


class AcceptsAndCloses:
    """What stands before an upstream that has ended, until it has started again."""

    def __init__(self):
        self.finding = ProbeResult.NO_ANSWER

    async def ask(self, state):
        return self.finding


def play_ends(context, runs, *, proved, asked_at=106.0):
    """Plays runs at three upstreams: who, when each began and how long it lasted."""
    way = AcceptsAndCloses()
    watch = CrashDetector(way.ask)
    placement = Placement(ZoneId("z"), rng=random.Random(1))
    placement.replace([upstream(name) for name in "abc"], now=0.0)

    async def play():
        await trio.sleep(100.0 - trio.current_time())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch.run)
            if proved == "at once":
                way.finding = ProbeResult.NOTHING_LISTENS
            for who, began, lasted in runs:
                await trio.sleep_until(100.0 + began + lasted)
                for state in placement.states.values():
                    watch.record_interruption(who, state, began=100.0 + began)
            if proved != "not yet":
                await trio.sleep(2.0)
                way.finding = ProbeResult.OTHER_INCARNATION
            await trio.sleep_until(asked_at)
            context.verdict = watch.history.verdict(FINGERPRINT, now=asked_at)
            nursery.cancel_scope.cancel()

    trio.run(play, clock=trio.testing.MockClock(autojump_threshold=0))


@when(
    "three upstreams end under others, and runs of a request begin there {began:g} s "
    "later and break off after {lasted:g} s, proved {proved}"
)
def end_under_others(context, began, lasted, proved):
    runs = [(OTHER, -1.0, 1.0), (FINGERPRINT, began, lasted)]
    play_ends(context, runs, proved=proved)


@when(
    "three upstreams end under others, and runs of a request begin there {began:g} s "
    "later and break off after {lasted:g} s, and 1 s passes"
)
def end_under_others_so_far(context, began, lasted):
    runs = [(OTHER, -1.0, 1.0), (FINGERPRINT, began, lasted)]
    play_ends(context, runs, proved="not yet", asked_at=101.5)


@when("three upstreams end under a request after runs of {lasted:g} s, proved {proved}")
def end_under(context, lasted, proved):
    play_ends(context, [(FINGERPRINT, -lasted, lasted)], proved=proved)


@then("the request is {standing}")
def request_is(context, standing):
    assert context.verdict.kind.value == standing, context.verdict


@when(
    "one instance misses that a request with {ends:d} ends was answered, "
    "and tells another of these"
)
def misses_answer(context, ends):
    one, other = CrashDetector(Gone().report), CrashDetector(Gone().report)
    other.on_update = lambda ends, cleared: one.apply_update("other", ends, cleared)

    async def play():
        for number in range(ends):
            end = Crash(UpstreamId(f"u{number}"), trio.current_time(), number=1)
            for watch in (one, other):
                watch.history.record_crash(FINGERPRINT, end)
        async with trio.open_nursery() as nursery:
            other.clear(FINGERPRINT)
            other._unsent_clears.clear()
            nursery.start_soon(other.run)
            await trio.sleep(2.0)
            other.apply_update(
                "one", one.history.crash_reports(now=trio.current_time()), ()
            )
            await trio.sleep(1.0)
            now = trio.current_time()
            context.verdict = one.history.verdict(FINGERPRINT, now=now)
            nursery.cancel_scope.cancel()

    trio.run(play, clock=trio.testing.MockClock(autojump_threshold=0))


@then("it lets the request run within 1 s")
def lets_run(context):
    assert context.verdict.may_run, context.verdict
