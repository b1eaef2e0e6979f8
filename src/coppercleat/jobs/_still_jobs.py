"""Finds open jobs without progress, so that their state is logged."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs

from coppercleat.ids import JobRef
from coppercleat.jobs._repository import StoredJob

STALLED_AFTER_S = 8.0
"""Time without a change of its row after which an open job is stalled; longer than the
checkpoint interval and a takeover."""

REPORT_INTERVAL_S = 10.0
"""Minimum time between two reports of a job."""

CHECK_INTERVAL_S = 1.0
MAX_REPORTS = 5
"""Maximum jobs reported by one check, so that a backlog does not flood the log."""


@attrs.define
class _Observation:
    """A job as last seen.

    Attributes:
      version: Version of its row.
      since: When this version was first seen.
      reported_at: When the job was last due for a report.
    """

    version: int
    since: float
    reported_at: float = float("-inf")


class StalledJobs:
    """Tracks when the row of each open job last changed."""

    def __init__(self) -> None:
        self._observations: dict[JobRef, _Observation] = {}
        self._checked_at = float("-inf")

    def find_due(
        self,
        jobs: Iterable[StoredJob],
        *,
        should_report: Callable[[StoredJob], bool],
        now: float,
    ) -> list[tuple[StoredJob, float]]:
        """Returns jobs to report, each with the seconds since its last change.

        Args:
          jobs: All jobs as known here.
          should_report: Returns whether this instance reports a job. It is called once
            in ``REPORT_INTERVAL_S`` for a job that is stalled.
          now: Current trio time.
        """
        if now - self._checked_at < CHECK_INTERVAL_S:
            return []
        self._checked_at = now
        previous, self._observations = self._observations, {}
        stalled: list[tuple[StoredJob, float]] = []
        for stored in jobs:
            if not stored.row.open:
                continue
            seen = previous.get(stored.ref)
            if seen is None or seen.version != stored.version:
                seen = _Observation(stored.version, now)
            self._observations[stored.ref] = seen
            due = now - seen.reported_at >= REPORT_INTERVAL_S
            if (
                now - seen.since >= STALLED_AFTER_S
                and due
                and len(stalled) < MAX_REPORTS
            ):
                seen.reported_at = now
                if should_report(stored):
                    stalled.append((stored, now - seen.since))
        return stalled
