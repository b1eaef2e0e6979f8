"""Retry budget: bounds retries to a fraction of first attempts."""

from __future__ import annotations

from coppercleat.limits._token_bucket import TokenBucket

_MIN_RETRIES_PER_S = 1.0
_MAX_SAVED_RETRIES = 20.0


class RetryBudget:
    """Grants retries in proportion to first attempts, and a minimum rate besides.

    Unused retries are saved up to a limit. Prevents retry storms while many
    upstreams fail, as the retry budget of Finagle does.

    Attributes:
      ratio: Retries earned by each first attempt.
    """

    def __init__(self, *, ratio: float, now: float) -> None:
        self.ratio = ratio
        self._bucket = TokenBucket(
            rate=_MIN_RETRIES_PER_S, burst=_MAX_SAVED_RETRIES, now=now
        )

    def record_first_attempt(self) -> None:
        """Counts a first attempt."""
        self._bucket.add(self.ratio)

    def grant(self, now: float) -> bool:
        """Returns whether a retry may be made; if so, counts it."""
        return self._bucket.take(now) == 0.0
