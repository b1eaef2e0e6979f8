"""Interface for sending requests to upstreams."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from typing import Protocol

import attrs
import msgspec

from coppercleat.quarantine import Fingerprint
from coppercleat.serving._model import Header, OnlineRequest, Upstream
from coppercleat.upstreams import Attempt


class UpstreamCallError(Exception):
    """A call ended without a complete, readable response.

    Attributes:
      disconnected: Whether the connection broke.
    """

    def __init__(self, reason: str, *, disconnected: bool = False) -> None:
        super().__init__(reason)
        self.disconnected = disconnected


class UpstreamNotListeningError(UpstreamCallError):
    """The host refused the connection: nothing listens at the upstream's address."""


@attrs.define(kw_only=True)
class UpstreamResponse:
    """The head of an upstream's response, and its body as a stream.

    Attributes:
      status: HTTP status.
      headers: Header fields without the hop-by-hop ones.
      refused: Whether the upstream declares that it did not run the request.
      wrong_upstream: Whether the responder is another upstream than the one addressed.
      authenticated: Whether the response has the code by which a client can tell that
        an upstream made it.
      body: Chunks of the body; raises ``UpstreamCallError`` if it is cut off.
      self_delimited: Whether a length or a last chunk marks the end of the body, rather
        than the end of the connection.
    """

    status: int
    headers: list[Header]
    refused: bool
    wrong_upstream: bool
    authenticated: bool
    body: AsyncIterator[bytes]
    self_delimited: bool = True

    def header(self, name: bytes) -> bytes:
        """Returns the value of a header by its lower-case name; empty if missing."""
        for found, value in self.headers:
            if found.lower() == name:
                return value
        return b""


class UpstreamReport(msgspec.Struct, frozen=True, kw_only=True):
    """An upstream's report of its load.

    Attributes:
      running: Requests in its slots, from any instance.
      waiting: Requests in its queue.
      born_ms: See ``Upstream.born_ms``.
    """

    running: int
    waiting: int
    born_ms: int = 0


class UpstreamCaller(Protocol):
    """Sends requests to upstreams."""

    def exchange(
        self,
        upstream: Upstream,
        request: OnlineRequest,
        *,
        attempt: Attempt,
        allowed_s: float | None,
        resume_after: int | None,
    ) -> contextlib.AbstractAsyncContextManager[UpstreamResponse]:
        """Sends a request and returns the head of the response.

        Leaving the context closes the connection, which cancels the attempt.

        Args:
          upstream: Upstream to send it to.
          request: Request to send.
          attempt: Updated as the call proceeds; shows whether the upstream may have run
            the request.
          allowed_s: Timeout in seconds; None for no limit.
          resume_after: Number of the last event that has been received; None to start
            from the beginning.

        Raises:
          UpstreamCallError: No complete response head arrived.
        """
        ...

    def prompt_parts(self, request: OnlineRequest) -> tuple[Fingerprint, ...]:
        """Returns the parts of a request's prompt that other requests may share."""
        ...

    async def report(self, upstream: Upstream) -> UpstreamReport:
        """Requests an upstream's load.

        Raises:
          UpstreamNotListeningError: The host refused the connection.
          UpstreamCallError: No readable response arrived.
        """
        ...
