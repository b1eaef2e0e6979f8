"""Forwards online requests to upstreams, with failover where that is safe."""

from __future__ import annotations

import enum
from collections.abc import Awaitable, Callable

import attrs
import trio

from coppercleat.ids import StreamKey
from coppercleat.observability import part_logger
from coppercleat.quarantine import (
    CrashDetector,
    Verdict,
    VerdictKind,
    format_fingerprint,
)
from coppercleat.serving._admission import Admission
from coppercleat.serving._answer_use import UnusableResponse, forwarding_mode
from coppercleat.serving._answers import FORWARD_RESPONSE
from coppercleat.serving._exchange import Exchange
from coppercleat.serving._incarnation_probe import incarnation_probe, may_go_on
from coppercleat.serving._model import (
    OnlineRequest,
    Refusal,
    RefusalReason,
    Reply,
    Route,
    RouteKind,
)
from coppercleat.serving._placement import FULL_BACKOFF_S, NoUpstreamAvailable
from coppercleat.serving._progress import AttemptOutcome, NextStep, RequestProgress
from coppercleat.serving._queued_request import Overloaded, QueuedRequest
from coppercleat.serving._silence import (
    StallDetector,
    event_gap_stall_s,
    first_event_stall_s,
)
from coppercleat.serving._silent_runs import AbandonedAttempts, AttemptKind
from coppercleat.serving._stream_origins import StreamOrigin
from coppercleat.serving._upstream_call import (
    UpstreamCaller,
    UpstreamCallError,
    UpstreamNotListeningError,
    UpstreamResponse,
)
from coppercleat.serving._upstream_state import UpstreamState
from coppercleat.upstreams import Attempt, AttemptState

NO_UPSTREAM_RETRY_S = 0.5
"""Delay suggested to clients if no upstream is left; as long as the interval at which
the list of upstreams is polled."""

_FIRST_REDIRECT_STATUS = 300
_FIRST_SERVER_ERROR_STATUS = 500
_GATEWAY_TIMEOUT = 504
"""Sent by an upstream when the request's time is up; not a failure of the upstream."""

_STEPS_WITH_RETRY_AFTER = frozenset({NextStep.REFUSE_AS_NOT_RUN})

_REJECTION_REASONS = {
    VerdictKind.HELD: "upstreams may have ended while they ran this request",
    VerdictKind.UNSTEADY: "{ends} upstreams ended while they ran this request, and "
    "those that are left have just started",
    VerdictKind.QUARANTINED: "{ends} upstreams ended while they ran this request",
}

_BY_PART_REASONS = {
    VerdictKind.HELD: "upstreams may end when they answer on a part of its prompt",
    VerdictKind.QUARANTINED: "{ends} upstreams ended while they answered on a part "
    "of its prompt",
}

_log = part_logger("forward")


class TakeUp(enum.Enum):
    """Whether a stream that a client takes up may go on, by what began it.

    UNROUTED: the route no longer leads to the service that began it.
    """

    KNOWN = "known"
    UNKNOWN = "unknown"
    UNROUTED = "unrouted"


async def _find_no_origin(stream: StreamKey) -> StreamOrigin | None:
    return None


@attrs.define(frozen=True, kw_only=True)
class RequestSummary:
    """Summary of a finished request, for metrics.

    Attributes:
      route: Name of the route.
      outcome: Value of the final ``NextStep``.
      tries: Number of attempts.
      waited_s: Seconds spent in the queue for slots.
      first_s: Seconds to the first byte; None if nothing was forwarded.
      total_s: Seconds from arrival to the end.
    """

    route: str
    outcome: str
    tries: int
    waited_s: float
    first_s: float | None
    total_s: float


