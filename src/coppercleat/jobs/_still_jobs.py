"""Finds open jobs that stand still, so that somebody says what each waits for."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs

from coppercleat.ids import JobId
from coppercleat.jobs._repository import Held

STILL_S = 8.0
"""A job whose row has not changed for so long stands still. What its items make is kept
every 1.5 s while they run, and a takeover is over within some 5 s."""

SAY_AGAIN_S = 10.0
"""How often it is said of one job; an operator who looks finds a line of the moment."""

LOOK_EVERY_S = 1.0
MOST_LINES = 5
"""Jobs said at one look: a backlog of thousands must not crowd out other lines."""


@attrs.define
class _Sight:
    """A job as last seen.

    Attributes:
      since: When this version was first seen.
      said_at: When it was last asked whether to say that the job stands still.
    """

    version: int
    since: float
    said_at: float = float("-inf")


class StillJobs:
    """Remembers since when each open job's row is as it is."""

    def __init__(self) -> None:
        self._sights: dict[JobId, _Sight] = {}
        self._looked_at = float("-inf")

    def look(
        self,
        jobs: Iterable[Held],
        *,
        is_ours_to_say: Callable[[Held], bool],
        now: float,
    ) -> list[tuple[Held, float]]:
        """Returns jobs to speak of, each with the seconds for which it stands still.

        Args:
          jobs: All jobs as known here.
          is_ours_to_say: Tells whether this instance speaks of a job; asked of one that
            stands still, once in ``SAY_AGAIN_S``.
          now: Seconds on this instance's clock.
        """
        if now - self._looked_at < LOOK_EVERY_S:
            return []
        self._looked_at = now
        before, self._sights = self._sights, {}
        still: list[tuple[Held, float]] = []
        for held in jobs:
            if not held.row.open:
                continue
            sight = before.get(held.row.job)
            if sight is None or sight.version != held.version:
                sight = _Sight(held.version, now)
            self._sights[held.row.job] = sight
            due = now - sight.said_at >= SAY_AGAIN_S
            if now - sight.since >= STILL_S and due and len(still) < MOST_LINES:
                sight.said_at = now
                if is_ours_to_say(held):
                    still.append((held, now - sight.since))
        return still
