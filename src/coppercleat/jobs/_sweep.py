"""Deletes finished and cancelled jobs after their retention period."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec
import trio

from coppercleat.errors import CoppercleatError
from coppercleat.jobs._index import JobIndex
from coppercleat.jobs._records import QuotaRow, job_key, quota_key
from coppercleat.jobs._repository import StoredJob
from coppercleat.observability import part_logger
from coppercleat.routing import rendezvous_order
from coppercleat.storage import (
    Check,
    Platform,
    Put,
    Transaction,
    TransactionRefused,
    decode_row,
)

SWEEP_INTERVAL_S = 5.0
RETENTION_MARGIN_S = 60.0
"""Retention beyond the promised one: clocks differ, and readers may be slow."""

_MAX_DELETES = 90
"""Maximum rows deleted by one transaction; below ``MAX_TRANSACTION_ENTRIES``."""

_log = part_logger("jobs")


class Sweeper:
    """Deletes expired jobs for which this instance ranks first."""

    def __init__(
        self,
        platform: Platform,
        job_index: JobIndex,
        *,
        keep_s: float,
        clock: Callable[[], float],
        owner: str,
        live_instances: Callable[[], list[str]],
        quota_prefix_of: Callable[[str, str], str | None],
    ) -> None:
        """Initializes the sweeper.

        Args:
          platform: Stores rows and objects.
          job_index: All jobs as known here.
          keep_s: How long a job must stay readable after its acceptance.
          clock: Returns the Unix time in seconds.
          owner: Owner name of this instance; it changes with each restart.
          live_instances: Returns the owner names of all live instances.
          quota_prefix_of: Returns the route prefix whose quota counts the tokens of
            a host and path; None where no limit applies.
        """
        self.platform = platform
        self.job_index = job_index
        self.keep_s = keep_s
        self.clock = clock
        self.owner = owner
        self.live_instances = live_instances
        self.quota_prefix_of = quota_prefix_of

    async def run(self) -> None:
        """Deletes expired jobs until cancelled."""
        while True:
            await trio.sleep(SWEEP_INTERVAL_S)
            for stored in self.job_index:
                if self._should_sweep(stored):
                    await self._sweep_logged(stored)

    def _should_sweep(self, stored: StoredJob) -> bool:
        row = stored.row
        if (
            row.open
            or self.clock() < row.accepted_at + self.keep_s + RETENTION_MARGIN_S
        ):
            return False
        return rendezvous_order(row.job, self.live_instances())[0] == self.owner

    async def _sweep_logged(self, stored: StoredJob) -> None:
        try:
            if await self.sweep(stored):
                _log.info("Job deleted.", host=stored.ref.host, job=stored.ref.id)
        except CoppercleatError as error:
            _log.info(
                "Job could not be deleted.",
                host=stored.ref.host,
                job=stored.ref.id,
                reason=str(error),
            )

    async def sweep(self, stored: StoredJob) -> bool:
        """Deletes all rows and the input object of a job, its own row last.

        Returns:
          Whether the job's row was deleted; not so if it has changed meanwhile.
        """
        row = stored.row
        # A job that was deleted and accepted again has rows of the same keys.
        unchanged = Check(job_key(row.job), stored.version)
        for kind in ("result", "partial", "input"):
            rows = await self.platform.scan(
                f"{kind}/{row.job}/", limit=1_000_000, part=row.host
            )
            for keys in _batches([key for key, _ in rows]):
                answer = await self.platform.transact(
                    Transaction(checks=[unchanged], deletes=keys, part=row.host)
                )
                if isinstance(answer, TransactionRefused):
                    return False
        if row.input_object:
            await self.platform.delete_object(row.input_object)
        return await self._remove_row(stored)

    async def _remove_row(self, stored: StoredJob) -> bool:
        """Deletes a job's row and lowers its route's quota in one transaction."""
        row = stored.row
        checks = [Check(job_key(row.job), stored.version)]
        puts = []
        prefix = self.quota_prefix_of(row.host, row.path)
        if prefix is not None:
            key = quota_key(prefix, row.account)
            rows = await self.platform.read([key], part=row.host)
            if key in rows:
                quota = decode_row(rows[key], QuotaRow)
                remaining = max(0, quota.accepted_tokens - sum(row.tokens))
                checks.append(Check(key, rows[key].version))
                lowered = QuotaRow(accepted_tokens=remaining)
                puts.append(Put(key, msgspec.json.encode(lowered)))
        answer = await self.platform.transact(
            Transaction(
                checks=checks, puts=puts, deletes=[job_key(row.job)], part=row.host
            )
        )
        return not isinstance(answer, TransactionRefused)


def _batches(keys: list[str]) -> Iterable[list[str]]:
    for begin in range(0, len(keys), _MAX_DELETES):
        yield keys[begin : begin + _MAX_DELETES]
