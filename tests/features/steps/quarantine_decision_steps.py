"""Steps that ask decisions about requests under which upstreams ended."""

import random
import time

import attrs
import trio
import trio.testing
from behave import then, when

from coppercleat.ids import InstanceId, RequestId, UpstreamId, ZoneId
from coppercleat.quarantine import (
    ITEM_PAUSES_S,
    End,
    EndKeeper,
    EndLedger,
    EndWatch,
    Standing,
    ToldEnd,
    fingerprint_of,
)
from coppercleat.serving import (
    InFlight,
    NothingListensError,
    OnlineRequest,
    Placement,
    Upstream,
    UpstreamBrokeError,
    UpstreamReport,
    UpstreamState,
    Watch,
    incarnation_probe,
)
from coppercleat.storage import MemoryPlatform
from tests.harness import node_settings

BORN = 1_796_260_943_655


def request(**changes):
    fields = {
        "request_id": RequestId("r-1"),
        "method": "POST",
        "host": "stream.example",
        "target": b"/ask/x?q=1",
        "headers": [(b"authorization", b"Bearer one")],
        "body": b"prompt",
        "allowed_s": 5.0,
    }
    return OnlineRequest(**(fields | changes))


FINGERPRINT = request().fingerprint


def upstream(born_ms=BORN, **more):
    return Upstream(
        id=UpstreamId("a"),
        service="menus",
        address="127.0.0.1:1",
        zone=ZoneId("z"),
        born_ms=born_ms,
        **more,
    )


def end_of(name, at):
    """Returns an end of an upstream; "a1" is the first life of upstream a."""
    return End(UpstreamId(name[:1]), at, born_ms=int(name[1:] or 0))


def learn(ledger, at, what, args):
    told_at = float(args[1]) if len(args) > 1 else at
    number = int(args[2]) if len(args) > 2 and what != "row" else 1
    learnt = {
        "end": lambda: see(ledger, args[0], at, told_at),
        "late": lambda: tell(ledger, args[0], at, told_at, number=number),
        "lives": lambda: tell(ledger, args[0], at, told_at, withdrawn=True),
        "broke": lambda: ledger.broke_off(FINGERPRINT, args[0]),
        "settled": lambda: ledger.settled(FINGERPRINT, args[0]),
        "answer": lambda: ledger.clear(FINGERPRINT, now=at),
        "trial": lambda: ledger.begin_trial(FINGERPRINT, now=at),
        "untried": lambda: ledger.give_back_trial(FINGERPRINT),
        "weak": lambda: see(ledger, args[0], at, told_at, weak=True),
        "untold": lambda: ledger.take_told(
            [ToldEnd(FINGERPRINT, UpstreamId(args[0]), 0.0)], (), now=at
        ),
        "heard": lambda: ledger.take_told((), (), now=at),
        "row": lambda: ledger.adopt(FINGERPRINT, row_of(args)),
    }
    learnt[what]()


def row_of(args):
    """Returns the ends of a row: for each its upstream, and where it is placed."""
    return [
        attrs.evolve(end_of(name, float(at)), number=1)
        for name, at in zip(args[::2], args[1::2], strict=True)
    ]


def see(ledger, name, at, run_began, *, weak=False):
    seen = attrs.evolve(end_of(name, at), weak=weak)
    end = ledger.identified(FINGERPRINT, seen, run_began=run_began)
    ledger.ended(FINGERPRINT, end)


def tell(ledger, name, now, at, *, number=1, withdrawn=False):
    end = attrs.evolve(end_of(name, at), number=number)
    told = ToldEnd.of(FINGERPRINT, end, now=now, withdrawn=withdrawn)
    ledger.take_told([told], (), now=now)


@when("of a request it is learnt, by the second: {learnt}")
def learnt_of_request(context, learnt):
    context.ledger = EndLedger()
    for entry in learnt.split(", ") if learnt != "nothing" else ():
        at, what, *args = entry.split()
        learn(context.ledger, float(at), what, args)


@then("at {at:g} s it is {standing}, for {retry:g} s")
def stands(context, at, standing, retry):
    verdict = context.ledger.verdict(FINGERPRINT, now=at)
    expected = Standing.FREE
    if standing == "trial":
        expected = Standing.QUARANTINED
    elif standing != "free":
        expected = Standing(standing)
    assert verdict.standing is expected, verdict
    assert abs(verdict.retry_after_s - retry) < 1e-6, verdict


OTHER = request(body=b"of another client").fingerprint


def tell_of_end(watch, state, placement):
    watch.take_news("peer", (ToldEnd(OTHER, state.id, 0.01),), ())


