"""Which upstream takes the next request, from what all instances have in flight."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Iterator

import msgspec

from coppercleat.ids import InstanceId, UpstreamId, ZoneId
from coppercleat.quarantine import End, Verdict
from coppercleat.serving._demand import Demand
from coppercleat.serving._flap_damping import STEADY_S, Steadiness
from coppercleat.serving._model import Route, Target, Upstream
from coppercleat.serving._peer_queues import PeerQueues
from coppercleat.serving._upstream_state import UpstreamState
from coppercleat.serving._work_counts import InFlight, WorkCounts

OTHER_ZONE_LOAD = 1.5
"""Price of another availability zone, in requests in flight: the way there is a
millisecond longer and its bytes cost money, a full upstream costs far more."""

LARGE_FLEET_ZONE_LOAD = 6.0
FAR_RESERVE = 2
"""The same in a fleet whose zones tell each other of their work as a whole, and slots
that batch leaves there: counts are up to 0.3 s old, and all who see the same free slot
would take it. A zone's own instances use it at once."""

TIE_LOAD = 0.5
"""Random load added when upstreams are compared, so that instances which see
the same counts do not all choose the same one."""

FULL_S = 0.1
"""An upstream that refused as full gets no online request for so long: a slot of a
full one frees in about this time, and asking again before costs a connection."""

RESTART_S = 0.1
"""Batch leaves as many slots free as online requests come in this time: an item that
is cut sooner has cost a connection and its prompt, and made next to nothing."""

SUSPECT_LOAD = 8.0
"""Load by which an upstream that seems to fail a part of its requests is taken to be
fuller than it is, in requests of eight slots: batch uses it last."""

_SLOT_FREE, _SLOT_CUT, _SUSPECT, _SLOT_QUEUED = range(4)
"""A slot is free; a batch item will be cut for it, which takes some 5 ms; there is
one, but the upstream seems to fail a part of its requests, or may run some that are not
known yet; or online requests hold all slots, and one must end."""


class AttemptResults(msgspec.Struct, frozen=True, array_like=True):
    """How attempts of one instance at one upstream ended since it last told.

    Attributes:
      well: Attempts that ended well.
      failed: Attempts that failed.
    """

    upstream: UpstreamId
    well: int
    failed: int


class NoUpstreamAvailable(msgspec.Struct, frozen=True):
    """Sentinel: no upstream can take the request.

    Attributes:
      reason: Why, in words.
      waits: Whether one could, but others that wait go before.
    """

    reason: str
    waits: bool = False