class Forwarder:
    """Forwards the requests of online routes.

    Attributes:
      stall_detector: Ends stalled attempts; the instance must run its ``run``.
      find_origin: Finds what began a stream; None if that is not known.
      on_stream_began: Called with a resumable stream whose first event has come in an
        answer, and what began it.
      on_stream_ended: Called with a resumable stream that no longer runs here.
      on_taken_up: Called with the ``TakeUp`` value of each stream taken up.
    """

    def __init__(
        self,
        admission: Admission,
        caller: UpstreamCaller,
        *,
        on_end: Callable[[RequestSummary], None],
        abandoned_attempts: AbandonedAttempts | None = None,
        crash_detector: CrashDetector[UpstreamState] | None = None,
    ) -> None:
        """Initializes the forwarder.

        Args:
          admission: Assigns slots to requests.
          caller: Sends requests to upstreams.
          on_end: Called with the summary of each request.
          abandoned_attempts: Records abandoned attempts; None for a new one.
          crash_detector: Detects requests under which upstreams crash; None for a new
            one.
        """
        self.admission = admission
        self.placement = admission.queue.placement
        self.caller = caller
        self.on_end = on_end
        self.stall_detector = StallDetector(self.placement)
        self.find_origin: Callable[[StreamKey], Awaitable[StreamOrigin | None]] = (
            _find_no_origin
        )
        self.on_stream_began: Callable[[StreamKey, StreamOrigin], None] = (
            lambda stream, origin: None
        )
        self.on_stream_ended: Callable[[StreamKey], None] = lambda stream: None
        self.on_taken_up: Callable[[str], None] = lambda result: None
        self.abandoned_attempts = abandoned_attempts or AbandonedAttempts()
        self.crash_detector = crash_detector or CrashDetector(incarnation_probe(caller))

    async def forward(
        self, request: OnlineRequest, route: Route, reply: Reply
    ) -> NextStep:
        """Forwards a request, sends its response, and returns the final step."""
        now = trio.current_time()
        deadline = now + min(request.allowed_s, route.timeout_s)
        exchange = Exchange(
            request, route, reply, RequestProgress(route), deadline, arrived_at=now
        )
        exchange.progress.last_event = request.resume_after
        if route.resumes:
            exchange.on_begun = lambda origin: self.on_stream_began(
                exchange.stream, origin
            )
        step = NextStep.ABORT
        timed_out = False
        try:
            with trio.move_on_at(deadline) as scope:
                step = await self._run_attempts(exchange)
            if scope.cancelled_caught:
                timed_out = True
                step = exchange.progress.give_up()
            await _send_final_response(exchange, step, timed_out=timed_out)
        finally:
            if route.resumes:
                self.on_stream_ended(exchange.stream)
            self._log_summary(exchange, step, timed_out=timed_out)
        return step

    async def _find_origin(self, exchange: Exchange) -> bool:
        """Finds what began the stream that a client takes up.

        Returns:
          Whether the stream may go on; if not, the exchange has the reason.
        """
        resumes, origin = exchange.request.resumes, None
        if resumes is not None:
            origin = await self.find_origin(exchange.stream)
        result = TakeUp.KNOWN
        if origin is None:
            result = TakeUp.UNKNOWN
            exchange.reason = "the software version that began the stream is not known"
            if resumes is None:
                exchange.reason += ": the request does not name what it resumes"
        elif not exchange.route.leads_to(origin.service):
            result = TakeUp.UNROUTED
            exchange.reason = f"the route has left {origin.service}, which began it"
        else:
            exchange.origin = origin
        exchange.retry_after_s = NO_UPSTREAM_RETRY_S
        self.on_taken_up(result.value)
        return result is TakeUp.KNOWN

    async def _run_attempts(self, exchange: Exchange) -> NextStep:
        if exchange.takes_up and not await self._find_origin(exchange):
            return exchange.progress.give_up()
        while True:
            # Checked before queueing, so that a quarantined request takes no slot.
            verdict = self.crash_detector.verdict(exchange.request)
            if not verdict.may_run:
                return self._reject(exchange, verdict)
            if exchange.progress.started:
                # The client is waiting in the middle of a response.
                verdict = attrs.evolve(verdict, steady_only=False)
            waiter = self._waiter(exchange, verdict)
            if self._only_unsteady_left(exchange, waiter, verdict):
                return self._reject(exchange, self._unsteady_verdict(waiter, verdict))
            began = trio.current_time()
            async with self.admission.slot(waiter) as slot:
                exchange.waited_s += trio.current_time() - began
                if waiter.had_to_wait:
                    exchange.standing = waiter.standing
                if not isinstance(slot, UpstreamState):
                    exchange.reason = slot.reason
                    exchange.retry_after_s = _retry_after_s(slot)
                    return exchange.progress.give_up()
                admission_verdict = self.crash_detector.admit(exchange.request)
                if not admission_verdict.may_run:
                    return self._reject(exchange, admission_verdict)
                outcome = await self._attempt(exchange, slot)
            step = exchange.progress.next_step(outcome)
            if step not in (NextStep.TRY_ELSEWHERE, NextStep.RESUME_ELSEWHERE):
                return step
            _log.info(
                "Attempt failed; trying another upstream.",
                request=exchange.request.request_id,
                account=exchange.request.account or None,
                upstream=exchange.upstream,
                version=exchange.version,
                ended=outcome.value,
                status=exchange.status,
                reason=exchange.reason,
                last_event=exchange.progress.last_event,
            )

    def _only_unsteady_left(
        self, exchange: Exchange, waiter: QueuedRequest, verdict: Verdict
    ) -> bool:
        """Returns whether all upstreams that are left are unsteady."""
        if not verdict.steady_only:
            return False
        serves, now = self.placement.serves, trio.current_time()
        service, tried = waiter.service, set(exchange.tried)
        avoid = tried | self.placement.upstreams_to_avoid(verdict, service, now=now)
        return serves(service, avoid=tried) and not serves(service, avoid=avoid)

    def _unsteady_verdict(self, waiter: QueuedRequest, verdict: Verdict) -> Verdict:
        wait_s = self.placement.steady_in_s(waiter.service, now=trio.current_time())
        return Verdict(
            VerdictKind.UNSTEADY, max(NO_UPSTREAM_RETRY_S, wait_s), verdict.crashes
        )

    def _reject(self, exchange: Exchange, verdict: Verdict) -> NextStep:
        """Rejects a request under which upstreams crashed, or may have."""
        exchange.reason = _REJECTION_REASONS[verdict.kind].format(ends=verdict.crashes)
        if verdict.by_part:
            reason = _BY_PART_REASONS[verdict.kind]
            exchange.reason = reason.format(ends=verdict.crashes)
        exchange.retry_after_s = verdict.retry_after_s
        self.crash_detector.on_blocked(verdict.standing)
        return exchange.progress.give_up()

    def _waiter(self, exchange: Exchange, verdict: Verdict) -> QueuedRequest:
        """Returns the request's entry for the admission queue."""
        route, origin = exchange.route, exchange.origin
        service = (
            origin.service if origin else self.placement.draw_service(route.targets)
        )
        if not exchange.progress.tries:
            self.placement.demand.for_service(service).arrived(now=exchange.arrived_at)
        times = self.placement.demand.times(route.name)
        # A stream has a target for its first event and one for each gap after it.
        due_at = exchange.arrived_at + route.target_latency_s
        if exchange.progress.started:
            due_at = exchange.last_received_at + route.gap_target_s
        streams = route.kind is RouteKind.STREAM
        return QueuedRequest(
            service=service,
            account=exchange.request.account,
            priority=_priority(exchange),
            on_time_by=due_at - (times.ttfb_s if streams else times.service_time_s),
            serve_by=exchange.deadline - times.service_time_s,
            begun=exchange.progress.started,
            avoid=exchange.tried,
            queue_at_upstream_from=exchange.tried.allowed_at,
            verdict=verdict,
            origin=origin,
        )

    async def _attempt(
        self, exchange: Exchange, state: UpstreamState
    ) -> AttemptOutcome:
        attempt = Attempt()
        exchange.upstream, exchange.version = state.id, state.upstream.version
        exchange.service = state.upstream.service
        exchange.tried.begin(state.id)
        exchange.last_received_at = exchange.attempt_started_at = trio.current_time()
        exchange.status = 0
        exchange.load = self.placement.load(state)
        exchange.reporters = len(self.placement.peers.reporters())
        try:
            outcome = await self._attempt_with_stall_detection(exchange, state, attempt)
        except trio.Cancelled:
            self._record_cancellation(exchange, state, attempt)
            raise
        exchange.tried.end(state.id)
        self._record_outcome(exchange, state, attempt, outcome)
        return outcome

    def _record_cancellation(
        self, exchange: Exchange, state: UpstreamState, attempt: Attempt
    ) -> None:
        """Records an attempt that was ended by its deadline or a client disconnect.

        A client may disconnect as soon as it has the whole response.
        """
        if exchange.progress.finished:
            exchange.progress.next_step(AttemptOutcome.COMPLETE)
            self._record_outcome(exchange, state, attempt, AttemptOutcome.COMPLETE)
        elif attempt.state is not AttemptState.QUEUED:
            exchange.progress.runs += 1
            if attempt.state is AttemptState.SENT:
                self._record_abandoned_attempt(exchange, state, stalled=False)
                self.crash_detector.record_abandonment(
                    exchange.request.fingerprint, state
                )
            self._record_stall(exchange, state)

    async def _attempt_with_stall_detection(
        self, exchange: Exchange, state: UpstreamState, attempt: Attempt
    ) -> AttemptOutcome:
        outcome = AttemptOutcome.LOST
        exchange.stalled = exchange.disconnected = False
        if exchange.origin is not None and not await may_go_on(self.caller, state):
            exchange.reason = "the upstream may have started again, at another version"
            attempt.move(AttemptState.WITHHELD)
            return AttemptOutcome.NOT_RUN
        with self.stall_detector.watching(exchange, state):
            try:
                async with self.caller.exchange(
                    state.upstream,
                    exchange.request,
                    attempt=attempt,
                    allowed_s=exchange.deadline - trio.current_time(),
                    resume_after=exchange.progress.last_event,
                ) as response:
                    outcome = await self._forward_response(exchange, state, response)
            except UpstreamCallError as error:
                exchange.reason = str(error)
                exchange.disconnected = error.disconnected
                outcome = _failed_outcome(attempt, exchange)
                if attempt.state is AttemptState.QUEUED and not isinstance(
                    error, UpstreamNotListeningError
                ):
                    exchange.allow_retry(state.id)
        if exchange.stalled and not exchange.progress.finished:
            exchange.reason = "the upstream fell silent"
            outcome = _failed_outcome(attempt, exchange)
            if attempt.state is AttemptState.SENT:
                self._record_abandoned_attempt(exchange, state, stalled=True)
        return outcome

    def _record_abandoned_attempt(
        self, exchange: Exchange, state: UpstreamState, *, stalled: bool
    ) -> None:
        """Records an attempt that the upstream may still run."""
        self.abandoned_attempts.record(
            state,
            AttemptKind.ONLINE,
            last_received_at=exchange.last_received_at,
            stalled=stalled,
        )

    async def _forward_response(
        self, exchange: Exchange, state: UpstreamState, response: UpstreamResponse
    ) -> AttemptOutcome:
        """Forwards a response and returns the outcome of the attempt."""
        exchange.status = response.status
        if response.wrong_upstream:
            state.gone = True
            exchange.reason = "another upstream has the address"
            return AttemptOutcome.NOT_RUN
        if response.refused:
            exchange.reason = f"the upstream refused with {response.status}"
            state.full_until = trio.current_time() + FULL_BACKOFF_S
            exchange.allow_retry(state.id)
            return AttemptOutcome.NOT_RUN
        mode = forwarding_mode(
            response,
            method=exchange.request.method,
            route=exchange.route,
            sent_head=exchange.sent_head,
            may_fail_over=exchange.progress.may_fail_over,
        )
        if isinstance(mode, UnusableResponse):
            exchange.reason = mode.reason
            return exchange.broken_outcome()
        outcome = await FORWARD_RESPONSE[mode](exchange, response)
        # Without a length, a crash of the upstream looks like the end of the body.
        exchange.disconnected = (
            outcome is not AttemptOutcome.COMPLETE and not response.self_delimited
        )
        return outcome

    def _record_outcome(
        self,
        exchange: Exchange,
        state: UpstreamState,
        attempt: Attempt,
        outcome: AttemptOutcome,
    ) -> None:
        """Updates health and crash detection of the upstream."""
        now = trio.current_time()
        if outcome is AttemptOutcome.COMPLETE:
            self.crash_detector.record_response(
                exchange.request,
                whole_answer=exchange.status < _FIRST_REDIRECT_STATUS,
            )
        elif attempt.state is not AttemptState.QUEUED and (
            exchange.stalled or exchange.disconnected
        ):
            fingerprint = exchange.request.fingerprint
            self.crash_detector.record_interruption(
                fingerprint,
                state,
                began=exchange.attempt_started_at,
                stalled=exchange.stalled,
                progress_s=exchange.last_received_at - exchange.attempt_started_at,
                parts=self.crash_detector.verdicts.parts_of(exchange.request),
            )
        if outcome is AttemptOutcome.NOT_RUN:
            self.crash_detector.cancel_trial(exchange.request)
        if attempt.state is AttemptState.QUEUED:
            state.failed(now, reached=False)
            self.crash_detector.record_connect_failure(state)
        elif outcome in (AttemptOutcome.LOST, AttemptOutcome.CUT):
            if not exchange.stalled or self.abandoned_attempts.counts_against(
                state, exchange.last_received_at
            ):
                state.failed(now)
        elif (
            outcome is AttemptOutcome.COMPLETE
            and exchange.status < _FIRST_SERVER_ERROR_STATUS
        ):
            state.succeeded(now)
            self._record_latency(exchange, state, now)
        elif outcome is AttemptOutcome.COMPLETE and exchange.status != _GATEWAY_TIMEOUT:
            state.failed(now)

    def _record_stall(self, exchange: Exchange, state: UpstreamState) -> None:
        """Records a failure if the upstream had stalled when a stream was abandoned.

        Other responses may take as long as the route allows.
        """
        now = trio.current_time()
        is_first = not exchange.progress.started
        stall_s = first_event_stall_s if is_first else event_gap_stall_s
        silent_s = now - exchange.last_received_at
        streams = exchange.route.kind is RouteKind.STREAM
        if not streams or silent_s <= stall_s(exchange.route):
            return
        if self.abandoned_attempts.counts_against(state, exchange.last_received_at):
            state.failed(now)

    def _record_latency(
        self, exchange: Exchange, state: UpstreamState, now: float
    ) -> None:
        """Records the response times of a complete response."""
        if exchange.first_byte_at < exchange.attempt_started_at:
            return  # The response began at another upstream.
        demand, service_time_s = (
            self.placement.demand,
            now - exchange.attempt_started_at,
        )
        demand.for_service(state.upstream.service).answered(
            service_time_s=service_time_s
        )
        demand.times(exchange.route.name).observe(
            ttfb_s=exchange.first_byte_at - exchange.attempt_started_at,
            service_time_s=service_time_s,
        )

    def _log_summary(
        self, exchange: Exchange, step: NextStep, *, timed_out: bool
    ) -> None:
        """Reports and logs how a request ended."""
        now = trio.current_time()
        if exchange.progress.finished:
            # The client may disconnect once it has the whole response.
            step = NextStep.DONE
        first_s = exchange.first_byte_at - exchange.arrived_at
        standing = exchange.standing
        self.on_end(
            RequestSummary(
                route=exchange.route.name,
                outcome=step.value,
                tries=exchange.progress.tries + 1,
                waited_s=exchange.waited_s,
                first_s=first_s if exchange.first_byte_at else None,
                total_s=now - exchange.arrived_at,
            )
        )
        succeeded = step is NextStep.DONE
        write = _log.info if succeeded else _log.warning
        write(
            "Request ended.",
            request=exchange.request.request_id,
            # Only failed requests are looked up by fingerprint, and hashing costs time.
            fingerprint=None
            if succeeded
            else format_fingerprint(exchange.request.fingerprint),
            account=exchange.request.account or None,
            route=exchange.route.name,
            outcome=step.value,
            upstream=exchange.upstream,
            version=exchange.version,
            resumes=exchange.request.resumes,
            tries=exchange.progress.tries,
            runs=exchange.progress.runs,
            status=exchange.status,
            load=exchange.load,
            tellers=exchange.reporters,
            last_event=exchange.progress.last_event,
            timed_out=timed_out,
            reason=exchange.reason,
            retry_after_s=exchange.retry_after_s
            if step in _STEPS_WITH_RETRY_AFTER
            else None,
            waited_ms=_ms(exchange.waited_s),
            share_level=standing and round(standing.level, 2),
            held_slots=standing and standing.held_slots,
            first_ms=_ms(first_s),
            total_ms=_ms(now - exchange.arrived_at),
            allowed_ms=_ms(exchange.deadline - exchange.arrived_at),
        )


def _priority(exchange: Exchange) -> int:
    """Returns the account's priority, else the route's."""
    priority = exchange.request.priority
    return exchange.route.priority if priority is None else priority


def _retry_after_s(slot: NoUpstreamAvailable | Overloaded) -> float:
    return slot.retry_after_s if isinstance(slot, Overloaded) else NO_UPSTREAM_RETRY_S


def _ms(seconds: float) -> int:
    return max(0, round(seconds * 1000))


def _failed_outcome(attempt: Attempt, exchange: Exchange) -> AttemptOutcome:
    """Returns the outcome of an attempt that failed."""
    if attempt.state is AttemptState.QUEUED:
        return AttemptOutcome.NOT_RUN
    return exchange.broken_outcome()


async def _send_final_response(
    exchange: Exchange, step: NextStep, *, timed_out: bool
) -> None:
    """Aborts or refuses where no complete response was forwarded."""
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
