"""Divides a stream of server-sent events, in any division of its bytes."""

from __future__ import annotations

import re

import msgspec

from coppercleat.serving._upstream_call import UpstreamBrokeError

_BLANK_LINE = re.compile(rb"\r?\n\r?\n")
_MAX_EVENT_BYTES = 4_000_000
"""An event longer than this is no event; bounds what one stream may hold."""


class StreamEvent(msgspec.Struct, frozen=True):
    """One whole event.

    Attributes:
      raw: Its bytes, with the blank line that ends it.
      number: Its id as a number, None if it has none.
      data: Its data, lines joined by line feeds.
    """

    raw: bytes
    number: int | None
    data: bytes


class EventSplitter:
    """Collects bytes and hands out the events that are whole."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes after the last whole event."""
        return self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Takes bytes and returns the events they complete.

        Raises:
          UpstreamBrokeError: An event is longer than any may be.
        """
        buffer = self._rest + data
        events = []
        begin = 0
        for blank in _BLANK_LINE.finditer(buffer):
            events.append(_parse(buffer[begin : blank.end()]))
            begin = blank.end()
        self._rest = buffer[begin:]
        if len(self._rest) > _MAX_EVENT_BYTES:
            raise UpstreamBrokeError(f"an event exceeds {_MAX_EVENT_BYTES} bytes")
        return events


def _parse(raw: bytes) -> StreamEvent:
    number = None
    data = []
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"id" and value.isdigit():
            number = int(value)
        elif name == b"data":
            data.append(value)
    return StreamEvent(raw, number, b"\n".join(data))
