"""The ports of a gateway on the users' platform, and how it is started there."""

from __future__ import annotations

import pathlib
from collections.abc import Callable

import trio

from coppercleat.asgi import ServerConfig, serve, server_config
from coppercleat.gateway import Gateway, GatewayMetrics, run_gateway
from coppercleat.platform._catalogue import PlatformCatalogue
from coppercleat.platform._ingress import Ingress, Readiness
from coppercleat.platform._settings import load_platform_settings
from coppercleat.platform._store import StoreClient
from coppercleat.platform._upstream_calls import HttpUpstreamCaller
from coppercleat.serving import GatewaySettings

_KEEP_ALIVE_S = 120.0
"""Clients use connections that were idle for up to 4/5 of their limit, 15 s by the
operator; the client closes first."""

_UNTAKEN_S = 5.0
"""A client whose connection takes no byte for so long is given up, and with it its run:
what waits is of no use to it by then. A lost packet costs 0.2 to 2 s. At a stop there
is no more time than for calls in flight."""

_LEAST_UNTAKEN_S = 3.0
"""With any grace period: shorter pauses of a connection may pass by themselves."""

_READINESS_GRACE_S = 0.1
_MAX_HEADER_BYTES = 65_536
_MANY = 1_000_000_000


class PlatformEdges:
    """Serves a gateway's ports; see ``GatewayEdges``."""

    def __init__(self, path: pathlib.Path, *, fleet: str) -> None:
        self.path = path
        self.fleet = fleet

    async def serve(
        self,
        gateway: Gateway,
        *,
        shutdown: Callable,
        graceful_s: float,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """See ``GatewayEdges.serve``."""
        async with trio.open_nursery() as nursery:
            asked = _config(gateway.settings.readiness, graceful_s=_READINESS_GRACE_S)
            nursery.start_soon(serve, Readiness(gateway), asked)
            clients = _config(gateway.settings.clients, graceful_s=graceful_s)
            task_status.started()
            await serve(Ingress(gateway), clients, shutdown=shutdown)
            await trio.sleep_forever()

    def reload(self) -> GatewaySettings:
        """See ``GatewayEdges.reload``."""
        return load_platform_settings(self.path, fleet=self.fleet).gateway


def _config(address: str, *, graceful_s: float) -> ServerConfig:
    untaken_s = min(_UNTAKEN_S, max(graceful_s, _LEAST_UNTAKEN_S))
    config = server_config(address, graceful_s=graceful_s, untaken_s=untaken_s)
    config.keep_alive_timeout = _KEEP_ALIVE_S
    config.keep_alive_max_requests = _MANY
    config.h11_max_incomplete_size = _MAX_HEADER_BYTES
    config.include_date_header = False
    return config


async def run_on_platform(path: pathlib.Path, fleet: str) -> None:
    """Runs a gateway instance by the platform's settings file until it is stopped.

    Args:
      path: Where the file is.
      fleet: See ``load_platform_settings``.
    """
    settings = load_platform_settings(path, fleet=fleet)
    metrics = GatewayMetrics()
    store = StoreClient(
        f"http://{settings.store}",
        on_call=metrics.store_called,
        on_drop=lambda why, count: metrics.store_dropped(why.value, count),
    )
    gateway = Gateway(
        settings.gateway,
        platform=store,
        catalogue=PlatformCatalogue(store),
        caller=HttpUpstreamCaller(),
        metrics=metrics,
    )
    await run_gateway(gateway, PlatformEdges(path, fleet=fleet))
