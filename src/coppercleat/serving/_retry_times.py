"""When refused clients should retry: the first moments with spare slots.

Load: a wave that demands more than the slots that are released, and that ends before
the deadlines of its requests. Clients that return while it lasts are refused again, and
clients that return together after it make another one.
"""

from __future__ import annotations

import bisect
import collections
import math
import random

import attrs

from coppercleat.serving._demand import RATE_TIME_CONSTANT_S

RATE_WINDOW_S = 0.5
"""Seconds over which arrivals are averaged to detect an overload: the arrival rate's
average of 2 s would show the end of a wave of 2 s only after the next calm phase."""

SAMPLE_INTERVAL_S = 0.1
"""Shortest time in seconds between two samples of the arrival rate."""

MAX_SAMPLE_GAP_S = 1.0
"""Longest time in seconds between two samples; after a longer one, or a clock that was
set back, the present overload has begun at an unknown time and is not remembered."""

LENGTH_SMOOTHING = 0.3
"""Weight of the newest overload in the smoothed length; follows a change of the waves
within a few of them."""

MAX_OVERRUN = 2.0
"""An overload that has lasted so many times the smoothed length is of another kind; its
end is unknown."""

EARLY_END = 0.5
"""Part of its expected rest after which an overload may end. Requests that are served
if it ends so early stay queued; with 1 they are refused, and fewer are served."""

CALM_TIME_CONSTANT_S = 2.0
"""Time constant in seconds of the arrival rate between overloads."""


@attrs.define
class OverloadHistory:
    """Present and past overloads of one service; the clock is passed in.

    An overload lasts from the moment at which arrivals exceed the slots released until
    they no longer do. An interruption shorter than ``RATE_WINDOW_S`` does not end it.

    Attributes:
      length_s: Smoothed length of past overloads in seconds; None before the first.
      calm_rate: Smoothed arrivals per second between overloads.
    """

    length_s: float | None = None
    calm_rate: float = 0.0
    _began_at: float | None = None
    _exceeded_at: float = 0.0
    _saw_calm: bool = False
    _samples: collections.deque[tuple[float, float]] = attrs.field(
        factory=collections.deque
    )

    def observe(self, smoothed_rate: float, release_rate: float, *, now: float) -> None:
        """Adds a sample of the arrival rate.

        Args:
          smoothed_rate: Arrivals per second, averaged over ``RATE_TIME_CONSTANT_S``.
          release_rate: Slots released per second while all are in use.
          now: Seconds on this instance's clock.
        """
        passed_s = now - self._samples[-1][0] if self._samples else 0.0
        if not 0 <= passed_s <= MAX_SAMPLE_GAP_S:
            self._samples.clear()
            self._began_at = None
            self._saw_calm = False
        elif self._samples and passed_s < SAMPLE_INTERVAL_S:
            return
        recent = self._recent_rate(smoothed_rate, now)
        self._samples.append((now, smoothed_rate))
        if recent is None:
            return
        if recent > release_rate:
            self._exceeded_at = now
            if self._began_at is None:
                self._began_at = now
            return
        if self._began_at is not None:
            if now - self._exceeded_at < RATE_WINDOW_S:
                return
            if self._saw_calm:
                self._record_length(self._exceeded_at - self._began_at)
            self._began_at = None
        self._saw_calm = True
        weight = 1 - math.exp(-passed_s / CALM_TIME_CONSTANT_S)
        self.calm_rate += weight * (recent - self.calm_rate)

    def ends_in_s(self, *, now: float) -> float | None:
        """Returns seconds until the present overload is expected to end.

        Returns:
          0 if there is no overload, None if its end is unknown.
        """
        if self._began_at is None:
            return 0.0
        lasted_s = now - self._began_at
        if self.length_s is None or lasted_s > MAX_OVERRUN * self.length_s:
            return None
        return max(0.0, self.length_s - lasted_s)

    def ends_in_s_at_least(self, *, now: float) -> float:
        """Returns the shortest time in seconds in which the overload is likely to end.

        An overload is not taken to go on for longer than it has lasted so far, since
        one that has just begun may be a momentary excess.
        """
        if self._began_at is None:
            return 0.0
        lasted_s = now - self._began_at
        expected_s = self.ends_in_s(now=now)
        if expected_s is not None:
            lasted_s = min(lasted_s, expected_s)
        return EARLY_END * lasted_s

    def _recent_rate(self, smoothed_rate: float, now: float) -> float | None:
        """Returns arrivals per second over about ``RATE_WINDOW_S``, None at first.

        The exponential average at both ends of a window gives the mean within it.
        """
        samples = self._samples
        while len(samples) > 1 and samples[1][0] <= now - RATE_WINDOW_S:
            samples.popleft()
        if not samples or samples[0][0] > now - RATE_WINDOW_S:
            return None
        began_at, rate_before = samples[0]
        kept = math.exp(-(now - began_at) / RATE_TIME_CONSTANT_S)
        return max(0.0, (smoothed_rate - kept * rate_before) / (1 - kept))

    def _record_length(self, length_s: float) -> None:
        if self.length_s is None:
            self.length_s = length_s
        self.length_s += LENGTH_SMOOTHING * (length_s - self.length_s)


class Reservations:
    """Moments at which clients that this instance refused will return.

    They expire when their moment has passed; the clock is passed in.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._moments: list[float] = []

    def __len__(self) -> int:
        return len(self._moments)

    def first_spare(self, start: float, gap_s: float, *, now: float) -> float:
        """Returns the first moment with a spare slot that is not reserved.

        Args:
          start: Moment from which the service has spare slots.
          gap_s: Seconds in which one spare slot falls to this instance.
          now: Seconds on this instance's clock.
        """
        del self._moments[: bisect.bisect_left(self._moments, now)]
        first = bisect.bisect_left(self._moments, start)
        number = 0
        for moment in self._moments[first:]:
            if moment >= start + (number + 1) * gap_s:
                break
            number += 1
        return start + (number + self._rng.random()) * gap_s

    def add(self, moment: float) -> None:
        """Reserves a slot at a moment."""
        bisect.insort(self._moments, moment)
