"""Recent results of attempts at one upstream, of this instance and its peers.

The circuit breaker (``routing.Health``) ejects an upstream after consecutive failures.
One that fails only some of its requests, while its health checks pass, is found by its
failure rate.
"""

from __future__ import annotations

HALF_LIFE_S = 4.0
"""Half-life of a result's weight, in seconds: long enough to estimate the failure rate
at a few requests per second, short enough for a fast recovery."""

SUSPECT_FAILURES = 1.5
"""Weighted failures below which an upstream is not suspected: about two recent ones."""

SUSPECT_SHARE = 0.15
"""Failure rate from which an upstream is suspected; a healthy one stays below 0.03."""


class RecentResults:
    """Exponentially decaying counts of results; the clock is passed in."""

    __slots__ = (
        "_failed",
        "_decayed_at",
        "_unreported_failed",
        "_unreported_succeeded",
        "_succeeded",
    )

    def __init__(self) -> None:
        self._succeeded = 0.0
        self._failed = 0.0
        self._decayed_at = 0.0
        self._unreported_succeeded = 0
        self._unreported_failed = 0

    def observe(self, *, failed: bool, now: float) -> None:
        """Adds the result of an attempt of this instance."""
        self.observe_peer(succeeded=int(not failed), failed=int(failed), now=now)
        self._unreported_succeeded += not failed
        self._unreported_failed += failed

    def observe_peer(self, *, succeeded: int, failed: int, now: float) -> None:
        """Adds the results of attempts that a peer has reported."""
        self._decay(now)
        self._succeeded += succeeded
        self._failed += failed

    def take_unreported(self) -> tuple[int, int]:
        """Returns own attempts that succeeded and that failed since the last call."""
        unreported = self._unreported_succeeded, self._unreported_failed
        self._unreported_succeeded = self._unreported_failed = 0
        return unreported

    def suspect(self, now: float) -> bool:
        """Returns whether the upstream seems to fail some of its requests."""
        self._decay(now)
        if self._failed < SUSPECT_FAILURES:
            return False
        return self._failed >= SUSPECT_SHARE * (self._failed + self._succeeded)

    def _decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self._decayed_at) / HALF_LIFE_S)
        self._succeeded *= factor
        self._failed *= factor
        self._decayed_at = now
