"""Policies that limit the batch items running on an upstream at once.

Engines admit requests without priorities, so the number of batch items determines
the tail latency of online requests.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeVar

import msgspec

from coppercleat.routing import ONLINE_ACTIVITY_WINDOW_S

_INITIAL_LIMIT = 8
_DOUBLING_INTERVAL_S = 0.05
_MAX_DOUBLINGS = 16
_ONLINE_COOLDOWN_S = 0.1
_STATIC_DIVISOR = 4
_REDUCED_DIVISOR = 8


class UpstreamUsage(msgspec.Struct, frozen=True, kw_only=True):
    """Requests and items in flight on an upstream.

    Attributes:
      online: Online requests in flight, of all instances.
      batch: Batch items running.
      max_concurrency: Maximum number of batch items at once.
    """

    online: int
    batch: int
    max_concurrency: int


class DispatchPolicy(Protocol):
    """Limits batch items on one upstream."""

    def limit(self, usage: UpstreamUsage, now: float) -> int:
        """Returns how many batch items may run.

        Args:
          usage: Current usage of the upstream.
          now: Monotonic time in seconds.
        """
        ...


DISPATCH_POLICIES: dict[str, Callable[[], DispatchPolicy]] = {}

_P = TypeVar("_P", bound=Callable[[], DispatchPolicy])


def dispatch_policy(name: str) -> Callable[[_P], _P]:
    """Returns a decorator that registers a policy under its settings name."""

    def register(policy: _P) -> _P:
        DISPATCH_POLICIES[name] = policy
        return policy

    return register


@dispatch_policy("none")
class UnlimitedPolicy:
    """Allows the maximum, regardless of online requests."""

    def limit(self, usage: UpstreamUsage, now: float) -> int:
        """See ``DispatchPolicy.limit``."""
        return usage.max_concurrency


@dispatch_policy("static")
class StaticSharePolicy:
    """Allows a fixed fraction of the maximum, regardless of online requests."""

    def limit(self, usage: UpstreamUsage, now: float) -> int:
        """See ``DispatchPolicy.limit``."""
        return max(1, usage.max_concurrency // _STATIC_DIVISOR)


@dispatch_policy("yield")
class YieldToOnline:
    """Allows no batch items during online requests, then increases exponentially.

    The limit is zero while online requests are in flight and for a cooldown after
    the last, then doubles at a fixed interval from an initial value.

    Attributes:
      reduced_s: Seconds after the cooldown for which the limit stays reduced.
    """

    reduced_s = 0.0

    def __init__(self) -> None:
        self._last_online_at = float("-inf")

    def limit(self, usage: UpstreamUsage, now: float) -> int:
        """See ``DispatchPolicy.limit``."""
        if usage.online:
            self._last_online_at = now
            return 0
        idle_s = now - self._last_online_at - _ONLINE_COOLDOWN_S
        if idle_s < 0:
            return 0
        if idle_s < self.reduced_s:
            return max(1, usage.max_concurrency // _REDUCED_DIVISOR)
        doublings = min(
            _MAX_DOUBLINGS, (idle_s - self.reduced_s) / _DOUBLING_INTERVAL_S
        )
        return min(usage.max_concurrency, _INITIAL_LIMIT << int(doublings))


@dispatch_policy("reserve")
class ReserveForOnline(YieldToOnline):
    """Like ``YieldToOnline``, with a reduced limit after recent online requests.

    Routing prefers these upstreams for further online requests, which wait less
    behind a small batch. Trades batch throughput for online tail latency.
    """

    reduced_s = ONLINE_ACTIVITY_WINDOW_S
