"""Whether a silence tells of an upstream, or of the connections to it.

Answers the load after open connections have gone silent while new ones work: each run
on them ends by silence, at all upstreams, and none of these is ill. What begins at one
moment is one sign of an upstream, however many runs there show it.
"""

from __future__ import annotations

import collections

SAME_MOMENT_S = 0.15
"""Silences that began within this time began together: events come 20 ms apart, and a
run that reads its prompt beside a full batch was last heard of up to 0.1 s before."""

_REMEMBERED = 8
"""Moments that are kept of an upstream; three of them in a row eject it."""


class SilentMoments:
    """When silences of one upstream began; the clock is passed in."""

    def __init__(self) -> None:
        self._moments: collections.deque[float] = collections.deque(maxlen=_REMEMBERED)

    def is_new(self, since: float) -> bool:
        """Notes a silence; returns whether none that began with it was noted before.

        Args:
          since: When the upstream was last heard of.
        """
        if any(abs(since - moment) < SAME_MOMENT_S for moment in self._moments):
            return False
        self._moments.append(since)
        return True
