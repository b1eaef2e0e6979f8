"""Removes jobs that have ended and whose results need not be kept any longer."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec
import trio

from coppercleat.errors import CoppercleatError
from coppercleat.jobs._index import JobIndex
from coppercleat.jobs._records import QuotaRow, job_key, quota_key
from coppercleat.jobs._repository import Held
from coppercleat.observability import part_logger
from coppercleat.routing import ranked
from coppercleat.storage import (
    Check,
    Platform,
    Put,
    Transaction,
    TransactionRefused,
    decode_row,
)

SWEEP_EVERY_S = 5.0
KEEP_MARGIN_S = 60.0
"""Kept beyond what was promised: clocks differ, and a reader may be slow."""

_ENTRIES = 90
"""Rows deleted by one transaction, which holds 100 entries."""

_log = part_logger("jobs")


class Sweeper:
    """Sweeps the jobs for which this instance is first in line."""

    def __init__(
        self,
        platform: Platform,
        job_index: JobIndex,
        *,
        keep_s: float,
        clock: Callable[[], float],
        owner: str,
        live_instances: Callable[[], list[str]],
        quota_of: Callable[[str, str], str | None],
    ) -> None:
        """Prepares the sweeper.

        Args:
          platform: Where rows and objects lie.
          job_index: All jobs as known here.
          keep_s: How long after its acceptance a job must stay readable.
          clock: Unix time in seconds.
          owner: Names this start of this instance.
          live_instances: Names all living instances.
          quota_of: Returns the prefix whose quota counts a host's and path's tokens,
            None where no limit holds.
        """
        self.platform = platform
        self.job_index = job_index
        self.keep_s = keep_s
        self.clock = clock
        self.owner = owner
        self.live_instances = live_instances
        self.quota_of = quota_of

    async def run(self) -> None:
        """Sweeps until cancelled."""
        while True:
            await trio.sleep(SWEEP_EVERY_S)
            for held in self.job_index:
                if self._is_ours(held):
                    await self._sweep_logged(held)

    def _is_ours(self, held: Held) -> bool:
        row = held.row
        if row.open or self.clock() < row.accepted_at + self.keep_s + KEEP_MARGIN_S:
            return False
        return ranked(row.job, self.live_instances())[0] == self.owner

    async def _sweep_logged(self, held: Held) -> None:
        try:
            if await self.sweep(held):
                _log.info("Job swept away.", job=held.row.job)
        except CoppercleatError as error:
            _log.info("A job could not be swept.", job=held.row.job, reason=str(error))

    async def sweep(self, held: Held) -> bool:
        """Removes all of a job, its own row last; returns whether it did."""
        row = held.row
        for kind in ("result", "partial", "input"):
            rows = await self.platform.scan(
                f"{kind}/{row.job}/", limit=1_000_000, part=row.host
            )
            for keys in _batches([key for key, _ in rows]):
                await self.platform.transact(Transaction(deletes=keys, part=row.host))
        if row.input_object:
            await self.platform.delete_object(row.input_object)
        return await self._remove_row(held)

    async def _remove_row(self, held: Held) -> bool:
        """Removes a job's row and its tokens from the quota, at once."""
        row = held.row
        checks = [Check(job_key(row.job), held.version)]
        puts = []
        prefix = self.quota_of(row.host, row.path)
        if prefix is not None:
            key = quota_key(prefix)
            rows = await self.platform.read([key], part=row.host)
            if key in rows:
                quota = decode_row(rows[key], QuotaRow)
                left = max(0, quota.accepted_tokens - sum(row.tokens))
                checks.append(Check(key, rows[key].version))
                lowered = QuotaRow(accepted_tokens=left)
                puts.append(Put(key, msgspec.json.encode(lowered)))
        answer = await self.platform.transact(
            Transaction(
                checks=checks, puts=puts, deletes=[job_key(row.job)], part=row.host
            )
        )
        return not isinstance(answer, TransactionRefused)


def _batches(keys: list[str]) -> Iterable[list[str]]:
    for begin in range(0, len(keys), _ENTRIES):
        yield keys[begin : begin + _ENTRIES]
