"""The clock of all deadlines, leases and silences: it counts suspended time.

trio's own clock is the system's steady one, which leaves out the time for which a
machine was suspended. An instance would wake and believe that its lease holds, its
peers are fresh and its clients still wait. By this clock a suspension is to the
instance what it is to all others: a pause.
"""

from __future__ import annotations

import math
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

_T = TypeVar("_T")


def seconds_since_boot() -> float:
    """Returns seconds since the machine's boot, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class BootClock(trio.abc.Clock):
    """Seconds since boot as trio's time.

    A sleeping process is woken by the steady clock, so it may notice a suspension up to
    one of its sleeps late: a tenth of a second in an instance, which looks after its
    links that often. Deadlines that have passed are found before any task goes on.
    """

    def __init__(self, read: Callable[[], float] = seconds_since_boot) -> None:
        self.read = read

    def start_clock(self) -> None:
        """Does nothing: the clock runs by itself."""

    def current_time(self) -> float:
        """Returns the time in seconds."""
        return self.read()

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Returns seconds until a deadline."""
        if deadline == math.inf:
            return math.inf
        return deadline - self.read()


def run(main: Callable[..., Awaitable[_T]], *args: object) -> _T:
    """Runs a process's main function by the clock above."""
    return trio.run(main, *args, clock=BootClock())
