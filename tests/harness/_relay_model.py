"""Instances of one zone that share slots, and learn of each other's work late."""

from __future__ import annotations

import heapq
import itertools
import random

from coppercleat.ids import InstanceId, UpstreamId, ZoneId
from coppercleat.serving import Placement, Upstream, WorkInFlight
from coppercleat.serving._zone_relay import RELAY_INTERVAL_S, ZoneRelay

WAY_S = 0.001
END_DELAY_S = 0.03
SERVICE = "menus"


class RelayModel:
    """Online requests of one zone, by real placements and relays, on a model's clock.

    Attributes:
      relayed: Whether relays pass on what changes; else each change reaches all.
      requests: Requests so far.
      met_full: Those that were sent to a full upstream while a slot was free.
      messages: Messages sent so far.
    """

    def __init__(
        self, instances: int, upstreams: int, *, relayed: bool, seed: int = 1
    ) -> None:
        self.rng = random.Random(seed)
        self.relayed = relayed
        self.names = [InstanceId(f"i-{n:02d}") for n in range(instances)]
        self.placements = {name: self._placement(upstreams) for name in self.names}
        self.relays = {name: ZoneRelay() for name in self.names[:2]}
        self.load = dict.fromkeys(self.placements[self.names[0]].states, 0)
        self.requests = self.met_full = self.messages = 0
        self._number = itertools.count(1)
        self._events: list = []
        self._order = itertools.count()

    def _placement(self, upstreams: int) -> Placement:
        placement = Placement(ZoneId("a"), rng=self.rng)
        placement.lagging = self.relayed
        placement.replace(
            Upstream(
                id=UpstreamId(f"u-{n}"),
                service=SERVICE,
                address="10.0.0.1:1",
                zone=ZoneId("a"),
                slots=8,
            )
            for n in range(upstreams)
        )
        return placement

    def _at(self, when: float, action, *args) -> None:
        heapq.heappush(self._events, (when, next(self._order), action, args))

    def run(self, seconds: float, *, per_s: float, held_s: float) -> None:
        """Lets requests come at random, each of which holds a slot for a time."""
        at = 0.0
        while (at := at + self.rng.expovariate(per_s)) < seconds:
            self._at(at, self._start, held_s)
        for relay in self.relays:
            self._at(self.rng.uniform(0, RELAY_INTERVAL_S), self._pass_on, relay)
        while self._events and self._events[0][0] < seconds:
            now, _, action, args = heapq.heappop(self._events)
            action(now, *args)

    def _start(self, now: float, held_s: float) -> None:
        name = self.rng.choice(self.names)
        state = self.placements[name].choose_online(SERVICE, tried=(), now=now)
        self.requests += 1
        full = self.load[state.id] >= state.upstream.slots
        free = any(load < state.upstream.slots for load in self.load.values())
        self.met_full += full and free
        state.online += 1
        self.load[state.id] += 1
        self._tell(now, name, WAY_S)
        self._at(now + held_s * self.rng.uniform(0.5, 1.5), self._end, name, state)

    def _end(self, now: float, name: InstanceId, state) -> None:
        state.online -= 1
        self.load[state.id] -= 1
        self._tell(now, name, END_DELAY_S)

    def _tell(self, now: float, name: InstanceId, after_s: float) -> None:
        counts = tuple(self.placements[name].own_in_flight())
        work = WorkInFlight(counts, number=next(self._number), pass_on=True)
        if not self.relayed:
            self._send(now + after_s, name, self.names, name, counts)
            return
        for relay in self.relays:
            self.messages += relay != name
            self._at(now + after_s, self._collect, relay, name, work)

    def _collect(self, now, relay, name, work) -> None:
        self.relays[relay].observe(name, 1, work, now=now)

    def _pass_on(self, now: float, relay: InstanceId) -> None:
        relayed = self.relays[relay].take(now=now)
        self._at(now + RELAY_INTERVAL_S, self._pass_on, relay)
        if relayed is None:
            return
        self.messages += len(self.names) - 1
        for one in relayed.works:
            self._at(now + WAY_S, self._hear, self.names, one.instance, one.work.counts)

    def _send(self, when, sender, receivers, name, counts) -> None:
        self.messages += len(receivers) - 1
        self._at(when, self._hear, receivers, name, counts)

    def _hear(self, now, receivers, name, counts) -> None:
        for receiver in receivers:
            if receiver != name:
                self.placements[receiver].peers.observe(name, counts)