AFTERWARDS = {
    "is listed with another birth": lambda watch, state, placement: placement.replace(
        [upstream(BORN + 5000)]
    ),
    "answers nothing and is unlisted": lambda watch, state, placement: (
        placement.replace([])
    ),
    "leaves unheard": lambda watch, state, placement: (
        placement.replace([upstream(draining=True)]),
        placement.replace([]),
    ),
    "ends under others": lambda watch, state, placement: watch.broke_off(OTHER, state),
    "ends under others, elsewhere told": tell_of_end,
    "ends under others, told again late": tell_of_end,
    "is found gone by the next request": lambda watch, state, placement: (
        watch.unreachable(state)
    ),
}


class AskedUpstream:
    """Answers questions as a test says; the last answer stays."""

    def __init__(self, answers):
        self.answers = answers.split()

    async def report(self, asked):
        answer = self.answers[0]
        if len(self.answers) > 1:
            self.answers.pop(0)
        if answer == "refused":
            raise NothingListensError("no report")
        if answer == "-":
            raise UpstreamBrokeError("no report")
        born = {"same": BORN, "other": BORN + 5000, "unknown": 0}[answer]
        return UpstreamReport(running=0, waiting=0, born_ms=born)


@when("a run {breaks} at an upstream that {does}: {answers}")
def run_breaks(context, breaks, does, answers):
    context.play = (breaks, does, answers)


@then("{ends:d} ends are held against the request after {s:g} s")
def ends_held(context, ends, s):
    breaks, does, answers = context.play
    placement = Placement(ZoneId("z"), rng=random.Random(1))
    placement.replace([upstream(draining=does == "is leaving")])
    state = placement.states[UpstreamId("a")]
    if does == "is no longer listed":
        placement.replace([])
    watch = EndWatch(incarnation_probe(AskedUpstream(answers)))
    # Others end up with the same.
    other = EndLedger()
    watch.on_news = lambda found, cleared: other.take_told(
        found, cleared, now=trio.current_time()
    )

    async def play():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch.run)
            await trio.testing.wait_all_tasks_blocked()
            if breaks.startswith("is left"):
                watch.left(FINGERPRINT, state)
                await trio.sleep(2.0 if "before" in breaks else 0.1)
            else:
                watch.broke_off(FINGERPRINT, state, silent=breaks == "falls silent")
            if does in AFTERWARDS:
                AFTERWARDS[does](watch, state, placement)
            if does.endswith("told again late"):
                await trio.sleep(0.7)
                tell_of_end(watch, state, placement)
            await trio.sleep(s)
            nursery.cancel_scope.cancel()

    trio.run(play, clock=trio.testing.MockClock(autojump_threshold=0))
    assert len(watch.ledger.upstreams_of(FINGERPRINT)) == ends
    assert len(other.upstreams_of(FINGERPRINT)) == ends


@then("the fingerprint is {same} with another {part}")
def fingerprints(context, same, part):
    others = {
        "id": lambda: request(request_id=RequestId("r-2")).fingerprint,
        "deadline": lambda: request(allowed_s=1.0).fingerprint,
        "host in capitals": lambda: request(host="STREAM.example").fingerprint,
        "method": lambda: request(method="PUT").fingerprint,
        "host": lambda: request(host="plain.example").fingerprint,
        "path": lambda: request(target=b"/ask/y?q=1").fingerprint,
        "query": lambda: request(target=b"/ask/x?q=2").fingerprint,
        "account": lambda: request(headers=[]).fingerprint,
        "body": lambda: request(body=b"another").fingerprint,
        "cut between path and body": lambda: fingerprint_of(
            method="POST",
            host="stream.example",
            target=b"/ask/x?q=",
            account=b"Bearer one",
            body=b"1prompt",
        ),
    }
    assert (others[part]() == FINGERPRINT) == (same == "the same")


def fail(state):
    state.health.unreachable(0.0)


KNOWN = {
    "failures": (fail, lambda s: not s.health.may_try(0.1)),
    "failed results": (
        lambda s: [s.results.observe(failed=True, now=0.0) for _ in range(4)],
        lambda s: s.results.suspect(0.0),
    ),
    "silences": (
        lambda s: s.stall_onsets.is_new(0.0),
        lambda s: not s.stall_onsets.is_new(0.0),
    ),
    "runs in flight": (lambda s: setattr(s, "online", 3), lambda s: s.online == 3),
    "unknown runs": (lambda s: setattr(s, "untracked", 3), lambda s: s.untracked == 3),
    "unheard runs": (lambda s: setattr(s, "abandoned", 3), lambda s: s.abandoned == 3),
    "a full queue": (
        lambda s: setattr(s, "full_until", 9.0),
        lambda s: s.full_until == 9.0,
    ),
    "a wrong address": (lambda s: setattr(s, "gone", True), lambda s: s.gone),
}
BIRTHS = {"the same birth": BORN, "another birth": BORN + 5000, "no birth": 0}


