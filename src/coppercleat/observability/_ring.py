"""Keeps the latest log events in memory, so that decisions can be explained."""

from __future__ import annotations

import collections
from collections.abc import MutableMapping
from typing import Any

_KEPT = 4096


class EventRing:
    """A bounded ring of log events; also a ``structlog`` processor."""

    def __init__(self, kept: int = _KEPT) -> None:
        self._events: collections.deque[dict[str, Any]] = collections.deque(maxlen=kept)

    def __call__(
        self, logger: Any, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Keeps an event and passes it on."""
        self._events.append(dict(event))
        return event

    def about(self, identifier: str) -> list[dict[str, Any]]:
        """Returns the events that carry an id as one of their values."""
        return [event for event in self._events if identifier in event.values()]
