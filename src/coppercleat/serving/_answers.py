"""Forwards the body of an upstream's response to the client."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from coppercleat.serving._answer_use import ForwardingMode
from coppercleat.serving._events import EventStreamParser
from coppercleat.serving._exchange import Exchange
from coppercleat.serving._progress import AttemptOutcome, ForwardedPart
from coppercleat.serving._sequence import EventSequence
from coppercleat.serving._upstream_call import UpstreamResponse

_MAX_BUFFERED_BYTES = 1_000_000
"""Up to this size the response to an idempotent request is buffered, so that the
request can still fail over if the response is cut off."""


async def _forward_events(
    exchange: Exchange, response: UpstreamResponse
) -> AttemptOutcome:
    """Forwards complete events only, so that another upstream can resume after them."""
    parser = EventStreamParser()
    sequence = EventSequence(exchange.progress.last_event)
    async for data in response.body:
        complete, in_order = sequence.take(parser.feed(data))
        if complete:
            exchange.last_received_at = trio.current_time()
            exchange.record_origin()
            await exchange.send_head(response, ForwardedPart.EVENTS)
            # No checkpoint between the two calls, so that no cancellation parts them.
            exchange.progress.record_forwarded(complete)
            await exchange.reply.send(b"".join(event.raw for event in complete))
        if not in_order:
            exchange.reason = "an event is out of order"
            return exchange.broken_outcome()
    reason = incompleteness_reason(
        parser,
        sequence,
        self_delimited=response.self_delimited,
        may_fail_over=exchange.progress.may_fail_over,
    )
    if reason:
        exchange.reason = reason
        return exchange.broken_outcome()
    await exchange.send_head(response, ForwardedPart.EVENTS)
    if parser.remainder:
        await exchange.reply.send(parser.remainder)
    return await exchange.finish()


def incompleteness_reason(
    parser: EventStreamParser,
    sequence: EventSequence,
    *,
    self_delimited: bool,
    may_fail_over: bool,
) -> str:
    """Returns why a body that has ended is incomplete; an empty string if it is not.

    A stream that is resumed after its last event holds no events, so its body must
    mark its own end: a closed connection may be a failure. A response without any
    event counts as incomplete while the request may fail over.

    Args:
      parser: Parser that has been fed the whole body.
      sequence: Sequence that has taken the events of the body.
      self_delimited: Whether the body's end is marked by a length or a last chunk.
      may_fail_over: Whether the request may fail over to another upstream.
    """
    if parser.remainder.strip():
        return "the answer ended inside an event"
    if sequence.event_count:
        return ""
    if not self_delimited:
        return "the answer ended without an event, length or last chunk"
    if sequence.last is None and may_fail_over:
        return "the answer ended without an event"
    return ""


async def _forward_body(
    exchange: Exchange, response: UpstreamResponse
) -> AttemptOutcome:
    """Forwards any other body, and buffers it while the request may fail over."""
    buffered: list[bytes] = []
    size = 0
    async for data in response.body:
        size += len(data)
        if exchange.progress.may_fail_over and size <= _MAX_BUFFERED_BYTES:
            buffered.append(data)
            continue
        await exchange.send_head(response, ForwardedPart.UNRESUMABLE)
        await exchange.reply.send(b"".join([*buffered, data]))
        buffered.clear()
    await exchange.send_head(response, ForwardedPart.UNRESUMABLE)
    if buffered:
        await exchange.reply.send(b"".join(buffered))
    return await exchange.finish()


FORWARD_RESPONSE: dict[
    ForwardingMode, Callable[[Exchange, UpstreamResponse], Awaitable[AttemptOutcome]]
] = {
    ForwardingMode.BODY: _forward_body,
    ForwardingMode.EVENTS: _forward_events,
}
"""The function that forwards a response, by mode."""