@when("an upstream with {known} is listed with {birth}")
def listed_again(context, known, birth):
    placement = Placement(ZoneId("z"), rng=random.Random(1))
    placement.replace([upstream()])
    state = placement.states[UpstreamId("a")]
    if known == "runs that peers told":
        told = [InFlight(UpstreamId("a"), 2, 0)]
        placement.peers.observe(InstanceId("peer"), told)
    else:
        KNOWN[known][0](state)
    placement.replace([upstream(BIRTHS[birth])])
    context.placement, context.before = placement, state


@then("what is known, {known}, is {kept}")
def is_kept(context, known, kept):
    state: UpstreamState = context.placement.states[UpstreamId("a")]
    if known == "runs that peers told":
        # Their connections broke too: each peer takes its own back, or its run goes on.
        assert context.placement.load(state) == 2
        return
    assert KNOWN[known][1](state) == (kept == "kept")
    assert (state is context.before) == (kept == "kept")
    assert context.before.restarted == (kept != "kept")


class Kept:
    """An instance's watch of the platform, with its ledger of ends."""

    def __init__(self, name, platform, boot, *, wall_ahead_s=0.0):
        rng = random.Random(name)
        self.ledger = EndLedger()
        self.watch = Watch(
            node_settings(name, "a"),
            None,
            platform,
            Placement(ZoneId("a"), rng=rng),
            boot=boot,
            rng=rng,
        )
        self.keeper = EndKeeper(
            self.ledger, clock=lambda: time.time() + wall_ahead_s, keeps=lambda f: True
        )
        self.watch.quarantine_records = self.keeper.to_keep
        self.watch.on_quarantine_records = self.keeper.take_kept

    def learn(self, ends):
        now = trio.current_time()
        for number in range(ends):
            end = End(UpstreamId(f"u{number}"), now - 10 + number, number=1)
            self.ledger.ended(FINGERPRINT, end)


LEARNERS = {
    "reads the rows": {},
    "reads the rows, and knew of 3": {"knew": 3},
    "reads the rows, after an answer": {"answered": True},
    "reads the rows twice": {"reads": 2},
    "reads the rows with another time of day": {"wall_ahead_s": 5.0},
}


async def learn_from_rows(ends, learns):
    platform = MemoryPlatform()
    first = Kept("first", platform, "b-1")
    first.learn(ends)
    await first.watch._renew()
    if learns == "starts under the same name":
        again = Kept("first", platform, "b-2")
        await again.watch._renew()
        return again.ledger
    how = dict(LEARNERS[learns])
    other = Kept("other", platform, "b", wall_ahead_s=how.get("wall_ahead_s", 0.0))
    other.learn(how.get("knew", 0))
    if how.get("answered"):
        other.learn(1)
        other.ledger.clear(FINGERPRINT, now=trio.current_time())
    for _ in range(how.get("reads", 1)):
        await first.watch._renew()
        await other.watch._poll_instances()
    return other.ledger


@when("an instance knows of {ends:d} ends under a request, and another {learns}")
def learns_ends(context, ends, learns):
    context.ledger = trio.run(learn_from_rows, ends, learns)


@then("the other knows of {known:d}")
def knows_ends(context, known):
    assert len(context.ledger.upstreams_of(FINGERPRINT)) == known


@when("of two requests one met the ends {one}, the other {other}")
def two_requests(context, one, other):
    context.ledger = ledger = EndLedger()
    met = {OTHER: one.split(), FINGERPRINT: other.split()}
    for at, name in enumerate("abcdef"):
        for fingerprint, names in met.items():
            for weak in (False, True):
                if name + "~" * weak in names:
                    end = End(UpstreamId(name), float(at), number=1, weak=weak)
                    ledger.ended(fingerprint, end)
    # Word of the same ends comes late from others, and changes nothing.
    for at, name in enumerate("abcdef"):
        if {name, name + "~"} & set(met[FINGERPRINT]):
            tell(ledger, name, 9.0, float(at))


@then("{held:d} ends are held against the other; as an item it may run after {s:d} s")
def ends_of_other(context, held, s):
    ledger = context.ledger
    last = max(end.at for end in ledger.ends_of(FINGERPRINT))
    verdict = ledger.verdict(FINGERPRINT, now=last, pauses_s=ITEM_PAUSES_S)
    assert verdict.ends == held, verdict
    assert abs(verdict.retry_after_s - s) < 1e-6, verdict
    assert (FINGERPRINT in ledger.quarantined(now=last)) == (s > 0)
