"""Asks upstreams what they run, while counts of work in flight may not tell.

Answers the load after instances have lost their power, or connections have gone silent:
an upstream goes on with runs whose caller is gone, for seconds, and the instances know
nothing of them. What they send to slots that seem free waits behind those runs, online
requests behind batch items.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection

import attrs
import trio

from coppercleat.ids import UpstreamId
from coppercleat.observability import part_logger
from coppercleat.serving._placement import Placement
from coppercleat.serving._unknown_runs import UNTRACKED_EXPIRY_S, estimate_untracked
from coppercleat.serving._upstream_call import (
    UpstreamBrokeError,
    UpstreamCaller,
    UpstreamReport,
)
from coppercleat.serving._upstream_state import UpstreamState

AFTER_START_S = 1.5
"""For so long after its start an instance asks every upstream: the first report may
be older than the start, and requests of before may begin to run after it."""

LISTED_LOOK_S = 0.01
"""Between looks for the first upstreams: they are listed some 20 ms after the start, or
once the store is back."""

FIRST_AFTER_S = 0.2
"""Others tell of their work in this time; what they have told is no unknown run. The
first question does not wait for it: until the second, all that an upstream runs counts
as unknown."""

PAUSE_S = 0.25
"""Between two questions to one upstream; a run lasts for 0.7 s at least."""

ASKERS = 12
"""Up to this many instances all ask this often, more of them more rarely: all pay for
what they ask, and all must know."""

DOUBT_S = 0.5
"""For so long a doubted upstream is asked, two times or so, unless it has unknown runs:
a run that is left goes on at once or never."""

SPREAD_S = 0.1
"""Instances that doubt at the same moment begin to ask within this time."""

MOST_AT_ONCE = 24
"""Upstreams that are asked side by side. A question takes 0.1 s, and a millisecond of
processor time: a fleet of thousands of upstreams is asked by samples, for a quarter
of a core at most while there are doubts."""

REPORT_AGE_S = 0.1
"""A report is as old as this at most; what is known is looked at for so long before."""

_LOOKS = 12
"""How often, so that what starts and ends between is seen, and how long it was so."""

_log = part_logger("survey")


@attrs.define
class _Asked:
    """What this instance remembers of its questions to an upstream.

    Attributes:
      doubted_until: Until when counts may not tell of it.
      next_at: When it may be asked again.
      believed_at: When its unknown runs were last learnt of.
    """

    doubted_until: float = float("-inf")
    next_at: float = float("-inf")
    believed_at: float = float("-inf")


class Survey:
    """Keeps the unknown runs at upstreams up to date while there may be some.

    Attributes:
      on_change: Told when the number of unknown runs at an upstream has changed.
      asked: Reports asked for.
    """

    def __init__(
        self, placement: Placement, caller: UpstreamCaller, *, rng: random.Random
    ) -> None:
        self.placement = placement
        self.caller = caller
        self.on_change: Callable[[], None] = lambda: None
        self.asked = 0
        self._rng = rng
        self._asking: set[UpstreamId] = set()
        self._of: dict[UpstreamId, _Asked] = {}
        self._doubt = trio.Event()
        self._all_until = float("inf")

    async def run(self) -> None:
        """Asks until cancelled."""
        while not self.placement.states:
            await trio.sleep(LISTED_LOOK_S)
        async with trio.open_nursery() as nursery:
            for state in self._due(trio.current_time()):
                self._asking.add(state.id)
                nursery.start_soon(self._ask_first, state)
            await trio.sleep(FIRST_AFTER_S)
            self._all_until = trio.current_time() + AFTER_START_S
            while True:
                for state in self._due(trio.current_time()):
                    self._asking.add(state.id)
                    nursery.start_soon(self._ask, state)
                with trio.move_on_after(self._pause_s()):
                    await self._doubt.wait()
                    await trio.sleep(self._rng.uniform(0, SPREAD_S))
                self._doubt = trio.Event()

    def doubt(self, upstreams: Collection[UpstreamId]) -> None:
        """Notes that counts may not tell of these upstreams now."""
        until = trio.current_time() + DOUBT_S
        for upstream in upstreams:
            self._of.setdefault(upstream, _Asked()).doubted_until = until
        self._doubt.set()

    def left_unheard(self, state: UpstreamState, *, silent: bool) -> None:
        """Notes that a run was left, of which the upstream may not know.

        Args:
          state: The upstream.
          silent: Whether the run was given up for its silence. If not, the upstream
            may only have paused, and is asked first.
        """
        state.abandoned += 1
        self.doubt([state.id])
        if silent:
            state.untracked += 1
            self._of[state.id].believed_at = trio.current_time()

    def _due(self, now: float) -> list[UpstreamState]:
        """Returns the upstreams to be asked now, some of them if there are many."""
        states = self.placement.states
        for upstream, asked in list(self._of.items()):
            state = states.get(upstream)
            if state is not None and now < state.unverified_until:
                continue
            if state is not None and state.untracked:
                if now >= asked.believed_at + UNTRACKED_EXPIRY_S:
                    state.abandoned = 0
                    self._believe(state, 0)
            elif upstream not in self._asking and now >= max(
                self._all_until, asked.doubted_until
            ):
                del self._of[upstream]
        # In a large fleet there are thousands of upstreams, of which few are in doubt.
        looked_at = states if now < self._all_until else self._of.keys() & states.keys()
        if now < self._all_until:
            self._mark_unproved()
        due = [states[u] for u in looked_at if self._is_due(states[u], now)]
        room = max(0, MOST_AT_ONCE - len(self._asking))
        return due if len(due) <= room else self._rng.sample(due, room)

    def _mark_unproved(self) -> None:
        """Marks upstreams that were never asked: any may run requests of before."""
        until = (
            min(self._all_until, trio.current_time() + AFTER_START_S)
            + UNTRACKED_EXPIRY_S
        )
        for upstream, state in self.placement.states.items():
            if upstream not in self._of:
                state.unverified_until = until

    def _is_due(self, state: UpstreamState, now: float) -> bool:
        if state.id in self._asking:
            return False
        asked = self._of.get(state.id)
        if asked is None:
            return now < self._all_until
        doubted = now < max(self._all_until, asked.doubted_until)
        open_question = now < state.unverified_until or state.untracked > 0
        return (doubted or open_question) and now >= asked.next_at

    def _pause_s(self) -> float:
        others = len(self.placement.peers.reporters())
        pause_s = PAUSE_S * max(1.0, (others + 1) / ASKERS)
        return pause_s * self._rng.uniform(0.8, 1.2)

    async def _ask_first(self, state: UpstreamState) -> None:
        """Takes all that an upstream runs as unknown, until others have told."""
        report = await self._report(state)
        if report is None:
            return
        running = report.running + report.waiting
        asked = self._of.setdefault(state.id, _Asked())
        asked.believed_at = trio.current_time()
        state.unverified_until = float("-inf")
        self._believe(state, max(0, running - self.placement.known_load(state)))

    async def _ask(self, state: UpstreamState) -> None:
        asked = self._of.setdefault(state.id, _Asked())
        # Doubts of other upstreams wake this one too; its own pause is kept by half.
        asked.next_at = trio.current_time() + self._pause_s() / 2
        abandoned = state.abandoned
        known = await self._look(state)
        report = await self._report(state)
        if report is None:
            return
        if state.abandoned != abandoned:
            return  # A run that was left meanwhile is in some of the counts only.
        known.append(self.placement.known_load(state))
        asked.believed_at = trio.current_time()
        state.unverified_until = float("-inf")
        reported = report.running + report.waiting
        untracked = estimate_untracked(state.untracked, reported=reported, known=known)
        if not untracked:
            state.abandoned = 0
        if untracked == state.untracked:
            return
        _log.info(
            "Runs that nobody has told of.",
            upstream=state.id,
            unknown=untracked,
            before=state.untracked,
            running=report.running,
            waiting=report.waiting,
            known=known[-1],
        )
        self._believe(state, untracked)

    async def _report(self, state: UpstreamState) -> UpstreamReport | None:
        """Returns an upstream's report, None if it gives none; ends the question."""
        try:
            self.asked += 1
            return await self.caller.report(state.upstream)
        except UpstreamBrokeError as error:
            _log.debug("An upstream did not report.", reason=str(error))
            return None
        finally:
            self._asking.discard(state.id)

    async def _look(self, state: UpstreamState) -> list[int]:
        """Returns how many runs are known at moments of the time of the report."""
        known = [self.placement.known_load(state)]
        for _ in range(_LOOKS):
            await trio.sleep(REPORT_AGE_S / _LOOKS)
            known.append(self.placement.known_load(state))
        return known

    def _believe(self, state: UpstreamState, untracked: int) -> None:
        state.untracked = untracked
        self.on_change()
