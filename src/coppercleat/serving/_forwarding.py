"""Passes a client's request to an upstream, and on to another where that is safe."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator

import attrs
import trio

from coppercleat.ids import UpstreamId
from coppercleat.observability import part_logger
from coppercleat.serving._admission import Admission
from coppercleat.serving._admission_queue import RETRY_AFTER_S, TooLate, Waiter
from coppercleat.serving._events import EventSplitter, StreamEvent
from coppercleat.serving._model import (
    Header,
    OnlineRequest,
    Refusal,
    RefusalReason,
    Reply,
    Route,
    RouteKind,
)
from coppercleat.serving._placement import FULL_S, Nowhere, UpstreamState
from coppercleat.serving._progress import AttemptEnd, NextStep, RequestProgress
from coppercleat.serving._upstream_call import (
    UpstreamAnswer,
    UpstreamBrokeError,
    UpstreamCaller,
)
from coppercleat.upstreams import Attempt, AttemptState

NOWHERE_RETRY_S = 0.5
"""When to come back if no upstream is left: the list of them is read as often."""

FIRST_EVENT_STALL_S = 0.8
FIRST_EVENT_STALL_TARGETS = 2.5
"""Without a first event for this long, or so many times the route's target, a stream
that may be resumed goes elsewhere. Well past the time to read the longest prompt
beside a full batch (about 0.1 s)."""

GAP_STALL_S = 0.6
GAP_STALL_TARGETS = 3.0
"""The same between events, which come some 20 ms apart."""

SILENCE_LOOK_S = 0.05
"""Between looks for a slot elsewhere, for a request whose upstream is silent."""

_MAX_BUFFERED_BYTES = 1_000_000
"""An answer to an idempotent request is held back up to this size, so that the
request can still go elsewhere if the answer is cut."""

_SERVER_ERROR = 500
_GATEWAY_TIMEOUT = 504
"""By which an upstream says that the request's time was up; no fault of its own."""

_PROMISES = frozenset({408, 429, 503})
"""Statuses by which clients take a request as not run. From an upstream that does not
say so itself they prove nothing, and are not passed on."""

_log = part_logger("forward")


@attrs.define(frozen=True, kw_only=True)
class RequestEnd:
    """How a request ended, for metrics.

    Attributes:
      route: The route's name.
      first_s: Seconds to the first part of the answer; None if none came.
    """

    route: str
    outcome: str
    tries: int
    first_s: float | None
    total_s: float


@attrs.define(eq=False)
class _Exchange:
    """One request on its way.

    Attributes:
      refused_by: The upstream that refused last; it gets one more chance.
      heard_at: When the attempt began or its last event came, in trio's time.
      sent_at: When the attempt began, in trio's time.
      status: Of the attempt's answer; 0 before one.
      silent: Whether the attempt was ended since the upstream was silent.
      retry_after_s: When to come back, if it is refused as not run.
    """

    request: OnlineRequest
    route: Route
    reply: Reply
    progress: RequestProgress
    ends_at: float
    tried: set[UpstreamId] = attrs.field(factory=set)
    upstream: str = ""
    refused_by: str = ""
    reason: str = ""
    arrived_at: float = 0.0
    first_at: float = 0.0
    heard_at: float = 0.0
    sent_at: float = 0.0
    status: int = 0
    silent: bool = False
    retry_after_s: float = RETRY_AFTER_S


