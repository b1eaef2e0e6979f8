"""Token bucket whose time is passed in."""

from __future__ import annotations


class TokenBucket:
    """Token bucket, full at the start.

    Attributes:
      rate: Tokens added per second.
      burst: Maximum number of tokens in the bucket.
    """

    __slots__ = ("_refilled_at", "_tokens", "burst", "rate")

    def __init__(self, *, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._refilled_at = now

    def take(self, now: float, count: float = 1.0) -> float:
        """Takes tokens if the bucket holds enough of them.

        Args:
          now: Monotonic time in seconds.
          count: Number of tokens.

        Returns:
          0.0 if taken, else the seconds until the bucket will hold enough.
        """
        self._refill(now)
        if self._tokens >= count:
            self._tokens -= count
            return 0.0
        if self.rate <= 0:
            return float("inf")
        return (count - self._tokens) / self.rate

    def add(self, count: float) -> None:
        """Adds tokens besides those added over time, up to the burst."""
        self._tokens = min(self.burst, self._tokens + count)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._tokens = min(self.burst, self._tokens + elapsed * self.rate)
