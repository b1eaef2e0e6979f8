"""Decides after each attempt whether a request is retried, resumed or ended."""

from __future__ import annotations

import enum
from collections.abc import Callable

import attrs

from coppercleat.serving._events import StreamEvent
from coppercleat.serving._model import Route


class AttemptOutcome(enum.Enum):
    """How an attempt at one upstream ended.

    NOT_RUN: the upstream did not begin to run the request. LOST: the attempt failed
    before any part of a response was forwarded, and the upstream may have run the
    request. CUT: the attempt failed after a part of a response was forwarded.
    """

    COMPLETE = "complete"
    NOT_RUN = "not_run"
    LOST = "lost"
    CUT = "cut"


class NextStep(enum.Enum):
    """What to do after an attempt."""

    DONE = "done"
    TRY_ELSEWHERE = "try_elsewhere"
    RESUME_ELSEWHERE = "resume_elsewhere"
    REFUSE_AS_NOT_RUN = "refuse_as_not_run"
    ANSWER_BROKEN = "answer_broken"
    ABORT = "abort"


class ForwardedPart(enum.Enum):
    """How much of the response has been forwarded to the client.

    EVENTS: complete events, after which another upstream can resume the stream.
    UNRESUMABLE: a plain body or data without event numbers, which no upstream can
    resume.
    """

    NOTHING = "nothing"
    EVENTS = "events"
    UNRESUMABLE = "unresumable"
    ALL = "all"


MAX_ATTEMPTS = 6
"""Attempts per request, including those that the upstream did not run; bounds the time
that a request spends on full or unreachable upstreams."""


@attrs.define
class RequestProgress:
    """Tracks the attempts of one request; performs no I/O and reads no clock.

    Attributes:
      route: The request's route, which limits retries and resumption.
      attempts: Finished attempts.
      possible_runs: Attempts in which the upstream may have run the request.
      last_event: Number of the last forwarded event; None if there is none.
      forwarded: How much of the response has been forwarded.
    """

    route: Route
    attempts: int = 0
    possible_runs: int = 0
    last_event: int | None = None
    forwarded: ForwardedPart = ForwardedPart.NOTHING

    @property
    def started(self) -> bool:
        """Whether any part of a response has been forwarded."""
        return self.forwarded is not ForwardedPart.NOTHING

    @property
    def finished(self) -> bool:
        """Whether the whole response has been forwarded."""
        return self.forwarded is ForwardedPart.ALL

    @property
    def may_have_run(self) -> bool:
        """Whether any upstream may have run the request."""
        return self.possible_runs > 0

    @property
    def may_fail_over(self) -> bool:
        """Whether the request may fail over if the current attempt fails."""
        return _MAY_FAIL_OVER[self.forwarded](self.route) and self._attempts_left

    @property
    def _attempts_left(self) -> bool:
        return (
            self.possible_runs + 1 < self.route.max_attempts
            and self.attempts < MAX_ATTEMPTS
        )

    def record_forwarded(self, events: list[StreamEvent]) -> None:
        """Records events that are about to be forwarded."""
        for event in events:
            if event.number is not None:
                self.last_event = event.number
                self.forwarded = ForwardedPart.EVENTS
            elif event.data:
                self.forwarded = ForwardedPart.UNRESUMABLE

    def next_step(self, outcome: AttemptOutcome) -> NextStep:
        """Records the outcome of an attempt and returns the next step."""
        self.attempts += 1
        failover_allowed = self.may_fail_over
        if outcome is not AttemptOutcome.NOT_RUN:
            self.possible_runs += 1
        return _NEXT_STEP[outcome](self, failover_allowed)

    def give_up(self) -> NextStep:
        """Returns the final step of a request that gets no further attempt."""
        if self.started:
            return NextStep.ABORT
        return (
            NextStep.ANSWER_BROKEN if self.may_have_run else NextStep.REFUSE_AS_NOT_RUN
        )


_MAY_FAIL_OVER: dict[ForwardedPart, Callable[[Route], bool]] = {
    ForwardedPart.NOTHING: lambda route: route.repeatable,
    ForwardedPart.EVENTS: lambda route: route.resumes,
    ForwardedPart.UNRESUMABLE: lambda route: False,
    ForwardedPart.ALL: lambda route: False,
}


def _after_not_run(progress: RequestProgress, failover_allowed: bool) -> NextStep:
    if progress.attempts >= MAX_ATTEMPTS:
        return progress.give_up()
    return NextStep.RESUME_ELSEWHERE if progress.started else NextStep.TRY_ELSEWHERE


def _after_lost(progress: RequestProgress, failover_allowed: bool) -> NextStep:
    if not failover_allowed:
        return progress.give_up()
    return NextStep.RESUME_ELSEWHERE if progress.started else NextStep.TRY_ELSEWHERE


_NEXT_STEP = {
    AttemptOutcome.COMPLETE: lambda progress, failover_allowed: NextStep.DONE,
    AttemptOutcome.NOT_RUN: _after_not_run,
    AttemptOutcome.LOST: _after_lost,
    AttemptOutcome.CUT: _after_lost,
}
