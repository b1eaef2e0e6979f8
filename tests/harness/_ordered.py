"""Runs on the clock of the test, in the same order each time."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import trio
import trio.testing


def run_in_order(play: Callable[[], Awaitable[Any]], *, seed: int) -> None:
    """Runs a play in no time, its tasks in an order that the seed alone gives.

    Trio draws the order in which tasks that are ready run. A play that is to fail again
    by its seed needs the same draws; there is no public way to give them.
    """
    inner = trio._core._run
    before = inner._ALLOW_DETERMINISTIC_SCHEDULING
    inner._ALLOW_DETERMINISTIC_SCHEDULING = True
    inner._r.seed(seed)
    try:
        trio.run(play, clock=trio.testing.MockClock(autojump_threshold=0))
    finally:
        inner._ALLOW_DETERMINISTIC_SCHEDULING = before
