"""Steps for processes that get no processor time for a while."""

import contextlib
import random
import socket
import time

import structlog
import structlog.testing
import trio
import trio.testing
from behave import given, then, when

from coppercleat.errors import UpstreamUnavailableError
from coppercleat.gateway import Standstill
from coppercleat.ids import RequestId, UpstreamId, ZoneId
from coppercleat.platform import HttpUpstreamCaller
from coppercleat.serving import (
    Admission,
    AdmissionQueue,
    Forwarder,
    LoadProber,
    OnlineRequest,
    Placement,
    Route,
    RouteKind,
    Target,
    Upstream,
    UpstreamCallError,
    UpstreamNotListeningError,
    UpstreamReport,
)
from coppercleat.upstreams import Attempt, UpstreamClient
from tests.features.steps.answer_steps import Client, Script, part_of

ANSWER = (
    b"HTTP/1.1 200 OK\r\nrequest-id: r\r\nx-request-id: r\r\ncontent-length: 25\r\n\r\n"
    b'{"running":0,"queued":0}\n'
)


def upstream_at(address, name="x", zone="a"):
    return Upstream(
        id=UpstreamId(name),
        service="menus",
        address=address,
        zone=ZoneId(zone),
        slots=8,
    )


def a_request():
    return OnlineRequest(
        request_id=RequestId("r"),
        method="POST",
        host="ask.example",
        target=b"/x",
        headers=[],
        allowed_s=5.0,
    )


async def send(address):
    caller = HttpUpstreamCaller()
    async with caller.exchange(
        upstream_at(address),
        a_request(),
        attempt=Attempt(),
        allowed_s=5.0,
        resume_after=None,
    ) as answer:
        return answer.status


async def ask(address):
    return await HttpUpstreamCaller().report(upstream_at(address))


async def send_on_pool(address):
    client = UpstreamClient(UpstreamId("x"), address, connect_timeout_s=0.1)
    try:
        return await client.call("/x", b"{}", Attempt(), request_id="r")
    finally:
        await client.aclose()


CALLS = {
    "sends a request to an upstream": send,
    "asks an upstream for its load": ask,
    "sends a request on a pool of kept connections": send_on_pool,
}


async def answer_one(stream):
    with contextlib.suppress(trio.BrokenResourceError):
        await stream.receive_some(10_000)
        await stream.send_all(ANSWER)


FIRST_STEPS = 12
"""Turns of its event loop in which a call connects and sends."""


@when("a process stands still for {seconds:g} s at each step as it {does}")
def stands_still_as(context, seconds, does):
    context.answers = []

    async def call(address, nursery):
        try:
            context.answers.append(await CALLS[does](address))
        except (UpstreamCallError, UpstreamUnavailableError) as error:
            context.answers.append(error)
        nursery.cancel_scope.cancel()

    async def run(step):
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, answer_one, listeners)
            port = listeners[0].socket.getsockname()[1]
            nursery.start_soon(call, f"127.0.0.1:{port}", nursery)
            for _ in range(step):
                await trio.lowlevel.checkpoint()
            time.sleep(seconds)

    for step in range(FIRST_STEPS):
        trio.run(run, step)


@then("it has its answer each time")
def has_answer(context):
    lost = [error for error in context.answers if isinstance(error, Exception)]
    assert len(context.answers) == FIRST_STEPS and not lost, lost


@when("an upstream takes no connection as a process {does}")
def takes_no_connection(context, does):
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(
            socket.create_server(("127.0.0.1", 0), backlog=0)
        )
        address = listener.getsockname()
        # What nobody takes fills the queue; further connections wait.
        for _ in range(2):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(address)
        began = time.monotonic()
        context.error = None
        try:
            trio.run(CALLS[does], f"127.0.0.1:{address[1]}")
        except (UpstreamCallError, UpstreamUnavailableError) as error:
            context.error = error
        context.took_s = time.monotonic() - began


@then("it has no answer, and knows so after {least:g} to {most:g} s")
def knows_so(context, least, most):
    assert context.error is not None
    assert least <= context.took_s <= most, context.took_s


class UnreachedCaller:
    """An upstream that takes some connections late, or refuses them."""

    def __init__(self, answers):
        self.answers = answers
        self.tries = 0

    @contextlib.asynccontextmanager
    async def exchange(self, upstream, request, *, attempt, **options):
        words = self.answers[self.tries]
        self.tries += 1
        if words == "late":
            await trio.sleep(0.1)
            raise UpstreamCallError("ConnectTimeout", disconnected=True)
        if words == "refused":
            raise UpstreamNotListeningError("ConnectError", disconnected=True)
        attempt.move(attempt.state.SENT)
        yield Script(words.split()).answer()


