"""Counts stalls of an upstream that began at the same time as one failure.

A network fault can stall all open connections at once, to healthy upstreams as well.
Counted one by one, the stalled attempts would eject these upstreams.
"""

from __future__ import annotations

import collections

SAME_ONSET_S = 0.15
"""Stalls that began within this time count as one: events arrive 20 ms apart, and an
attempt in prefill beside a full batch may have received nothing for up to 0.1 s."""

_MAX_ONSETS = 8
"""More than the three failures in a row that eject an upstream."""


class StallOnsets:
    """When recent stalls of one upstream began; reads no clock."""

    def __init__(self) -> None:
        self._onsets: collections.deque[float] = collections.deque(maxlen=_MAX_ONSETS)

    def is_new(self, since: float) -> bool:
        """Records a stall and returns whether it is the first with its onset.

        Args:
          since: When the upstream last sent something, in seconds.
        """
        if any(abs(since - onset) < SAME_ONSET_S for onset in self._onsets):
            return False
        self._onsets.append(since)
        return True
