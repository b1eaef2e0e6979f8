"""One job in the hands of its owner: what is pending, running and done."""

from __future__ import annotations

import enum

import attrs

from coppercleat.ids import RequestId, UpstreamId
from coppercleat.jobs._records import ItemSpec, ItemState, PartialRow
from coppercleat.jobs._repository import Finished, Held
from coppercleat.quarantine import Verdict
from coppercleat.serving import EVENT_STREAM, ItemEvents, OnlineRequest


class ItemEnd(enum.Enum):
    """How a run of an item ended."""

    COMPLETE = "complete"
    YIELDED = "yielded"
    NOT_RUN = "not_run"
    BROKEN = "broken"
    FAILED = "failed"
    IMPOSSIBLE = "impossible"


@attrs.define(kw_only=True)
class Barred:
    """Why an item is kept from running, since upstreams ended under it.

    Attributes:
      since: In trio's time.
      until: When it may run as things are, in trio's time.
    """

    verdict: Verdict
    since: float
    until: float

    def is_news(self, verdict: Verdict) -> bool:
        """Returns whether a later verdict differs by more than the time left."""
        before = (self.verdict.kind, self.verdict.crashes)
        return (verdict.kind, verdict.crashes) != before


@attrs.define(eq=False, kw_only=True)
class ItemRun:
    """One item and what it has made so far.

    Attributes:
      events: Data of the events so far.
      last_event: Number of the last one; None before the first.
      media_type: Of the last run that brought events; one that is not known here, as
        after a takeover, was an event stream.
      failures: Runs that the upstream answered with a failure.
      kept_events: How many events the platform keeps.
      kept_failures: How many failures it knows.
      upstream: Where it runs now; empty if it does not.
      not_before: When it may run again, in trio's time.
      request: What its upstreams get, once that was worked out.
      barred: Why it is kept from running, since its upstreams ended; None if it is not.
    """

    index: int
    spec: ItemSpec
    events: list[bytes] = attrs.field(factory=list)
    last_event: int | None = None
    media_type: bytes = EVENT_STREAM
    failures: int = 0
    kept_events: int = 0
    kept_failures: int = 0
    upstream: UpstreamId = UpstreamId("")
    not_before: float = 0.0
    request: OnlineRequest | None = None
    barred: Barred | None = None

    def finished(self, state: ItemState) -> Finished:
        """Returns the item as it is to be listed."""
        text = b"\n".join(self.events) if state is ItemState.COMPLETED else b""
        return Finished(index=self.index, item=self.spec.id, state=state, text=text)

    def take_over(self, made: ItemEvents) -> None:
        """Goes on from what another instance had made, where that is more."""
        self.failures = max(self.failures, made.failures)
        if len(made.events) > len(self.events):
            self.events = list(made.events)
            self.last_event = made.last_event

    def partial(self) -> PartialRow:
        """Returns what is to be kept of it."""
        return PartialRow(
            last_event=self.last_event or 0,
            events=list(self.events),
            failures=self.failures,
        )

    def restore(self, partial: PartialRow) -> None:
        """Goes on from what was kept."""
        self.failures = self.kept_failures = partial.failures
        if partial.events:
            self.events = list(partial.events)
            self.last_event = partial.last_event
            self.kept_events = len(self.events)


