"""Parses server-sent events from chunks of bytes of any size."""

from __future__ import annotations

import re

import msgspec

from coppercleat.serving._upstream_call import UpstreamCallError

_BLANK_LINE = re.compile(rb"\r?\n\r?\n")
_LINE_END = re.compile(rb"\r?\n")
_MAX_BLANK_LINE_BYTES = 4
_MAX_EVENT_BYTES = 4_000_000
"""Bounds the memory that one stream may use."""

_LINE = re.compile(rb":.*|(?P<field>id|data|event|retry)(:(?P<value>.*))?", re.DOTALL)
"""A comment or a field."""

_HEADER = re.compile(rb"[a-z][a-z0-9-]*:.*", re.DOTALL)
"""A header that an upstream may send as the first line of an event."""

_NUMBER = re.compile(rb"0|[1-9][0-9]{0,17}")
"""Fits into 64 bits; a number of thousands of digits cannot even be converted."""


class StreamEvent(msgspec.Struct, frozen=True):
    """One complete event.

    Attributes:
      raw: Bytes of the event, including the blank line that ends it.
      number: The ``id`` field as a number; None if it is missing or malformed.
      data: The ``data`` fields, joined by line feeds.
      malformed: Whether no upstream can have meant to send this: a line is none of an
        event stream, the ``id`` field is no number or stands twice, or an event with a
        number has no ``data`` field or a comment among its fields.
    """

    raw: bytes
    number: int | None
    data: bytes
    malformed: bool = False


class EventStreamParser:
    """Incremental parser of an event stream."""

    def __init__(self) -> None:
        self._rest = bytearray()

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return bytes(self._rest)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Parses a chunk and returns the events that it completes.

        Raises:
          UpstreamCallError: An event is too long.
        """
        # Only the end of what has been searched may be the start of a blank line.
        search_from = max(0, len(self._rest) - _MAX_BLANK_LINE_BYTES + 1)
        self._rest += data
        events = []
        start = 0
        for blank in _BLANK_LINE.finditer(self._rest, search_from):
            events.append(_parse(bytes(self._rest[start : blank.end()])))
            start = blank.end()
        del self._rest[:start]
        if len(self._rest) > _MAX_EVENT_BYTES:
            raise UpstreamCallError(f"an event exceeds {_MAX_EVENT_BYTES} bytes")
        return events


def _parse(raw: bytes) -> StreamEvent:
    numbers: list[bytes] = []
    data: list[bytes] = []
    malformed = has_comment = False
    for index, line in enumerate(_LINE_END.split(raw.strip(b"\r\n"))):
        match = _LINE.fullmatch(line)
        if match is None:
            malformed |= index > 0 or not _HEADER.fullmatch(line)
            continue
        has_comment |= match["field"] is None
        value = (match["value"] or b"").removeprefix(b" ")
        if match["field"] == b"id":
            numbers.append(value)
        elif match["field"] == b"data":
            data.append(value)
    if numbers:
        is_number = len(numbers) == 1 and _NUMBER.fullmatch(numbers[0]) is not None
        malformed |= has_comment or not is_number or not data
    number = int(numbers[0]) if numbers and not malformed else None
    return StreamEvent(raw, number, b"\n".join(data), malformed)
