"""State of one job at the instance that owns it."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from coppercleat.ids import RequestId, UpstreamId
from coppercleat.jobs._item_progress import ItemAttemptOutcome, ItemProgress
from coppercleat.jobs._records import CheckpointRow, ItemSpec, ItemState
from coppercleat.jobs._repository import FinishedItem, StoredJob
from coppercleat.serving import NO_GENERATION, ItemEvents, OnlineRequest


@attrs.define(frozen=True)
class HandoverResult:
    """What became of the progress that previous owners handed over, in items.

    Attributes:
      completed: Whole outputs, which are committed as they are.
      adopted: Progress that items go on after.
      outdated: Progress that is older than what is known here, or of a listed item.
    """

    completed: int
    adopted: int
    outdated: int


class JobRun:
    """All items of a job that are not listed yet.

    An item is listed once its result is committed to the job's list of results.

    Attributes:
      stored: The job's row as last read or written.
      pending: Items that wait for a slot, ordered by index.
      running: Items that run at upstreams, by index.
      finished: Items whose results are still to be committed.
      lateness_logged: Whether the warning that the job will be late was logged.
      unrouted_since: Since when the job has had no route here, in trio time.
    """

    def __init__(
        self,
        stored: StoredJob,
        items: list[ItemSpec],
        checkpoints: dict[int, CheckpointRow],
    ) -> None:
        self.stored = stored
        self.pending: list[ItemProgress] = []
        self.running: dict[int, ItemProgress] = {}
        self.finished: list[FinishedItem] = []
        self.lateness_logged = False
        self.unrouted_since: float | None = None
        listed = set(stored.row.listed)
        for index, spec in enumerate(items):
            if index in listed:
                continue
            item = ItemProgress(index=index, spec=spec, ownership=stored.version)
            if index in checkpoints:
                item.restore(checkpoints[index])
            self.pending.append(item)

    @property
    def due_at(self) -> float:
        """When all items should be finished, in Unix seconds."""
        return self.stored.row.due_at

    @property
    def all_listed(self) -> bool:
        """Whether every item is listed."""
        return not (self.pending or self.running or self.finished)

    def request_of(self, item: ItemProgress) -> OnlineRequest:
        """Returns the request that an upstream gets for an item.

        It is cached with the item: every scheduling pass needs its fingerprint.
        """
        if item.request is None:
            item.request = OnlineRequest(
                request_id=RequestId(item.spec.id),
                method="POST",
                host=self.stored.row.host,
                target=item.spec.target.encode(),
                headers=item.spec.headers,
                body=item.spec.body,
                allowed_s=0.0,
                account=self.stored.row.account,
                job=self.stored.ref,
            )
        return item.request

    def startable(self, now: float) -> list[ItemProgress]:
        """Returns the pending items that could run if there were a free slot.

        Args:
          now: Current trio time.
        """
        return [
            item
            for item in self.pending
            if item.not_before <= now
            # ``not_before`` of a quarantined item is only its next recheck.
            and (item.quarantine is None or item.quarantine.until <= now)
        ]

    def adopt(self, stored: StoredJob) -> None:
        """Adopts a newer row, and drops the items that it lists.

        They were committed here, or by an earlier run of this owner whose commit took
        effect late. A listed item that runs is dropped once its attempt ends.
        """
        self.stored = stored
        listed = set(stored.row.listed)
        self.pending = [item for item in self.pending if item.index not in listed]
        self.finished = [item for item in self.finished if item.index not in listed]

    def start(self, item: ItemProgress, upstream: UpstreamId) -> None:
        """Moves an item from pending to running."""
        self.pending.remove(item)
        item.quarantine = None
        item.upstream = upstream
        self.running[item.index] = item

    def stop(
        self,
        item: ItemProgress,
        outcome: ItemAttemptOutcome,
        *,
        max_attempts: int,
        not_before: float,
    ) -> None:
        """Records the outcome of an attempt: the item is finished or becomes pending.

        Args:
          item: The item.
          outcome: How the attempt ended.
          max_attempts: Failures after which the item is finished as failed.
          not_before: When the item may run again, in trio time.
        """
        self.running.pop(item.index, None)
        if item.index in self.stored.row.listed:
            return
        item.upstream = UpstreamId("")
        item.not_before = not_before
        if outcome is ItemAttemptOutcome.FAILED:
            item.failures += 1
        if outcome is ItemAttemptOutcome.COMPLETE:
            self.finished.append(item.as_finished(ItemState.COMPLETED))
        elif outcome is ItemAttemptOutcome.IMPOSSIBLE or item.failures >= max(
            1, max_attempts
        ):
            self.finished.append(item.as_finished(ItemState.FAILED))
        else:
            self.pending.append(item)
            self.pending.sort(key=lambda waiting: waiting.index)

    def fail_pending(self) -> None:
        """Finishes all pending items as failed."""
        self.finished += [item.as_finished(ItemState.FAILED) for item in self.pending]
        self.pending.clear()

    def apply_handover(self, items: Iterable[ItemEvents]) -> HandoverResult:
        """Adopts progress that previous owners made after the last checkpoint."""
        pending = {item.index: item for item in self.pending}
        completed = adopted = outdated = 0
        for progress in items:
            item = pending.get(progress.index)
            if item is None or not item.apply_handover(progress):
                outdated += 1
            elif progress.complete:
                completed += 1
                del pending[progress.index]
                self.pending.remove(item)
                self.finished.append(item.as_finished(ItemState.COMPLETED))
            else:
                adopted += 1
        return HandoverResult(completed, adopted, outdated)

    def progress(self) -> list[ItemEvents]:
        """Returns the progress of all items that are not listed."""
        found = [
            item.handover()
            for item in [*self.running.values(), *self.pending]
            if item.events or item.generation != NO_GENERATION
        ]
        for done in self.finished:
            if done.state is ItemState.COMPLETED:
                events = done.text.split(b"\n")
                found.append(ItemEvents(done.index, 0, events, 0, complete=True))
        return found

    def new_checkpoints(self, min_new_events: int) -> dict[int, CheckpointRow]:
        """Returns checkpoints, by item index, of items with enough progress to store.

        Those that would lose most come first, as not all may fit into one commit.

        Args:
          min_new_events: New events since the last checkpoint that are worth a write;
            a new failure always is.
        """
        items = [*self.running.values(), *self.pending]
        items.sort(key=lambda item: (item.failed_anew, item.new_events), reverse=True)
        return {
            item.index: item.checkpoint()
            for item in items
            if item.needs_checkpoint(min_new_events)
        }

    def record_checkpoints(self, checkpoints: dict[int, CheckpointRow]) -> None:
        """Marks checkpoints as stored."""
        for item in [*self.running.values(), *self.pending]:
            if item.index in checkpoints:
                item.record_checkpoint(checkpoints[item.index])
