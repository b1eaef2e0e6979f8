"""Whether a silence tells of an upstream, or of the connections to it.

Answers the load after open connections have gone silent while new ones work: each run
on them ends by silence, at all upstreams, and none of these is ill. What begins at one
moment is one sign of an upstream, however many runs there show it.
"""

from __future__ import annotations

import collections

SAME_ONSET_S = 0.15
"""Silences that began within this time began together: events come 20 ms apart, and a
run that reads its prompt beside a full batch was last heard of up to 0.1 s before."""

_MAX_ONSETS = 8
"""Moments that are kept of an upstream; three of them in a row eject it."""


class StallOnsets:
    """When silences of one upstream began; the clock is passed in."""

    def __init__(self) -> None:
        self._onsets: collections.deque[float] = collections.deque(maxlen=_MAX_ONSETS)

    def is_new(self, since: float) -> bool:
        """Notes a silence; returns whether none that began with it was noted before.

        Args:
          since: When the upstream was last heard of.
        """
        if any(abs(since - onset) < SAME_ONSET_S for onset in self._onsets):
            return False
        self._onsets.append(since)
        return True
