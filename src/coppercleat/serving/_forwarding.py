"""Passes a client's request to an upstream, and on to another where that is safe."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import trio

from coppercleat.observability import part_logger
from coppercleat.quarantine import EndWatch, Standing, Verdict, shown
from coppercleat.serving._admission import Admission
from coppercleat.serving._admission_queue import Overloaded, QueuedRequest
from coppercleat.serving._answer_use import Unfit, use_of
from coppercleat.serving._answers import PASS
from coppercleat.serving._exchange import Exchange
from coppercleat.serving._incarnation_probe import incarnation_probe
from coppercleat.serving._model import (
    OnlineRequest,
    Refusal,
    RefusalReason,
    Reply,
    Route,
    RouteKind,
)
from coppercleat.serving._placement import FULL_BACKOFF_S, NoUpstreamAvailable
from coppercleat.serving._progress import AttemptEnd, NextStep, RequestProgress
from coppercleat.serving._silence import (
    SilenceWatch,
    first_patience_s,
    gap_patience_s,
)
from coppercleat.serving._silent_runs import RunKind, SilentRuns
from coppercleat.serving._upstream_call import (
    NothingListensError,
    UpstreamAnswer,
    UpstreamBrokeError,
    UpstreamCaller,
)
from coppercleat.serving._upstream_state import UpstreamState
from coppercleat.upstreams import Attempt, AttemptState

NOWHERE_RETRY_S = 0.5
"""When to come back if no upstream is left: the list of them is read as often."""

_SERVER_ERROR = 500
_GATEWAY_TIMEOUT = 504
"""By which an upstream says that the request's time was up; no fault of its own."""

_REFUSALS = frozenset({NextStep.REFUSE_AS_NOT_RUN})

_BARRED = {
    Standing.HELD: "upstreams may have ended while they ran this request",
    Standing.UNSTEADY: "{ends} upstreams ended while they ran this request, and those "
    "that are left have just started",
    Standing.QUARANTINED: "{ends} upstreams ended while they ran this request",
}

_log = part_logger("forward")


@attrs.define(frozen=True, kw_only=True)
class RequestEnd:
    """How a request ended, for metrics.

    Attributes:
      route: The route's name.
      waited_s: Seconds for which it waited for slots.
      first_s: Seconds to the first part of the answer; None if none came.
    """

    route: str
    outcome: str
    tries: int
    waited_s: float
    first_s: float | None
    total_s: float


