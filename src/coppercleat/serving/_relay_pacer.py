"""When a relay passes on what it has collected."""

from __future__ import annotations

import trio

_BATCHING_S = 0.01
"""Shortest time for which a relay collects what it passes on."""


class RelayPacer:
    """Keeps a time between two messages, which what is urgent shortens."""

    def __init__(self) -> None:
        self._pending = trio.Event()
        self._relayed_at = float("-inf")
        self._due_at = float("inf")

    def schedule(self, within_s: float) -> None:
        """Schedules the next message, a time after the last one."""
        soonest = trio.current_time() + _BATCHING_S
        due_at = max(soonest, self._relayed_at + within_s)
        if due_at < self._due_at:
            self._due_at = due_at
            self._pending.set()

    async def wait_until_due(self) -> float:
        """Waits until the next message is due, and returns the time."""
        await self._pending.wait()
        while trio.current_time() < self._due_at:
            # Something more urgent may come meanwhile.
            self._pending = trio.Event()
            with trio.move_on_at(self._due_at):
                await self._pending.wait()
        self._pending = trio.Event()
        self._relayed_at, self._due_at = trio.current_time(), float("inf")
        return self._relayed_at
