"""How recent attempts at one upstream ended, here and at other instances.

A breaker of failures in a row (``routing.Health``) finds an upstream that is down. One
that fails a part of its requests, while its health checks pass, shows only in the
share of attempts that fail.
"""

from __future__ import annotations

HALF_LIFE_S = 4.0
"""An attempt counts half after this time: long enough that some requests a second
show a share, short enough that an upstream that is well again is soon used."""

SUSPECT_FAILURES = 1.5
"""Fewer recent failures prove nothing: two of them, the older a little faded."""

SUSPECT_SHARE = 0.15
"""Sound upstreams were seen to break off 2 to 3 attempts in 100, partly failing ones
20 to 50."""


class RecentResults:
    """Attempts that ended well or failed, fading with time; the clock is passed in."""

    __slots__ = ("_failed", "_faded_at", "_untold_failed", "_untold_well", "_well")

    def __init__(self) -> None:
        self._well = 0.0
        self._failed = 0.0
        self._faded_at = 0.0
        self._untold_well = 0
        self._untold_failed = 0

    def observe(self, *, failed: bool, now: float) -> None:
        """Takes an attempt of this instance."""
        self.observe_peer(well=int(not failed), failed=int(failed), now=now)
        self._untold_well += not failed
        self._untold_failed += failed

    def observe_peer(self, *, well: int, failed: int, now: float) -> None:
        """Takes attempts that another instance has told of."""
        self._fade(now)
        self._well += well
        self._failed += failed

    def take_unreported(self) -> tuple[int, int]:
        """Returns how many ended well and failed here since the last call."""
        told = self._untold_well, self._untold_failed
        self._untold_well = self._untold_failed = 0
        return told

    def suspect(self, now: float) -> bool:
        """Returns whether the upstream seems to fail a part of its requests."""
        self._fade(now)
        if self._failed < SUSPECT_FAILURES:
            return False
        return self._failed >= SUSPECT_SHARE * (self._failed + self._well)

    def _fade(self, now: float) -> None:
        left = 0.5 ** (max(0.0, now - self._faded_at) / HALF_LIFE_S)
        self._well *= left
        self._failed *= left
        self._faded_at = now
