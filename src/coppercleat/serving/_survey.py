"""Probes upstreams for their load while counts of work in flight may be incomplete.

After a crash of an instance or a network fault, an upstream may run requests for
seconds whose caller is gone. No instance counts these untracked requests, so that new
ones would be sent to slots that seem free, and queue behind them.
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
    UpstreamCaller,
    UpstreamCallError,
    UpstreamReport,
)
from coppercleat.serving._upstream_state import UpstreamState

STARTUP_PROBING_S = 1.5
"""How long an instance probes every upstream after its start. The first report may be
older than the start, and requests sent before it may begin to run later."""

LIST_CHECK_INTERVAL_S = 0.01
"""Interval between checks for the first list of upstreams. They are listed some 20 ms
after the start, or once the store is back."""

STARTUP_DELAY_S = 0.2
"""Time in which peers send their counts after the start. The first probe does not wait
for them: until the second one, everything that an upstream runs counts as untracked."""

PROBE_INTERVAL_S = 0.25
"""Interval between probes of one upstream; shorter than the shortest attempt."""

FULL_RATE_INSTANCES = 12
"""Up to this many instances probe at the full rate. The interval grows in proportion in
larger fleets, to bound the probes per upstream."""

UNCERTAIN_S = 0.5
"""How long an upstream with uncertain counts is probed, about two times, unless it has
untracked requests."""

MAX_JITTER_S = 0.1
"""Jitter for instances whose counts become uncertain at the same time."""

MAX_CONCURRENT_PROBES = 24
"""Limits processor time to a quarter of a core: a probe takes 0.1 s and uses a
millisecond. In a fleet of thousands of upstreams, random samples are probed."""

MAX_REPORT_AGE_S = 0.1
"""Greatest age of a report; the known load is sampled for this long before it."""

_LOAD_SAMPLES = 12
"""Samples of the known load per probe, to see attempts that start and end meanwhile."""

_log = part_logger("survey")


@attrs.define
class _ProbeState:
    """Probing of one upstream; times are in trio's time.

    Attributes:
      uncertain_until: Until when its counts are uncertain.
      next_probe_at: Earliest time of the next probe.
      estimated_at: When its untracked requests were last estimated.
    """

    uncertain_until: float = float("-inf")
    next_probe_at: float = float("-inf")
    estimated_at: float = float("-inf")


class LoadProber:
    """Estimates the untracked requests at upstreams while there may be some.

    Attributes:
      on_change: Called when the estimate for an upstream has changed.
      probe_count: Number of probes so far.
    """

    def __init__(
        self, placement: Placement, caller: UpstreamCaller, *, rng: random.Random
    ) -> None:
        self.placement = placement
        self.caller = caller
        self.on_change: Callable[[], None] = lambda: None
        self.probe_count = 0
        self._rng = rng
        self._probing: set[UpstreamId] = set()
        self._probe_states: dict[UpstreamId, _ProbeState] = {}
        self._idle_at_startup: set[UpstreamId] = set()
        self._uncertain = trio.Event()
        self._probe_all_until = float("inf")

    async def run(self) -> None:
        """Probes upstreams until cancelled."""
        while not self.placement.states:
            await trio.sleep(LIST_CHECK_INTERVAL_S)
        async with trio.open_nursery() as nursery:
            for state in self._due(trio.current_time()):
                self._probing.add(state.id)
                nursery.start_soon(self._probe_at_startup, state)
            await trio.sleep(STARTUP_DELAY_S)
            self._probe_all_until = trio.current_time() + STARTUP_PROBING_S
            while True:
                for state in self._due(trio.current_time()):
                    self._probing.add(state.id)
                    nursery.start_soon(self._probe, state)
                with trio.move_on_after(self._probe_interval_s()):
                    await self._uncertain.wait()
                    await trio.sleep(self._rng.uniform(0, MAX_JITTER_S))
                self._uncertain = trio.Event()

    def mark_uncertain(self, upstreams: Collection[UpstreamId]) -> None:
        """Marks the counts of these upstreams as uncertain, and probes them."""
        uncertain_until = trio.current_time() + UNCERTAIN_S
        for upstream in upstreams:
            self._probe_states.setdefault(
                upstream, _ProbeState()
            ).uncertain_until = uncertain_until
        self._uncertain.set()

    def record_abandoned_attempt(self, state: UpstreamState, *, stalled: bool) -> None:
        """Records an abandoned attempt that the upstream may still run.

        Args:
          state: The upstream.
          stalled: Whether the attempt had stalled, so that it counts as untracked at
            once. Otherwise the upstream is probed first.
        """
        state.abandoned += 1
        self.mark_uncertain([state.id])
        if stalled:
            state.untracked += 1
            self._probe_states[state.id].estimated_at = trio.current_time()

    def _due(self, now: float) -> list[UpstreamState]:
        """Returns the upstreams to be probed now, a random sample of them if many."""
        states = self.placement.states
        for upstream, probe_state in list(self._probe_states.items()):
            state = states.get(upstream)
            if state is not None and now < state.unverified_until:
                continue
            if state is not None and state.untracked:
                if now >= probe_state.estimated_at + UNTRACKED_EXPIRY_S:
                    state.abandoned = 0
                    self._set_untracked(state, 0)
            elif upstream not in self._probing and now >= max(
                self._probe_all_until, probe_state.uncertain_until
            ):
                del self._probe_states[upstream]
        # In a large fleet, only few of thousands of upstreams are uncertain.
        candidates = (
            self._probed_at_startup()
            if now < self._probe_all_until
            else self._probe_states.keys() & states.keys()
        )
        if now < self._probe_all_until:
            self._mark_unverified()
        due = [states[u] for u in candidates if self._is_due(states[u], now)]
        capacity = max(0, MAX_CONCURRENT_PROBES - len(self._probing))
        return due if len(due) <= capacity else self._rng.sample(due, capacity)

    def _probed_at_startup(self) -> Collection[UpstreamId]:
        """Returns all upstreams, or those of the own zone if there are many.

        Each instance of a large fleet would otherwise probe each upstream of it, most
        of which it never uses. Until they count as verified they are used last. One
        that ran nothing is not probed again.
        """
        states = self.placement.states
        if len(states) <= MAX_CONCURRENT_PROBES:
            return states.keys()
        zone = self.placement.zone
        own = [u for u, state in states.items() if state.upstream.zone == zone]
        return [u for u in own or states if u not in self._idle_at_startup]

    def _mark_unverified(self) -> None:
        """Marks upstreams that were never probed: they may run requests from before."""
        unverified_until = (
            min(self._probe_all_until, trio.current_time() + STARTUP_PROBING_S)
            + UNTRACKED_EXPIRY_S
        )
        for upstream, state in self.placement.states.items():
            if upstream not in self._probe_states:
                state.unverified_until = unverified_until

    def _is_due(self, state: UpstreamState, now: float) -> bool:
        if state.id in self._probing:
            return False
        probe_state = self._probe_states.get(state.id)
        if probe_state is None:
            return now < self._probe_all_until
        uncertain = now < max(self._probe_all_until, probe_state.uncertain_until)
        unresolved = now < state.unverified_until or state.untracked > 0
        return (uncertain or unresolved) and now >= probe_state.next_probe_at

    def _probe_interval_s(self) -> float:
        others = len(self.placement.peers.reporters())
        interval_s = PROBE_INTERVAL_S * max(1.0, (others + 1) / FULL_RATE_INSTANCES)
        return interval_s * self._rng.uniform(0.8, 1.2)

    async def _probe_at_startup(self, state: UpstreamState) -> None:
        """Counts all requests at an upstream that are not known yet as untracked."""
        report = await self._request_report(state)
        if report is None:
            return
        running = report.running + report.waiting
        if not running:
            self._idle_at_startup.add(state.id)
        probe_state = self._probe_states.setdefault(state.id, _ProbeState())
        probe_state.estimated_at = trio.current_time()
        state.unverified_until = float("-inf")
        self._set_untracked(state, max(0, running - self.placement.known_load(state)))

    async def _probe(self, state: UpstreamState) -> None:
        probe_state = self._probe_states.setdefault(state.id, _ProbeState())
        # Other upstreams may wake the loop early; wait for at least half an interval.
        probe_state.next_probe_at = trio.current_time() + self._probe_interval_s() / 2
        abandoned = state.abandoned
        known = await self._sample_known_load(state)
        report = await self._request_report(state)
        if report is None:
            return
        if state.abandoned != abandoned:
            return  # An attempt abandoned meanwhile is in only some of the samples.
        known.append(self.placement.known_load(state))
        probe_state.estimated_at = trio.current_time()
        state.unverified_until = float("-inf")
        reported = report.running + report.waiting
        untracked = estimate_untracked(state.untracked, reported=reported, known=known)
        if not untracked:
            state.abandoned = 0
        if untracked == state.untracked:
            return
        _log.info(
            "Number of untracked requests changed.",
            upstream=state.id,
            unknown=untracked,
            before=state.untracked,
            running=report.running,
            waiting=report.waiting,
            known=known[-1],
        )
        self._set_untracked(state, untracked)

    async def _request_report(self, state: UpstreamState) -> UpstreamReport | None:
        """Returns an upstream's report, or None if the probe failed."""
        try:
            self.probe_count += 1
            return await self.caller.report(state.upstream)
        except UpstreamCallError as error:
            _log.debug("Load probe failed.", reason=str(error))
            return None
        finally:
            self._probing.discard(state.id)

    async def _sample_known_load(self, state: UpstreamState) -> list[int]:
        """Returns samples of the known load over the possible age of a report."""
        known = [self.placement.known_load(state)]
        for _ in range(_LOAD_SAMPLES):
            await trio.sleep(MAX_REPORT_AGE_S / _LOAD_SAMPLES)
            known.append(self.placement.known_load(state))
        return known

    def _set_untracked(self, state: UpstreamState, untracked: int) -> None:
        state.untracked = untracked
        self.on_change()
