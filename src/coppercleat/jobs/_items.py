"""Runs batch items at upstreams, and preempts them for online requests."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator

import attrs
import trio

from coppercleat.ids import InstanceId, UpstreamId
from coppercleat.jobs._item_progress import ItemAttemptOutcome, ItemProgress
from coppercleat.jobs._item_quarantine import ItemQuarantine
from coppercleat.jobs._pace import ItemDurationEstimator
from coppercleat.jobs._run import JobRun
from coppercleat.observability import part_logger
from coppercleat.quarantine import (
    FREE,
    PROGRESS_EVIDENCE_S,
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
    StreamOrigin,
    UpstreamCaller,
    UpstreamCallError,
    UpstreamResponse,
    UpstreamState,
    YieldTimer,
    incarnation_probe,
    incompleteness_reason,
    is_event_stream,
    may_go_on,
    response_head,
    stall_check_times,
    unusable_success_reason,
)
from coppercleat.upstreams import Attempt, AttemptState

RESERVED_SLOTS = 0
"""Slots at each upstream that batch items leave free for online requests. None are
needed, since an online request that needs a slot preempts an item at once, and a
reserve would be lost to batch all the time (docs/design/platform.md)."""

STALL_S = 1.0
"""Time without an event after which an attempt counts as stalled; many times the usual
interval between events and time to first event."""

_RETRY_DELAY_S = 0.1
"""Delay before an item runs again, so that a faulty upstream is not flooded."""

_ERROR_RETRY_DELAY_S = 1.0
"""The same after an error of this instance, which writes a traceback each time."""

_RETRY_DELAYS_S = {
    ItemAttemptOutcome.YIELDED: 0.0,
    ItemAttemptOutcome.ERROR: _ERROR_RETRY_DELAY_S,
}

MIN_VERSION_WAIT_S = 0.5
"""Shortest time for which an item with progress waits for a slot at the version that
wrote it, while there are free slots elsewhere."""

_REFUSAL_AVOID_S = 0.3
"""How long an upstream that refused an item gets no other."""

_OK = 200
_FAILURES = {
    422: ItemAttemptOutcome.IMPOSSIBLE,
    500: ItemAttemptOutcome.FAILED,
}
"""Statuses by which an upstream reports that it ran the item. Other errors are about
the upstream or a proxy before it, and do not count as failures of the item."""

_WITHOUT_EVIDENCE = frozenset(
    {
        ItemAttemptOutcome.NOT_RUN,
        ItemAttemptOutcome.YIELDED,
        ItemAttemptOutcome.ERROR,
    }
)
"""Outcomes that say nothing of whether the item crashes upstreams."""

_log = part_logger("jobs")


class EndlessAnswerError(UpstreamCallError):
    """An answer has more events than the item can have, so that none is to be used."""


@attrs.define(eq=False)
class RunningItem:
    """An item that occupies a slot of an upstream.

    Attributes:
      run: The item's job.
      item: The item.
      request: The request that the upstream gets.
      state: The upstream.
      origin: The upstream's service and version.
      scope: Cancelled to preempt or stop the item.
      stall: Cancelled when the attempt has stalled.
      events_before: Number of the item's events when the attempt began.
      began_at: When the attempt began, in trio time.
      heard_at: When the attempt began or its last event came, in trio time.
      stalled_since: ``heard_at`` of an attempt that was abandoned as stalled, else
        None.
      disconnected: Whether the connection broke.
      first_event_at: When the attempt's first event came, in trio time; None before.
      on_progress: Called with the request once events have come for
        ``PROGRESS_EVIDENCE_S``.
      unproven: Whether upstreams have crashed under the item, and this attempt has not
        made progress for ``PROGRESS_EVIDENCE_S`` yet.
    """

    run: JobRun
    item: ItemProgress
    request: OnlineRequest
    state: UpstreamState
    origin: StreamOrigin
    scope: trio.CancelScope
    stall: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    events_before: int = 0
    began_at: float = 0.0
    heard_at: float = 0.0
    stalled_since: float | None = None
    disconnected: bool = False
    first_event_at: float | None = None
    on_progress: Callable[[OnlineRequest], None] | None = None
    unproven: bool = False

    def record_event(self, number: int, data: bytes, media_type: bytes) -> None:
        """Records an event that came."""
        self.item.record_event(number, data, media_type=media_type, origin=self.origin)
        self.record_progress()

    def check_length(self, number: int) -> None:
        """Checks that the item may have so many events: each has a token at least.

        Raises:
          EndlessAnswerError: It may not.
        """
        if number > self.item.spec.tokens:
            raise EndlessAnswerError(
                f"event {number} of an item of {self.item.spec.tokens} tokens"
            )

    def record_progress(self) -> None:
        """Records that an event came, as evidence that the upstream survives it."""
        self.heard_at = trio.current_time()
        if self.heard_at - self.began_at >= PROGRESS_EVIDENCE_S:
            self.count_as_proven()
        if self.first_event_at is None:
            self.first_event_at = self.heard_at
        if (
            self.on_progress is not None
            and self.heard_at - self.first_event_at >= PROGRESS_EVIDENCE_S
        ):
            self.on_progress(self.request)
            self.on_progress = None

    def count_as_proven(self) -> None:
        """Stops counting the attempt among those that may crash the upstream."""
        self.state.crash_suspects -= self.unproven
        self.unproven = False


class ItemRunner:
    """Starts and stops attempts of items; it does not decide which item is next."""

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
        """Initializes the runner.

        Args:
          placement: Chooses upstreams and counts work in flight.
          caller: Sends requests to upstreams.
          instance: This instance's id, by which instances agree on which preempts.
          on_change: Called when an attempt starts (True) or ends (False).
          on_end: Called with the outcome of each attempt.
          abandoned_attempts: Records abandoned attempts; None for a private one.
          crash_detector: Detects requests that crash upstreams; None for a private one.
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
        self._started = trio.Event()
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
        """Returns an upstream with a free slot for an item, None if there is none.

        An item that has failed avoids upstreams that seem to fail, since its attempts
        are limited. An item under which upstreams have crashed is kept apart for a
        time; see ``ItemQuarantine.limits``. Slots are left to more urgent work that
        waits at other instances. An item with progress goes on at the version that
        wrote it; see ``is_held``.

        Args:
          route: The job's route.
          item: The item.
          late: Whether the item cannot finish in time.
          due_in_s: Seconds until the job is due.
          verdict: Verdict on the item, given the upstream crashes under it.
        """
        now = trio.current_time()
        avoid = {u for u, until in self._avoided.items() if now < until}
        if item.failures:
            avoid.update(self._failing_upstreams(route, now))
        rank = Rank.BATCH_LATE if late else Rank.BATCH
        own = QueuePosition(rank=rank, due_at=now + due_in_s)
        service = route.targets[0].service
        limits = self.item_quarantine.limits(verdict, service, now=now)
        ineligible = set(limits.ineligible)
        if item.origin is not None and self.is_held(item, service, now=now):
            ineligible |= self.placement.upstreams_of_other_versions(item.origin)
        ahead = self.placement.peer_queues.ahead(own, service=service, now=now)
        while True:
            state = self.placement.choose_batch(
                route,
                reserve=RESERVED_SLOTS,
                avoid=avoid,
                now=now,
                ahead=ahead,
                ineligible=ineligible,
                avoid_if_possible=limits.avoid,
            )
            if not isinstance(state, NoUpstreamAvailable):
                self._patience.reset()
                return state
            if not state.queued_ahead or not self._patience.expired(now):
                return None
            ahead = 0

    def is_held(self, item: ItemProgress, service: str, *, now: float) -> bool:
        """Returns whether an item's progress keeps it at one version.

        What two versions write does not fit together. The item begins again elsewhere
        where its version is not known or has no upstream left, or once it has waited
        there for as long as its progress would take to be made again.
        """
        origin = item.origin
        if not item.events or origin is None or origin.service != service:
            return False
        others = self.placement.upstreams_of_other_versions(origin)
        if not others or not self.placement.serves(service, avoid=others):
            return False
        if item.held_since is None:
            item.held_since = now
        anew_s = self._estimator.seconds_left(0) - self.seconds_left(item)
        return now - item.held_since <= max(MIN_VERSION_WAIT_S, anew_s)

    def _failing_upstreams(self, route: Route, now: float) -> list[UpstreamId]:
        """Returns the upstreams that seem to fail; none if all of the service do."""
        failing = self.placement.suspects(now)
        others = self.placement.serves(route.targets[0].service, avoid=failing)
        return failing if others else []

    def seconds_left(self, item: ItemProgress) -> float:
        """Returns the estimated seconds that an item needs if it starts now."""
        return self._estimator.seconds_left(len(item.events))

    def preempt_late(self, wall: float) -> None:
        """Preempts one late item, to free a slot for an item that can be in time.

        Does nothing while the preemption of another late item is in progress.

        Args:
          wall: Current Unix time, in seconds.
        """
        late = [
            running
            for running in self._running
            if wall + self.seconds_left(running.item) > running.run.due_at
        ]
        if late and not any(running.scope.cancel_called for running in late):
            min(late, key=lambda running: len(running.item.events)).scope.cancel()

    def stop_job(self, run: JobRun) -> None:
        """Cancels all running items of a job."""
        for running in self._running:
            if running.run is run:
                running.scope.cancel()

    def stop_all(self) -> None:
        """Cancels all running items."""
        for running in self._running:
            running.scope.cancel()

    def claim_slot(
        self,
        run: JobRun,
        item: ItemProgress,
        state: UpstreamState,
        verdict: Verdict = FREE,
    ) -> RunningItem:
        """Occupies a slot for an item, before other work can be placed there.

        Args:
          run: The item's job.
          item: The item.
          state: The upstream.
          verdict: Verdict on the item, given the upstream crashes under it.

        Returns:
          The running item, to be passed to ``run``.
        """
        request = run.request_of(item)
        if verdict.kind is VerdictKind.TRIAL:
            self.crash_detector.begin_trial(request)
        self.crash_detector.begin_attempt(request)
        origin = StreamOrigin(state.upstream.service, state.upstream.version)
        if item.events and (item.origin != origin or not origin.is_known):
            _log.info(
                "Item begins again at another software version.",
                host=run.stored.ref.host,
                job=run.stored.ref.id,
                item=item.spec.id,
                events=len(item.events),
                before=item.origin.version if item.origin else None,
                version=origin.version,
            )
            item.begin_again()
        item.held_since = None
        running = RunningItem(run, item, request, state, origin, trio.CancelScope())
        running.unproven = verdict.crashes > 0
        running.on_progress = self.crash_detector.record_progress
        state.crash_suspects += running.unproven
        run.start(item, state.id)
        self._running.append(running)
        self._started.set()
        state.batch += 1
        state.breaker.started()
        self.on_change(state, True)
        return running

    async def run(self, running: RunningItem, route: Route) -> None:
        """Makes one attempt of an item in the slot that was claimed for it."""
        run, item, state = running.run, running.item, running.state
        attempt = Attempt()
        outcome = ItemAttemptOutcome.YIELDED
        running.began_at = running.heard_at = trio.current_time()
        running.events_before = len(item.events)
        with self._slot_released(running), running.scope:
            outcome = await self._attempt(running, attempt)
        self._estimator.observe_attempt(
            events=len(item.events) - running.events_before,
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
        delay_s = _RETRY_DELAYS_S.get(outcome, _RETRY_DELAY_S)
        not_before = trio.current_time() + delay_s
        run.stop(item, outcome, max_attempts=route.max_attempts, not_before=not_before)
        self.on_end(outcome.value)
        broken = outcome is ItemAttemptOutcome.BROKEN
        log = _log.info if outcome is not ItemAttemptOutcome.YIELDED else _log.debug
        log(
            "Item run ended.",
            host=run.stored.ref.host,
            job=run.stored.ref.id,
            item=item.spec.id,
            fingerprint=format_fingerprint(running.request.fingerprint)
            if broken
            else None,
            upstream=state.id,
            version=state.upstream.version,
            ended=outcome.value,
            events=len(item.events),
            failures=item.failures,
        )

    def _record_crash_evidence(
        self, running: RunningItem, attempt: Attempt, outcome: ItemAttemptOutcome
    ) -> None:
        """Tells the crash detector whether the upstream may have crashed."""
        silent = running.stalled_since is not None
        if outcome in (
            ItemAttemptOutcome.COMPLETE,
            ItemAttemptOutcome.FAILED,
            ItemAttemptOutcome.IMPOSSIBLE,
        ):
            self.crash_detector.record_response(
                running.request, whole_answer=outcome is ItemAttemptOutcome.COMPLETE
            )
        elif outcome in _WITHOUT_EVIDENCE or attempt.state is AttemptState.QUEUED:
            self.crash_detector.cancel_trial(running.request)
        elif silent or running.disconnected:
            fingerprint = running.request.fingerprint
            self.crash_detector.record_interruption(
                fingerprint,
                running.state,
                began=running.began_at,
                stalled=silent,
                progress_s=running.heard_at - running.began_at,
                parts=self.crash_detector.verdicts.parts_of(running.request),
            )

    @contextlib.contextmanager
    def _slot_released(self, running: RunningItem) -> Iterator[None]:
        try:
            yield
        finally:
            running.state.batch -= 1
            running.count_as_proven()
            running.state.breaker.abandoned()
            self._running.remove(running)
            self.on_change(running.state, False)

    async def _attempt(
        self, running: RunningItem, attempt: Attempt
    ) -> ItemAttemptOutcome:
        item, state = running.item, running.state
        request = running.request
        resume_after = item.last_event
        outcome = ItemAttemptOutcome.BROKEN
        with self._abandonment_recorded(running, attempt), running.stall:
            if not await self._may_go_on(running):
                return ItemAttemptOutcome.NOT_RUN
            try:
                async with self.caller.exchange(
                    state.upstream,
                    request,
                    attempt=attempt,
                    allowed_s=None,
                    resume_after=resume_after,
                ) as answer:
                    outcome = await _receive_events(running, answer)
            except UpstreamCallError as error:
                running.disconnected = error.disconnected
                if isinstance(error, EndlessAnswerError):
                    item.discard_events(
                        keep=running.events_before, last_event=resume_after
                    )
                _log.info(
                    "Item attempt interrupted.",
                    host=running.run.stored.ref.host,
                    job=running.run.stored.ref.id,
                    item=item.spec.id,
                    upstream=state.id,
                    reason=str(error),
                )
                return ItemAttemptOutcome.BROKEN
            except Exception:  # noqa: BLE001 - one item must not end the process
                _log.exception(
                    "Item attempt failed with an unexpected error.",
                    host=running.run.stored.ref.host,
                    job=running.run.stored.ref.id,
                    item=item.spec.id,
                    upstream=state.id,
                )
                return ItemAttemptOutcome.ERROR
        return outcome

    async def _may_go_on(self, running: RunningItem) -> bool:
        """Returns whether the upstream still has the version that it is listed with.

        Asked only where it matters: each resumed item would cost a call otherwise.
        """
        if running.item.last_event is None:
            return True
        if not self.placement.upstreams_of_other_versions(running.origin):
            return True
        return await may_go_on(self.caller, running.state)

    @contextlib.contextmanager
    def _abandonment_recorded(
        self, running: RunningItem, attempt: Attempt
    ) -> Iterator[None]:
        """Records an attempt that was cancelled while the upstream may still run it."""
        try:
            yield
        finally:
            cancelled = running.scope.cancel_called
            silent = running.stall.cancelled_caught
            if attempt.state is AttemptState.SENT and (silent or cancelled):
                running.stalled_since = running.heard_at if silent else None
                self.abandoned_attempts.record(
                    running.state,
                    AttemptKind.ITEM,
                    last_received_at=running.heard_at,
                    stalled=silent,
                )

    async def cancel_stalled(self) -> None:
        """Cancels stalled attempts, until cancelled itself."""
        async for now in stall_check_times(self._until_running):
            for running in self._running:
                if running.heard_at and now - running.heard_at > STALL_S:
                    running.stall.cancel()

    async def _until_running(self) -> None:
        if not self._running:
            self._started = trio.Event()
            await self._started.wait()

    # Preemption.

    def preempt(self) -> None:
        """Preempts items where online requests need their slots.

        At an overcommitted upstream the instance with the most items preempts its own;
        their progress is kept, and they resume at any upstream.
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
        preemptible = [
            running
            for running in self._running
            if running.state is state and not running.scope.cancel_called
        ]
        already_stopping = state.batch - len(preemptible)
        preemptible.sort(
            key=lambda running: (running.run.due_at, -len(running.item.events))
        )
        for running in preemptible[::-1][: max(0, excess - already_stopping)]:
            running.scope.cancel()


async def _receive_events(
    running: RunningItem, answer: UpstreamResponse
) -> ItemAttemptOutcome:
    """Reads the response to an item, and returns the outcome of the attempt.

    Raises:
      UpstreamCallError: The response is incomplete, or invalid for this item.
    """
    item = running.item
    if answer.wrong_upstream:
        running.state.gone = True
        return ItemAttemptOutcome.NOT_RUN
    if answer.refused:
        return ItemAttemptOutcome.NOT_RUN
    if answer.status in _FAILURES:
        return _FAILURES[answer.status]
    if reason := _unusable_reason(answer):
        raise UpstreamCallError(reason)
    media_type = response_head(answer).media_type
    splitter = EventStreamParser()
    sequence = EventSequence(item.last_event, require_numbers=True)
    async for data in answer.body:
        whole, in_order = sequence.take(splitter.feed(data))
        for event in whole:
            if event.number is not None:
                running.check_length(event.number)
                running.record_event(event.number, event.data, media_type)
        if not in_order:
            raise UpstreamCallError("event numbers are not consecutive")
    if incomplete := incompleteness_reason(
        splitter, sequence, self_delimited=answer.self_delimited, may_fail_over=True
    ):
        raise UpstreamCallError(incomplete)
    # Without this check, any empty response would complete a resumed item.
    if not sequence.event_count and media_type != item.media_type:
        raise UpstreamCallError("the resumed stream has another media type")
    return ItemAttemptOutcome.COMPLETE


def _unusable_reason(answer: UpstreamResponse) -> str:
    """Returns why an answer cannot be an item's output; empty if it may be."""
    if answer.status != _OK:
        return f"unexpected status {answer.status}"
    if reason := unusable_success_reason(answer):
        return reason
    return "" if is_event_stream(answer) else "the response is no event stream"


def _record_failure(state: UpstreamState, attempt: Attempt) -> None:
    reached = attempt.state is not AttemptState.QUEUED
    state.failed(trio.current_time(), reached=reached)
