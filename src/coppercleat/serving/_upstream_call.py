"""The port by which requests reach upstreams."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from typing import Protocol

import attrs
import msgspec

from coppercleat.serving._model import Header, OnlineRequest, Upstream
from coppercleat.upstreams import Attempt


class UpstreamBrokeError(Exception):
    """The exchange ended before the answer was whole; the attempt tells more.

    Attributes:
      disconnected: Whether the connection broke, and not the answer was a wrong one.
    """

    def __init__(self, reason: str, *, disconnected: bool = False) -> None:
        super().__init__(reason)
        self.disconnected = disconnected


class NothingListensError(UpstreamBrokeError):
    """The host answers that no process listens at the upstream's address."""


@attrs.define(kw_only=True)
class UpstreamAnswer:
    """The head of an upstream's answer, and its body as it comes.

    Attributes:
      headers: Without those that concern one connection only.
      refused: Whether the upstream says that it did not run the request.
      other_instance: Whether another upstream than the one expected answered.
      body: Parts of the body; raises ``UpstreamBrokeError`` where it is cut.
      framed: Whether the body's end is told by a length or a last chunk, and not by
        the end of the connection alone.
    """

    status: int
    headers: list[Header]
    refused: bool
    other_instance: bool
    body: AsyncIterator[bytes]
    framed: bool = True

    def header(self, name: bytes) -> bytes:
        """Returns a header's value by its name in lower case, nothing without one."""
        for found, value in self.headers:
            if found.lower() == name:
                return value
        return b""


class UpstreamReport(msgspec.Struct, frozen=True, kw_only=True):
    """What an upstream says of its load, as of a moment ago.

    Attributes:
      running: Requests in its slots, whoever has sent them.
      waiting: Requests in its own queue.
      born_ms: See ``Upstream.born_ms``.
    """

    running: int
    waiting: int
    born_ms: int = 0


class UpstreamCaller(Protocol):
    """Opens exchanges with upstreams."""

    def exchange(
        self,
        upstream: Upstream,
        request: OnlineRequest,
        *,
        attempt: Attempt,
        allowed_s: float | None,
        resume_after: int | None,
    ) -> contextlib.AbstractAsyncContextManager[UpstreamAnswer]:
        """Sends a request and returns the head of the answer.

        Leaving the context closes the connection, which ends the run.

        Args:
          upstream: Where to send it.
          request: What to send.
          attempt: Moved along, so that the caller knows what is proved.
          allowed_s: Seconds the upstream may take; None for no limit.
          resume_after: Number of the last event already had; None for none.

        Raises:
          UpstreamBrokeError: No whole head of an answer to this request came.
        """
        ...

    async def report(self, upstream: Upstream) -> UpstreamReport:
        """Asks an upstream for its load.

        Raises:
          NothingListensError: Its host refuses connections to it.
          UpstreamBrokeError: It gave no answer that can be read.
        """
        ...