class Placement:
    """Counts requests in flight and chooses upstreams by them.

    Attributes:
      zone: This instance's availability zone.
      states: By upstream id.
      peers: Work in flight of instances that are told of one by one.
      zones: Work in flight of whole other availability zones, in a large fleet.
      peer_queues: What waits for a slot at other instances.
      demand: How fast online requests come.
      steadiness: Which upstreams end again and again.
    """

    def __init__(self, zone: ZoneId, *, rng: random.Random) -> None:
        self.zone = zone
        self.states: dict[UpstreamId, UpstreamState] = {}
        self.rng = rng
        self.peers: WorkCounts[InstanceId] = WorkCounts()
        self.zones: WorkCounts[ZoneId] = WorkCounts()
        self.peer_queues = PeerQueues()
        self.demand = Demand()
        self.steadiness = Steadiness()
        self._listed = False

    # What is known.

    def replace(
        self, upstreams: Iterable[Upstream], *, now: float | None = None
    ) -> list[UpstreamId]:
        """Takes the list of upstreams; returns the ids that are gone.

        Args:
          upstreams: All of them.
          now: Seconds on this instance's clock: what is listed anew starts now. None,
            and the first list, tell of no start.
        """
        started_at = now if self._listed else None
        self._listed = True
        listed = {upstream.id: upstream for upstream in upstreams}
        gone = [known for known in self.states if known not in listed]
        for upstream_id in gone:
            left = self.states.pop(upstream_id)
            left.gone = True
            self.steadiness.note_gone(left, now)
        for upstream in listed.values():
            state = self.states.get(upstream.id)
            if (
                state is None
                or state.upstream.is_same_incarnation(upstream.born_ms) is False
            ):
                if state is not None:
                    # What was in flight there ended with it; its failures were its own.
                    state.gone = state.restarted = True
                    self.steadiness.note_gone(state, now)
                self.states[upstream.id] = UpstreamState(upstream)
                if started_at is not None:
                    self.steadiness.begin(self.states[upstream.id], started_at)
            else:
                state.listed(upstream)
        return gone

    def record_crash(self, end: End, run_began: float) -> None:
        """Notes that an upstream has ended, as found here or told by others.

        Args:
          end: Its end.
          run_began: When a run began that met it.
        """
        state = self.states.get(end.upstream)
        if state is not None:
            self.steadiness.record_crash(state, end, run_began=run_began)

    def retract_crash(self, end: End) -> None:
        """Notes that an upstream that seemed to have ended lives on."""
        state = self.states.get(end.upstream)
        if state is not None:
            self.steadiness.retract_crash(state)

    def observe_results(self, results: Iterable[AttemptResults], *, now: float) -> None:
        """Takes how a peer's attempts ended."""
        for of_upstream in results:
            state = self.states.get(of_upstream.upstream)
            if state is not None:
                well, failed = of_upstream.well, of_upstream.failed
                state.results.observe_peer(well=well, failed=failed, now=now)

    def take_unreported_results(self) -> list[AttemptResults]:
        """Returns how own attempts ended since the last call, to be told to peers."""
        found = []
        for state in self.states.values():
            well, failed = state.results.take_unreported()
            if well or failed:
                found.append(AttemptResults(state.id, well, failed))
        return found

    def suspects(self, now: float) -> list[UpstreamId]:
        """Returns upstreams that seem to fail a part of their requests."""
        return [s.id for s in self.states.values() if s.results.suspect(now)]

    def own(self) -> list[InFlight]:
        """Returns what this instance has in flight, to be told to peers."""
        return [
            # Peers cannot have a held slot cut free, as little as an online request's.
            InFlight(state.id, state.online + state.held, state.batch)
            for state in self.states.values()
            if state.online or state.batch or state.held
        ]

    def own_zone_in_flight(self) -> list[InFlight]:
        """Returns what this instance and its peers have in flight together."""
        found = self.peers.summed()
        for own in self.own():
            peers = found.get(own.upstream, InFlight(own.upstream, 0, 0))
            found[own.upstream] = InFlight(
                own.upstream, own.online + peers.online, own.batch + peers.batch
            )
        return list(found.values())

    def load(self, state: UpstreamState) -> int:
        """Returns all that an upstream has to do."""
        return self.known_load(state) + state.untracked

    def known_load(self, state: UpstreamState) -> int:
        """Returns all that is in flight at an upstream, of all instances."""
        told = self.peers.load(state.id) + self.zones.load(state.id)
        return state.online + state.batch + told

    def free_slots(self, state: UpstreamState) -> int:
        """Returns slots that nobody is known to use; negative if overfull."""
        return state.upstream.slots - self.load(state)

    def online_slots(self, state: UpstreamState) -> int:
        """Returns slots that online requests do not hold; batch gives them up."""
        told = self.peers.online(state.id) + self.zones.online(state.id)
        return state.upstream.slots - state.online - told - state.untracked

    # Decisions.

    def choose_online(
        self, service: str, *, tried: Collection[UpstreamId], now: float
    ) -> UpstreamState | NoUpstreamAvailable:
        """Chooses for an online request: a free slot, else one that batch gives up.

        Args:
          service: The service that takes the request.
          tried: Upstreams not to be tried again.
          now: Seconds on this instance's clock.
        """
        serving = self._online_candidates(service, tried, now)
        if not serving:
            return NoUpstreamAvailable(f"no upstream serves {service}")
        return min(serving, key=lambda state: self._online_cost(state, now))

    def serves(self, service: str, *, avoid: Collection[UpstreamId]) -> bool:
        """Returns whether a service has any upstream that is not leaving."""
        return any(state.id not in avoid for state in self._usable(service))

    def upstreams_to_avoid(
        self, verdict: Verdict, service: str, *, now: float
    ) -> set[UpstreamId]:
        """Returns upstreams to which a request is not to be sent after ends under it.

        They have just started, or end again and again: if they end under it as well,
        nobody knows for what. If it need not be wary it goes there if nothing else is
        left.

        Args:
          verdict: On the request.
          service: The service that takes it.
          now: Seconds on this instance's clock.
        """
        if not verdict.ends:
            return set()
        usable = list(self._usable(service))
        unsteady = {state.id for state in usable if now < state.steady_from}
        others = (state for state in usable if state.id not in unsteady)
        if verdict.wary or any(state.health.may_try(now) for state in others):
            return unsteady
        return set()

    def steady_in_s(self, service: str, *, now: float) -> float:
        """Returns in how many seconds a service has a steady upstream, if none ends."""
        waits = (max(0.0, s.steady_from - now) for s in self._usable(service))
        return min(waits, default=STEADY_S)

    def open_slots(
        self, service: str, *, avoid: Collection[UpstreamId], now: float
    ) -> int:
        """Returns how many slots online requests could take now.

        Args:
          service: The service that takes the request.
          avoid: Upstreams not to be counted.
          now: Seconds on this instance's clock.
        """
        serving = self._online_candidates(service, avoid, now)
        return sum(self._open_slots(state, now) for state in serving)

    def choose_open_slot(
        self, service: str, number: int, *, avoid: Collection[UpstreamId], now: float
    ) -> UpstreamState:
        """Returns the upstream of the open slot with a number, from 0.

        Instances that see the same counts number the slots alike, so that requests of
        different instances take different ones.
        """
        slots = [
            (k, state.id, state)
            for state in self._online_candidates(service, avoid, now)
            for k in range(self._open_slots(state, now))
        ]
        slots.sort(key=lambda slot: slot[:2])
        return slots[number][2]

    def total_slots(self, service: str, *, now: float) -> int:
        """Returns the slots of all upstreams of a service that may be tried."""
        serving = self._online_candidates(service, (), now)
        return sum(state.upstream.slots for state in serving)

    def choose_batch(
        self,
        route: Route,
        *,
        reserve: int,
        avoid: Collection[UpstreamId],
        now: float,
        ahead: int = 0,
        ineligible: Collection[UpstreamId] = (),
        last_resort: Collection[UpstreamId] = (),
    ) -> UpstreamState | NoUpstreamAvailable:
        """Chooses for a batch item: an upstream with more free slots than a reserve.

        Args:
          route: The job's route.
          reserve: Slots at each upstream that are kept for online requests.
          avoid: Upstreams not to be used now.
          now: Seconds on this instance's clock.
          ahead: How many others wait for a slot before the item.
          ineligible: Upstreams whose slots are free for others, and not for this item.
          last_resort: Upstreams that it takes only if there is no other.
        """
        service = self.draw_service(route.targets)
        free = {
            state.id: self.free_slots(state) - reserve - self._far_reserve(state)
            for state in self._usable(service)
            if state.id not in avoid
            and state.health.may_try(now)
            and now >= state.full_until
        }
        free = {upstream: slots for upstream, slots in free.items() if slots > 0}
        if not free:
            return NoUpstreamAvailable(f"no slot is free at {service}")
        left = sum(free.values()) - self._online_headroom(service, now)
        if left <= 0:
            return NoUpstreamAvailable(
                f"online requests will take what is free at {service}"
            )
        if left <= ahead:
            return NoUpstreamAvailable(f"{ahead} wait before at {service}", waits=True)
        states = [
            self.states[upstream] for upstream in free if upstream not in ineligible
        ]
        if not states:
            return NoUpstreamAvailable(
                f"no steady upstream of {service} has a free slot"
            )
        states = [state for state in states if state.id not in last_resort] or states
        return min(states, key=lambda state: self._batch_cost(state, now))

    def _online_headroom(self, service: str, now: float) -> int:
        """Returns the free slots that online requests take before an item pays off.

        Calls that are shorter than that hold a slot for their own time only.
        """
        held_s = min(RESTART_S, self.demand.for_service(service).service_time_s)
        return int(self.demand.fleet_rate(service, now=now) * held_s)

    def should_preempt(self, state: UpstreamState, instance: InstanceId) -> bool:
        """Returns whether this instance is the one to cut an item at an upstream.

        It has the most items there of its availability zone, and its zone of all
        zones; so that one instance cuts, not all that see the same counts.
        """
        own = (state.batch, instance)
        peers = self.peers.batch_by_teller(state.id)
        if any((count, peer) > own for peer, count in peers.items()):
            return False
        own_zone = (state.batch + self.peers.batch(state.id), self.zone)
        zones = self.zones.batch_by_teller(state.id)
        return not any((count, zone) > own_zone for zone, count in zones.items())

    def _usable(self, service: str) -> Iterator[UpstreamState]:
        """Yields upstreams of a service that are not leaving."""
        for state in self.states.values():
            if state.upstream.service != service or state.gone:
                continue
            if not state.upstream.draining:
                yield state

    def _online_candidates(
        self, service: str, avoid: Collection[UpstreamId], now: float
    ) -> list[UpstreamState]:
        """Returns upstreams that may be tried; all of them if none may."""
        serving = [s for s in self._usable(service) if s.id not in avoid]
        return [s for s in serving if s.health.may_try(now)] or serving

    def _open_slots(self, state: UpstreamState, now: float) -> int:
        if now < state.full_until:
            return 0
        return max(0, self.online_slots(state))

    def draw_service(self, targets: tuple[Target, ...]) -> str:
        """Draws one of a route's services by weight."""
        if len(targets) == 1:
            return targets[0].service
        weights = [target.weight for target in targets]
        if not any(weights):
            return targets[0].service
        return self.rng.choices(targets, weights)[0].service

    def _online_cost(self, state: UpstreamState, now: float) -> tuple[int, float]:
        """Returns how soon a slot is there, then how full the upstream is."""
        rank = _SLOT_CUT if self._told_late(state) else _SLOT_FREE
        if self.free_slots(state) <= 0:
            rank = _SLOT_CUT if self._may_cut(state) else _SLOT_QUEUED
        if self._doubtful(state, now):
            rank = max(rank, _SUSPECT)
        return rank, self._load_cost(state)

    def _may_cut(self, state: UpstreamState) -> bool:
        """Returns whether an item of any instance can be cut for a free slot."""
        told = self.peers.batch(state.id) + self.zones.batch(state.id)
        return state.batch + told > 0 and self.online_slots(state) > 0

    def _batch_cost(self, state: UpstreamState, now: float) -> float:
        doubtful = self._doubtful(state, now)
        return self._load_cost(state) + (SUSPECT_LOAD if doubtful else 0.0)

    def _doubtful(self, state: UpstreamState, now: float) -> bool:
        """Returns whether a slot that seems free there may be worth less."""
        return state.results.suspect(now) or now < state.unverified_until

    def _load_cost(self, state: UpstreamState) -> float:
        cost = self.load(state) / max(1, state.upstream.slots) * 8
        cost += self.rng.random() * TIE_LOAD
        if self._told_late(state):
            cost += LARGE_FLEET_ZONE_LOAD
        elif state.upstream.zone != self.zone:
            cost += OTHER_ZONE_LOAD
        return cost

    def _told_late(self, state: UpstreamState) -> bool:
        """Returns whether the counts of an upstream's own zone come as a whole."""
        return state.upstream.zone != self.zone and bool(self.zones.reporters())

    def _far_reserve(self, state: UpstreamState) -> int:
        return FAR_RESERVE if self._told_late(state) else 0
