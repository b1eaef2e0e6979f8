"""Structured logs: short sentences, with a fixed prefix for each part."""

from __future__ import annotations

import logging
import time
from typing import Any

import msgspec
import structlog

from coppercleat.observability._output import LineBudget, LineOutput
from coppercleat.observability._ring import EventRing

_STANDARD_OUTPUT = 1

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def configure_logs(*, level: str, as_json: bool, ring: EventRing) -> None:
    """Sets up logging to standard output, and to the ring at every level.

    Lines are bounded in number and never waited for; the ring keeps the latest
    whether they were written or not.
    """
    renderer: Any = (
        structlog.processors.JSONRenderer(serializer=_encode)
        if as_json
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    threshold = _LEVELS[level]
    output = LineOutput(_STANDARD_OUTPUT)

    def drop_below_level(logger: Any, method: str, event: Any) -> Any:
        if _LEVELS.get(method, logging.ERROR) < threshold:
            raise structlog.DropEvent
        return event

    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            ring,
            drop_below_level,
            LineBudget(time.monotonic),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.BoundLogger,
        logger_factory=lambda *names: output,
        cache_logger_on_first_use=True,
    )


def part_logger(part: str) -> Any:
    """Returns the logger of a part; its name prefixes each sentence."""
    return structlog.get_logger(part=part)


def _encode(event: Any, **options: Any) -> str:
    return msgspec.json.encode(event, enc_hook=str).decode()
