"""A registry of message handlers, filled by a decorator."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from coppercleat.ids import InstanceId

Handler = Callable[[Any, InstanceId, Any], None]
"""Called with the object that received, the sender and the message."""


class HandlerRegistry:
    """Handlers by the kind of message."""

    def __init__(self) -> None:
        self._by_kind: dict[type[msgspec.Struct], Handler] = {}

    def handles(self, kind: type[msgspec.Struct]) -> Callable[[Handler], Handler]:
        """Registers the handler of a kind of message."""

        def register(handler: Handler) -> Handler:
            self._by_kind[kind] = handler
            return handler

        return register

    def dispatch(
        self, receiver: Any, sender: InstanceId, message: msgspec.Struct
    ) -> None:
        """Hands a message to its handler."""
        self._by_kind[type(message)](receiver, sender, message)
