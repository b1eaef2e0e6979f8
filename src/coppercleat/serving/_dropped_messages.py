"""Counts dropped messages from peers, and warns of those from another fleet."""

from __future__ import annotations

import collections

import trio

from coppercleat.observability import part_logger

WARNING_INTERVAL_S = 60.0
"""Limits the rate of warnings: another fleet may send several heartbeats a second."""

_WRONG_KEY = "wrong_key"

_log = part_logger("peers")


class DroppedMessages:
    """Counts dropped messages.

    Attributes:
      counts: Number of dropped messages by reason.
    """

    def __init__(self) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self._warned_at = float("-inf")

    def record(self, reason: str) -> None:
        """Counts a dropped message.

        Args:
          reason: ``RejectedMessage.reason`` of the message.
        """
        self.counts[reason] += 1
        _log.debug("Message dropped.", reason=reason)
        now = trio.current_time()
        if reason != _WRONG_KEY or now - self._warned_at < WARNING_INTERVAL_S:
            return
        self._warned_at = now
        dropped = self.counts[reason]
        _log.warning("Messages of another fleet are dropped.", dropped=dropped)
