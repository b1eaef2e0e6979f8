"""The server of all ASGI applications here: hypercorn, with bounds on its sockets."""

from __future__ import annotations

import logging
import socket
from collections.abc import Awaitable, Callable

import hypercorn.trio
import hypercorn.trio.run
import trio
from hypercorn.config import Config, Sockets
from hypercorn.events import Event, Updated
from hypercorn.trio.tcp_server import TCPServer

from coppercleat.asgi._asgi import Application

BACKLOG = 1024


class _Connection(TCPServer):
    """A client's connection that is let go as soon as the client has closed it.

    hypercorn would keep it until its timer of idle connections ends, here up to 120 s:
    85 objects, which every full garbage collection looks at. At 105 connections a
    second the process stood still for 0.1 s at a time after 10 s, and for longer later.
    """

    closed = False

    async def _read_data(self) -> None:
        await super()._read_data()
        self.closed = True
        await self.idle_task.stop()

    async def protocol_send(self, event: Event) -> None:
        """Sends; an answer that ends after the client has closed starts no timer."""
        await super().protocol_send(event)
        if self.closed and isinstance(event, Updated):
            await self.idle_task.stop()


# There is no other way to name the class.
hypercorn.trio.run.TCPServer = _Connection  # type: ignore[misc]


class ServerConfig(Config):
    """Settings of a server that logs nothing of its own.

    Attributes:
      untaken_s: Seconds for which a caller's connection may take no byte.
    """

    untaken_s: float

    def create_sockets(self) -> Sockets:
        """Opens the listening sockets; accepted ones inherit their options.

        What is sent cannot be cancelled, so only the kernel can end a send to a caller
        that is gone without a word, or that reads no further.
        """
        sockets = super().create_sockets()
        for listening in sockets.insecure_sockets:
            listening.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(self.untaken_s * 1000)
            )
        return sockets


def server_config(address: str, *, graceful_s: float, untaken_s: float) -> ServerConfig:
    """Returns what all servers here share.

    Args:
      address: ``IP:PORT`` to listen on; port 0 takes a free one.
      graceful_s: Seconds for calls in flight at a stop.
      untaken_s: Seconds for which a caller's connection may take no byte; it holds up
        a stop for so long.
    """
    logging.getLogger("hypercorn.error").setLevel(logging.CRITICAL)
    config = ServerConfig()
    config.bind = [address]
    config.backlog = BACKLOG
    config.graceful_timeout = graceful_s
    config.untaken_s = untaken_s
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    return config


async def serve(
    application: Application,
    config: ServerConfig,
    *,
    shutdown: Callable[[], Awaitable[None]] = trio.sleep_forever,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves until ``shutdown`` returns and what is in flight has ended.

    Args:
      application: The ASGI application.
      config: See ``server_config``.
      shutdown: Returns when no new connections are to be taken.
      task_status: Gets the addresses that are bound.
    """
    await hypercorn.trio.serve(
        application,  # type: ignore[arg-type]
        config,
        shutdown_trigger=shutdown,
        task_status=task_status,
    )
