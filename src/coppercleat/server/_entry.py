"""Runs one entry instance until a signal stops it."""

from __future__ import annotations

import trio

from coppercleat.admin import admin_application
from coppercleat.instance import Instance, stop_on_signal
from coppercleat.observability import EventRing, configure_logs
from coppercleat.rpc import rpc_application, serve_application
from coppercleat.settings import Settings
from coppercleat.startup_objects import leave_out_startup_objects
from coppercleat.storage import Platform


async def run_entry(settings: Settings, *, platform: Platform | None = None) -> None:
    """Runs an instance.

    The RPC port opens once the instance is ready, so that a caller who comes
    early is refused a connection and knows that nothing was run.

    Args:
      settings: The instance's settings.
      platform: In place of the one that the settings name.
    """
    ring = EventRing()
    configure_logs(level=settings.log.level, as_json=settings.log.json, ring=ring)
    instance = Instance(settings, ring=ring, platform=platform)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stop_on_signal, instance, nursery.cancel_scope)
        await nursery.start(
            serve_application, admin_application(instance), settings.listen.admin
        )
        await nursery.start(instance.run)
        await nursery.start(
            serve_application, rpc_application(instance), settings.listen.rpc
        )
        leave_out_startup_objects()