class JobRun:
    """All items of a job that are not listed yet.

    Attributes:
      held: The job's row as last read or written.
      pending: Items that wait for a slot, in order.
      running: Items at upstreams, by index.
      finished: Items done and not yet listed.
      forecast_late: Whether it has been said that some will be late.
    """

    def __init__(
        self, held: Held, items: list[ItemSpec], partials: dict[int, PartialRow]
    ) -> None:
        self.held = held
        self.pending: list[ItemRun] = []
        self.running: dict[int, ItemRun] = {}
        self.finished: list[Finished] = []
        self.forecast_late = False
        listed = set(held.row.listed)
        for index, spec in enumerate(items):
            if index in listed:
                continue
            item = ItemRun(index=index, spec=spec)
            if index in partials:
                item.restore(partials[index])
            self.pending.append(item)

    @property
    def due_at(self) -> float:
        """When the job is due, in Unix seconds."""
        return self.held.row.due_at

    @property
    def all_listed(self) -> bool:
        """Whether nothing is left to do."""
        return not (self.pending or self.running or self.finished)

    def request_of(self, item: ItemRun) -> OnlineRequest:
        """Returns an item as the request that an upstream gets.

        It is kept with the item, since its fingerprint is asked for at each look.
        """
        if item.request is None:
            item.request = OnlineRequest(
                request_id=RequestId(item.spec.id),
                method="POST",
                host=self.held.row.host,
                target=item.spec.target.encode(),
                headers=item.spec.headers,
                body=item.spec.body,
                allowed_s=0.0,
            )
        return item.request

    def startable(self, now: float) -> list[ItemRun]:
        """Returns the items that wait for nothing but a slot.

        Args:
          now: In trio's time.
        """
        return [
            item
            for item in self.pending
            if item.not_before <= now
            # It is only looked at again and again.
            and (item.barred is None or item.barred.until <= now)
        ]

    def start(self, item: ItemRun, upstream: UpstreamId) -> None:
        """Moves an item from pending to running."""
        self.pending.remove(item)
        item.barred = None
        item.upstream = upstream
        self.running[item.index] = item

    def stop(
        self, item: ItemRun, end: ItemEnd, *, max_attempts: int, not_before: float
    ) -> None:
        """Moves an item on after a run."""
        self.running.pop(item.index, None)
        item.upstream = UpstreamId("")
        item.not_before = not_before
        if end is ItemEnd.FAILED:
            item.failures += 1
        if end is ItemEnd.COMPLETE:
            self.finished.append(item.finished(ItemState.COMPLETED))
        elif end is ItemEnd.IMPOSSIBLE or item.failures >= max(1, max_attempts):
            self.finished.append(item.finished(ItemState.FAILED))
        else:
            self.pending.append(item)
            self.pending.sort(key=lambda waiting: waiting.index)

    def fail_all(self) -> None:
        """Lists all that is pending as failed."""
        self.finished += [item.finished(ItemState.FAILED) for item in self.pending]
        self.pending.clear()

    def take_over(self, items: list[ItemEvents]) -> None:
        """Goes on from what the owner before had made since it was last kept."""
        pending = {item.index: item for item in self.pending}
        for made in items:
            item = pending.get(made.index)
            if item is None:
                continue
            item.take_over(made)
            if made.complete:
                self.pending.remove(item)
                self.finished.append(item.finished(ItemState.COMPLETED))

    def made(self) -> list[ItemEvents]:
        """Returns what has been made of items that are not listed."""
        found = [
            ItemEvents(
                item.index, item.last_event or 0, item.events, item.failures, False
            )
            for item in [*self.running.values(), *self.pending]
            if item.events
        ]
        for done in self.finished:
            if done.state is ItemState.COMPLETED:
                events = done.text.split(b"\n")
                found.append(ItemEvents(done.index, 0, events, 0, True))
        return found

    def unkept(self, least_events: int) -> dict[int, PartialRow]:
        """Returns what to keep of items with that many events not kept yet."""
        kept = {}
        for item in [*self.running.values(), *self.pending]:
            grown = len(item.events) - item.kept_events
            failed = item.failures > item.kept_failures
            if (item.events and grown >= least_events) or failed:
                kept[item.index] = item.partial()
        return kept

    def note_kept(self, partials: dict[int, PartialRow]) -> None:
        """Notes that the platform keeps these events."""
        for item in [*self.running.values(), *self.pending]:
            if item.index in partials:
                item.kept_events = len(partials[item.index].events)
                item.kept_failures = partials[item.index].failures
