"""Structured logs: short sentences, with a fixed prefix for each part."""

from __future__ import annotations

import logging
import sys
from typing import Any

import structlog

from coppercleat.observability._ring import EventRing

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def configure_logs(*, level: str, as_json: bool, ring: EventRing) -> None:
    """Sets up logging to standard error, and to the ring at every level."""
    renderer: Any = (
        structlog.processors.JSONRenderer()
        if as_json
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    threshold = _LEVELS[level]

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
            structlog.processors.format_exc_info,
            renderer,
        ],
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )


def part_logger(part: str) -> Any:
    """Returns the logger of a part; its name prefixes each sentence."""
    return structlog.get_logger(part=part)
