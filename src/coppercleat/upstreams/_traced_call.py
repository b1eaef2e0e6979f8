"""How far a call on a kept or a new connection has come, as its HTTP client tells."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs


@attrs.define(eq=False)
class TracedCall:
    """A call on one connection.

    Attributes:
      began: When, in trio's time.
      on_sent: Told as the request begins to be sent.
      opened: Whether the connection was opened for it.
      sent: Whether any of it may have been sent.
      heard: Whether its answer has begun.
    """

    began: float
    on_sent: Callable[[], None] = lambda: None
    opened: bool = False
    sent: bool = False
    heard: bool = False

    async def trace(self, event: str, info: dict[str, Any]) -> None:
        """Follows the call; see httpcore's extension of this name."""
        if event == "connection.connect_tcp.started":
            self.opened = True
        elif event == "http11.send_request_headers.started":
            self.sent = True
            self.on_sent()
        elif event == "http11.receive_response_headers.complete":
            self.heard = True
