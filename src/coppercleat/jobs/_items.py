"""Runs items at upstreams, and cuts them where online requests need the slots."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator

import attrs
import trio

from coppercleat.ids import InstanceId, UpstreamId
from coppercleat.jobs._item_quarantine import ItemQuarantine
from coppercleat.jobs._pace import ItemDurationEstimator
from coppercleat.jobs._run import ItemAttemptOutcome, ItemProgress, JobRun
from coppercleat.observability import part_logger
from coppercleat.quarantine import (
    FREE,
    CrashDetector,
    Verdict,
    VerdictKind,
    format_fingerprint,
)
from coppercleat.serving import (
    AbandonedAttempts,
    AttemptKind,
    EventSequence,
    EventStreamParser,
    NoUpstreamAvailable,
    OnlineRequest,
    Placement,
    QueuePosition,
    Rank,
    Route,
    UpstreamCaller,
    UpstreamCallError,
    UpstreamResponse,
    UpstreamState,
    YieldTimer,
    incarnation_probe,
    incompleteness_reason,
    is_event_stream,
    response_head,
    stall_check_times,
)
from coppercleat.upstreams import Attempt, AttemptState

RESERVED_SLOTS = 0
"""Slots at each upstream that batch leaves free for online requests. None: an item is
cut within some 5 ms of an online request that needs its slot, while a reserve of one
in eight is lost to batch all day. Rounds: docs/design/platform.md."""

STALL_S = 1.0
"""An item without an event for this long goes elsewhere; events come 20 ms apart, and
the first after at most 0.1 s beside a full batch."""

_RETRY_DELAY_S = 0.1
"""An item whose run broke waits so long, so that a faulty upstream is not hammered."""

_REFUSAL_AVOID_S = 0.3
"""For how long an upstream that refused an item as full gets none."""

_UNPROCESSABLE = 422
_FAILED = 500
"""By which an upstream says that it ran the item and failed. Other errors tell of the
upstream or of what stands before it: they end no item."""


_log = part_logger("jobs")


@attrs.define(eq=False)
class RunningItem:
    """An item in a slot of an upstream, and how to stop it.

    Attributes:
      stall: Cancelled when the upstream is silent.
      began_at: When the run began, in trio's time.
      heard_at: When the run began or its last event came, in trio's time.
      stalled_since: When it was last heard of, if it was given up as silent; in trio's
        time.
      disconnected: Whether its connection broke.
      crash_suspect: Whether upstreams have ended under it before.
    """

    run: JobRun
    item: ItemProgress
    request: OnlineRequest
    state: UpstreamState
    scope: trio.CancelScope
    stall: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    began_at: float = 0.0
    heard_at: float = 0.0
    stalled_since: float | None = None
    disconnected: bool = False
    crash_suspect: bool = False


class ItemRunner:
    """Starts and stops runs of items; whose turn it is, others decide."""

    def __init__(
        self,
        placement: Placement,
        caller: UpstreamCaller,
        *,
        instance: InstanceId,
        on_change: Callable[[UpstreamState, bool], None],
        on_end: Callable[[str], None],
        abandoned_attempts: AbandonedAttempts | None = None,
        crash_detector: CrashDetector[UpstreamState] | None = None,
    ) -> None:
        """Prepares the runner.

        Args:
          placement: Chooses upstreams and counts what is in flight.
          caller: Reaches upstreams.
          instance: This instance's id, to agree with peers on who cuts.
          on_change: Told of each run that starts (True) or ends (False).
          on_end: Told how each run ended.
          abandoned_attempts: Records abandoned attempts; None for its own.
          crash_detector: Knows requests that end their upstreams; None for its own.
        """
        self.placement = placement
        self.caller = caller
        self.instance = instance
        self.abandoned_attempts = abandoned_attempts or AbandonedAttempts()
        self.crash_detector = crash_detector or CrashDetector(incarnation_probe(caller))
        self.item_quarantine = ItemQuarantine(self.crash_detector, placement)
        self.on_change = on_change
        self.on_end = on_end
        self._running: list[RunningItem] = []
        self._avoided: dict[UpstreamId, float] = {}
        self._estimator = ItemDurationEstimator()
        self._patience = YieldTimer(placement.rng)

    def find_slot(
        self,
        route: Route,
        item: ItemProgress,
        *,
        late: bool,
        due_in_s: float,
        verdict: Verdict = FREE,
    ) -> UpstreamState | None:
        """Returns an upstream with a slot for an item, None if there is none.

        An item that has failed gets no upstream that seems to fail: its next
        failures may be its last. One under which upstreams have ended gets one with
        no other such, if it can, so that an end there tells of one of them. Slots are
        left to what waits before it elsewhere.

        Args:
          route: The job's route.
          item: The item.
          late: Whether it cannot be done in time.
          due_in_s: Seconds until its job is due.
          verdict: On the item, as far as upstreams ended under it.
        """
        now = trio.current_time()
        avoid = {u for u, until in self._avoided.items() if now < until}
        if item.failures:
            avoid.update(self._failing_upstreams(route, now))
        own = QueuePosition(Rank.BATCH_LATE if late else Rank.BATCH, now + due_in_s)
        service = route.targets[0].service
        ineligible = self.placement.upstreams_to_avoid(verdict, service, now=now)
        suspect_upstreams = {r.state.id for r in self._running if r.crash_suspect}
        if verdict.kind is VerdictKind.TRIAL:
            # An end would count against both, and keep a proper one for longer.
            ineligible |= suspect_upstreams
        ahead = self.placement.peer_queues.ahead(own, service=service, now=now)
        while True:
            state = self.placement.choose_batch(
                route,
                reserve=RESERVED_SLOTS,
                avoid=avoid,
                now=now,
                ahead=ahead,
                ineligible=ineligible,
                last_resort=suspect_upstreams if verdict.crashes else (),
            )
            if not isinstance(state, NoUpstreamAvailable):
                self._patience.reset()
                return state
            if not state.queued_ahead or not self._patience.expired(now):
                return None
            ahead = 0

    def _failing_upstreams(self, route: Route, now: float) -> list[UpstreamId]:
        """Returns upstreams that seem to fail, unless all do: one may answer it yet."""
        failing = self.placement.suspects(now)
        others = self.placement.serves(route.targets[0].service, avoid=failing)
        return failing if others else []

    def seconds_left(self, item: ItemProgress) -> float:
        """Returns how long an item takes from now, if it starts at once."""
        return self._estimator.seconds_left(len(item.events))

    def preempt_late(self, wall: float) -> None:
        """Cuts one item that is late anyway, for one that can be done in time.

        Args:
          wall: Unix time in seconds.
        """
        late = [
            running
            for running in self._running
            if wall + self.seconds_left(running.item) > running.run.due_at
        ]
        if late and not any(running.scope.cancel_called for running in late):
            min(late, key=lambda running: len(running.item.events)).scope.cancel()

    def stop_job(self, run: JobRun) -> None:
        """Stops all items of a job."""
        for running in self._running:
            if running.run is run:
                running.scope.cancel()

    def stop_all(self) -> None:
        """Stops all items."""
        for running in self._running:
            running.scope.cancel()

    def claim_slot(
        self,
        run: JobRun,
        item: ItemProgress,
        state: UpstreamState,
        verdict: Verdict = FREE,
    ) -> RunningItem:
        """Counts a run before anything else can be placed."""
        request = run.request_of(item)
        if verdict.kind is VerdictKind.TRIAL:
            self.crash_detector.begin_trial(request)
        running = RunningItem(run, item, request, state, trio.CancelScope())
        running.crash_suspect = verdict.crashes > 0
        run.start(item, state.id)
        self._running.append(running)
        state.batch += 1
        state.breaker.started()
        self.on_change(state, True)
        return running

    async def run(self, running: RunningItem, route: Route) -> None:
        """Runs an item once, in the slot that was claimed for it."""
        run, item, state = running.run, running.item, running.state
        attempt = Attempt()
        outcome = ItemAttemptOutcome.YIELDED
        running.began_at = running.heard_at = trio.current_time()
        before = len(item.events)
        with self._slot_released(running), running.scope:
            outcome = await self._attempt(running, attempt)
        self._estimator.observe_attempt(
            events=len(item.events) - before,
            seconds=trio.current_time() - running.began_at,
        )
        self._record_crash_evidence(running, attempt, outcome)
        if outcome in (ItemAttemptOutcome.BROKEN, ItemAttemptOutcome.FAILED):
            if running.stalled_since is None or self.abandoned_attempts.counts_against(
                state, running.stalled_since
            ):
                _record_failure(state, attempt)
        elif outcome is ItemAttemptOutcome.COMPLETE:
            self._estimator.observe_item(events=len(item.events))
            state.succeeded(trio.current_time())
        elif outcome is ItemAttemptOutcome.NOT_RUN:
            self._avoided[state.id] = trio.current_time() + _REFUSAL_AVOID_S
        pause = _RETRY_DELAY_S if outcome is not ItemAttemptOutcome.YIELDED else 0.0
        not_before = trio.current_time() + pause
        run.stop(item, outcome, max_attempts=route.max_attempts, not_before=not_before)
        self.on_end(outcome.value)
        broke = outcome is ItemAttemptOutcome.BROKEN
        log = _log.info if outcome is not ItemAttemptOutcome.YIELDED else _log.debug
        log(
            "Item run ended.",
            job=run.stored.row.job,
            item=item.spec.id,
            fingerprint=format_fingerprint(running.request.fingerprint)
            if broke
            else None,
            upstream=state.id,
            ended=outcome.value,
            events=len(item.events),
            failures=item.failures,
        )

    def _record_crash_evidence(
        self, running: RunningItem, attempt: Attempt, outcome: ItemAttemptOutcome
    ) -> None:
        """Notes whether the upstream may have ended under the item."""
        silent = running.stalled_since is not None
        if outcome in (
            ItemAttemptOutcome.COMPLETE,
            ItemAttemptOutcome.FAILED,
            ItemAttemptOutcome.IMPOSSIBLE,
        ):
            self.crash_detector.record_response(running.request)
        elif outcome in (ItemAttemptOutcome.NOT_RUN, ItemAttemptOutcome.YIELDED):
            self.crash_detector.cancel_trial(running.request)
        elif attempt.state is not AttemptState.QUEUED and (
            silent or running.disconnected
        ):
            fingerprint = running.request.fingerprint
            self.crash_detector.record_interruption(
                fingerprint,
                running.state,
                began=running.began_at,
                stalled=silent,
                progress_s=running.heard_at - running.began_at,
            )

    @contextlib.contextmanager
    def _slot_released(self, running: RunningItem) -> Iterator[None]:
        try:
            yield
        finally:
            running.state.batch -= 1
            running.state.breaker.abandoned()
            self._running.remove(running)
            self.on_change(running.state, False)

    async def _attempt(
        self, running: RunningItem, attempt: Attempt
    ) -> ItemAttemptOutcome:
        item, state = running.item, running.state
        request = running.request
        outcome = ItemAttemptOutcome.BROKEN
        with self._abandonment_recorded(running, attempt), running.stall:
            try:
                async with self.caller.exchange(
                    state.upstream,
                    request,
                    attempt=attempt,
                    allowed_s=None,
                    resume_after=item.last_event,
                ) as answer:
                    outcome = await _receive_events(running, answer)
            except UpstreamCallError as error:
                running.disconnected = error.disconnected
                _log.info(
                    "Item broke off.",
                    item=item.spec.id,
                    upstream=state.id,
                    reason=str(error),
                )
                return ItemAttemptOutcome.BROKEN
        return outcome

    @contextlib.contextmanager
    def _abandonment_recorded(
        self, running: RunningItem, attempt: Attempt
    ) -> Iterator[None]:
        """Notes a run that was left before its upstream had ended it."""
        try:
            yield
        finally:
            cut = running.scope.cancel_called
            silent = running.stall.cancelled_caught
            if attempt.state is AttemptState.SENT and (silent or cut):
                running.stalled_since = running.heard_at if silent else None
                self.abandoned_attempts.record(
                    running.state,
                    AttemptKind.ITEM,
                    last_received_at=running.heard_at,
                    stalled=silent,
                )

    async def cancel_stalled(self) -> None:
        """Ends runs at upstreams that have fallen silent, until cancelled."""
        async for now in stall_check_times():
            for running in self._running:
                if running.heard_at and now - running.heard_at > STALL_S:
                    running.stall.cancel()

    # Making room.

    def preempt(self) -> None:
        """Cuts items where online requests need their slots.

        The instance with the most items at an overfull upstream cuts one; what it
        has made is kept and goes on elsewhere.
        """
        for state in {running.state.id: running.state for running in self._running}:
            self._preempt_at(self.placement.states.get(state))

    def _preempt_at(self, state: UpstreamState | None) -> None:
        if state is None or not state.batch:
            return
        excess = self.placement.load(state) - (state.upstream.slots - RESERVED_SLOTS)
        if excess <= 0:
            return
        if not self.placement.should_preempt(state, self.instance):
            return
        here = [
            running
            for running in self._running
            if running.state is state and not running.scope.cancel_called
        ]
        stopping = state.batch - len(here)
        here.sort(key=lambda running: (running.run.due_at, -len(running.item.events)))
        for running in here[::-1][: max(0, excess - stopping)]:
            running.scope.cancel()


async def _receive_events(
    running: RunningItem, answer: UpstreamResponse
) -> ItemAttemptOutcome:
    """Takes an item's events and returns how the run ended.

    Raises:
      UpstreamCallError: The run is not complete, or not one of this item.
    """
    item = running.item
    if answer.wrong_upstream:
        running.state.gone = True
        return ItemAttemptOutcome.NOT_RUN
    if answer.refused:
        return ItemAttemptOutcome.NOT_RUN
    if answer.status == _UNPROCESSABLE:
        return ItemAttemptOutcome.IMPOSSIBLE
    if answer.status == _FAILED:
        return ItemAttemptOutcome.FAILED
    if answer.status != 200:
        raise UpstreamCallError(f"the upstream answered {answer.status}")
    if not is_event_stream(answer):
        raise UpstreamCallError("no stream of events")
    media_type = response_head(answer).media_type
    splitter = EventStreamParser()
    sequence = EventSequence(item.last_event, require_numbers=True)
    async for data in answer.body:
        whole, in_order = sequence.take(splitter.feed(data))
        for event in whole:
            if event.number is not None:
                item.last_event = event.number
                item.events.append(event.data)
                item.media_type = media_type
                running.heard_at = trio.current_time()
        if not in_order:
            raise UpstreamCallError("an event is out of order")
    if incomplete := incompleteness_reason(
        splitter, sequence, self_delimited=answer.self_delimited, may_fail_over=True
    ):
        raise UpstreamCallError(incomplete)
    # Any empty answer would else pass for a run that went on after the last event.
    if not sequence.event_count and media_type != item.media_type:
        raise UpstreamCallError("what was to go on with a stream is of another kind")
    return ItemAttemptOutcome.COMPLETE


def _record_failure(state: UpstreamState, attempt: Attempt) -> None:
    reached = attempt.state is not AttemptState.QUEUED
    state.failed(trio.current_time(), reached=reached)
