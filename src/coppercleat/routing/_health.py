"""Circuit breaker that ejects a failing upstream from load balancing."""

from __future__ import annotations

import enum

_FAILURES_TO_EJECT = 3
_MIN_EJECTION_S = 1.0
_MAX_EJECTION_S = 30.0


class CircuitState(enum.Enum):
    """State of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class CircuitBreaker:
    """Circuit breaker of one upstream.

    Closed lets all requests through, open lets none through, and half open lets
    one probe request through at a time. Each ejection in a row lasts twice as
    long as the one before, up to ``max_ejection_s``.

    Attributes:
      state: Current state.
      consecutive_failures: Failures since the last success.
      successes: Successful requests since creation.
      max_ejection_s: Longest ejection in seconds.
    """

    __slots__ = (
        "_consecutive_ejections",
        "_probe_in_flight",
        "_retry_at",
        "consecutive_failures",
        "max_ejection_s",
        "state",
        "successes",
    )

    def __init__(self, *, max_ejection_s: float = _MAX_EJECTION_S) -> None:
        self.max_ejection_s = max_ejection_s
        self.state = CircuitState.CLOSED
        self.consecutive_failures = 0
        self.successes = 0
        self._consecutive_ejections = 0
        self._retry_at = 0.0
        self._probe_in_flight = False

    def allows_request(self, now: float) -> bool:
        """Returns whether a request may be sent.

        An open breaker becomes half open once the ejection is over.
        """
        if self.state is CircuitState.OPEN and now >= self._retry_at:
            self.state = CircuitState.HALF_OPEN
            self._probe_in_flight = False
        if self.state is CircuitState.HALF_OPEN:
            return not self._probe_in_flight
        return self.state is CircuitState.CLOSED

    def started(self) -> None:
        """Records that a request was sent."""
        if self.state is CircuitState.HALF_OPEN:
            self._probe_in_flight = True

    def succeeded(self) -> None:
        """Records a successful request and closes the circuit."""
        self.state = CircuitState.CLOSED
        self.consecutive_failures = 0
        self.successes += 1
        self._consecutive_ejections = 0
        self._probe_in_flight = False

    def abandoned(self) -> None:
        """Records a request that ended without showing the upstream's health."""
        self._probe_in_flight = False

    def failed(self, now: float) -> None:
        """Records a failed request.

        A failed probe or several failures in a row open the circuit. A failure while
        the circuit is open does not prolong the ejection.
        """
        self.consecutive_failures += 1
        probing = self.state is CircuitState.HALF_OPEN
        was_closed = self.state is CircuitState.CLOSED
        if probing or (was_closed and self.consecutive_failures >= _FAILURES_TO_EJECT):
            self._eject(now)

    def unreachable(self, now: float) -> None:
        """Records a failed connection, which opens the circuit at once."""
        self.consecutive_failures += 1
        self._eject(now)

    def recovered(self) -> None:
        """Records a sign of life: an open circuit becomes half open at once."""
        if self.state is CircuitState.OPEN:
            self.state = CircuitState.HALF_OPEN
            self._probe_in_flight = False

    def _eject(self, now: float) -> None:
        ejection_s = min(
            self.max_ejection_s, _MIN_EJECTION_S * 2**self._consecutive_ejections
        )
        self._consecutive_ejections += 1
        self._retry_at = now + ejection_s
        self.state = CircuitState.OPEN
        self._probe_in_flight = False

    def retry_after_s(self, now: float) -> float:
        """Returns the seconds until a probe request may be sent, 0 if not open."""
        if self.state is CircuitState.OPEN:
            return max(0.0, self._retry_at - now)
        return 0.0
