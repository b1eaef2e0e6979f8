"""Finds open jobs that stand still, so that somebody says what each waits for."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs

from coppercleat.ids import JobId
from coppercleat.jobs._repository import StoredJob

STALLED_AFTER_S = 8.0
"""A job whose row has not changed for so long stands still. What its items make is kept
every 1.5 s while they run, and a takeover is over within some 5 s."""

REPORT_INTERVAL_S = 10.0
"""How often it is said of one job; an operator who looks finds a line of the moment."""

CHECK_INTERVAL_S = 1.0
MAX_REPORTS = 5
"""Jobs said at one look: a backlog of thousands must not crowd out other lines."""


@attrs.define
class _Observation:
    """A job as last seen.

    Attributes:
      since: When this version was first seen.
      reported_at: When it was last asked whether to say that the job stands still.
    """

    version: int
    since: float
    reported_at: float = float("-inf")


class StalledJobs:
    """Remembers since when each open job's row is as it is."""

    def __init__(self) -> None:
        self._observations: dict[JobId, _Observation] = {}
        self._checked_at = float("-inf")

    def look(
        self,
        jobs: Iterable[StoredJob],
        *,
        should_report: Callable[[StoredJob], bool],
        now: float,
    ) -> list[tuple[StoredJob, float]]:
        """Returns jobs to speak of, each with the seconds for which it stands still.

        Args:
          jobs: All jobs as known here.
          should_report: Tells whether this instance speaks of a job; asked of one that
            stands still, once in ``REPORT_INTERVAL_S``.
          now: Seconds on this instance's clock.
        """
        if now - self._checked_at < CHECK_INTERVAL_S:
            return []
        self._checked_at = now
        before, self._observations = self._observations, {}
        stalled: list[tuple[StoredJob, float]] = []
        for stored in jobs:
            if not stored.row.open:
                continue
            observation = before.get(stored.row.job)
            if observation is None or observation.version != stored.version:
                observation = _Observation(stored.version, now)
            self._observations[stored.row.job] = observation
            due = now - observation.reported_at >= REPORT_INTERVAL_S
            if (
                now - observation.since >= STALLED_AFTER_S
                and due
                and len(stalled) < MAX_REPORTS
            ):
                observation.reported_at = now
                if should_report(stored):
                    stalled.append((stored, now - observation.since))
        return stalled
