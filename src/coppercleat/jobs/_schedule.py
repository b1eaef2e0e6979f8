"""Whose turn it is: which item of which job is started next."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs

from coppercleat.jobs._run import ItemRun, JobRun
from coppercleat.serving import Route


@attrs.define(frozen=True)
class Turn:
    """An item that may be started now.

    Attributes:
      late: Whether it cannot be done by its job's due time.
    """

    run: JobRun
    item: ItemRun
    route: Route
    late: bool

    @property
    def place(self) -> tuple[bool, float, int]:
        """Its place in the order; what is late anyway comes last."""
        return self.late, self.run.due_at, self.item.index


def next_turns(
    runs: Iterable[tuple[JobRun, Route]],
    *,
    seconds_left: Callable[[ItemRun], float],
    now: float,
    wall: float,
) -> list[Turn]:
    """Returns the next item of each job, in the order in which they get slots.

    Items that can still be done in time come first, those due soonest before others.

    Args:
      runs: Jobs with their routes.
      seconds_left: Returns how long an item takes from now.
      now: Seconds on this instance's clock.
      wall: Unix time in seconds.
    """
    turns = []
    for run, route in runs:
        of_run = [
            Turn(run, item, route, wall + seconds_left(item) > run.due_at)
            for item in run.pending
            if item.not_before <= now
        ]
        if of_run:
            turns.append(min(of_run, key=lambda turn: turn.place))
    return sorted(turns, key=lambda turn: turn.place)
