"""Chooses which job gets the next free capacity."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

from coppercleat.batch._rows import JobRow
from coppercleat.ids import TenantId

_FAIR_SHARE_INTERVAL = 4
_NO_DUE_TIME = float("inf")


class OpenJob(msgspec.Struct, frozen=True):
    """An open job and the version of its row."""

    row: JobRow
    version: int


class ClaimScheduler:
    """Orders open jobs: mostly by due time, every fourth time by fair share.

    The due time alone would let one tenant with early due times take all; the
    share alone would make a small job that is due soon wait behind a large one.
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
        """Returns jobs in the order in which to try to claim from them.

        Args:
          jobs: Open jobs.
          held: Segments that this instance holds, by tenant.
          weights: Share of each tenant; 1 if not named.
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
