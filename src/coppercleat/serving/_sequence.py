"""Checks that the events of an attempt are consecutive and continue an earlier one."""

from __future__ import annotations

from coppercleat.serving._events import StreamEvent

FIRST_EVENT = 1
"""Number of the first event of an answer that resumes nothing."""


class EventSequence:
    """The events of one attempt.

    Attributes:
      last: Number of the last event, initially of the attempt that is resumed; None
        if there is none.
      require_numbers: Whether every event with data must have a number.
      event_count: Events of this attempt with a number or data.
    """

    def __init__(self, last: int | None, *, require_numbers: bool = False) -> None:
        self.last = last
        self.require_numbers = require_numbers
        self.event_count = 0

    def take(self, events: list[StreamEvent]) -> tuple[list[StreamEvent], bool]:
        """Returns the leading events that are in order, and whether all of them are."""
        for index, event in enumerate(events):
            if not self._is_next(event):
                return events[:index], False
        return events, True

    def _is_next(self, event: StreamEvent) -> bool:
        if event.malformed:
            return False
        if event.number is None:
            # A resumed stream may repeat data before its first number.
            position_known = self.last is None or self.event_count > 0
            self.event_count += bool(event.data)
            return not event.data or (position_known and not self.require_numbers)
        expected = FIRST_EVENT if self.last is None else self.last + 1
        if event.number != expected:
            return False
        self.last = event.number
        self.event_count += 1
        return True
