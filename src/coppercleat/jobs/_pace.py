"""Estimates the remaining duration of items from earlier attempts."""

from __future__ import annotations

_SMOOTHING = 0.1
"""Weight of the newest sample in the exponential moving averages."""

_INITIAL_EVENTS = 150.0
_INITIAL_EVENT_INTERVAL_S = 0.02
"""Estimates used before any item has run."""

_FIRST_EVENT_DELAY_S = 0.08
"""Time to first event: connecting, prompt processing and one decoding step."""


class ItemDurationEstimator:
    """Moving averages of the length of items and the interval between events.

    Attributes:
      events: Mean number of events of an item.
      interval_s: Mean seconds between two events.
    """

    def __init__(self) -> None:
        self.events = _INITIAL_EVENTS
        self.interval_s = _INITIAL_EVENT_INTERVAL_S

    def observe_attempt(self, *, events: int, seconds: float) -> None:
        """Adds an attempt to the mean event interval.

        Args:
          events: Events received; an attempt without events is ignored.
          seconds: Duration of the attempt.
        """
        if events:
            self.interval_s += _SMOOTHING * (seconds / events - self.interval_s)

    def observe_item(self, *, events: int) -> None:
        """Adds a completed item to the mean number of events."""
        self.events += _SMOOTHING * (events - self.events)

    def seconds_left(self, events_received: int) -> float:
        """Returns the estimated seconds that an item needs if it starts now.

        Args:
          events_received: Events that earlier attempts of the item delivered.
        """
        left = max(1.0, self.events - events_received)
        return _FIRST_EVENT_DELAY_S + left * self.interval_s
