"""Steps for requests whose upstream is silent, with the clock of the test."""

import contextlib
import random

import msgspec
import trio
import trio.testing
from behave import then, when

from coppercleat.ids import RequestId, SoftwareVersion, UpstreamId, ZoneId
from coppercleat.serving import (
    Admission,
    AdmissionQueue,
    Forwarder,
    OnlineRequest,
    Placement,
    Route,
    RouteKind,
    Target,
    Upstream,
    UpstreamResponse,
)
from coppercleat.upstreams import AttemptState

ROUTE = Route(
    name="ask",
    host="ask.example",
    prefix="/",
    kind=RouteKind.STREAM,
    targets=(Target("menus", 1.0),),
    timeout_s=5.0,
    target_latency_s=0.3,
    gap_target_s=0.25,
    max_attempts=2,
    resumable=True,
)


class SilentFirst:
    """A caller whose first upstream sends nothing for a while."""

    def __init__(self, silent_s):
        self.silent_s = silent_s
        self.asked = []

    @contextlib.asynccontextmanager
    async def exchange(self, upstream, request, **options):
        options["attempt"].move(AttemptState.SENT)
        self.asked.append(upstream.id)
        if len(self.asked) == 1:
            await trio.sleep(self.silent_s)

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


class Kept:
    """A reply that keeps what it gets."""

    def __init__(self):
        self.body = b""

    async def start(self, status, headers):
        pass

    async def send(self, data):
        self.body += data

    async def finish(self):
        pass

    async def abort(self):
        pass

    async def refuse(self, refusal):
        self.body = refusal.detail.encode()


@when("the first of 2 upstreams is silent for {silent:g} s and {free:d} slots are open")
def silent_upstream(context, silent, free):
    placement = Placement(ZoneId("a"), rng=random.Random(1))
    placement.replace(
        Upstream(
            id=UpstreamId(name),
            service="menus",
            address="10.0.0.1:1",
            zone=ZoneId("a"),
            slots=1,
            version=SoftwareVersion("v1"),
        )
        for name in ("x", "y")
    )
    placement.states[UpstreamId("y")].online = 1
    caller, reply = SilentFirst(silent), Kept()

    async def run():
        admission = Admission(
            AdmissionQueue(placement, rng=random.Random(1)),
            on_change=lambda state, started: None,
            on_queue_change=lambda: None,
        )
        forwarder = Forwarder(admission, caller, on_end=lambda end: None)
        request = OnlineRequest(
            request_id=RequestId("r"),
            method="POST",
            host="ask.example",
            target=b"/x",
            headers=[],
            allowed_s=5.0,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(admission.run)
            nursery.start_soon(forwarder.stall_detector.run)
            nursery.start_soon(free_later)
            context.step = await forwarder.forward(request, ROUTE, reply)
            nursery.cancel_scope.cancel()

    async def free_later():
        await trio.sleep(0.1)
        placement.states[UpstreamId("y")].online = 1 - free

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    context.asked, context.body = caller.asked, reply.body


@then("the answer is whole, from {upstreams}")
def whole_answer(context, upstreams):
    assert context.body == b"id: 1\ndata: a\n\n", context.body
    assert context.step.value == "done", context.step
    assert " ".join(context.asked) == upstreams, context.asked


class SilentForEver:
    """A caller to whom no upstream ever says anything."""

    @contextlib.asynccontextmanager
    async def exchange(self, upstream, request, **options):
        options["attempt"].move(AttemptState.SENT)
        await trio.sleep_forever()
        yield


@when("{runs:d} runs at each of {upstreams:d} upstreams fall silent {when_they_do}")
def fall_silent(context, runs, upstreams, when_they_do):
    apart_s = {"one by one": 0.16, "in turn": 0.04}.get(when_they_do, 0.0)
    context.placement = Placement(ZoneId("a"), rng=random.Random(1))
    context.placement.replace(
        Upstream(
            id=UpstreamId(f"u{number}"),
            service="menus",
            address="10.0.0.1:1",
            zone=ZoneId("a"),
            slots=8,
            version=SoftwareVersion("v1"),
        )
        for number in range(upstreams)
    )
    context.ended_at = trio.run(
        _fall_silent,
        context.placement,
        runs * upstreams,
        apart_s,
        clock=trio.testing.MockClock(autojump_threshold=0),
    )


async def _fall_silent(placement, runs, apart_s):
    """Returns when the last run ended."""
    admission = Admission(
        AdmissionQueue(placement, rng=random.Random(1)),
        on_change=lambda state, started: None,
        on_queue_change=lambda: None,
    )
    forwarder = Forwarder(admission, SilentForEver(), on_end=lambda end: None)
    route = msgspec.structs.replace(ROUTE, resumable=False, max_attempts=1)

    async with trio.open_nursery() as nursery:
        for number in range(runs):
            request = OnlineRequest(
                request_id=RequestId(f"r{number}"),
                method="POST",
                host="ask.example",
                target=b"/x",
                headers=[],
                allowed_s=2.0,
            )
            nursery.start_soon(forwarder.forward, request, route, Kept())
            await trio.sleep(apart_s)
    return trio.current_time()


@then("{ejected:d} of the upstreams are ejected and {suspect:d} seem to fail")
def few_ejected(context, ejected, suspect):
    now = context.ended_at
    states = context.placement.states.values()
    assert sum(state.breaker.retry_after_s(now) > 0 for state in states) == ejected
    assert len(context.placement.suspects(now)) == suspect
