"""Runs items at upstreams, and cuts them where online requests need the slots."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator

import attrs
import trio

from coppercleat.ids import InstanceId, UpstreamId
from coppercleat.jobs._item_bar import ItemBar
from coppercleat.jobs._pace import ItemPace
from coppercleat.jobs._run import ItemEnd, ItemRun, JobRun
from coppercleat.observability import part_logger
from coppercleat.quarantine import FREE, EndWatch, Standing, Verdict, shown
from coppercleat.serving import (
    EventSequence,
    EventSplitter,
    NoUpstreamAvailable,
    OnlineRequest,
    Placement,
    QueuePosition,
    Rank,
    Route,
    RunKind,
    SilentRuns,
    UpstreamAnswer,
    UpstreamBrokeError,
    UpstreamCaller,
    UpstreamState,
    YieldTimer,
    head_of,
    incarnation_probe,
    is_event_stream,
    looks_for_silence,
    why_incomplete,
)
from coppercleat.upstreams import Attempt, AttemptState

RESERVED_SLOTS = 0
"""Slots at each upstream that batch leaves free for online requests. None: an item is
cut within some 5 ms of an online request that needs its slot, while a reserve of one
in eight is lost to batch all day. Rounds: docs/design/platform.md."""

STALL_S = 1.0
"""An item without an event for this long goes elsewhere; events come 20 ms apart, and
the first after at most 0.1 s beside a full batch."""

_BROKEN_PAUSE_S = 0.1
"""An item whose run broke waits so long, so that a faulty upstream is not hammered."""

_AVOID_S = 0.3
"""For how long an upstream that refused an item as full gets none."""

_UNPROCESSABLE = 422
_FAILED = 500
"""By which an upstream says that it ran the item and failed. Other errors tell of the
upstream or of what stands before it: they end no item."""


_log = part_logger("jobs")


@attrs.define(eq=False)
class Running:
    """An item in a slot of an upstream, and how to stop it.

    Attributes:
      stall: Cancelled when the upstream is silent.
      began_at: When the run began, in trio's time.
      heard_at: When the run began or its last event came, in trio's time.
      silent_since: When it was last heard of, if it was given up as silent; in trio's
        time.
      disconnected: Whether its connection broke.
      suspect: Whether upstreams have ended under it before.
    """

    run: JobRun
    item: ItemRun
    request: OnlineRequest
    state: UpstreamState
    scope: trio.CancelScope
    stall: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    began_at: float = 0.0
    heard_at: float = 0.0
    silent_since: float | None = None
    disconnected: bool = False
    suspect: bool = False


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
        silent_runs: SilentRuns | None = None,
        end_watch: EndWatch[UpstreamState] | None = None,
    ) -> None:
        """Prepares the runner.

        Args:
          placement: Chooses upstreams and counts what is in flight.
          caller: Reaches upstreams.
          instance: This instance's id, to agree with peers on who cuts.
          on_change: Told of each run that starts (True) or ends (False).
          on_end: Told how each run ended.
          silent_runs: Told of runs that were left while unheard; None for its own.
          end_watch: Knows requests that end their upstreams; None for its own.
        """
        self.placement = placement
        self.caller = caller
        self.instance = instance
        self.silent_runs = silent_runs or SilentRuns()
        self.end_watch = end_watch or EndWatch(incarnation_probe(caller))
        self.bar = ItemBar(self.end_watch, placement)
        self.on_change = on_change
        self.on_end = on_end
        self._running: list[Running] = []
        self._avoided: dict[UpstreamId, float] = {}
        self._pace = ItemPace()
        self._patience = YieldTimer(placement.rng)

    def find_slot(
        self,
        route: Route,
        item: ItemRun,
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
            avoid.update(self._suspects(route, now))
        own = QueuePosition(Rank.BATCH_LATE if late else Rank.BATCH, now + due_in_s)
        service = route.targets[0].service
        ineligible = self.placement.upstreams_to_avoid(verdict, service, now=now)
        suspects = {r.state.id for r in self._running if r.suspect}
        if verdict.standing is Standing.TRIAL:
            # An end would count against both, and keep a proper one for longer.
            ineligible |= suspects
        ahead = self.placement.peer_queues.ahead(own, service=service, now=now)
        while True:
            state = self.placement.choose_batch(
                route,
                reserve=RESERVED_SLOTS,
                avoid=avoid,
                now=now,
                ahead=ahead,
                ineligible=ineligible,
                last_resort=suspects if verdict.ends else (),
            )
            if not isinstance(state, NoUpstreamAvailable):
                self._patience.reset()
                return state
            if not state.queued_ahead or not self._patience.expired(now):
                return None
            ahead = 0

    def _suspects(self, route: Route, now: float) -> list[UpstreamId]:
        """Returns upstreams that seem to fail, unless all do: one may answer it yet."""
        suspects = self.placement.suspects(now)
        others = self.placement.serves(route.targets[0].service, avoid=suspects)
        return suspects if others else []

    def seconds_left(self, item: ItemRun) -> float:
        """Returns how long an item takes from now, if it starts at once."""
        return self._pace.seconds_left(len(item.events))

    def cut_late(self, wall: float) -> None:
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
        self, run: JobRun, item: ItemRun, state: UpstreamState, verdict: Verdict = FREE
    ) -> Running:
        """Counts a run before anything else can be placed."""
        request = run.request_of(item)
        if verdict.standing is Standing.TRIAL:
            self.end_watch.begin_trial(request)
        running = Running(run, item, request, state, trio.CancelScope())
        running.suspect = verdict.ends > 0
        run.start(item, state.id)
        self._running.append(running)
        state.batch += 1
        state.health.started()
        self.on_change(state, True)
        return running

    async def run(self, running: Running, route: Route) -> None:
        """Runs an item once, in the slot that was claimed for it."""
        run, item, state = running.run, running.item, running.state
        attempt = Attempt()
        end = ItemEnd.YIELDED
        running.began_at = running.heard_at = trio.current_time()
        before = len(item.events)
        with self._counted(running), running.scope:
            end = await self._attempt(running, attempt)
        self._pace.observe_run(
            events=len(item.events) - before,
            seconds=trio.current_time() - running.began_at,
        )
        self._note_end(running, attempt, end)
        if end in (ItemEnd.BROKEN, ItemEnd.FAILED):
            if running.silent_since is None or self.silent_runs.blames(
                state, running.silent_since
            ):
                _judge_failure(state, attempt)
        elif end is ItemEnd.COMPLETE:
            self._pace.observe_item(events=len(item.events))
            state.succeeded(trio.current_time())
        elif end is ItemEnd.NOT_RUN:
            self._avoided[state.id] = trio.current_time() + _AVOID_S
        pause = _BROKEN_PAUSE_S if end is not ItemEnd.YIELDED else 0.0
        not_before = trio.current_time() + pause
        run.stop(item, end, max_attempts=route.max_attempts, not_before=not_before)
        self.on_end(end.value)
        broke = end is ItemEnd.BROKEN
        write = _log.info if end is not ItemEnd.YIELDED else _log.debug
        write(
            "Item run ended.",
            job=run.held.row.job,
            item=item.spec.id,
            fingerprint=shown(running.request.fingerprint) if broke else None,
            upstream=state.id,
            ended=end.value,
            events=len(item.events),
            failures=item.failures,
        )

    def _note_end(self, running: Running, attempt: Attempt, end: ItemEnd) -> None:
        """Notes whether the upstream may have ended under the item."""
        silent = running.silent_since is not None
        if end in (ItemEnd.COMPLETE, ItemEnd.FAILED, ItemEnd.IMPOSSIBLE):
            self.end_watch.note_answer(running.request)
        elif end in (ItemEnd.NOT_RUN, ItemEnd.YIELDED):
            self.end_watch.not_run(running.request)
        elif attempt.state is not AttemptState.QUEUED and (
            silent or running.disconnected
        ):
            fingerprint = running.request.fingerprint
            self.end_watch.broke_off(
                fingerprint,
                running.state,
                began=running.began_at,
                silent=silent,
                moved_on_s=running.heard_at - running.began_at,
            )

    @contextlib.contextmanager
    def _counted(self, running: Running) -> Iterator[None]:
        try:
            yield
        finally:
            running.state.batch -= 1
            running.state.health.abandoned()
            self._running.remove(running)
            self.on_change(running.state, False)

    async def _attempt(self, running: Running, attempt: Attempt) -> ItemEnd:
        item, state = running.item, running.state
        request = running.request
        end = ItemEnd.BROKEN
        with self._watched(running, attempt), running.stall:
            try:
                async with self.caller.exchange(
                    state.upstream,
                    request,
                    attempt=attempt,
                    allowed_s=None,
                    resume_after=item.last_event,
                ) as answer:
                    end = await _collect(running, answer)
            except UpstreamBrokeError as error:
                running.disconnected = error.disconnected
                _log.info(
                    "Item broke off.",
                    item=item.spec.id,
                    upstream=state.id,
                    reason=str(error),
                )
                return ItemEnd.BROKEN
        return end

    @contextlib.contextmanager
    def _watched(self, running: Running, attempt: Attempt) -> Iterator[None]:
        """Notes a run that was left before its upstream had ended it."""
        try:
            yield
        finally:
            cut = running.scope.cancel_called
            silent = running.stall.cancelled_caught
            if attempt.state is AttemptState.SENT and (silent or cut):
                running.silent_since = running.heard_at if silent else None
                self.silent_runs.left(
                    running.state,
                    RunKind.ITEM,
                    heard_at=running.heard_at,
                    silent=silent,
                )

    async def end_silent(self) -> None:
        """Ends runs at upstreams that have fallen silent, until cancelled."""
        async for now in looks_for_silence():
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


async def _collect(running: Running, answer: UpstreamAnswer) -> ItemEnd:
    """Takes an item's events and returns how the run ended.

    Raises:
      UpstreamBrokeError: The run is not complete, or not one of this item.
    """
    item = running.item
    if answer.other_instance:
        running.state.gone = True
        return ItemEnd.NOT_RUN
    if answer.refused:
        return ItemEnd.NOT_RUN
    if answer.status == _UNPROCESSABLE:
        return ItemEnd.IMPOSSIBLE
    if answer.status == _FAILED:
        return ItemEnd.FAILED
    if answer.status != 200:
        raise UpstreamBrokeError(f"the upstream answered {answer.status}")
    if not is_event_stream(answer):
        raise UpstreamBrokeError("no stream of events")
    media_type = head_of(answer).media_type
    splitter = EventSplitter()
    sequence = EventSequence(item.last_event, numbered=True)
    async for data in answer.body:
        whole, in_order = sequence.take(splitter.feed(data))
        for event in whole:
            if event.number is not None:
                item.last_event = event.number
                item.events.append(event.data)
                item.media_type = media_type
                running.heard_at = trio.current_time()
        if not in_order:
            raise UpstreamBrokeError("an event is out of order")
    if incomplete := why_incomplete(
        splitter, sequence, framed=answer.framed, may_move=True
    ):
        raise UpstreamBrokeError(incomplete)
    # Any empty answer would else pass for a run that went on after the last event.
    if not sequence.length and media_type != item.media_type:
        raise UpstreamBrokeError("what was to go on with a stream is of another kind")
    return ItemEnd.COMPLETE


def _judge_failure(state: UpstreamState, attempt: Attempt) -> None:
    reached = attempt.state is not AttemptState.QUEUED
    state.failed(trio.current_time(), reached=reached)
