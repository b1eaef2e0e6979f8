"""Admits a request only if it can probably meet its deadline."""

from __future__ import annotations

import msgspec

_TOLERANCE = 1.2
_LONGEST_RETRY_S = 30.0
_SHORTEST_RETRY_S = 0.05


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """What admission needs to know of a request.

    Attributes:
      tokens: Tokens asked for.
      allowed_s: Seconds left until the deadline.
    """

    tokens: int
    allowed_s: float


class Admitted(msgspec.Struct, frozen=True):
    """Sentinel: the request may go on."""


class Refusal(msgspec.Struct, frozen=True):
    """Sentinel: the request is refused at the door and was not run.

    Attributes:
      reason: Why, in words.
      retry_in_s: Seconds until it may be admitted.
    """

    reason: str
    retry_in_s: float


class Admission:
    """Bounds requests in flight, and refuses those that would be late.

    Attributes:
      max_in_flight: Requests in flight at once in this instance.
      in_flight: Requests in flight now.
    """

    def __init__(self, *, max_in_flight: int) -> None:
        self.max_in_flight = max_in_flight
        self.in_flight = 0

    def decide(
        self, request: Request, *, first_token_s: float, token_s: float
    ) -> Admitted | Refusal:
        """Decides on a request.

        Args:
          request: What is asked.
          first_token_s: Expected seconds to the first token, 0 if unknown.
          token_s: Expected seconds between tokens, 0 if unknown.
        """
        if self.in_flight >= self.max_in_flight:
            return Refusal("this instance is full", _SHORTEST_RETRY_S)
        expected = first_token_s + token_s * max(0, request.tokens - 1)
        if request.allowed_s <= 0:
            return Refusal("the deadline has passed", 0.0)
        if expected <= request.allowed_s * _TOLERANCE:
            return Admitted()
        late_by = expected - request.allowed_s
        retry = min(_LONGEST_RETRY_S, max(_SHORTEST_RETRY_S, late_by))
        return Refusal(
            f"it would take {expected:.1f} s of the {request.allowed_s:.1f} s allowed",
            retry,
        )
