"""Serves an ASGI application with hypercorn on trio."""

from __future__ import annotations

import logging
from typing import Any

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

_BACKLOG = 1024
_GRACE_S = 3.0


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
    logging.getLogger("hypercorn.error").setLevel(logging.CRITICAL)
    config = Config()
    config.bind = [address]
    config.backlog = _BACKLOG
    config.graceful_timeout = _GRACE_S
    config.accesslog = None
    config.errorlog = None
    config.h2_max_concurrent_streams = 1000
    config.include_server_header = False

    async def never() -> None:
        await trio.sleep_forever()

    await serve(application, config, shutdown_trigger=never, task_status=task_status)
