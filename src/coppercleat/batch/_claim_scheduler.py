"""Schedules from which job the next segment is claimed."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

from coppercleat.batch._rows import JobRow
from coppercleat.ids import TenantId

_FAIR_SHARE_INTERVAL = 4
_NO_DUE_TIME = float("inf")


class OpenJob(msgspec.Struct, frozen=True):
    """An open job's row and its storage version."""

    row: JobRow
    version: int


class ClaimScheduler:
    """Orders open jobs by due time, and every fourth time by weighted fair share.

    Due times alone would let one client account with early due times starve the
    others; fair share alone would delay a small job that is due soon.
    """

    def __init__(self) -> None:
        self._call_count = 0

    def order(
        self,
        jobs: Sequence[OpenJob],
        *,
        held: Mapping[TenantId, int],
        weights: Mapping[TenantId, float],
    ) -> list[OpenJob]:
        """Returns jobs in the order in which to claim from them.

        Args:
          jobs: Open jobs.
          held: Number of segments held by this instance, by client account.
          weights: Fair-share weight of each client account; 1 by default.
        """
        self._call_count += 1
        by_due = sorted(jobs, key=lambda job: (_due_time(job), job.row.accepted_at))
        if self._call_count % _FAIR_SHARE_INTERVAL:
            return by_due
        return sorted(
            by_due,
            key=lambda job: (
                held.get(job.row.tenant, 0) / weights.get(job.row.tenant, 1.0)
            ),
        )


def _due_time(job: OpenJob) -> float:
    return job.row.due_at or _NO_DUE_TIME
