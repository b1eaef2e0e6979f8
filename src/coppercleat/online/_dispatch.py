"""Dispatches requests to upstreams and retries them where that is safe."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncGenerator, AsyncIterator, Iterator

import trio

from coppercleat.errors import (
    CoppercleatError,
    DeadlineExceededError,
    Outcome,
    OutcomeUnknownError,
    UpstreamFailedError,
    UpstreamUnavailableError,
)
from coppercleat.ids import UpstreamId
from coppercleat.observability import part_logger
from coppercleat.online._exchange import (
    Chunk,
    Exchange,
    InferenceRequest,
    ServiceRequest,
)
from coppercleat.online._services import OnlineServices
from coppercleat.quarantine import VerdictKind
from coppercleat.routing import (
    NoUpstream,
    RoutingRequest,
    UpstreamChoice,
    UpstreamRecord,
    choose_upstream,
)
from coppercleat.upstreams import Attempt, AttemptState, EngineRequest

_MAX_ATTEMPTS = 4
_RETRY_AFTER_MS = 1_000

_log = part_logger("dispatch")


class Dispatcher:
    """Sends a request to one upstream after another until it succeeds or fails."""

    def __init__(self, services: OnlineServices) -> None:
        self.services = services

    async def run(self, exchange: Exchange) -> AsyncGenerator[Chunk, None]:
        """Yields the chunks of the response.

        Raises:
          UpstreamUnavailableError: No upstream could take the request, or it is kept
            in quarantine.
          DeadlineExceededError: The deadline passed.
          OutcomeUnknownError: The request may have run and must not be sent again.
          UpstreamFailedError: The request ran and failed, or all attempts failed.
        """
        self.services.retries.record_first_attempt()
        tried: set[UpstreamId] = set()
        while True:
            self._require_not_quarantined(exchange)
            choice = self._choose(exchange, tried)
            attempt = Attempt()
            exchange.attempts += 1
            try:
                response = self._attempt(exchange, choice.record, attempt)
                async with contextlib.aclosing(response) as chunks:
                    async for chunk in chunks:
                        yield chunk
                return
            except CoppercleatError as error:
                # The response was complete although its end was not received.
                if exchange.max_tokens and exchange.generated >= exchange.max_tokens:
                    return
                tried.add(choice.record.upstream)
                if isinstance(error, UpstreamFailedError):
                    self._record_interruption(exchange, choice.record, attempt)
                self._require_retryable(exchange, attempt, error)

    def _require_not_quarantined(self, exchange: Exchange) -> None:
        """Raises an error if the request is quarantined."""
        verdict = self.services.crash_detector.admit(exchange)
        if verdict.may_run:
            return
        raise UpstreamUnavailableError(
            f"{verdict.crashes} upstreams ended while they ran this request"
            if verdict.kind is VerdictKind.QUARANTINED
            else "Upstreams may have ended while they ran this request",
            outcome=_outcome(exchange),
            retry_after_ms=round(1000 * verdict.retry_after_s),
        )

    def _choose(self, exchange: Exchange, tried: set[UpstreamId]) -> UpstreamChoice:
        services = self.services
        choice = choose_upstream(
            RoutingRequest(
                service=exchange.service,
                version=exchange.version,
                prompt=exchange.prompt,
                tried=tried,
                batch_active=services.batch_active(),
            ),
            services.table,
            zone=services.zone,
            now=trio.current_time(),
            rng=services.rng,
        )
        if isinstance(choice, NoUpstream):
            raise UpstreamUnavailableError(
                f"No upstream: {choice.reason}",
                outcome=_outcome(exchange),
                retry_after_ms=max(50, round(1000 * choice.retry_after_s)),
            )
        _log.debug(
            "Upstream chosen.",
            request_id=exchange.request_id,
            upstream=choice.record.upstream,
            why=choice.reason,
        )
        return choice

    async def _attempt(
        self, exchange: Exchange, record: UpstreamRecord, attempt: Attempt
    ) -> AsyncGenerator[Chunk, None]:
        now = trio.current_time()
        exchange.upstream = record.upstream
        exchange.sent_at = exchange.sent_at or now
        with self._track_in_flight(record):
            response = (
                self._call(exchange, exchange.payload, record, attempt)
                if isinstance(exchange.payload, ServiceRequest)
                else self._infer(exchange, exchange.payload, record, attempt)
            )
            async with contextlib.aclosing(response) as chunks:
                async for chunk in self._with_timeouts(chunks, exchange, attempt):
                    yield chunk
            record.breaker.succeeded()
            self.services.crash_detector.record_response(exchange)

    @contextlib.contextmanager
    def _track_in_flight(self, record: UpstreamRecord) -> Iterator[None]:
        """Counts the attempt as in flight and records its result in the breaker."""
        record.online += 1
        record.sent_since_report += 1
        record.breaker.started()
        self.services.online_changed(record.upstream)
        try:
            yield
        except CoppercleatError as error:
            if _counts_against_upstream(error):
                record.breaker.failed(trio.current_time())
            else:
                record.breaker.abandoned()
            raise
        except BaseException:
            record.breaker.abandoned()
            raise
        finally:
            record.online -= 1
            self.services.online_changed(record.upstream)

    async def _with_timeouts(
        self, chunks: AsyncIterator[Chunk], exchange: Exchange, attempt: Attempt
    ) -> AsyncIterator[Chunk]:
        """Yields chunks until the deadline passes or an engine stalls.

        No cancel scope is open across a yield.
        """
        is_inference = isinstance(exchange.payload, InferenceRequest)
        while True:
            stalled_at = trio.current_time() + self.services.stall_s
            timeout_at = (
                min(exchange.deadline, stalled_at)
                if is_inference
                else exchange.deadline
            )
            with trio.move_on_at(timeout_at) as scope:
                try:
                    chunk = await anext(chunks)
                except StopAsyncIteration:
                    return
            if not scope.cancelled_caught:
                yield chunk
                continue
            if trio.current_time() < exchange.deadline:
                raise UpstreamFailedError(
                    f"{exchange.upstream} gave no token for {self.services.stall_s} s",
                    outcome=attempt.outcome,
                )
            raise DeadlineExceededError(
                f"The deadline passed after {exchange.generated} tokens",
                outcome=attempt.outcome,
            )

    async def _infer(
        self,
        exchange: Exchange,
        payload: InferenceRequest,
        record: UpstreamRecord,
        attempt: Attempt,
    ) -> AsyncGenerator[Chunk, None]:
        request = EngineRequest(
            request_id=f"{exchange.request_id}.{exchange.attempts}",
            model=exchange.version,
            prompt=payload.prompt,
            max_tokens=exchange.max_tokens,
            resume_tokens=exchange.generated,
        )
        client = self.services.clients.online_client(record.upstream)
        started_at = trio.current_time()
        first_token_at = 0.0
        token_count = 0
        response = client.generate(request, attempt)
        async with contextlib.aclosing(response) as batches:
            async for texts in batches:
                first_token_at = first_token_at or trio.current_time()
                token_count += len(texts)
                yield self._record_tokens(exchange, texts)
        ended_at = trio.current_time()
        if token_count:
            intervals = token_count - 1
            record.observe_response(
                ended_at,
                first_token_s=first_token_at - started_at,
                inter_token_s=(ended_at - first_token_at) / intervals
                if intervals
                else None,
            )

    def _record_tokens(self, exchange: Exchange, texts: list[str]) -> Chunk:
        if not exchange.first_token_at:
            exchange.first_token_at = trio.current_time()
        exchange.generated += len(texts)
        if exchange.idempotency_key:
            exchange.texts += texts
        return Chunk("".join(texts), exchange.generated)

    async def _call(
        self,
        exchange: Exchange,
        payload: ServiceRequest,
        record: UpstreamRecord,
        attempt: Attempt,
    ) -> AsyncGenerator[Chunk, None]:
        client = self.services.clients.online_client(record.upstream)
        body = await client.call(
            exchange.path,
            payload.body,
            attempt,
            request_id=f"{exchange.request_id}.{exchange.attempts}",
        )
        exchange.body = body
        yield Chunk("", 0, body)

    def _record_interruption(
        self, exchange: Exchange, record: UpstreamRecord, attempt: Attempt
    ) -> None:
        """Reports an interrupted attempt to the crash detector."""
        watch, began = self.services.crash_detector, exchange.sent_at
        if attempt.state is AttemptState.LOST:
            watch.record_interruption(exchange.fingerprint, record, began=began)
        elif attempt.state is AttemptState.SENT:
            watch.record_interruption(
                exchange.fingerprint, record, began=began, stalled=True
            )

    def _require_retryable(
        self, exchange: Exchange, attempt: Attempt, error: CoppercleatError
    ) -> None:
        """Returns if the request may be retried on another upstream, else raises.

        A request that may have run is retried only if it is idempotent.
        """
        if isinstance(error, DeadlineExceededError) or attempt.outcome is Outcome.RUN:
            raise error
        if attempt.outcome is Outcome.UNKNOWN:
            exchange.may_have_run = True
        if exchange.may_have_run and not exchange.idempotent:
            raise OutcomeUnknownError(
                f"The upstream gave no whole answer: {error.message}"
            ) from error
        now = trio.current_time()
        if (
            exchange.attempts >= _MAX_ATTEMPTS
            or now >= exchange.deadline
            or not self.services.retries.grant(now)
        ):
            raise _final_error(error, exchange) from error
        self.services.metrics.retries.inc({"class": exchange.request_class})
        _log.info(
            "Trying another upstream.",
            request_id=exchange.request_id,
            upstream=exchange.upstream,
            why=error.message,
        )


def _outcome(exchange: Exchange) -> Outcome:
    """Returns the outcome of all failed attempts together."""
    return Outcome.UNKNOWN if exchange.may_have_run else Outcome.NOT_RUN


def _final_error(error: CoppercleatError, exchange: Exchange) -> CoppercleatError:
    """Returns the error of the last attempt, with the outcome of all attempts."""
    if exchange.attempts == 1:
        return error
    error_type = (
        UpstreamFailedError if exchange.may_have_run else UpstreamUnavailableError
    )
    return error_type(
        f"{exchange.attempts} attempts failed, the last: {error.message}",
        outcome=_outcome(exchange),
        retry_after_ms=_RETRY_AFTER_MS,
    )


def _counts_against_upstream(error: CoppercleatError) -> bool:
    """Returns whether an error counts as a failure of the upstream."""
    if isinstance(error, UpstreamUnavailableError):
        return True
    if isinstance(error, DeadlineExceededError):
        return True
    return isinstance(error, UpstreamFailedError) and error.outcome is not Outcome.RUN
