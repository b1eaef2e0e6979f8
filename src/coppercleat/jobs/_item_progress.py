"""Progress of one item of a batch job at the instance that owns the job."""

from __future__ import annotations

import enum

import attrs

from coppercleat.ids import UpstreamId
from coppercleat.jobs._records import CheckpointRow, ItemSpec, ItemState
from coppercleat.jobs._repository import FinishedItem
from coppercleat.quarantine import Verdict
from coppercleat.serving import (
    EVENT_STREAM,
    NO_GENERATION,
    Generation,
    ItemEvents,
    OnlineRequest,
    Precedence,
    StreamOrigin,
    precedence,
)


class ItemAttemptOutcome(enum.Enum):
    """How an attempt of an item at an upstream ended.

    Attributes:
      COMPLETE: The response was received whole.
      YIELDED: The attempt was cancelled: preempted, or its job was stopped.
      NOT_RUN: The upstream refused the item; it did not run.
      BROKEN: The response was interrupted, stalled or invalid.
      FAILED: The upstream ran the item and reported a failure.
      IMPOSSIBLE: The upstream reported that the item cannot be processed.
      ERROR: This instance failed to handle the attempt; a bug, of which the upstream's
        health says nothing.
    """

    COMPLETE = "complete"
    YIELDED = "yielded"
    NOT_RUN = "not_run"
    BROKEN = "broken"
    FAILED = "failed"
    IMPOSSIBLE = "impossible"
    ERROR = "error"


@attrs.define(kw_only=True)
class QuarantineState:
    """Why an item may not run after upstreams crashed while running it.

    Attributes:
      verdict: The latest verdict on the item.
      since: When the quarantine began, in trio time.
      until: When the item may run unless the verdict changes, in trio time.
    """

    verdict: Verdict
    since: float
    until: float

    def differs_from(self, verdict: Verdict) -> bool:
        """Returns whether a verdict differs in kind or in the number of crashes."""
        before = (self.verdict.kind, self.verdict.crashes)
        return (verdict.kind, verdict.crashes) != before


