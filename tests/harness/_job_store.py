"""The store as instances of a play of jobs reach it, and what each of them wrote."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
import trio

from coppercleat.errors import PlatformUnavailableError
from coppercleat.ids import JobRef
from coppercleat.jobs import JobRow
from coppercleat.storage import (
    AnswerLostError,
    Changes,
    HistoryLostError,
    MemoryPlatform,
    Row,
    Transaction,
    decode_row,
)

TIMEOUT_S = 2.0
"""After so long a call to the store counts as unanswered."""

LATE_EFFECT_S = 1.5
"""After so long a write of the kind ``late`` takes effect; its answer is lost."""

_ROW_PREFIX = "job/"
_RESULT_PREFIX = "result/"
_INPUT_PREFIX = "input/"
_SLEEP = trio.sleep
"""The store's own sleep: it goes on while an instance is paused."""


@attrs.frozen
class Trouble:
    """What is wrong with the store for an instance.

    Attributes:
      kind: One of the kinds of faults.
      only: The writes that it concerns, as ``kind_of_write`` names them; empty for all.
      effect_s: When a write of the kind ``late`` takes effect; how long a call of the
        kind ``slow`` takes.
    """

    kind: str
    only: str = ""
    effect_s: float = LATE_EFFECT_S


class RecordingPlatform(MemoryPlatform):
    """Keeps who wrote what of jobs, and notes what no writer may do.

    Attributes:
      writer: Owner name of the instance whose transaction is applied.
      problems: Broken promises, in words.
      open_jobs: Jobs with items that are not listed.
      whole_at: When a job's last item was listed or its end was written, in trio time.
    """

    def __init__(self) -> None:
        super().__init__()
        self.writer = ""
        self.problems: list[str] = []
        self.open_jobs: set[JobRef] = set()
        self.whole_at: dict[JobRef, float] = {}

    def _insert(self, key: str, row: Row) -> None:
        name = key.rpartition("\x1f")[2]
        before = self.rows.get(key)
        if name.startswith(_ROW_PREFIX):
            self._note_job(before, decode_row(row, JobRow))
        elif (
            name.startswith(_RESULT_PREFIX)
            and before is not None
            and before.value != row.value
        ):
            self.problems.append(f"{name}: written twice")
        super()._insert(key, row)

    def _note_job(self, before: Row | None, job: JobRow) -> None:
        ref = JobRef(job.host, job.job)
        if len(set(job.listed)) < len(job.listed):
            self.problems.append(f"{ref}: an item is listed twice, {job.listed}")
        if before is not None:
            self._compare(decode_row(before, JobRow), job)
        if job.open:
            self.open_jobs.add(ref)
        else:
            self.open_jobs.discard(ref)
            self.whole_at.setdefault(ref, trio.current_time())

    def _compare(self, old: JobRow, new: JobRow) -> None:
        ref = JobRef(new.host, new.job)
        if new.listed[: len(old.listed)] != old.listed:
            self.problems.append(f"{ref}: its list changed, {old.listed}")
        if new.listed != old.listed and old.owner != self.writer:
            self.problems.append(f"{ref}: {self.writer} committed, not its owner")
        if old.ended and not new.ended:
            self.problems.append(f"{ref}: its end was taken back")


def kind_of_write(transaction: Transaction) -> str:
    """Returns what a transaction is for: accept, end, commit, takeover or renewal."""
    keys = [put.key for put in transaction.puts]
    if any(key.startswith("instance/") for key in keys):
        return "renewal"
    if any(key.endswith("/~") for key in keys):
        return "end"
    if any(check.version == 0 for check in transaction.checks):
        return "accept"
    if len(keys) > 1:
        return "commit"
    return "takeover" if keys and keys[0].startswith(_ROW_PREFIX) else "other"


class View:
    """The store as one instance reaches it.

    Attributes:
      takes_s: Seconds that each call takes.
      owner: Owner name of the instance.
      trouble: What is wrong; plain kinds are taken for troubles of all writes.
      pass_pause: Waits while the instance is paused.
    """

    def __init__(
        self,
        memory: MemoryPlatform,
        nursery: trio.Nursery,
        trouble: list[Trouble] | None = None,
    ) -> None:
        self.takes_s = 0.002
        self.memory = memory
        self.nursery = nursery
        self.owner = ""
        self.trouble: list[Trouble] = [] if trouble is None else trouble
        self.pass_pause: Callable[[], Any] | None = None

    def find(self, kind: str, only: str = "") -> Trouble | None:
        """Returns what is wrong of a kind that concerns a write, None for nothing."""
        for trouble in self.trouble:
            if trouble.kind == kind and trouble.only in ("", only):
                return trouble
        return None

    async def _reach(self, only: str = "") -> None:
        slow = self.find("slow")
        await _SLEEP(slow.effect_s if slow else self.takes_s)
        if self.find("away", only):
            raise PlatformUnavailableError("away")
        if self.find("silent", only):
            await _SLEEP(TIMEOUT_S)
            raise PlatformUnavailableError("silent")

    async def _answered(self) -> None:
        if self.pass_pause is not None:
            await self.pass_pause()

    async def transact(self, transaction: Transaction) -> Any:
        only = kind_of_write(transaction)
        try:
            await self._reach(only)
        except PlatformUnavailableError as error:
            if self.find("silent", only):
                raise AnswerLostError("silent") from error
            raise
        late = self.find("late", only)
        if late is not None:
            self.nursery.start_soon(self._later, transaction, late.effect_s)
        if late is not None or self.find("loses", only):
            if late is None:
                self._apply(transaction)
            await _SLEEP(TIMEOUT_S)
            await self._answered()
            raise AnswerLostError("lost")
        await trio.lowlevel.checkpoint()
        answer = self._apply(transaction)
        await self._answered()
        return answer

    def _apply(self, transaction: Transaction) -> Any:
        if isinstance(self.memory, RecordingPlatform):
            self.memory.writer = self.owner
        return self.memory.transact_now(transaction)

    async def _later(self, transaction: Transaction, effect_s: float) -> None:
        await _SLEEP(effect_s)
        self._apply(transaction)

    async def put_object(self, name: str, body: bytes) -> None:
        await self._reach("object")
        if self.find("loses", "object") or self.find("late", "object"):
            await self.memory.put_object(name, body)
            await _SLEEP(TIMEOUT_S)
            raise AnswerLostError("lost")
        await self.memory.put_object(name, body)
        await self._answered()

    async def scan(self, prefix: str, **options: Any) -> Any:
        await self._reach("scan")
        if prefix.startswith(_INPUT_PREFIX) and self.find("no_input"):
            return []
        found = await self.memory.scan(prefix, **options)
        await self._answered()
        return found

    async def get_object(self, name: str) -> bytes | None:
        await self._reach("object")
        if self.find("no_input"):
            return None
        return await self.memory.get_object(name)

    async def changes(self, space: str, *, after: int) -> Any:
        await self._reach("changes")
        if self.find("history"):
            raise HistoryLostError("dropped")
        changes = await self.memory.changes(space, after=after)
        await self._answered()
        return Changes((), changes.version) if self.find("omits") else changes

    def __getattr__(self, name: str) -> Any:
        async def read(*args: Any, **options: Any) -> Any:
            await self._reach(name)
            found = await getattr(self.memory, name)(*args, **options)
            await self._answered()
            return found

        return read
