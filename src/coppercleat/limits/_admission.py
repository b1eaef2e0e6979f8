"""Admission control: refuses requests that would probably miss their deadline."""

from __future__ import annotations

import msgspec

_DEADLINE_TOLERANCE = 1.2
"""Factor by which the estimated duration may exceed the time left."""

_MAX_RETRY_DELAY_S = 30.0
_MIN_RETRY_DELAY_S = 0.05

PROBE_INTERVAL_S = 2.0
"""Seconds of refusals by forecast after which one request is admitted all the same:
only answers change a forecast."""


class AdmissionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What admission control needs to know of a request.

    Attributes:
      tokens: Maximum number of tokens to generate.
      remaining_s: Seconds left until the deadline.
    """

    tokens: int
    remaining_s: float


class Admitted(msgspec.Struct, frozen=True):
    """The request is admitted."""


class Refusal(msgspec.Struct, frozen=True):
    """The request is refused and was not run.

    Attributes:
      reason: Human-readable explanation, part of the error sent to the client.
      retry_after_s: Seconds until the request may be admitted.
    """

    reason: str
    retry_after_s: float


class AdmissionController:
    """Bounds the requests in flight and refuses those that would miss the deadline.

    Attributes:
      max_in_flight: Maximum number of requests in flight in this instance.
      in_flight: Requests in flight now; updated by the caller.
    """

    def __init__(self, *, max_in_flight: int) -> None:
        self.max_in_flight = max_in_flight
        self.in_flight = 0
        self._refusing_since: float | None = None

    def decide(
        self,
        request: AdmissionRequest,
        *,
        first_token_s: float,
        inter_token_s: float,
        now: float,
    ) -> Admitted | Refusal:
        """Decides whether to admit a request.

        A forecast that refuses every request would never be corrected, so one request
        per ``PROBE_INTERVAL_S`` is admitted against it.

        Args:
          request: The request.
          first_token_s: Expected time to the first token in seconds, 0 if unknown.
          inter_token_s: Expected time between tokens in seconds, 0 if unknown.
          now: Monotonic time in seconds.
        """
        if self.in_flight >= self.max_in_flight:
            return Refusal("this instance is full", _MIN_RETRY_DELAY_S)
        total_s = first_token_s + inter_token_s * max(0, request.tokens - 1)
        if request.remaining_s <= 0:
            return Refusal("the deadline has passed", 0.0)
        if total_s <= request.remaining_s * _DEADLINE_TOLERANCE or self._may_probe(now):
            self._refusing_since = None
            return Admitted()
        if self._refusing_since is None:
            self._refusing_since = now
        late_by_s = total_s - request.remaining_s
        retry_delay_s = min(_MAX_RETRY_DELAY_S, max(_MIN_RETRY_DELAY_S, late_by_s))
        return Refusal(
            f"it would take {total_s:.1f} s of the {request.remaining_s:.1f} s allowed",
            retry_delay_s,
        )

    def _may_probe(self, now: float) -> bool:
        """Returns whether the forecast has refused every request for long enough."""
        since = self._refusing_since
        return since is not None and now - since >= PROBE_INTERVAL_S
