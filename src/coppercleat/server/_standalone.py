"""One process with everything: platform in memory and built-in engines."""

from __future__ import annotations

import trio

from coppercleat.emulator import EngineApp, EngineSpeed
from coppercleat.rpc import serve_application
from coppercleat.server._entry import run_entry
from coppercleat.settings import (
    InstanceSettings,
    ListenSettings,
    LogSettings,
    PeerSettings,
    PlatformSettings,
    Settings,
)
from coppercleat.storage import MemoryPlatform, Node, NodeRole

STANDALONE_SERVICE = "standalone"
STANDALONE_VERSION = "built-in"
_ZONE = "local"
_KEY = "standalone-has-no-peers"


async def run_standalone(
    *, listen: str, port: int, engines: int, speed: EngineSpeed, log_level: str
) -> None:
    """Runs until a signal stops it.

    Args:
      listen: IP address to listen on.
      port: First of three ports: RPC, admin and peers.
      engines: Built-in engines to run.
      speed: How fast each is.
      log_level: Least level logged.
    """
    platform = MemoryPlatform()
    settings = Settings(
        instance=InstanceSettings(id="standalone-1", zone=_ZONE, region=_ZONE),
        listen=ListenSettings(
            rpc=f"{listen}:{port}",
            admin=f"{listen}:{port + 1}",
            peers=f"{listen}:{port + 2}",
        ),
        platform=PlatformSettings(url="http://in-memory"),
        peers=PeerSettings(keys=[_KEY]),
        log=LogSettings(level=log_level, json=False),
    )
    async with trio.open_nursery() as nursery:
        for index in range(engines):
            engine = EngineApp(
                f"engine-{index + 1}", speed=speed, versions={STANDALONE_VERSION}
            )
            nursery.start_soon(engine.run)
            bound = await nursery.start(serve_application, engine, "127.0.0.1:0")
            platform.nodes[engine.name] = Node(
                id=engine.name,
                role=NodeRole.ENGINE,
                zone=_ZONE,
                region=_ZONE,
                address=bound[0].removeprefix("http://"),
                service=STANDALONE_SERVICE,
            )
        await run_entry(settings, platform=platform)
        nursery.cancel_scope.cancel()