@attrs.define(eq=False, kw_only=True)
class ItemProgress:
    """An item that is not listed yet, and its progress.

    Attributes:
      index: Position of the item in the submission.
      spec: The item as submitted.
      events: Data of the events received so far.
      last_event: Number of the last event; None before the first.
      origin: What wrote the events; None before the first, and where it is not known.
      generation: The run that the events belong to.
      ownership: Version of the job's row when this instance loaded it.
      held_since: Since when it waits for a slot at the version that wrote its events,
        in trio time; None if it does not.
      media_type: Media type of the last attempt that delivered events. It is not in the
        checkpoint: after a takeover it is assumed to be an event stream.
      failures: Attempts that the upstream answered with a failure.
      checkpointed_events: Length of ``events`` in the last stored checkpoint.
      checkpointed_failures: ``failures`` in the last stored checkpoint.
      has_outdated_checkpoint: Whether the stored checkpoint has events that were
        discarded.
      upstream: Where the item runs; empty if it does not run.
      not_before: When the item may run again, in trio time.
      request: The request for upstreams; built on first use.
      quarantine: Why the item may not run; None if it is not quarantined.
    """

    index: int
    spec: ItemSpec
    events: list[bytes] = attrs.field(factory=list)
    last_event: int | None = None
    origin: StreamOrigin | None = None
    generation: Generation = NO_GENERATION
    ownership: int = 0
    held_since: float | None = None
    media_type: bytes = EVENT_STREAM
    failures: int = 0
    checkpointed_events: int = 0
    checkpointed_failures: int = 0
    has_outdated_checkpoint: bool = False
    upstream: UpstreamId = UpstreamId("")
    not_before: float = 0.0
    request: OnlineRequest | None = None
    quarantine: QuarantineState | None = None

    @property
    def new_events(self) -> int:
        """Events since the last checkpoint."""
        return len(self.events) - self.checkpointed_events

    def needs_checkpoint(self, min_new_events: int) -> bool:
        """Returns whether a checkpoint is worth a write.

        Args:
          min_new_events: New events that are worth one; a new failure always is.
        """
        made_progress = bool(self.events) and self.new_events >= min_new_events
        return made_progress or self.failed_anew or self.has_outdated_checkpoint

    @property
    def failed_anew(self) -> bool:
        """Whether it has failed since the last checkpoint."""
        return self.failures > self.checkpointed_failures

    def as_finished(self, state: ItemState) -> FinishedItem:
        """Returns the item with its final state and its result."""
        text = b"\n".join(self.events) if state is ItemState.COMPLETED else b""
        return FinishedItem(index=self.index, item=self.spec.id, state=state, text=text)

    @property
    def precedence(self) -> Precedence:
        """Which of two copies of the progress is to be used: the greater."""
        return precedence(self.events, self.origin, self.generation)

    def apply_handover(self, progress: ItemEvents) -> bool:
        """Adopts the progress made at a previous owner if it takes precedence.

        Returns:
          Whether it was adopted.
        """
        self.failures = max(self.failures, progress.failures)
        if progress.precedence <= self.precedence:
            return False
        self.events = list(progress.events)
        self.last_event = progress.last_event if progress.events else None
        self.origin = progress.origin
        self.generation = progress.generation
        return True

    def record_event(
        self, number: int, data: bytes, *, media_type: bytes, origin: StreamOrigin
    ) -> None:
        """Records an event; the first one begins a run."""
        if not self.events:
            self.origin = origin
            self.generation = self._next_generation()
            # A checkpoint of the run before may have been stored meanwhile.
            self.checkpointed_events = 0
        self.last_event = number
        self.events.append(data)
        self.media_type = media_type

    def _next_generation(self) -> Generation:
        return Generation(self.ownership, self.generation.number + 1)

    def discard_events(self, *, keep: int, last_event: int | None) -> None:
        """Drops the events of an answer that was found to be none of an upstream.

        Args:
          keep: Number of events that the item had before that answer.
          last_event: Number of the last one of these; None if there were none.
        """
        del self.events[keep:]
        self.last_event = last_event
        self.generation = self._next_generation()
        if not keep:
            self.origin = None
        if self.checkpointed_events > keep:
            self.checkpointed_events = keep
            self.has_outdated_checkpoint = True

    def begin_again(self) -> None:
        """Drops the events, which no upstream that may run the item can go on with."""
        self.events = []
        self.last_event = self.origin = None
        self.checkpointed_events = 0

    def handover(self) -> ItemEvents:
        """Returns the progress for the next owner of the job."""
        return ItemEvents(
            self.index,
            self.last_event or 0,
            self.events,
            self.failures,
            complete=False,
            origin=self.origin,
            generation=self.generation,
        )

    def checkpoint(self) -> CheckpointRow:
        """Returns a checkpoint of the item."""
        return CheckpointRow(
            last_event=self.last_event or 0,
            events=list(self.events),
            failures=self.failures,
            origin=self.origin,
            generation=self.generation,
        )

    def record_checkpoint(self, checkpoint: CheckpointRow) -> None:
        """Marks a checkpoint as stored; the item may have begun again meanwhile."""
        self.checkpointed_failures = checkpoint.failures
        if checkpoint.generation == self.generation:
            self.checkpointed_events = len(checkpoint.events)
            self.has_outdated_checkpoint = False

    def restore(self, checkpoint: CheckpointRow) -> None:
        """Resumes the item from a checkpoint."""
        self.failures = self.checkpointed_failures = checkpoint.failures
        self.generation = checkpoint.generation
        if checkpoint.events:
            self.events = list(checkpoint.events)
            self.last_event = checkpoint.last_event
            self.origin = checkpoint.origin
            self.checkpointed_events = len(self.events)
