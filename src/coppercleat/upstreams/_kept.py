"""Connections that are kept for the next call, and left together once one is dead.

Answers the load after open connections have gone silent while new ones work: an idle
one shows nothing until it is used, and calls would meet one after the other. The kernel
tells a silent connection from a slow upstream, whose host acknowledges what it is sent.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import AsyncIterator, Callable

import httpcore
import trio

from coppercleat.observability import part_logger
from coppercleat.upstreams._running_time import RunningTimeBackend
from coppercleat.upstreams._traced_call import TracedCall

_MOST_KEPT = 32
_KEEPALIVE_S = 20.0

UNACKNOWLEDGED_MS = 1000
"""The kernel gives a connection up whose bytes stay unacknowledged, or untaken, for so
long: a lost packet is sent again after 0.2 and 0.6 s, and an engine reads at once."""

PROBE_AFTER_S = 1
PROBE_EVERY_S = 1
"""While a call waits for its answer the kernel asks the other host after so long. With
the bound above it gives a silent connection up within 2 s; its unit is a second."""

SUSPECT_S = 0.2
"""A call that ended without a word after so long on a kept connection makes the others
suspect. Opening one takes some 2 ms; a call that is cancelled sooner shows nothing."""

SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EVERY_S),
]

_log = part_logger("upstreams")


def _shows_dead(call: TracedCall, now: float) -> bool:
    """Returns whether its connection, which was kept, seems to have been dead."""
    unheard = call.sent and not call.opened and not call.heard
    return unheard and now - call.began >= SUSPECT_S


class KeptConnections:
    """The connections to one upstream."""

    def __init__(self, address: str, *, max_connections: int) -> None:
        """Prepares the pool; connects on first use.

        Args:
          address: ``IP:PORT``.
          max_connections: Calls side by side.
        """
        self._address = address
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections,
            max_keepalive_connections=_MOST_KEPT,
            keepalive_expiry=_KEEPALIVE_S,
            socket_options=SOCKET_OPTIONS,
            network_backend=RunningTimeBackend(),
        )

    async def aclose(self) -> None:
        """Closes all connections; running calls fail."""
        await self._pool.aclose()

    @contextlib.asynccontextmanager
    async def call(
        self,
        method: str,
        path: str,
        *,
        headers: list[tuple[bytes, bytes]],
        body: bytes | None,
        timeout: dict[str, float],
        on_sent: Callable[[], None] = lambda: None,
    ) -> AsyncIterator[httpcore.Response]:
        """Makes a call, once; raises what httpcore raises.

        Args:
          method: HTTP method.
          path: Path on the upstream.
          headers: Without the host.
          body: None for none.
          timeout: Seconds, by httpcore's names.
          on_sent: Told as the request begins to be sent.
        """
        call = TracedCall(trio.current_time(), on_sent)
        try:
            async with self._pool.stream(
                method,
                f"http://{self._address}{path}",
                headers=headers,
                content=body,
                extensions={"timeout": timeout, "trace": call.trace},
            ) as response:
                yield response
        finally:
            if _shows_dead(call, trio.current_time()):
                await self._drop_idle()

    async def _drop_idle(self) -> None:
        """Closes the idle connections, which are as old as the one that was dead."""
        closed = 0
        with trio.CancelScope(shield=True):
            for kept in list(self._pool.connections):
                # Another call may take one while an earlier one is closed.
                if kept.is_idle():
                    closed += 1
                    await kept.aclose()
        _log.info("Kept connections are dropped.", address=self._address, idle=closed)
