"""Answers of upstreams with one byte spoiled outside of the events' data.

The whole answer is drawn from a seed, and so are the chunks in which it comes. A sound
upstream answers every later attempt.
"""

from __future__ import annotations

import contextlib
import random
import re
from collections.abc import Callable
from typing import Any

import trio
import trio.testing

from coppercleat.ids import InstanceId, JobId, RequestId, ZoneId
from coppercleat.jobs import ItemRunner, ItemSpec, JobRow, JobRun, StoredJob
from coppercleat.serving import (
    Admission,
    AdmissionQueue,
    Forwarder,
    OnlineRequest,
    Placement,
    UpstreamResponse,
)
from coppercleat.upstreams import AttemptState
from tests.harness._jobs import HOST, PREFIX, make_route
from tests.harness._links import roomy_upstream

_DATA = re.compile(rb"(?<=data): [^\n]*")
"""What follows the name of the field: another byte there is other data."""


def sound_answer(after: int, events: int) -> bytes:
    """Returns the events of a sound upstream after some event."""
    numbers = range(after + 1, events + 1)
    return b"".join(b"id: %d\ndata: word %d\n\n" % (n, n) for n in numbers)


def spoil(answer: bytes, rng: random.Random) -> bytes:
    """Returns an answer with one byte other, gone, doubled or added."""
    data = {i for m in _DATA.finditer(answer) for i in range(m.start(), m.end() + 1)}
    at = rng.choice([i for i in range(len(answer)) if i not in data])
    byte = bytes([rng.choice((rng.randrange(256), *b"0179:\n\r -i"))])
    part = rng.choice((byte, b"", answer[at : at + 1] * 2, byte + answer[at : at + 1]))
    return answer[:at] + part + answer[at + 1 :]


class SpoilingCaller:
    """Spoils the first answer; all others are sound.

    Attributes:
      events: Events of a whole output.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.events = self.rng.randint(1, 12)
        self.spoiled = False

    @contextlib.asynccontextmanager
    async def exchange(self, upstream: Any, request: Any, **options: Any) -> Any:
        options["attempt"].move(AttemptState.SENT)
        answer = sound_answer(options["resume_after"] or 0, self.events)
        if not self.spoiled:
            answer = spoil(answer, self.rng)
            self.spoiled = True
        yield UpstreamResponse(
            status=200,
            headers=[(b"content-type", b"text/event-stream")],
            refused=False,
            wrong_upstream=False,
            authenticated=True,
            body=self._body(answer),
        )

    async def _body(self, answer: bytes) -> Any:
        while answer:
            size = self.rng.choice((1, 7, 30, len(answer)))
            yield answer[:size]
            answer = answer[size:]
            await trio.sleep(0.01)


def _placement() -> Placement:
    placement = Placement(ZoneId("a"), rng=random.Random(1))
    placement.replace([roomy_upstream(name) for name in ("x", "y", "z")])
    return placement


def _in_no_time(play: Callable[..., Any], *args: Any) -> Any:
    return trio.run(play, *args, clock=trio.testing.MockClock(autojump_threshold=0))


def answer_item(seed: int) -> str:
    """Returns what is wrong with an item's text; empty if nothing is."""
    caller = SpoilingCaller(seed)
    row = JobRow(
        job=JobId("job"),
        host=HOST,
        path=PREFIX,
        tokens=(100,),
        accepted_at=0.0,
        due_at=60.0,
        expires_at=60.0,
    )
    run = JobRun(StoredJob(row, 1), [ItemSpec("item", PREFIX, [], b"", 100)], {})
    _in_no_time(_run_item, run, caller)
    if not run.finished:
        return "not done"
    wanted = "\n".join(f"word {n}" for n in range(1, caller.events + 1)).encode()
    (done,) = run.finished
    return "" if done.text == wanted else repr(done.text)


async def _run_item(run: JobRun, caller: Any) -> None:
    placement = _placement()
    items = ItemRunner(
        placement,
        caller,
        instance=InstanceId("me"),
        on_change=lambda state, started: None,
        on_end=lambda outcome: None,
    )
    for state in [*placement.states.values()] * 2:
        if run.pending:
            await items.run(
                items.claim_slot(run, run.pending[0], state), make_route("R")
            )


class _Reply:
    """A reply that keeps what a client would see."""

    def __init__(self) -> None:
        self.body = b""
        self.whole = False

    async def start(self, status: int, headers: Any) -> None: ...

    async def send(self, data: bytes) -> None:
        self.body += data

    async def finish(self) -> None:
        self.whole = True

    async def abort(self) -> None: ...

    async def refuse(self, refusal: Any) -> None: ...


def answer_stream(seed: int) -> str:
    """Returns what is wrong with a stream that ended as complete; empty for nothing."""
    caller, reply = SpoilingCaller(seed), _Reply()
    _in_no_time(_forward, caller, reply)
    data = re.findall(rb"^data: (.*)$", reply.body, re.MULTILINE)
    wanted = [b"word %d" % n for n in range(1, caller.events + 1)]
    sound = data == wanted or (not reply.whole and data == wanted[: len(data)])
    return "" if sound else repr(reply.body)


async def _forward(caller: Any, reply: _Reply) -> None:
    admission = Admission(
        AdmissionQueue(_placement(), rng=random.Random(1)),
        on_change=lambda state, started: None,
        on_queue_change=lambda: None,
    )
    forwarder = Forwarder(admission, caller, on_end=lambda end: None)
    request = OnlineRequest(
        request_id=RequestId("r"),
        method="POST",
        host=HOST,
        target=b"/x",
        headers=[],
        allowed_s=5.0,
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(admission.run)
        nursery.start_soon(forwarder.stall_detector.run)
        await forwarder.forward(request, make_route("R"), reply)
        nursery.cancel_scope.cancel()


ANSWERED: dict[str, Callable[[int], str]] = {
    "items": answer_item,
    "resumable streams": answer_stream,
}
"""Plays a seed, by what gets the answers in the feature's words."""