class Forwarder:
    """Forwards requests of all routes but those of batch jobs."""

    def __init__(
        self,
        admission: Admission,
        caller: UpstreamCaller,
        *,
        on_end: Callable[[RequestEnd], None],
        silent_runs: SilentRuns | None = None,
        end_watch: EndWatch[UpstreamState] | None = None,
    ) -> None:
        """Prepares the forwarder.

        Args:
          admission: Gives requests their slots.
          caller: Reaches upstreams.
          on_end: Told how each request ended.
          silent_runs: Told of runs that were left while unheard; None for its own.
          end_watch: Knows requests that end their upstreams; None for its own.
        """
        self.admission = admission
        self.placement = admission.queue.placement
        self.caller = caller
        self.on_end = on_end
        self.silence = SilenceWatch(self.placement)
        self.silent_runs = silent_runs or SilentRuns()
        self.end_watch = end_watch or EndWatch(incarnation_probe(caller))

    async def forward(
        self, request: OnlineRequest, route: Route, reply: Reply
    ) -> NextStep:
        """Answers a request and returns how it ended."""
        now = trio.current_time()
        ends_at = now + min(request.allowed_s, route.timeout_s)
        exchange = Exchange(
            request, route, reply, RequestProgress(route), ends_at, arrived_at=now
        )
        exchange.progress.last_event = request.resume_after
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

    async def _attempts(self, exchange: Exchange) -> NextStep:
        while True:
            # At once, since it would wait for a slot only to be refused.
            verdict = self.end_watch.verdict(exchange.request)
            if not verdict.may_run:
                return self._bar(exchange, verdict)
            if exchange.progress.started:
                # Its client waits in the middle of the answer.
                verdict = attrs.evolve(verdict, wary=False)
            waiter = self._waiter(exchange, verdict)
            if self._waits_for_steady(exchange, waiter, verdict):
                return self._bar(exchange, self._until_steady(waiter, verdict))
            began = trio.current_time()
            async with self.admission.slot(waiter) as slot:
                exchange.waited_s += trio.current_time() - began
                if not isinstance(slot, UpstreamState):
                    exchange.reason = slot.reason
                    exchange.retry_after_s = _retry_after_s(slot)
                    return exchange.progress.give_up()
                barred = self.end_watch.admit(exchange.request)
                if not barred.may_run:
                    return self._bar(exchange, barred)
                end = await self._attempt(exchange, slot)
            step = exchange.progress.after(end)
            if step not in (NextStep.TRY_ELSEWHERE, NextStep.RESUME_ELSEWHERE):
                return step
            _log.info(
                "Going elsewhere.",
                request=exchange.request.request_id,
                upstream=exchange.upstream,
                ended=end.value,
                status=exchange.status,
                reason=exchange.reason,
                last_event=exchange.progress.last_event,
            )

    def _waits_for_steady(
        self, exchange: Exchange, waiter: QueuedRequest, verdict: Verdict
    ) -> bool:
        """Returns whether only upstreams are left that have just started."""
        if not verdict.wary:
            return False
        serves, now = self.placement.serves, trio.current_time()
        service, tried = waiter.service, exchange.tried
        avoid = tried | self.placement.upstreams_to_avoid(verdict, service, now=now)
        return serves(service, avoid=tried) and not serves(service, avoid=avoid)

    def _until_steady(self, waiter: QueuedRequest, verdict: Verdict) -> Verdict:
        wait_s = self.placement.steady_in_s(waiter.service, now=trio.current_time())
        return Verdict(Standing.UNSTEADY, max(NOWHERE_RETRY_S, wait_s), verdict.ends)

    def _bar(self, exchange: Exchange, verdict: Verdict) -> NextStep:
        """Ends a request that has ended its upstreams, or may have."""
        exchange.reason = _BARRED[verdict.standing].format(ends=verdict.ends)
        exchange.retry_after_s = verdict.retry_after_s
        self.end_watch.on_barred(verdict.standing.value)
        return exchange.progress.give_up()

    def _waiter(self, exchange: Exchange, verdict: Verdict) -> QueuedRequest:
        """Returns the request as the queue for slots sees it."""
        route = exchange.route
        service = self.placement.draw_service(route.targets)
        if not exchange.progress.tries:
            self.placement.demand.for_service(service).arrived(now=exchange.arrived_at)
        times = self.placement.demand.times(route.name)
        # A stream is on time by its first event and then by each pause between them.
        due_at = exchange.arrived_at + route.target_latency_s
        if exchange.progress.started:
            due_at = exchange.heard_at + route.gap_target_s
        streams = route.kind is RouteKind.STREAM
        return QueuedRequest(
            service=service,
            priority=route.priority,
            on_time_by=due_at - (times.ttfb_s if streams else times.service_time_s),
            serve_by=exchange.ends_at - times.service_time_s,
            begun=exchange.progress.started,
            avoid=exchange.tried,
            verdict=verdict,
        )

    async def _attempt(self, exchange: Exchange, state: UpstreamState) -> AttemptEnd:
        attempt = Attempt()
        exchange.upstream = state.id
        exchange.tried.add(state.id)
        exchange.heard_at = exchange.sent_at = trio.current_time()
        exchange.status = 0
        exchange.load = self.placement.load(state)
        exchange.reporters = len(self.placement.peers.reporters())
        try:
            end = await self._attempt_until_stall(exchange, state, attempt)
        except trio.Cancelled:
            self._judge_cancelled(exchange, state, attempt)
            raise
        self._judge(exchange, state, attempt, end)
        return end

    def _judge_cancelled(
        self, exchange: Exchange, state: UpstreamState, attempt: Attempt
    ) -> None:
        """Counts an attempt that was ended by its time or by the client's leaving.

        A client that has the whole answer may leave while the attempt is wound up.
        """
        if exchange.progress.finished:
            exchange.progress.after(AttemptEnd.COMPLETE)
            self._judge(exchange, state, attempt, AttemptEnd.COMPLETE)
        elif attempt.state is not AttemptState.QUEUED:
            exchange.progress.runs += 1
            if attempt.state is AttemptState.SENT:
                self._left(exchange, state, silent=False)
                self.end_watch.left(exchange.request.fingerprint, state)
            self._judge_silence(exchange, state)

    async def _attempt_until_stall(
        self, exchange: Exchange, state: UpstreamState, attempt: Attempt
    ) -> AttemptEnd:
        end = AttemptEnd.LOST
        exchange.silent = exchange.disconnected = False
        with self.silence.watched(exchange, state):
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
                exchange.disconnected = error.disconnected
                end = _end_of(attempt, exchange)
                if attempt.state is AttemptState.QUEUED and not isinstance(
                    error, NothingListensError
                ):
                    exchange.allow_again(state.id)
        if exchange.silent and not exchange.progress.finished:
            exchange.reason = "the upstream fell silent"
            end = _end_of(attempt, exchange)
            if attempt.state is AttemptState.SENT:
                self._left(exchange, state, silent=True)
        return end

    def _left(self, exchange: Exchange, state: UpstreamState, *, silent: bool) -> None:
        """Notes a run whose end the upstream has not told of."""
        self.silent_runs.left(
            state, RunKind.ONLINE, heard_at=exchange.heard_at, silent=silent
        )

    async def _pass_on(
        self, exchange: Exchange, state: UpstreamState, answer: UpstreamAnswer
    ) -> AttemptEnd:
        """Passes an answer on and returns how the attempt ended."""
        exchange.status = answer.status
        if answer.other_instance:
            state.gone = True
            exchange.reason = "another upstream has the address"
            return AttemptEnd.NOT_RUN
        if answer.refused:
            exchange.reason = f"the upstream refused with {answer.status}"
            state.full_until = trio.current_time() + FULL_BACKOFF_S
            exchange.allow_again(state.id)
            return AttemptEnd.NOT_RUN
        use = use_of(
            answer,
            method=exchange.request.method,
            route=exchange.route,
            begun=exchange.begun,
            may_move=exchange.progress.may_move,
        )
        if isinstance(use, Unfit):
            exchange.reason = use.reason
            return exchange.cut()
        end = await PASS[use](exchange, answer)
        # Without a length the end of an upstream looks like the end of its answer.
        exchange.disconnected = end is not AttemptEnd.COMPLETE and not answer.framed
        return end

    def _judge(
        self,
        exchange: Exchange,
        state: UpstreamState,
        attempt: Attempt,
        end: AttemptEnd,
    ) -> None:
        """Notes what an attempt tells of the upstream's health."""
        now = trio.current_time()
        if end is AttemptEnd.COMPLETE:
            self.end_watch.note_answer(exchange.request)
        elif attempt.state is not AttemptState.QUEUED and (
            exchange.silent or exchange.disconnected
        ):
            fingerprint = exchange.request.fingerprint
            self.end_watch.broke_off(
                fingerprint,
                state,
                began=exchange.sent_at,
                silent=exchange.silent,
                moved_on_s=exchange.heard_at - exchange.sent_at,
            )
        if end is AttemptEnd.NOT_RUN:
            self.end_watch.not_run(exchange.request)
        if attempt.state is AttemptState.QUEUED:
            state.failed(now, reached=False)
            self.end_watch.unreachable(state)
        elif end in (AttemptEnd.LOST, AttemptEnd.CUT):
            if not exchange.silent or self.silent_runs.blames(state, exchange.heard_at):
                state.failed(now)
        elif end is AttemptEnd.COMPLETE and exchange.status < _SERVER_ERROR:
            state.succeeded(now)
            self._observe(exchange, state, now)
        elif end is AttemptEnd.COMPLETE and exchange.status != _GATEWAY_TIMEOUT:
            state.failed(now)

    def _judge_silence(self, exchange: Exchange, state: UpstreamState) -> None:
        """Notes a stream that was given up after a long silence of the upstream.

        Other answers may take as long as the route allows: silence proves nothing.
        """
        now = trio.current_time()
        first = not exchange.progress.started
        patience_s = first_patience_s if first else gap_patience_s
        silent_s = now - exchange.heard_at
        streams = exchange.route.kind is RouteKind.STREAM
        if not streams or silent_s <= patience_s(exchange.route):
            return
        if self.silent_runs.blames(state, exchange.heard_at):
            state.failed(now)

    def _observe(self, exchange: Exchange, state: UpstreamState, now: float) -> None:
        """Notes how long a whole answer by one upstream took."""
        if exchange.first_at < exchange.sent_at:
            return  # Its first part came from another upstream.
        demand, service_time_s = self.placement.demand, now - exchange.sent_at
        demand.for_service(state.upstream.service).answered(
            service_time_s=service_time_s
        )
        demand.times(exchange.route.name).observe(
            ttfb_s=exchange.first_at - exchange.sent_at, service_time_s=service_time_s
        )

    def _explain(self, exchange: Exchange, step: NextStep, *, timed_out: bool) -> None:
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
                waited_s=exchange.waited_s,
                first_s=first_s if exchange.first_at else None,
                total_s=now - exchange.arrived_at,
            )
        )
        done = step is NextStep.DONE
        write = _log.info if done else _log.warning
        write(
            "Request ended.",
            request=exchange.request.request_id,
            # What was answered is not looked for by it, and a hash costs time.
            fingerprint=None if done else shown(exchange.request.fingerprint),
            route=exchange.route.name,
            outcome=step.value,
            upstream=exchange.upstream,
            tries=exchange.progress.tries,
            runs=exchange.progress.runs,
            status=exchange.status,
            load=exchange.load,
            tellers=exchange.reporters,
            last_event=exchange.progress.last_event,
            timed_out=timed_out,
            reason=exchange.reason,
            retry_after_s=exchange.retry_after_s if step in _REFUSALS else None,
            waited_ms=_ms(exchange.waited_s),
            first_ms=_ms(first_s),
            total_ms=_ms(now - exchange.arrived_at),
            allowed_ms=_ms(exchange.ends_at - exchange.arrived_at),
        )


def _retry_after_s(slot: NoUpstreamAvailable | Overloaded) -> float:
    return slot.retry_after_s if isinstance(slot, Overloaded) else NOWHERE_RETRY_S


def _ms(seconds: float) -> int:
    return max(0, round(seconds * 1000))


def _end_of(attempt: Attempt, exchange: Exchange) -> AttemptEnd:
    """Returns how an attempt ended that broke."""
    if attempt.state is AttemptState.QUEUED:
        return AttemptEnd.NOT_RUN
    return exchange.cut()


async def _conclude(exchange: Exchange, step: NextStep, *, timed_out: bool) -> None:
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
