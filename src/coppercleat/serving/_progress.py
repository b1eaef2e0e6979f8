"""What may still be done for a request, from how its attempts ended."""

from __future__ import annotations

import enum
from collections.abc import Callable

import attrs

from coppercleat.serving._events import StreamEvent
from coppercleat.serving._model import Route


class AttemptEnd(enum.Enum):
    """How an attempt at one upstream ended."""

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


class Passed(enum.Enum):
    """What the client has of the answer.

    EVENTS are whole, and a run may go on after the last of them: it has a number, or
    none with data came before. PLACELESS is all else, after which nothing can go on.
    """

    NOTHING = "nothing"
    EVENTS = "events"
    PLACELESS = "placeless"
    ALL = "all"


MAX_TRIES = 6
"""Upstreams that may be asked for one request, those that did not run it included;
bounds the time that a request spends among full or unreachable upstreams."""


@attrs.define
class RequestProgress:
    """Counts the attempts of one request; holds no clock and does no I/O.

    Attributes:
      route: The route's rules.
      tries: Attempts begun.
      runs: Attempts that may have run.
      last_event: Number of the last event passed on; None before the first.
      passed: What the client has of the answer.
    """

    route: Route
    tries: int = 0
    runs: int = 0
    last_event: int | None = None
    passed: Passed = Passed.NOTHING

    @property
    def started(self) -> bool:
        """Whether a part of an answer has been passed on."""
        return self.passed is not Passed.NOTHING

    @property
    def finished(self) -> bool:
        """Whether all of it has; the client may leave from then on."""
        return self.passed is Passed.ALL

    @property
    def may_have_run(self) -> bool:
        """Whether any upstream may have begun to work on the request."""
        return self.runs > 0

    @property
    def may_move(self) -> bool:
        """Whether the request could go elsewhere if the attempt now ended."""
        return _MOVABLE[self.passed](self.route) and self._runs_left

    @property
    def _runs_left(self) -> bool:
        return self.runs + 1 < self.route.max_attempts and self.tries < MAX_TRIES

    def note_passed(self, events: list[StreamEvent]) -> None:
        """Counts events that are passed on."""
        for event in events:
            if event.number is not None:
                self.last_event = event.number
                self.passed = Passed.EVENTS
            elif event.data:
                self.passed = Passed.PLACELESS

    def after(self, end: AttemptEnd) -> NextStep:
        """Counts an attempt that ended and returns the next step."""
        self.tries += 1
        movable = self.may_move
        if end is not AttemptEnd.NOT_RUN:
            self.runs += 1
        return _NEXT[end](self, movable)

    def give_up(self) -> NextStep:
        """Returns how to end when nothing more can be tried."""
        if self.started:
            return NextStep.ABORT
        return (
            NextStep.ANSWER_BROKEN if self.may_have_run else NextStep.REFUSE_AS_NOT_RUN
        )


_MOVABLE: dict[Passed, Callable[[Route], bool]] = {
    Passed.NOTHING: lambda route: route.retryable,
    Passed.EVENTS: lambda route: route.resumes,
    Passed.PLACELESS: lambda route: False,
    Passed.ALL: lambda route: False,
}


def _after_not_run(progress: RequestProgress, movable: bool) -> NextStep:
    if progress.tries >= MAX_TRIES:
        return progress.give_up()
    return NextStep.RESUME_ELSEWHERE if progress.started else NextStep.TRY_ELSEWHERE


def _after_lost(progress: RequestProgress, movable: bool) -> NextStep:
    if not movable:
        return progress.give_up()
    return NextStep.RESUME_ELSEWHERE if progress.started else NextStep.TRY_ELSEWHERE


_NEXT = {
    AttemptEnd.COMPLETE: lambda progress, movable: NextStep.DONE,
    AttemptEnd.NOT_RUN: _after_not_run,
    AttemptEnd.LOST: _after_lost,
    AttemptEnd.CUT: _after_lost,
}
