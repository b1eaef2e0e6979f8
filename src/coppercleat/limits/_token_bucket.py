"""A token bucket with the clock passed in."""

from __future__ import annotations


class TokenBucket:
    """Holds up to ``burst`` tokens and gains ``rate`` a second.

    Attributes:
      rate: Tokens gained each second.
      burst: Tokens held at most.
    """

    __slots__ = ("_at", "_tokens", "burst", "rate")

    def __init__(self, *, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._at = now

    def take(self, now: float, count: float = 1.0) -> float:
        """Takes tokens if there are enough.

        Returns:
          0.0 if taken, else the seconds until there will be enough.
        """
        self._gain(now)
        if self._tokens >= count:
            self._tokens -= count
            return 0.0
        if self.rate <= 0:
            return float("inf")
        return (count - self._tokens) / self.rate

    def give(self, count: float) -> None:
        """Adds tokens beyond those gained by time."""
        self._tokens = min(self.burst, self._tokens + count)

    def _gain(self, now: float) -> None:
        elapsed = max(0.0, now - self._at)
        self._at = now
        self._tokens = min(self.burst, self._tokens + elapsed * self.rate)
