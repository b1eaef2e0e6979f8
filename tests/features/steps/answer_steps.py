"""Steps for answers that are cut and go on elsewhere, with the clock of the test."""

import contextlib
import random

import attrs
import trio
import trio.testing
from behave import then, when

from coppercleat.ids import (
    InstanceId,
    JobId,
    RequestId,
    SoftwareVersion,
    UpstreamId,
    ZoneId,
)
from coppercleat.jobs import ItemRunner, ItemSpec, JobRow, JobRun, StoredJob
from coppercleat.serving import (
    Admission,
    AdmissionQueue,
    Forwarder,
    OnlineRequest,
    Placement,
    Route,
    RouteKind,
    StreamOrigin,
    Target,
    Upstream,
    UpstreamCallError,
    UpstreamResponse,
)
from coppercleat.upstreams import AttemptState

EVENTS = [(b"content-type", b"text/event-stream")]

ORIGIN = StreamOrigin("menus", SoftwareVersion("v1"))
"""Of all upstreams here, and of the stream that a client takes up."""

ROUTES = {
    "stream": (RouteKind.STREAM, False),
    "resumable": (RouteKind.STREAM, True),
    "idempotent": (RouteKind.IDEMPOTENT, False),
    "idempotent resumable": (RouteKind.IDEMPOTENT, True),
    "once resumable": (RouteKind.AT_MOST_ONCE, True),
}

HEADERS = {
    "text": [(b"Content-Type", b"text/plain")],
    "untyped": [],
    "gzip": [*EVENTS, (b"Content-Encoding", b"gzip")],
    "charset": [(b"content-type", b"Text/Event-Stream; charset=utf-8")],
    "length": [*EVENTS, (b"Content-Length", b"40")],
}

TOKENS = 6
"""Of an item, prompt and output: it has so many events at most."""

LARGE = b"L" * 1_000_001

MALFORMED = {
    "digits": b"id: " + b"7" * 5_000 + b"\ndata: spoiled\n\n",
    "19-digits": b"id: " + b"7" * 19 + b"\ndata: spoiled\n\n",
    "signed": b"id: +2\ndata: spoiled\n\n",
    "padded": b"id:  2\ndata: spoiled\n\n",
    "zero-led": b"id: 02\ndata: spoiled\n\n",
    "arabic": "id: \u0662\ndata: spoiled\n\n".encode(),
    "letters": b"id: 2x\ndata: spoiled\n\n",
    "no-id": b"id:\ndata: spoiled\n\n",
    "two-ids": b"id: 2\nid: 2\ndata: spoiled\n\n",
    "no-data": b"id: 2\n\n",
    "bytes": b"\x00\xff\xfe\n\n",
    "size-line": b"1c\r\nid: 2\ndata: spoiled\n\n",
}
"""Events that no upstream can have meant to send; sound ones would be event 2."""


@attrs.frozen
class Script:
    """An answer in words; see the examples of ``an answer that is cut``."""

    words: list[str]

    def answer(self):
        headers = EVENTS
        options = {}
        status, *rest = self.words
        for word in rest:
            headers = HEADERS.get(word, headers)
            if word == "unframed":
                options["self_delimited"] = False
        return UpstreamResponse(
            status=int(status),
            headers=headers,
            refused=False,
            wrong_upstream=False,
            authenticated="unstamped" not in self.words,
            body=self.body(),
            **options,
        )

    async def body(self):
        for word in self.words[1:]:
            await trio.sleep(0.01)
            if word == "cut":
                raise UpstreamCallError("the answer was cut")
            if word == "bug":
                raise ValueError("an error that no code expects")
            if part := part_of(word):
                yield part


def part_of(word):
    """Returns the bytes that a word of a script stands for."""
    if word.isdigit():
        return f"id: {word}\ndata: word {word}\n\n".encode()
    parts = {
        "x": b"data: no number\n\n",
        "c": b": no data\n\n",
        "torn": b"id: 9\nda",
        "blank": b"\n",
        "oops": b"oops",
        "large": LARGE,
        **MALFORMED,
    }
    return parts.get(word, b"")


class ScriptedCaller:
    """A caller whose upstreams answer in turn as scripts say."""

    def __init__(self, scripts):
        self.scripts = scripts
        self.resumed_after = []

    @contextlib.asynccontextmanager
    async def exchange(self, upstream, request, **options):
        options["attempt"].move(AttemptState.SENT)
        self.resumed_after.append(options["resume_after"])
        yield Script(self.scripts[len(self.resumed_after) - 1].split()).answer()

    @property
    def asked_after(self):
        return " ".join(str(number).lower() for number in self.resumed_after)


