"""Passes an upstream's answer on to the client."""

from __future__ import annotations

import trio

from coppercleat.serving._events import EventSplitter, StreamEvent
from coppercleat.serving._exchange import Exchange
from coppercleat.serving._progress import AttemptEnd
from coppercleat.serving._upstream_call import UpstreamAnswer

_MAX_BUFFERED_BYTES = 1_000_000
"""An answer to an idempotent request is held back up to this size, so that the
request can still go elsewhere if the answer is cut."""


async def pass_events(exchange: Exchange, answer: UpstreamAnswer) -> AttemptEnd:
    """Passes whole events on as they come, so that a cut can be mended."""
    progress = exchange.progress
    splitter = EventSplitter()
    async for data in answer.body:
        whole, in_order = _in_order(splitter.feed(data), progress.last_event)
        if whole:
            exchange.heard_at = trio.current_time()
            await exchange.start_answer(answer.status, answer.headers)
            # Counted and sent without a checkpoint in between that could part them.
            numbers = [e.number for e in whole if e.number is not None]
            progress.last_event = numbers[-1] if numbers else progress.last_event
            await exchange.reply.send(b"".join(event.raw for event in whole))
        if not in_order:
            exchange.reason = "an event is out of order"
            return exchange.cut()
    if splitter.rest.strip():
        exchange.reason = "the answer ended inside an event"
        return exchange.cut()
    await exchange.start_answer(answer.status, answer.headers)
    progress.finished = True
    await exchange.reply.finish()
    return AttemptEnd.COMPLETE


async def pass_body(exchange: Exchange, answer: UpstreamAnswer) -> AttemptEnd:
    """Passes any other body on; holds it back while it could be mended."""
    held: list[bytes] = []
    size = 0
    async for data in answer.body:
        size += len(data)
        if exchange.progress.may_move and size <= _MAX_BUFFERED_BYTES:
            held.append(data)
            continue
        await exchange.start_answer(answer.status, answer.headers)
        await exchange.reply.send(b"".join([*held, data]))
        held.clear()
    await exchange.start_answer(answer.status, answer.headers)
    if held:
        await exchange.reply.send(b"".join(held))
    exchange.progress.finished = True
    await exchange.reply.finish()
    return AttemptEnd.COMPLETE


def _in_order(
    events: list[StreamEvent], last: int | None
) -> tuple[list[StreamEvent], bool]:
    """Returns the events that follow the last one, and whether that is all of them."""
    for index, event in enumerate(events):
        if event.number is None:
            continue
        if last is not None and event.number != last + 1:
            return events[:index], False
        last = event.number
    return events, True
