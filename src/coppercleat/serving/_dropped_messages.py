"""Counts peers' messages that are dropped, and warns of those of another fleet."""

from __future__ import annotations

import collections

import trio

from coppercleat.observability import part_logger

WARN_PAUSE_S = 60.0
"""Two fleets that meet exchange heartbeats several times a second; a warning a minute
shows that it goes on and leaves room for other lines."""

_WRONG_KEY = "wrong_key"

_log = part_logger("peers")


class DroppedMessages:
    """What was dropped so far.

    Attributes:
      counts: Dropped messages by reason.
    """

    def __init__(self) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self._warned_at = float("-inf")

    def note(self, reason: str) -> None:
        """Counts a message; see ``Garbage`` for reasons."""
        self.counts[reason] += 1
        _log.debug("A message was dropped.", reason=reason)
        now = trio.current_time()
        if reason != _WRONG_KEY or now - self._warned_at < WARN_PAUSE_S:
            return
        self._warned_at = now
        dropped = self.counts[reason]
        _log.warning("Messages of another fleet are dropped.", dropped=dropped)
