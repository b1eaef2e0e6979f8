"""Serves an ASGI application with hypercorn on trio."""

from __future__ import annotations

from typing import Any

import trio

from coppercleat.asgi import serve, server_config

_GRACE_S = 3.0

_UNTAKEN_S = 30.0
"""A caller that takes no byte of an answer for so long is given up; people that read
the command line's output pause."""


async def serve_application(
    application: Any,
    address: str,
    *,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves until cancelled.

    Args:
      application: The ASGI application.
      address: ``IP:PORT`` to listen on; port 0 takes a free one.
      task_status: Gets the addresses that are bound.
    """
    config = server_config(address, graceful_s=_GRACE_S, untaken_s=_UNTAKEN_S)
    config.h2_max_concurrent_streams = 1000
    await serve(application, config, task_status=task_status)
