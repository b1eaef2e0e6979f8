"""Limits in time in which this process ran, for what it waits for from outside.

Answers the load in which a process gets no processor time for some tenths of a second:
what came meanwhile lies unread in its sockets, while its timers fall due at once. A
limit of 0.1 s would then blame whoever had answered in time.
"""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable, Iterable
from typing import TypeVar

import httpcore
import trio

SLICE_S = 0.02
"""A limit is counted in sleeps of this length: a standstill costs one of them, and what
has come is read before the next."""

_T = TypeVar("_T")


async def within(limit_s: float, call: Callable[[], Awaitable[_T]]) -> _T:
    """Returns what a call returns, if it does within that much running time.

    Raises:
      trio.TooSlowError: It did not.
    """
    results: list[_T] = []
    errors: list[Exception] = []

    async def count_down() -> None:
        for _ in range(math.ceil(limit_s / SLICE_S)):
            await trio.sleep(SLICE_S)
        nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(count_down)
        try:
            results.append(await call())
        except Exception as error:  # noqa: BLE001 - raised again outside the nursery
            errors.append(error)
        nursery.cancel_scope.cancel()
    if errors:
        raise errors[0]
    if not results:
        raise trio.TooSlowError
    return results[0]


class RunningTimeBackend(httpcore.TrioBackend):
    """httpcore's way to the network, with connections limited in running time."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """See ``httpcore.AsyncNetworkBackend``; ``timeout`` is in running seconds."""

        async def connect() -> httpcore.AsyncNetworkStream:
            return await super(RunningTimeBackend, self).connect_tcp(
                host,
                port,
                local_address=local_address,
                socket_options=socket_options,
            )

        if timeout is None:
            return await connect()
        try:
            return await within(timeout, connect)
        except trio.TooSlowError as error:
            raise httpcore.ConnectTimeout(f"not within {timeout} s") from error
