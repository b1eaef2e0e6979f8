"""Checks that the events of a run follow on what is already had, one by one."""

from __future__ import annotations

from coppercleat.serving._events import StreamEvent


class EventSequence:
    """Follows the events of one run.

    Attributes:
      last: Number of the last event, of an earlier run to begin with; None for none.
      numbered: Whether every event with data must have a number.
      length: Events of this run so far; those with neither number nor data are none.
    """

    def __init__(self, last: int | None, *, numbered: bool = False) -> None:
        self.last = last
        self.numbered = numbered
        self.length = 0

    def take(self, events: list[StreamEvent]) -> tuple[list[StreamEvent], bool]:
        """Returns the events that follow, and whether that is all of them."""
        for index, event in enumerate(events):
            if not self._follows(event):
                return events[:index], False
        return events, True

    def _follows(self, event: StreamEvent) -> bool:
        if event.number is None:
            # Before the first number nothing tells whether the client has it already.
            placed = self.last is None or self.length > 0
            self.length += bool(event.data)
            return not event.data or (placed and not self.numbered)
        if self.last is not None and event.number != self.last + 1:
            return False
        self.last = event.number
        self.length += 1
        return True
