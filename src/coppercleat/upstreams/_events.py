"""Parses an engine's server-sent events; the bytes come from outside."""

from __future__ import annotations

import msgspec

from coppercleat.errors import Outcome, UpstreamFailedError

_SEPARATOR = b"\n\n"
_PREFIX = b"data: "
_END = b"data: [DONE]"
_MAX_EVENT_BYTES = 1_000_000


class TokenEvent(msgspec.Struct):
    """One event: the request it belongs to and the text it adds."""

    id: str
    text: str


class MalformedStreamError(UpstreamFailedError):
    """The bytes are no event stream, or belong to another request."""

    default_outcome = Outcome.UNKNOWN


_decoder = msgspec.json.Decoder(TokenEvent)


class EventParser:
    """Turns bytes in any division into the texts of one request's events.

    Attributes:
      ended: Whether the end marker has come; without it an answer is cut.
    """

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self.ended = False
        self._rest = b""

    def feed(self, data: bytes) -> list[str]:
        """Takes bytes and returns the texts of the events they complete.

        Raises:
          MalformedStreamError: An event cannot be read, is too long, comes after
            the end marker, or carries another request's id.
        """
        parts = (self._rest + data).split(_SEPARATOR)
        self._rest = parts.pop()
        if len(self._rest) > _MAX_EVENT_BYTES:
            raise MalformedStreamError(f"An event exceeds {_MAX_EVENT_BYTES} bytes")
        return [text for part in parts if (text := self._event(part)) is not None]

    def _event(self, part: bytes) -> str | None:
        if self.ended:
            raise MalformedStreamError("Bytes follow the end marker")
        if part == _END:
            self.ended = True
            return None
        if not part.startswith(_PREFIX):
            raise MalformedStreamError("A line does not begin with 'data: '")
        try:
            event = _decoder.decode(part[len(_PREFIX) :])
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            raise MalformedStreamError(f"An event does not fit: {error}") from error
        if event.id != self.request_id:
            raise MalformedStreamError("An event belongs to another request")
        return event.text