class Forwarder:
    """Forwards requests of all routes but those of batch jobs."""

    def __init__(
        self,
        admission: Admission,
        caller: UpstreamCaller,
        *,
        on_end: Callable[[RequestEnd], None],
    ) -> None:
        """Prepares the forwarder.

        Args:
          admission: Gives requests their slots.
          caller: Reaches upstreams.
          on_end: Told how each request ended.
        """
        self.admission = admission
        self.placement = admission.queue.placement
        self.caller = caller
        self.on_end = on_end
        self._attempts_open: dict[
            _Exchange, tuple[UpstreamState, trio.CancelScope]
        ] = {}

    async def forward(
        self, request: OnlineRequest, route: Route, reply: Reply
    ) -> NextStep:
        """Answers a request and returns how it ended."""
        now = trio.current_time()
        ends_at = now + min(request.allowed_s, route.timeout_s)
        exchange = _Exchange(
            request, route, reply, RequestProgress(route), ends_at, arrived_at=now
        )
        exchange.progress.last_event = request.resume_after
        for target in route.targets:
            self.placement.demand.of(target.service).arrived(now=now)
        step = NextStep.ABORT
        timed_out = False
        try:
            with trio.move_on_at(ends_at) as scope:
                step = await self._attempts(exchange)
            if scope.cancelled_caught:
                timed_out = True
                step = exchange.progress.give_up()
            await _conclude(exchange, step, timed_out=timed_out)
        finally:
            self._explain(exchange, step, timed_out=timed_out)
        return step

    async def _attempts(self, exchange: _Exchange) -> NextStep:
        while True:
            async with self.admission.slot(self._waiter(exchange)) as slot:
                if not isinstance(slot, UpstreamState):
                    exchange.reason = slot.reason
                    exchange.retry_after_s = _retry_after_s(slot)
                    return exchange.progress.give_up()
                end = await self._attempt(exchange, slot)
            step = exchange.progress.after(end)
            if step not in (NextStep.TRY_ELSEWHERE, NextStep.RESUME_ELSEWHERE):
                return step
            _log.info(
                "Going elsewhere.",
                request=exchange.request.request_id,
                upstream=exchange.upstream,
                ended=end.value,
                reason=exchange.reason,
                last_event=exchange.progress.last_event,
            )

    def _waiter(self, exchange: _Exchange) -> Waiter:
        """Returns the request as the queue for slots sees it."""
        route = exchange.route
        service = self.placement.draw_service(route.targets)
        demand = self.placement.demand.of(service)
        # A stream is on time by its first event and then by each pause between them.
        due_at = exchange.arrived_at + route.target_latency_s
        if exchange.progress.started:
            due_at = exchange.heard_at + route.gap_target_s
        streams = route.kind is RouteKind.STREAM
        return Waiter(
            service=service,
            priority=route.priority,
            on_time_by=due_at - (demand.lead_s if streams else demand.service_s),
            serve_by=exchange.ends_at - demand.service_s,
            begun=exchange.progress.started,
            avoid=exchange.tried,
        )

    async def _attempt(self, exchange: _Exchange, state: UpstreamState) -> AttemptEnd:
        attempt = Attempt()
        exchange.upstream = state.id
        exchange.tried.add(state.id)
        exchange.heard_at = exchange.sent_at = trio.current_time()
        exchange.status = 0
        try:
            end = await self._attempt_until_stall(exchange, state, attempt)
        except trio.Cancelled:
            self._judge_cancelled(exchange, state, attempt)
            raise
        self._judge(exchange, state, attempt, end)
        return end

    def _judge_cancelled(
        self, exchange: _Exchange, state: UpstreamState, attempt: Attempt
    ) -> None:
        """Counts an attempt that was ended by its time or by the client's leaving.

        A client that has the whole answer may leave while the attempt is wound up.
        """
        if exchange.progress.finished:
            exchange.progress.after(AttemptEnd.COMPLETE)
            self._judge(exchange, state, attempt, AttemptEnd.COMPLETE)
        elif attempt.state is not AttemptState.QUEUED:
            exchange.progress.runs += 1
            self._judge_silence(exchange, state)

    async def _attempt_until_stall(
        self, exchange: _Exchange, state: UpstreamState, attempt: Attempt
    ) -> AttemptEnd:
        end = AttemptEnd.LOST
        exchange.silent = False
        with self._watched(exchange, state):
            try:
                async with self.caller.exchange(
                    state.upstream,
                    exchange.request,
                    attempt=attempt,
                    allowed_s=exchange.ends_at - trio.current_time(),
                    resume_after=exchange.progress.last_event,
                ) as answer:
                    end = await self._pass_on(exchange, state, answer)
            except UpstreamBrokeError as error:
                exchange.reason = str(error)
                end = _end_of(attempt, exchange.progress)
        if exchange.silent:
            exchange.reason = "the upstream fell silent"
            end = _end_of(attempt, exchange.progress)
        return end

    @contextlib.contextmanager
    def _watched(self, exchange: _Exchange, state: UpstreamState) -> Iterator[None]:
        """Has an attempt ended if the upstream is silent and another is not."""
        scope = trio.CancelScope()
        # Other answers may take as long as the route allows: silence proves nothing.
        if exchange.route.kind is RouteKind.STREAM and exchange.progress.may_move:
            self._attempts_open[exchange] = (state, scope)
        try:
            with scope:
                yield
        finally:
            self._attempts_open.pop(exchange, None)

    async def run(self) -> None:
        """Ends attempts at silent upstreams, until cancelled."""
        while True:
            await trio.sleep(SILENCE_LOOK_S)
            now = trio.current_time()
            for exchange, (state, scope) in list(self._attempts_open.items()):
                if self._has_stalled(exchange, state, now):
                    exchange.silent = True
                    scope.cancel()

    def _has_stalled(
        self, exchange: _Exchange, state: UpstreamState, now: float
    ) -> bool:
        """Returns whether an upstream is silent and the request better off elsewhere.

        An upstream is silent too while the request waits in its queue. Leaving it then
        for no free slot would lose the place, and the request may have run.
        """
        if exchange.progress.finished:
            return False
        heard = exchange.heard_at > exchange.sent_at
        patience_s = _gap_patience_s if heard else _first_patience_s
        if now < exchange.heard_at + patience_s(exchange.route):
            return False
        if not state.health.may_try(now):
            return True
        service = state.upstream.service
        return self.placement.open_slots(service, avoid=exchange.tried, now=now) > 0

    async def _pass_on(
        self, exchange: _Exchange, state: UpstreamState, answer: UpstreamAnswer
    ) -> AttemptEnd:
        """Passes an answer on and returns how the attempt ended."""
        exchange.status = answer.status
        if answer.other_instance:
            state.gone = True
            exchange.reason = "another upstream has the address"
            return AttemptEnd.NOT_RUN
        if answer.refused:
            exchange.reason = f"the upstream refused with {answer.status}"
            state.full_until = trio.current_time() + FULL_S
            if exchange.refused_by != state.id:
                exchange.refused_by = state.id
                exchange.tried.discard(state.id)
            return AttemptEnd.NOT_RUN
        if answer.status in _PROMISES:
            exchange.reason = f"{answer.status} does not say whether it was run"
            return AttemptEnd.LOST
        if answer.status >= _SERVER_ERROR and exchange.progress.may_move:
            exchange.reason = f"the upstream answered {answer.status}"
            return AttemptEnd.LOST
        if exchange.route.kind is RouteKind.STREAM and answer.status < 300:
            return await self._pass_events(exchange, answer)
        return await self._pass_body(exchange, answer)

    async def _pass_events(
        self, exchange: _Exchange, answer: UpstreamAnswer
    ) -> AttemptEnd:
        """Passes whole events on as they come, so that a cut can be mended."""
        progress = exchange.progress
        splitter = EventSplitter()
        async for data in answer.body:
            whole, in_order = _in_order(splitter.feed(data), progress.last_event)
            if whole:
                exchange.heard_at = trio.current_time()
                await _start(exchange, answer.status, answer.headers)
                # Counted and sent without a checkpoint in between that could part them.
                numbers = [e.number for e in whole if e.number is not None]
                progress.last_event = numbers[-1] if numbers else progress.last_event
                await exchange.reply.send(b"".join(event.raw for event in whole))
            if not in_order:
                exchange.reason = "an event is out of order"
                return _cut(progress)
        if splitter.rest.strip():
            exchange.reason = "the answer ended inside an event"
            return _cut(progress)
        await _start(exchange, answer.status, answer.headers)
        progress.finished = True
        await exchange.reply.finish()
        return AttemptEnd.COMPLETE

    async def _pass_body(
        self, exchange: _Exchange, answer: UpstreamAnswer
    ) -> AttemptEnd:
        """Passes any other body on; holds it back while it could be mended."""
        held: list[bytes] = []
        size = 0
        async for data in answer.body:
            size += len(data)
            if exchange.progress.may_move and size <= _MAX_BUFFERED_BYTES:
                held.append(data)
                continue
            await _start(exchange, answer.status, answer.headers)
            await exchange.reply.send(b"".join([*held, data]))
            held.clear()
        await _start(exchange, answer.status, answer.headers)
        if held:
            await exchange.reply.send(b"".join(held))
        exchange.progress.finished = True
        await exchange.reply.finish()
        return AttemptEnd.COMPLETE

    def _judge(
        self,
        exchange: _Exchange,
        state: UpstreamState,
        attempt: Attempt,
        end: AttemptEnd,
    ) -> None:
        """Notes what an attempt tells of the upstream's health."""
        now = trio.current_time()
        if attempt.state is AttemptState.QUEUED:
            state.failed(now, reached=False)
        elif end in (AttemptEnd.LOST, AttemptEnd.CUT):
            state.failed(now)
        elif end is AttemptEnd.COMPLETE and exchange.status < _SERVER_ERROR:
            state.succeeded(now)
            self._observe(exchange, state, now)
        elif end is AttemptEnd.COMPLETE and exchange.status != _GATEWAY_TIMEOUT:
            state.failed(now)

    def _judge_silence(self, exchange: _Exchange, state: UpstreamState) -> None:
        """Notes a stream that was given up after a long silence of the upstream.

        Other answers may take as long as the route allows: silence proves nothing.
        """
        now = trio.current_time()
        first = not exchange.progress.started
        patience_s = _first_patience_s if first else _gap_patience_s
        silent_s = now - exchange.heard_at
        streams = exchange.route.kind is RouteKind.STREAM
        if streams and silent_s > patience_s(exchange.route):
            state.failed(now)

    def _observe(self, exchange: _Exchange, state: UpstreamState, now: float) -> None:
        """Notes how long a whole answer by one upstream took."""
        if exchange.first_at >= exchange.sent_at:
            self.placement.demand.of(state.upstream.service).answered(
                lead_s=exchange.first_at - exchange.sent_at,
                service_s=now - exchange.sent_at,
            )

    def _explain(self, exchange: _Exchange, step: NextStep, *, timed_out: bool) -> None:
        """Logs how a request ended, with what decided it."""
        now = trio.current_time()
        if exchange.progress.finished:
            # The client may close its connection before the attempt is wound up.
            step = NextStep.DONE
        first_s = exchange.first_at - exchange.arrived_at
        self.on_end(
            RequestEnd(
                route=exchange.route.name,
                outcome=step.value,
                tries=exchange.progress.tries + 1,
                first_s=first_s if exchange.first_at else None,
                total_s=now - exchange.arrived_at,
            )
        )
        write = _log.info if step is NextStep.DONE else _log.warning
        write(
            "Request ended.",
            request=exchange.request.request_id,
            route=exchange.route.name,
            outcome=step.value,
            upstream=exchange.upstream,
            tries=exchange.progress.tries,
            runs=exchange.progress.runs,
            last_event=exchange.progress.last_event,
            timed_out=timed_out,
            reason=exchange.reason,
            first_ms=_ms(first_s),
            total_ms=_ms(now - exchange.arrived_at),
            allowed_ms=_ms(exchange.ends_at - exchange.arrived_at),
        )


