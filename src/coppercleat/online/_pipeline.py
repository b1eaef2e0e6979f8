"""Runs a request through all filters in order, then dispatches it.

A filter is an async context manager: what stands before its ``yield`` may
refuse the request by raising, what stands after sees how it ended. No cancel
scope may be open across the ``yield``.
"""

from __future__ import annotations

import contextlib
from collections.abc import AsyncGenerator, Callable
from typing import TypeVar

from coppercleat.online._dispatch import Dispatcher
from coppercleat.online._exchange import Chunk, Exchange
from coppercleat.online._services import OnlineServices

Filter = Callable[
    [Exchange, OnlineServices], contextlib.AbstractAsyncContextManager[None]
]

FILTERS: dict[int, Filter] = {}

_F = TypeVar("_F", bound=Filter)


def online_filter(*, order: int) -> Callable[[_F], _F]:
    """Registers a filter; lower orders come first."""

    def register(function: _F) -> _F:
        if order in FILTERS:
            raise ValueError(f"two filters of order {order}")
        FILTERS[order] = function
        return function

    return register


class Pipeline:
    """The filters in order, with the dispatch at their end."""

    def __init__(self, services: OnlineServices) -> None:
        self.services = services
        self._dispatcher = Dispatcher(services)
        self._filters = [FILTERS[order] for order in sorted(FILTERS)]

    async def run(self, exchange: Exchange) -> AsyncGenerator[Chunk, None]:
        """Yields the parts of the answer; raises a typed error otherwise."""
        async with contextlib.AsyncExitStack() as stack:
            for enter in self._filters:
                await stack.enter_async_context(enter(exchange, self.services))
            if exchange.stored is not None:
                yield exchange.stored
                return
            answer = self._dispatcher.run(exchange)
            async with contextlib.aclosing(answer) as chunks:
                async for chunk in chunks:
                    yield chunk
