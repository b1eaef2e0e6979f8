"""The server of all ASGI applications here: hypercorn, with bounds on its sockets."""

from __future__ import annotations

import logging
import socket

from hypercorn.config import Config, Sockets

BACKLOG = 1024


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