def _first_patience_s(route: Route) -> float:
    """Returns for how long an upstream may be silent before the first event."""
    return max(FIRST_EVENT_STALL_S, FIRST_EVENT_STALL_TARGETS * route.target_latency_s)


def _gap_patience_s(route: Route) -> float:
    """Returns for how long an upstream may be silent between events."""
    return max(GAP_STALL_S, GAP_STALL_TARGETS * route.gap_target_s)


def _retry_after_s(slot: Nowhere | TooLate) -> float:
    return slot.retry_after_s if isinstance(slot, TooLate) else NOWHERE_RETRY_S


def _ms(seconds: float) -> int:
    return max(0, round(seconds * 1000))


def _in_order(
    events: list[StreamEvent], last: int | None
) -> tuple[list[StreamEvent], bool]:
    """Returns the events that follow the last one, and whether that is all of them."""
    for index, event in enumerate(events):
        if event.number is None:
            continue
        if last is not None and event.number != last + 1:
            return events[:index], False
        last = event.number
    return events, True


def _cut(progress: RequestProgress) -> AttemptEnd:
    return AttemptEnd.CUT if progress.started else AttemptEnd.LOST


def _end_of(attempt: Attempt, progress: RequestProgress) -> AttemptEnd:
    """Returns how an attempt ended that broke."""
    if attempt.state is AttemptState.QUEUED:
        return AttemptEnd.NOT_RUN
    return _cut(progress)


async def _start(exchange: _Exchange, status: int, headers: list[Header]) -> None:
    """Sends the head of the first answer; later ones go on in the same body."""
    if exchange.progress.started:
        return
    exchange.progress.started = True
    exchange.first_at = trio.current_time()
    await exchange.reply.start(status, headers)


async def _conclude(exchange: _Exchange, step: NextStep, *, timed_out: bool) -> None:
    """Gives the final answer where the upstream's own was not passed on."""
    if step is NextStep.ABORT:
        await exchange.reply.abort()
    elif step is NextStep.REFUSE_AS_NOT_RUN:
        await exchange.reply.refuse(
            Refusal(
                reason=RefusalReason.NOT_RUN,
                detail=exchange.reason or "no upstream took the request",
                retry_after_s=exchange.retry_after_s,
            )
        )
    elif step is NextStep.ANSWER_BROKEN:
        reason = RefusalReason.TIMED_OUT if timed_out else RefusalReason.BROKEN
        await exchange.reply.refuse(Refusal(reason=reason, detail=exchange.reason))
