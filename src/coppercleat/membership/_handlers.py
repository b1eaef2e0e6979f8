"""A registry of handlers by message type."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from coppercleat.ids import InstanceId

Handler = Callable[[Any, InstanceId, Any], None]
"""Called with the receiving object, the sender and the message."""


class HandlerRegistry:
    """Dispatches each message to the handler of its type."""

    def __init__(self) -> None:
        self._by_kind: dict[type[msgspec.Struct], Handler] = {}

    def handles(self, kind: type[msgspec.Struct]) -> Callable[[Handler], Handler]:
        """Returns a decorator that registers the handler of a message type.

        A second registration for the type replaces the first.
        """

        def register(handler: Handler) -> Handler:
            self._by_kind[kind] = handler
            return handler

        return register

    def dispatch(
        self, receiver: Any, sender: InstanceId, message: msgspec.Struct
    ) -> None:
        """Calls the handler of the message's type.

        Raises:
          KeyError: No handler is registered for the type.
        """
        self._by_kind[type(message)](receiver, sender, message)
