"""Finds what began a stream, and asks other instances where that is not known here."""

from __future__ import annotations

from collections.abc import Callable, Collection

import attrs
import trio

from coppercleat.ids import InstanceId, StreamKey
from coppercleat.serving._stream_origins import (
    BegunStreams,
    StreamOrigin,
    StreamOrigins,
)

REPLY_TIMEOUT_S = 0.15
"""Time for replies of other instances: a round trip between availability zones and a
busy peer. Its client waits meanwhile, and is then told that the stream cannot go on."""


@attrs.define
class _Inquiry:
    """A question under way.

    Attributes:
      unanswered: The peers that have not replied yet.
      settled: Set once the origin is known, or nobody is left who may know it.
    """

    unanswered: set[InstanceId]
    settled: trio.Event = attrs.field(factory=trio.Event)


class StreamInquiries:
    """Finds what began a stream, here or at other instances.

    Attributes:
      origins: What is known here.
      ask: Called with a stream that is not known here; asks peers, and returns them.
    """

    def __init__(self, origins: StreamOrigins) -> None:
        self.origins = origins
        self.ask: Callable[[StreamKey], Collection[InstanceId]] = lambda key: ()
        self._inquiries: dict[StreamKey, list[_Inquiry]] = {}

    async def find(self, key: StreamKey) -> StreamOrigin | None:
        """Returns what began a stream; None if nobody who can be asked knows."""
        known = self.origins.find(key, now=trio.current_time())
        if known is not None:
            return known
        inquiry = _Inquiry(set(self.ask(key)))
        if not inquiry.unanswered:
            return None
        self._inquiries.setdefault(key, []).append(inquiry)
        try:
            with trio.move_on_after(REPLY_TIMEOUT_S):
                await inquiry.settled.wait()
        finally:
            self._inquiries[key].remove(inquiry)
            if not self._inquiries[key]:
                del self._inquiries[key]
        return self.origins.find(key, now=trio.current_time())

    def hear(self, streams: tuple[BegunStreams, ...]) -> None:
        """Takes over streams that a peer has told of."""
        self.origins.observe(streams, now=trio.current_time())
        for begun in streams:
            for key in self._inquiries.keys() & set(begun.keys):
                for inquiry in self._inquiries[key]:
                    inquiry.settled.set()

    def hear_unknown(self, sender: InstanceId, key: StreamKey) -> None:
        """Takes over that a peer does not know a stream."""
        for inquiry in self._inquiries.get(key, ()):
            inquiry.unanswered.discard(sender)
            if not inquiry.unanswered:
                inquiry.settled.set()
