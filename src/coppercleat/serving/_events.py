"""Parses server-sent events from chunks of bytes of any size."""

from __future__ import annotations

import re

import msgspec

from coppercleat.serving._upstream_call import UpstreamCallError

_BLANK_LINE = re.compile(rb"\r?\n\r?\n")
_MAX_EVENT_BYTES = 4_000_000
"""Bounds the memory that one stream may use."""


class StreamEvent(msgspec.Struct, frozen=True):
    """One complete event.

    Attributes:
      raw: Bytes of the event, including the blank line that ends it.
      number: The ``id`` field as a number; None if it is missing or no number.
      data: The ``data`` fields, joined by line feeds.
    """

    raw: bytes
    number: int | None
    data: bytes


class EventStreamParser:
    """Incremental parser of an event stream."""

    def __init__(self) -> None:
        self._remainder = b""

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return self._remainder

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Parses a chunk and returns the events that it completes.

        Raises:
          UpstreamCallError: An event is too long.
        """
        buffer = self._remainder + data
        events = []
        start = 0
        for blank in _BLANK_LINE.finditer(buffer):
            events.append(_parse(buffer[start : blank.end()]))
            start = blank.end()
        self._remainder = buffer[start:]
        if len(self._remainder) > _MAX_EVENT_BYTES:
            raise UpstreamCallError(f"an event exceeds {_MAX_EVENT_BYTES} bytes")
        return events


def _parse(raw: bytes) -> StreamEvent:
    number = None
    data = []
    for line in raw.splitlines():
        field, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if field == b"id" and value.isdigit():
            number = int(value)
        elif field == b"data":
            data.append(value)
    return StreamEvent(raw, number, b"\n".join(data))
