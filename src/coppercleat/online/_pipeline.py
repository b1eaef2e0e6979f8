"""Passes a request through all filters in order, then dispatches it.

A filter is an async context manager. Code before its ``yield`` may refuse the
request by raising an error; code after the ``yield`` sees how the request ended.
No cancel scope may be open across the ``yield``.
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
    """Returns a decorator that registers a filter; lower orders run first."""

    def register(function: _F) -> _F:
        if order in FILTERS:
            raise ValueError(f"a filter with order {order} is already registered")
        FILTERS[order] = function
        return function

    return register


class Pipeline:
    """Chain of filters that ends in the dispatcher."""

    def __init__(self, services: OnlineServices) -> None:
        self.services = services
        self._dispatcher = Dispatcher(services)
        self._filters = [FILTERS[order] for order in sorted(FILTERS)]

    async def run(self, exchange: Exchange) -> AsyncGenerator[Chunk, None]:
        """Yields the chunks of the response.

        Raises:
          CoppercleatError: A filter refused the request, or it failed.
        """
        async with contextlib.AsyncExitStack() as stack:
            for new_context in self._filters:
                await stack.enter_async_context(new_context(exchange, self.services))
            if exchange.stored_response is not None:
                yield exchange.stored_response
                return
            response = self._dispatcher.run(exchange)
            async with contextlib.aclosing(response) as chunks:
                async for chunk in chunks:
                    yield chunk
