"""Asks upstreams what they run, while counts of work in flight may not tell.

Answers the load after instances have lost their power: an upstream goes on with runs
whose caller is gone, for seconds, and the instances that start again know nothing of
them. What they send to slots that seem free waits behind those runs, online requests
behind batch items.
"""

from __future__ import annotations

import random

import trio

from coppercleat.observability import part_logger
from coppercleat.serving._placement import Placement, UpstreamState
from coppercleat.serving._upstream_call import UpstreamBrokeError, UpstreamCaller

AFTER_START_S = 1.5
"""For so long after its start an instance asks every upstream: the first report may
be older than the start, and requests of before may begin to run after it."""

FIRST_AFTER_S = 0.2
"""Others tell of their work in this time; what they have told is no unknown run."""

PAUSE_S = 0.25
"""Between two questions to one upstream; a run lasts for 0.7 s at least."""

ASKERS = 12
"""Up to this many instances all ask this often, more of them more rarely: all pay for
what they ask, and all must know."""

_log = part_logger("survey")


class Survey:
    """Keeps the unknown runs at upstreams up to date while there may be some."""

    def __init__(
        self, placement: Placement, caller: UpstreamCaller, *, rng: random.Random
    ) -> None:
        self.placement = placement
        self.caller = caller
        self._rng = rng
        self._asking: set[str] = set()

    async def run(self) -> None:
        """Asks until cancelled."""
        await trio.sleep(FIRST_AFTER_S)
        asks_all_until = trio.current_time() + AFTER_START_S
        async with trio.open_nursery() as nursery:
            while True:
                all_of_them = trio.current_time() < asks_all_until
                for state in self.placement.states.values():
                    doubted = all_of_them or state.unknown
                    if doubted and state.id not in self._asking:
                        self._asking.add(state.id)
                        nursery.start_soon(self._ask, state)
                await trio.sleep(self._pause_s())

    def _pause_s(self) -> float:
        others = len(self.placement.peers.tellers())
        pause_s = PAUSE_S * max(1.0, (others + 1) / ASKERS)
        return pause_s * self._rng.uniform(0.8, 1.2)

    async def _ask(self, state: UpstreamState) -> None:
        try:
            report = await self.caller.report(state.upstream)
        except UpstreamBrokeError as error:
            # What cannot be asked is not reached by requests either.
            state.unknown = 0
            _log.debug("An upstream did not report.", reason=str(error))
            return
        finally:
            self._asking.discard(state.id)
        known = self.placement.known_load(state)
        unknown = max(0, report.running + report.waiting - known)
        if unknown != state.unknown:
            _log.info(
                "Runs that nobody has told of.",
                upstream=state.id,
                unknown=unknown,
                before=state.unknown,
                running=report.running,
                waiting=report.waiting,
                known=known,
            )
        state.unknown = unknown
