"""Ejects an upstream that fails, and lets it return by single trials."""

from __future__ import annotations

import enum

_FAILURES_TO_EJECT = 3
_FIRST_EJECTION_S = 1.0
_LONGEST_EJECTION_S = 30.0


class HealthState(enum.Enum):
    """Whether an upstream may be tried."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class Health:
    """A circuit breaker for one upstream; the time is passed in.

    Attributes:
      state: Closed lets all through, open none, half open one at a time.
      failures: Failures in a row.
      successes: Answers ever.
      longest_s: Longest pause between two trials.
    """

    __slots__ = (
        "_ejections",
        "_trial_running",
        "_until",
        "failures",
        "longest_s",
        "state",
        "successes",
    )

    def __init__(self, *, longest_s: float = _LONGEST_EJECTION_S) -> None:
        self.longest_s = longest_s
        self.state = HealthState.CLOSED
        self.failures = 0
        self.successes = 0
        self._ejections = 0
        self._until = 0.0
        self._trial_running = False

    def may_try(self, now: float) -> bool:
        """Returns whether a request may be sent."""
        if self.state is HealthState.OPEN and now >= self._until:
            self.state = HealthState.HALF_OPEN
            self._trial_running = False
        if self.state is HealthState.HALF_OPEN:
            return not self._trial_running
        return self.state is HealthState.CLOSED

    def started(self) -> None:
        """Notes that a request was sent."""
        if self.state is HealthState.HALF_OPEN:
            self._trial_running = True

    def succeeded(self) -> None:
        """Notes an answer; the upstream is well again."""
        self.state = HealthState.CLOSED
        self.failures = 0
        self.successes += 1
        self._ejections = 0
        self._trial_running = False

    def abandoned(self) -> None:
        """Notes that a request ended without telling anything."""
        self._trial_running = False

    def failed(self, now: float) -> None:
        """Notes a failure; several in a row, or a failed trial, eject.

        What was sent before an ejection, or past it, begins no new pause.
        """
        self.failures += 1
        trial = self.state is HealthState.HALF_OPEN
        closed = self.state is HealthState.CLOSED
        if trial or (closed and self.failures >= _FAILURES_TO_EJECT):
            self._eject(now)

    def unreachable(self, now: float) -> None:
        """Notes that no connection could be made, which ejects at once."""
        self.failures += 1
        self._eject(now)

    def _eject(self, now: float) -> None:
        pause = min(self.longest_s, _FIRST_EJECTION_S * 2**self._ejections)
        self._ejections += 1
        self._until = now + pause
        self.state = HealthState.OPEN
        self._trial_running = False

    def retry_in(self, now: float) -> float:
        """Returns seconds until a trial is let through."""
        if self.state is HealthState.OPEN:
            return max(0.0, self._until - now)
        return 0.0
