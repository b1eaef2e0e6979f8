"""Order in which items of several jobs are started."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs

from coppercleat.jobs._item_progress import ItemProgress
from coppercleat.jobs._run import JobRun
from coppercleat.serving import Route


@attrs.define(frozen=True)
class Candidate:
    """An item that may be started now.

    Attributes:
      run: The item's job.
      item: The item.
      route: The job's route.
      late: Whether the item cannot finish by its job's due time.
    """

    run: JobRun
    item: ItemProgress
    route: Route
    late: bool

    @property
    def sort_key(self) -> tuple[bool, float, int]:
        """Sorts late items last, then by due time and by index."""
        return self.late, self.run.due_at, self.item.index


def next_candidates(
    runs: Iterable[tuple[JobRun, Route]],
    *,
    seconds_left: Callable[[ItemProgress], float],
    now: float,
    wall: float,
) -> list[Candidate]:
    """Returns the next item of each job, in the order in which they get slots.

    Items that can still finish in time come first; among these, earliest due time
    first.

    Args:
      runs: Jobs with their routes.
      seconds_left: Estimates how many seconds an item needs if it starts now.
      now: Current trio time.
      wall: Current Unix time, in seconds.
    """
    candidates = []
    for run, route in runs:
        eligible = [
            Candidate(run, item, route, wall + seconds_left(item) > run.due_at)
            for item in run.pending
            if item.not_before <= now
        ]
        if eligible:
            candidates.append(min(eligible, key=lambda candidate: candidate.sort_key))
    return sorted(candidates, key=lambda candidate: candidate.sort_key)
