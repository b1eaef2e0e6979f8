"""Estimates how long an item still takes, from items that have ended."""

from __future__ import annotations

_SMOOTHING = 0.1
"""Weight of the newest item; some ten items decide."""

_FIRST_EVENTS = 150.0
_FIRST_EVENT_S = 0.02
"""Guesses until the first items have ended."""

_START_S = 0.08
"""From sending an item to its first event: connecting, reading the prompt, a step."""


class ItemPace:
    """Smoothed length of items and time between their events.

    Attributes:
      events: Events of an item.
      event_s: Seconds between events.
    """

    def __init__(self) -> None:
        self.events = _FIRST_EVENTS
        self.event_s = _FIRST_EVENT_S

    def observe_run(self, *, events: int, seconds: float) -> None:
        """Takes a run that made so many events in so many seconds."""
        if events:
            self.event_s += _SMOOTHING * (seconds / events - self.event_s)

    def observe_item(self, *, events: int) -> None:
        """Takes an item that is whole."""
        self.events += _SMOOTHING * (events - self.events)

    def seconds_left(self, events_made: int) -> float:
        """Returns how long an item takes from now, if it starts at once."""
        left = max(1.0, self.events - events_made)
        return _START_S + left * self.event_s
