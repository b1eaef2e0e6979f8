"""How much accounts have used of their allowances, in sliding windows."""

from __future__ import annotations

import bisect
import math

import msgspec

SHORT_WINDOW_S = 1.0
"""Window of the counts of late requests that instances report."""

RECENT_S = 0.5
"""Longest usual age of what other zones have reported, in seconds."""

STORED_STEP_S = 0.5
"""Step of the ages by which use is stored, in seconds."""

_LEAST_DROPPED = 64
"""Expired events that are kept at least, so that dropping them is rare."""


class AccountUse(msgspec.Struct, frozen=True, array_like=True):
    """Online requests of an account at an instance, or in a whole zone.

    Attributes:
      account: Name of the account.
      asked: Requests that came within the window, rejected ones included.
      admitted: Requests that were admitted within the window.
      asked_lately: As ``asked``, within the short window.
      admitted_lately: As ``admitted``, within the short window; only instances of the
        version before look at it.
      asked_recently: As ``asked``, within ``RECENT_S``.
      expiring: Admitted requests that leave the window within ``RECENT_S``.
    """

    account: str
    asked: int = 0
    admitted: int = 0
    asked_lately: int = 0
    admitted_lately: int = 0
    asked_recently: int = 0
    expiring: int = 0


class StoredUse(msgspec.Struct, frozen=True):
    """What an instance stores of accounts that are close to their allowances.

    Attributes:
      uses: By account.
      counted_at: When they were counted, in seconds of the machine's steady clock,
        which starts anew with the machine.
      admitted_by_age: For each of the uses the admitted requests by age, in steps of
        ``STORED_STEP_S``, newest first; none from the version before.
    """

    uses: tuple[AccountUse, ...] = ()
    counted_at: float = 0.0
    admitted_by_age: tuple[tuple[int, ...], ...] = ()

    def ages(self) -> dict[str, list[float]]:
        """Returns the ages of the admitted requests in seconds, by account."""
        return {
            use.account: [
                (step + (number + 0.5) / count) * STORED_STEP_S
                for step, count in enumerate(counts)
                for number in range(count)
            ]
            for use, counts in zip(self.uses, self.admitted_by_age, strict=False)
        }


def subtract_use(one: AccountUse, other: AccountUse) -> AccountUse:
    """Returns a use less a part of it."""
    return AccountUse(
        one.account,
        one.asked - other.asked,
        one.admitted - other.admitted,
        one.asked_lately - other.asked_lately,
        one.admitted_lately - other.admitted_lately,
        one.asked_recently - other.asked_recently,
        one.expiring - other.expiring,
    )


def estimate_recent(use: AccountUse) -> AccountUse:
    """Returns a use whose recent requests are estimated from the short window."""
    recent = math.ceil(use.asked_lately * RECENT_S / SHORT_WINDOW_S)
    return msgspec.structs.replace(use, asked_recently=recent)


def sum_uses(uses: list[AccountUse]) -> list[AccountUse]:
    """Returns the sums by account."""
    sums: dict[str, AccountUse] = {}
    for use in uses:
        known = sums.get(use.account)
        sums[use.account] = use if known is None else add_uses(known, use)
    return list(sums.values())


def add_uses(one: AccountUse, other: AccountUse) -> AccountUse:
    """Returns the sum of two uses of one account."""
    return AccountUse(
        one.account,
        one.asked + other.asked,
        one.admitted + other.admitted,
        one.asked_lately + other.asked_lately,
        one.admitted_lately + other.admitted_lately,
        one.asked_recently + other.asked_recently,
        one.expiring + other.expiring,
    )


class SlidingCount:
    """Counts events within a sliding window; the clock is passed in.

    Times are kept in order, so that the counts of shorter windows are found by
    bisection.
    """

    __slots__ = ("_first", "_span_s", "_times")

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s
        self._times: list[float] = []
        self._first = 0

    def add(self, at: float) -> None:
        """Records an event."""
        times = self._times
        if times and at < times[-1]:
            bisect.insort(times, at, self._first)
        else:
            times.append(at)

    def discard(self, at: float) -> None:
        """Takes back an event that was recorded at a time, if it is still counted."""
        times = self._times
        place = bisect.bisect_left(times, at, self._first)
        if place < len(times) and times[place] == at:
            del times[place]

    def count(self, now: float) -> int:
        """Returns the events within the window that ends now."""
        times = self._times
        first = self._first
        horizon = now - self._span_s
        while first < len(times) and times[first] <= horizon:
            first += 1
        if first > _LEAST_DROPPED and 2 * first > len(times):
            del times[:first]
            first = 0
        self._first = first
        return len(times) - first

    def count_until(self, until: float, now: float) -> int:
        """Returns the events of the window that ends now which came until a time."""
        self.count(now)
        place = bisect.bisect_right(self._times, until, self._first)
        return place - self._first

    def count_since(self, since: float, now: float) -> int:
        """Returns the events of the window that ends now which came after a time."""
        return self.count(now) - self.count_until(since, now)

    def by_age(self, step_s: float, now: float) -> tuple[int, ...]:
        """Returns the events of the window by age, in steps, newest first."""
        self.count(now)
        steps = math.ceil(self._span_s / step_s)
        until = [self.count_until(now - n * step_s, now) for n in range(steps)]
        return tuple(a - b for a, b in zip(until, [*until[1:], 0], strict=True))


class OwnUse:
    """What one account has used at this instance."""

    __slots__ = ("_window_s", "admitted", "asked")

    def __init__(self, *, window_s: float) -> None:
        self._window_s = window_s
        self.asked = SlidingCount(window_s)
        self.admitted = SlidingCount(window_s)

    def ask(self, now: float) -> None:
        """Records a request."""
        self.asked.add(now)

    def admit(self, now: float) -> None:
        """Records that a request was admitted."""
        self.admitted.add(now)

    def withdraw(self, at: float) -> None:
        """Takes back a request that was admitted and has not run."""
        self.asked.discard(at)
        self.admitted.discard(at)

    def summary(self, account: str, now: float) -> AccountUse:
        """Returns what is told to others."""
        asked, admitted = self.asked, self.admitted
        soon = now - self._window_s + RECENT_S
        return AccountUse(
            account,
            asked.count(now),
            admitted.count(now),
            asked.count_since(now - SHORT_WINDOW_S, now),
            admitted.count_since(now - SHORT_WINDOW_S, now),
            asked.count_since(now - RECENT_S, now),
            admitted.count_until(soon, now),
        )