@when("the only upstream {does}: {answers}")
def only_upstream(context, does, answers):
    context.caller = UnreachedCaller(answers.split(" / "))
    context.client = Client()
    route = Route(
        name="ask",
        host="ask.example",
        prefix="/",
        kind=RouteKind.STREAM,
        targets=(Target("menus", 1.0),),
        timeout_s=5.0,
        max_attempts=1,
    )

    async def run():
        placement = Placement(ZoneId("a"), rng=random.Random(1))
        placement.replace([upstream_at("10.0.0.1:1")])
        admission = Admission(
            AdmissionQueue(placement, rng=random.Random(1)),
            on_change=lambda state, started: None,
            on_queue_change=lambda: None,
        )
        forwarder = Forwarder(admission, context.caller, on_end=lambda end: None)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(admission.run)
            await forwarder.forward(a_request(), route, context.client)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then("the client has {body}, {end}, after {tries:d} tries")
def client_has_after(context, body, end, tries):
    wanted = b"".join(part_of(word) for word in body.split())
    assert context.client.body == wanted, context.client.body
    assert context.client.end == end, context.client.end
    assert context.caller.tries == tries, context.caller.tries


@given("a start of an instance before upstreams x and y, x in its own zone")
def just_started(context):
    context.placement = Placement(ZoneId("a"), rng=random.Random(1))
    context.placement.replace(
        [upstream_at("10.0.0.1:1", "x", "a"), upstream_at("10.0.0.2:1", "y", "b")]
    )


@when("x does not report for {seconds:g} s, and y does")
def x_does_not_report(context, seconds):
    class Reports:
        async def report(self, upstream):
            await trio.sleep(0.01)
            if upstream.id == "x" and trio.current_time() < began + seconds:
                raise UpstreamCallError("away")
            return UpstreamReport(running=0, waiting=0)

    context.chosen = []
    load_prober = LoadProber(context.placement, Reports(), rng=random.Random(1))

    async def run():
        nonlocal began
        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load_prober.run)
            while (after := trio.current_time() - began) < 3:
                chosen = context.placement.choose_online(
                    "menus", tried=(), now=trio.current_time()
                )
                context.chosen.append((after, chosen.id))
                await trio.sleep(0.02)
            nursery.cancel_scope.cancel()

    began = 0.0
    context.away_s = seconds
    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@when("x reports {runs:d} runs, and y none")
def x_reports_runs(context, runs):
    class Reports:
        async def report(self, upstream):
            await trio.sleep(0.002)
            return UpstreamReport(running=runs if upstream.id == "x" else 0, waiting=0)

    context.chosen = []
    load_prober = LoadProber(context.placement, Reports(), rng=random.Random(1))

    async def run():
        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load_prober.run)
            while (after := trio.current_time() - began) < 0.5:
                chosen = context.placement.choose_online(
                    "menus", tried=(), now=trio.current_time()
                )
                context.chosen.append((after, chosen.id))
                await trio.sleep(0.01)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then("{after:d} ms after the start requests go to {where}")
def goes_at(context, after, where):
    found = {u for at, u in context.chosen if abs(at - after / 1000) < 0.03}
    assert found == {where}, found


@then("requests go to y until x has reported, and to x afterwards")
def goes_where_known(context):
    # y's first report takes 0.2 s until it is asked, and 0.11 s.
    early = {u for after, u in context.chosen if 0.35 < after < context.away_s}
    late = {u for after, u in context.chosen if after > context.away_s + 0.6}
    assert early == {"y"}, early
    assert late == {"x"}, late


@when("an instance stands still for {seconds:g} s")
def instance_stands_still(context, seconds):
    standstill = Standstill()

    async def run():
        with trio.move_on_after(2.5):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(standstill.run)
                await trio.sleep(0.5)
                time.sleep(seconds)
                await trio.sleep(0.6)
                context.longest_s = standstill.longest_s

    with structlog.testing.capture_logs() as lines:
        trio.run(run)
    context.lines = [line for line in lines if "stood still" in line["event"]]


@then("it writes one line that says so, and its metric has at least {least:g} s")
def says_so(context, least):
    assert len(context.lines) == 1, context.lines
    assert context.longest_s >= least, context.longest_s


@then("gateway 1 says that over {count:d} objects are left out of garbage collection")
def left_out(context, count):
    page = context.fleet.run(context.fleet.metrics, "gateway-1")
    name = "coppercleat_startup_objects "
    [value] = [line for line in page.splitlines() if line.startswith(name)]
    assert float(value.split()[1]) > count, value
