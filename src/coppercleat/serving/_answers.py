"""Passes an upstream's answer on to the client."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from coppercleat.serving._answer_use import Use
from coppercleat.serving._events import EventSplitter
from coppercleat.serving._exchange import Exchange
from coppercleat.serving._progress import AttemptEnd, Passed
from coppercleat.serving._sequence import EventSequence
from coppercleat.serving._upstream_call import UpstreamAnswer

_MAX_BUFFERED_BYTES = 1_000_000
"""An answer to an idempotent request is held back up to this size, so that the
request can still go elsewhere if the answer is cut."""


async def _pass_events(exchange: Exchange, answer: UpstreamAnswer) -> AttemptEnd:
    """Passes whole events on as they come, so that a cut can be mended."""
    splitter = EventSplitter()
    sequence = EventSequence(exchange.progress.last_event)
    async for data in answer.body:
        whole, in_order = sequence.take(splitter.feed(data))
        if whole:
            exchange.heard_at = trio.current_time()
            await exchange.begin(answer, Passed.EVENTS)
            # Counted and sent without a checkpoint in between that could part them.
            exchange.progress.note_passed(whole)
            await exchange.reply.send(b"".join(event.raw for event in whole))
        if not in_order:
            exchange.reason = "an event is out of order"
            return exchange.cut()
    incomplete = why_incomplete(
        splitter,
        sequence,
        framed=answer.framed,
        may_move=exchange.progress.may_move,
    )
    if incomplete:
        exchange.reason = incomplete
        return exchange.cut()
    await exchange.begin(answer, Passed.EVENTS)
    if splitter.rest:
        await exchange.reply.send(splitter.rest)
    return await exchange.finish()


def why_incomplete(
    splitter: EventSplitter, sequence: EventSequence, *, framed: bool, may_move: bool
) -> str:
    """Returns why a run whose body has ended is not complete, nothing if it is.

    A run that goes on after what turns out to be the last event has none. Its body
    must then tell its own end: a connection that only ends proves nothing. An answer
    without any event is asked for elsewhere, as a failure is, and is what it is if
    nobody else may be asked.

    Args:
      splitter: Has taken the whole body.
      sequence: Has taken its events.
      framed: Whether the body told its own end.
      may_move: Whether another upstream could be asked instead.
    """
    if splitter.rest.strip():
        return "the answer ended inside an event"
    if sequence.length:
        return ""
    if not framed:
        return "the answer ended without an event, length or last chunk"
    if sequence.last is None and may_move:
        return "the answer ended without an event"
    return ""


async def _pass_body(exchange: Exchange, answer: UpstreamAnswer) -> AttemptEnd:
    """Passes any other body on; holds it back while it could be mended."""
    held: list[bytes] = []
    size = 0
    async for data in answer.body:
        size += len(data)
        if exchange.progress.may_move and size <= _MAX_BUFFERED_BYTES:
            held.append(data)
            continue
        await exchange.begin(answer, Passed.PLACELESS)
        await exchange.reply.send(b"".join([*held, data]))
        held.clear()
    await exchange.begin(answer, Passed.PLACELESS)
    if held:
        await exchange.reply.send(b"".join(held))
    return await exchange.finish()


PASS: dict[Use, Callable[[Exchange, UpstreamAnswer], Awaitable[AttemptEnd]]] = {
    Use.BODY: _pass_body,
    Use.EVENTS: _pass_events,
}
"""What passes an answer on, by its use."""
