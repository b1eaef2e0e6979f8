"""Tells when this process itself stood still, so that nobody else is blamed for it."""

from __future__ import annotations

import trio

from coppercleat.observability import part_logger

LOOK_S = 0.1
"""Pause between looks; it costs some 10 wake-ups a second."""

STOOD_STILL_S = 0.1
"""A look that comes later than this by so much is told. A busy loop is some 10 ms late;
0.1 s is what a connection to an upstream may take."""

SAY_EVERY_S = 1.0
"""A line a second at most: the longest standstill of that second."""

KEPT_S = 60.0
"""For how long the longest one is shown as a metric; scrapes come every 15 s or so."""

_log = part_logger("process")


class Standstill:
    """Watches how late its own looks come.

    Attributes:
      longest_s: The longest standstill of the last minute or so, in seconds.
    """

    def __init__(self) -> None:
        self.longest_s = 0.0
        self._longest_at = float("-inf")

    async def run(self) -> None:
        """Looks until cancelled."""
        said_at, unsaid_s = float("-inf"), 0.0
        while True:
            due_at = trio.current_time() + LOOK_S
            await trio.sleep_until(due_at)
            now = trio.current_time()
            late_s = now - due_at
            self._note(late_s, now)
            if late_s >= STOOD_STILL_S:
                unsaid_s = max(unsaid_s, late_s)
            if unsaid_s and now - said_at >= SAY_EVERY_S:
                _log.warning("This process stood still.", ms=round(unsaid_s * 1000))
                said_at, unsaid_s = now, 0.0

    def _note(self, late_s: float, now: float) -> None:
        if late_s >= self.longest_s or now - self._longest_at >= KEPT_S:
            self.longest_s, self._longest_at = late_s, now
