"""Sends a request to an upstream, and again elsewhere where that is safe."""

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
from coppercleat.online._exchange import Call, Chunk, Exchange, Infer
from coppercleat.online._services import OnlineServices
from coppercleat.quarantine import VerdictKind
from coppercleat.routing import Choice, NoUpstream, UpstreamRecord, Wanted, choose
from coppercleat.upstreams import Attempt, AttemptState, EngineRequest

_MAX_ATTEMPTS = 4
_SMOOTHING = 0.1
_RETRY_AFTER_MS = 1_000

_log = part_logger("dispatch")


class Dispatcher:
    """Chooses upstreams for a request until it is answered or refused."""

    def __init__(self, services: OnlineServices) -> None:
        self.services = services

    async def run(self, exchange: Exchange) -> AsyncGenerator[Chunk, None]:
        """Yields the answer's parts.

        Raises:
          UpstreamUnavailableError: None could take it; it was not run.
          DeadlineExceededError: The deadline passed.
          OutcomeUnknownError: It may have run and must not be sent again.
          UpstreamFailedError: It ran and failed, or all attempts did.
        """
        self.services.retries.first_attempt()
        tried: set[UpstreamId] = set()
        while True:
            self._require_not_barred(exchange)
            choice = self._choose(exchange, tried)
            attempt = Attempt()
            exchange.attempts += 1
            try:
                answer = self._attempt(exchange, choice.record, attempt)
                async with contextlib.aclosing(answer) as chunks:
                    async for chunk in chunks:
                        yield chunk
                return
            except CoppercleatError as error:
                if exchange.max_tokens and exchange.generated >= exchange.max_tokens:
                    return
                tried.add(choice.record.upstream)
                if isinstance(error, UpstreamFailedError):
                    self._note_broken(exchange, choice.record, attempt)
                self._require_retry(exchange, attempt, error)

    def _require_not_barred(self, exchange: Exchange) -> None:
        """Returns if no upstreams have ended under the request, raises otherwise."""
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

    def _choose(self, exchange: Exchange, tried: set[UpstreamId]) -> Choice:
        services = self.services
        choice = choose(
            Wanted(
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
                retry_after_ms=max(50, round(1000 * choice.retry_in_s)),
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
        with self._count(record):
            parts = (
                self._call(exchange, exchange.asked, record, attempt)
                if isinstance(exchange.asked, Call)
                else self._infer(exchange, exchange.asked, record, attempt)
            )
            async with contextlib.aclosing(parts) as chunks:
                async for chunk in self._until(chunks, exchange, attempt):
                    yield chunk
            record.health.succeeded()
            self.services.crash_detector.record_response(exchange)

    @contextlib.contextmanager
    def _count(self, record: UpstreamRecord) -> Iterator[None]:
        """Counts the request in flight and notes how the upstream did."""
        record.online += 1
        record.sent_since_report += 1
        record.health.started()
        self.services.online_changed(record.upstream)
        try:
            yield
        except CoppercleatError as error:
            if _blames_upstream(error):
                record.health.failed(trio.current_time())
            else:
                record.health.abandoned()
            raise
        except BaseException:
            record.health.abandoned()
            raise
        finally:
            record.online -= 1
            self.services.online_changed(record.upstream)

    async def _until(
        self, chunks: AsyncIterator[Chunk], exchange: Exchange, attempt: Attempt
    ) -> AsyncIterator[Chunk]:
        """Passes chunks on until the deadline, or until an engine hangs.

        No cancel scope is open across a yield.
        """
        streams = isinstance(exchange.asked, Infer)
        while True:
            stalled_at = trio.current_time() + self.services.stall_s
            limit = min(exchange.deadline, stalled_at) if streams else exchange.deadline
            with trio.move_on_at(limit) as scope:
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
        self, exchange: Exchange, asked: Infer, record: UpstreamRecord, attempt: Attempt
    ) -> AsyncGenerator[Chunk, None]:
        request = EngineRequest(
            request_id=f"{exchange.request_id}.{exchange.attempts}",
            model=exchange.version,
            prompt=asked.prompt,
            max_tokens=exchange.max_tokens,
            resume_tokens=exchange.generated,
        )
        client = self.services.clients.online_client(record.upstream)
        started = trio.current_time()
        first = 0.0
        made = 0
        answer = client.generate(request, attempt)
        async with contextlib.aclosing(answer) as parts:
            async for texts in parts:
                first = first or trio.current_time()
                made += len(texts)
                yield self._pass_on(exchange, texts)
        ended = trio.current_time()
        record.first_token_s = _smooth(record.first_token_s, first - started)
        if made > 1:
            record.token_s = _smooth(record.token_s, (ended - first) / (made - 1))

    def _pass_on(self, exchange: Exchange, texts: list[str]) -> Chunk:
        if not exchange.first_token_at:
            exchange.first_token_at = trio.current_time()
        exchange.generated += len(texts)
        if exchange.key:
            exchange.texts += texts
        return Chunk("".join(texts), exchange.generated)

    async def _call(
        self, exchange: Exchange, asked: Call, record: UpstreamRecord, attempt: Attempt
    ) -> AsyncGenerator[Chunk, None]:
        client = self.services.clients.online_client(record.upstream)
        body = await client.call(
            exchange.path,
            asked.body,
            attempt,
            request_id=f"{exchange.request_id}.{exchange.attempts}",
        )
        exchange.body = body
        yield Chunk("", 0, body)

    def _note_broken(
        self, exchange: Exchange, record: UpstreamRecord, attempt: Attempt
    ) -> None:
        """Has the upstream asked whether it ended under the request."""
        watch, began = self.services.crash_detector, exchange.sent_at
        if attempt.state is AttemptState.LOST:
            watch.record_interruption(exchange.fingerprint, record, began=began)
        elif attempt.state is AttemptState.SENT:
            watch.record_interruption(
                exchange.fingerprint, record, began=began, stalled=True
            )

    def _require_retry(
        self, exchange: Exchange, attempt: Attempt, error: CoppercleatError
    ) -> None:
        """Returns if the request may be sent elsewhere, raises otherwise."""
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
            raise _final(error, exchange) from error
        self.services.metrics.retries.inc({"class": exchange.request_class})
        _log.info(
            "Trying another upstream.",
            request_id=exchange.request_id,
            upstream=exchange.upstream,
            why=error.message,
        )


def _outcome(exchange: Exchange) -> Outcome:
    """Whether any of the attempts so far may have run."""
    return Outcome.UNKNOWN if exchange.may_have_run else Outcome.NOT_RUN


def _final(error: CoppercleatError, exchange: Exchange) -> CoppercleatError:
    """Returns the last error, with an outcome that covers all attempts."""
    if exchange.attempts == 1:
        return error
    kind = UpstreamFailedError if exchange.may_have_run else UpstreamUnavailableError
    return kind(
        f"{exchange.attempts} attempts failed, the last: {error.message}",
        outcome=_outcome(exchange),
        retry_after_ms=_RETRY_AFTER_MS,
    )


def _blames_upstream(error: CoppercleatError) -> bool:
    """Whether an error counts against the upstream's health."""
    if isinstance(error, UpstreamUnavailableError):
        return True
    if isinstance(error, DeadlineExceededError):
        return True
    return isinstance(error, UpstreamFailedError) and error.outcome is not Outcome.RUN


def _smooth(old: float, new: float) -> float:
    return new if not old else old + _SMOOTHING * (new - old)