class Client:
    """A reply that keeps what a client would see."""

    def __init__(self):
        self.status = 0
        self.headers = []
        self.body = b""
        self.end = ""

    async def start(self, status, headers):
        assert not self.status, "a second head"
        self.status, self.headers = status, headers

    async def send(self, data):
        assert self.status and not self.end, "a part out of place"
        self.body += data

    async def finish(self):
        assert self.status and not self.end, "an end out of place"
        self.end = "whole"

    async def abort(self):
        assert not self.end, "an end out of place"
        self.end = "cut"

    async def refuse(self, refusal):
        assert not self.status, "a second head"
        self.end = refusal.reason.value


@when(
    "upstreams answer a {route} request in turn: {scripts}, "
    "to a client that sends {method} and has {had}"
)
def answers_in_turn(context, route, scripts, method, had):
    kind, resumable = ROUTES[route]
    route = Route(
        name="ask",
        host="ask.example",
        prefix="/",
        kind=kind,
        targets=(Target("menus", 1.0),),
        timeout_s=5.0,
        max_attempts=2,
        resumable=resumable,
    )
    request = OnlineRequest(
        request_id=RequestId("r"),
        method=method,
        host="ask.example",
        target=b"/x",
        headers=[],
        allowed_s=5.0,
        resume_after=None if had == "none" else int(had),
        resumes=None if had == "none" else RequestId("the first"),
    )
    context.caller = ScriptedCaller(scripts.split(" / "))
    context.client = Client()
    trio.run(
        forward,
        request,
        route,
        context.caller,
        context.client,
        clock=trio.testing.MockClock(autojump_threshold=0),
    )


def two_upstreams():
    placement = Placement(ZoneId("a"), rng=random.Random(1))
    placement.replace(
        Upstream(
            id=UpstreamId(name),
            service="menus",
            address="10.0.0.1:1",
            zone=ZoneId("a"),
            slots=1,
            version=ORIGIN.version,
        )
        for name in ("x", "y")
    )
    return placement


async def find_origin(stream):
    return ORIGIN


async def forward(request, route, caller, client):
    placement = two_upstreams()
    admission = Admission(
        AdmissionQueue(placement, rng=random.Random(1)),
        on_change=lambda state, started: None,
        on_queue_change=lambda: None,
    )
    forwarder = Forwarder(admission, caller, on_end=lambda end: None)
    forwarder.find_origin = find_origin
    async with trio.open_nursery() as nursery:
        nursery.start_soon(admission.run)
        nursery.start_soon(forwarder.stall_detector.run)
        await forwarder.forward(request, route, client)
        nursery.cancel_scope.cancel()


@then("the client has {body}, {end}, and the upstreams were asked after {after}")
def client_has(context, body, end, after):
    client = context.client
    wanted = b"".join(part_of(word) for word in body.split())
    assert client.body == wanted, client.body
    assert client.end == end, client.end
    assert context.caller.asked_after == after, context.caller.asked_after


@then("its head has {status:d} and {length} length")
def head_has(context, status, length):
    lengths = [h for h in context.client.headers if h[0].lower() == b"content-length"]
    assert context.client.status == status, context.client.status
    assert bool(lengths) == (length == "a"), lengths


@when("an item's runs are answered in turn: {scripts}")
def item_runs(context, scripts):
    route = Route(
        name="week",
        host="jobs.example",
        prefix="/",
        kind=RouteKind.BATCH,
        targets=(Target("menus", 1.0),),
        timeout_s=5.0,
        max_attempts=3,
    )
    row = JobRow(
        job=JobId("job"),
        host="jobs.example",
        path="/",
        tokens=(1,),
        accepted_at=0.0,
        due_at=60.0,
        expires_at=60.0,
    )
    context.run = JobRun(
        StoredJob(row, 1), [ItemSpec("item", "/", [], b"", TOKENS)], {}
    )
    context.caller = ScriptedCaller(scripts.split(" / "))
    trio.run(
        run_item,
        context.run,
        route,
        context.caller,
        clock=trio.testing.MockClock(autojump_threshold=0),
    )


async def run_item(run, route, caller):
    placement = two_upstreams()
    items = ItemRunner(
        placement,
        caller,
        instance=InstanceId("me"),
        on_change=lambda state, started: None,
        on_end=lambda outcome: None,
    )
    for _ in caller.scripts:
        assert run.pending, "it ended before its last run"
        state = placement.states[UpstreamId("x")]
        await items.run(items.claim_slot(run, run.pending[0], state), route)


@then("the item is {state} with {text} after runs from {after}")
def item_is(context, state, text, after):
    (done,) = context.run.finished
    assert done.state.value == state, done
    wanted = "\n".join(f"word {word}" for word in text.split() if word != "-")
    assert done.text == wanted.encode(), done
    assert context.caller.asked_after == after, context.caller.asked_after
