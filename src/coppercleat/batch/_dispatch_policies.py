"""Policies that decide how many batch items run on a runner at once.

Engines admit requests as they come, so whoever feeds batch to a runner sets
the online tail. One instance feeds each runner; it knows its own online
requests there at once and its peers' within milliseconds.
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
    """What a policy sees of a runner.

    Attributes:
      online: Online requests in flight there, of all instances.
      batch: Batch items running there.
      max_concurrency: Items at once at most.
    """

    online: int
    batch: int
    max_concurrency: int


class DispatchPolicy(Protocol):
    """Decides for one runner; the clock is passed in."""

    def limit(self, view: UpstreamUsage, now: float) -> int:
        """Returns how many batch items may run now."""
        ...


DISPATCH_POLICIES: dict[str, Callable[[], DispatchPolicy]] = {}

_P = TypeVar("_P", bound=Callable[[], DispatchPolicy])


def dispatch_policy(name: str) -> Callable[[_P], _P]:
    """Registers a policy under its name in the settings."""

    def register(policy: _P) -> _P:
        DISPATCH_POLICIES[name] = policy
        return policy

    return register


@dispatch_policy("none")
class UnlimitedPolicy:
    """Feeds as much as the runner may take, whatever happens online."""

    def limit(self, view: UpstreamUsage, now: float) -> int:
        """See ``DispatchPolicy.limit``."""
        return view.max_concurrency


@dispatch_policy("static")
class StaticSharePolicy:
    """Feeds a fixed quarter, whatever happens online."""

    def limit(self, view: UpstreamUsage, now: float) -> int:
        """See ``DispatchPolicy.limit``."""
        return max(1, view.max_concurrency // _STATIC_DIVISOR)


@dispatch_policy("yield")
class YieldToOnline:
    """Lets go at once when an online request arrives; grows back in steps.

    The limit falls to nothing while online requests are in flight and for a
    short hold after the last, then doubles from a small start.
    """

    reduced_s = 0.0

    def __init__(self) -> None:
        self._last_online_at = float("-inf")

    def limit(self, view: UpstreamUsage, now: float) -> int:
        """See ``DispatchPolicy.limit``."""
        if view.online:
            self._last_online_at = now
            return 0
        idle_s = now - self._last_online_at - _ONLINE_COOLDOWN_S
        if idle_s < 0:
            return 0
        if idle_s < self.reduced_s:
            return max(1, view.max_concurrency // _REDUCED_DIVISOR)
        doublings = min(
            _MAX_DOUBLINGS, (idle_s - self.reduced_s) / _DOUBLING_INTERVAL_S
        )
        return min(view.max_concurrency, _INITIAL_LIMIT << int(doublings))


@dispatch_policy("reserve")
class ReserveForOnline(YieldToOnline):
    """Yields, and stays light for a while on a runner that had online requests.

    The next online requests go there (see routing), and a step of few sequences
    is soon over. Costs batch speed for a shorter online tail.
    """

    reduced_s = ONLINE_ACTIVITY_WINDOW_S
