"""A retry budget: retries may only be a fraction of first attempts."""

from __future__ import annotations

from coppercleat.limits._token_bucket import TokenBucket

_FLOOR_PER_S = 1.0
_BURST = 20.0


class RetryBudget:
    """Counts first attempts and grants retries in proportion.

    Attributes:
      ratio: Retries granted for each first attempt, besides one a second.
    """

    def __init__(self, *, ratio: float, now: float) -> None:
        self.ratio = ratio
        self._bucket = TokenBucket(rate=_FLOOR_PER_S, burst=_BURST, now=now)

    def first_attempt(self) -> None:
        """Notes a first attempt."""
        self._bucket.give(self.ratio)

    def grant(self, now: float) -> bool:
        """Returns whether a retry may be made, and counts it."""
        return self._bucket.take(now) == 0.0
