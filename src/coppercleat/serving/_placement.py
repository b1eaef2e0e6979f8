"""Chooses an upstream for each request from the work in flight of all instances."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Iterator

import msgspec

from coppercleat.ids import InstanceId, UpstreamId, ZoneId
from coppercleat.quarantine import Crash, CrashDetector, Verdict
from coppercleat.serving._account_load import AccountLoad
from coppercleat.serving._demand import Demand
from coppercleat.serving._fleet_order import PeerQueues
from coppercleat.serving._model import Route, Target, Upstream
from coppercleat.serving._steadiness import STEADY_S, FlapDamping
from coppercleat.serving._stream_origins import StreamOrigin
from coppercleat.serving._upstream_state import UpstreamState
from coppercleat.serving._work_counts import InFlight, WorkCounts

OTHER_ZONE_LOAD = 1.5
"""Cost of another availability zone, in requests in flight: its latency is a
millisecond higher and its traffic is paid for, but a full upstream costs more."""

LARGE_FLEET_ZONE_LOAD = 6.0
"""The same in a large fleet, whose zones exchange aggregated counts."""

REMOTE_ZONE_RESERVE = 2
"""Slots per upstream of another zone that batch leaves free in a large fleet: the
aggregated counts lag, and all instances that see a free slot would take it. Instances
of that zone use it at once."""

TIE_LOAD = 0.5
"""Largest random load that is added when upstreams are compared, so that instances
with the same counts choose different ones."""

LAGGING_TIE_LOAD = 3.0
"""The same where counts lag: instances choose among upstreams that may be as free."""

CONTENDED_FREE_SLOTS = 1
"""An upstream with so few free slots by counts that lag may be full."""

FULL_BACKOFF_S = 0.1
"""Seconds without online requests for an upstream that refused one as full: about the
time until one of its slots is released."""

HEADROOM_S = 0.1
"""Batch leaves as many slots free as online requests arrive in this time, in seconds;
an item that is preempted sooner has made next to no progress."""

SUSPECT_LOAD = 8.0
"""Load that is added to an upstream suspected of failing some requests, scaled to
eight slots: batch uses it last."""

_SLOT_FREE, _SLOT_PREEMPTIBLE, _SLOT_SUSPECT, _SLOT_QUEUED = range(4)
"""Cost ranks of an upstream for online requests: a slot is free; a batch item must be
preempted for it; the upstream may fail the request or run untracked requests; online
requests hold all slots."""


class AttemptResults(msgspec.Struct, frozen=True, array_like=True):
    """Results of one instance's attempts at one upstream since its last report.

    Attributes:
      upstream: The upstream.
      succeeded: Attempts that succeeded.
      failed: Attempts that failed.
    """

    upstream: UpstreamId
    succeeded: int
    failed: int


class NoUpstreamAvailable(msgspec.Struct, frozen=True):
    """Sentinel: no upstream can take the request.

    Attributes:
      reason: Cause in words.
      queued_ahead: Whether a slot is free, but work queued elsewhere is ahead.
    """

    reason: str
    queued_ahead: bool = False


class Placement:
    """Counts requests in flight and chooses upstreams by them.

    Attributes:
      zone: This instance's availability zone.
      states: Upstreams by id.
      rng: Source of randomness for tie-breaking and the choice of services.
      peers: Work in flight of instances that report one by one.
      zones: Aggregated work in flight of the other zones of a large fleet.
      peer_queues: Work that is queued at other instances.
      account_load: Slots that client accounts hold.
      demand: Arrival rates and service times of online requests.
      flap_damping: Flap damping of the upstreams.
      lagging: Whether relays pass on the counts of the own zone, some time later.
    """

    def __init__(self, zone: ZoneId, *, rng: random.Random) -> None:
        self.zone = zone
        self.states: dict[UpstreamId, UpstreamState] = {}
        self.rng = rng
        self.peers: WorkCounts[InstanceId] = WorkCounts()
        self.zones: WorkCounts[ZoneId] = WorkCounts()
        self.peer_queues = PeerQueues()
        self.account_load = AccountLoad()
        self.demand = Demand()
        self.flap_damping = FlapDamping()
        self.lagging = False
        self._has_list = False

    # State.

    def replace(
        self, upstreams: Iterable[Upstream], *, now: float | None = None
    ) -> list[UpstreamId]:
        """Replaces the list of upstreams; returns the ids that are no longer listed.

        Args:
          upstreams: All listed upstreams.
          now: Seconds on this instance's clock, taken as the start of new
            incarnations. With None, and for the first list, starts are unknown.
        """
        started_at = now if self._has_list else None
        self._has_list = True
        listed = {upstream.id: upstream for upstream in upstreams}
        gone = [known for known in self.states if known not in listed]
        for upstream_id in gone:
            departed = self.states.pop(upstream_id)
            departed.gone = True
            self.flap_damping.record_gone(departed, now)
        for upstream in listed.values():
            state = self.states.get(upstream.id)
            if state is None or state.upstream.is_replaced_by(upstream):
                if state is not None:
                    # A new incarnation: counts and failures of the old one are void.
                    state.gone = state.restarted = True
                    self.flap_damping.record_gone(state, now)
                self.states[upstream.id] = UpstreamState(upstream)
                if started_at is not None:
                    self.flap_damping.record_start(self.states[upstream.id], started_at)
            else:
                state.update_listing(upstream)
        return gone

    def record_crash(self, crash: Crash, attempt_began: float) -> None:
        """Records a crash, detected here or reported by a peer.

        Args:
          crash: The crash.
          attempt_began: Start of an attempt that it interrupted, in seconds of this
            instance's clock.
        """
        state = self.states.get(crash.upstream)
        if state is not None:
            self.flap_damping.record_crash(state, crash, attempt_began=attempt_began)

    def retract_crash(self, crash: Crash) -> None:
        """Retracts a crash that turned out to be a false positive."""
        state = self.states.get(crash.upstream)
        if state is not None:
            self.flap_damping.retract_crash(state)

    def follow_crashes(self, crash_detector: CrashDetector[UpstreamState]) -> None:
        """Exchanges knowledge of crashes with the detector of this instance."""
        crash_detector.on_crash = self.record_crash
        crash_detector.on_crash_retracted = self.retract_crash
        self.flap_damping.on_flap = crash_detector.history.record_flap

    def observe_results(self, results: Iterable[AttemptResults], *, now: float) -> None:
        """Adds the results of a peer's attempts."""
        for result in results:
            state = self.states.get(result.upstream)
            if state is not None:
                succeeded, failed = result.succeeded, result.failed
                state.results.observe_peer(succeeded=succeeded, failed=failed, now=now)

    def take_unreported_results(self) -> list[AttemptResults]:
        """Returns results of own attempts since the last call, to report to peers."""
        found = []
        for state in self.states.values():
            succeeded, failed = state.results.take_unreported()
            if succeeded or failed:
                found.append(AttemptResults(state.id, succeeded, failed))
        return found

    def suspects(self, now: float) -> list[UpstreamId]:
        """Returns upstreams suspected of failing some of their requests."""
        return [s.id for s in self.states.values() if s.results.suspect(now)]

    def own_in_flight(self) -> list[InFlight]:
        """Returns this instance's work in flight, to report to peers."""
        return [
            # Peers cannot preempt abandoned attempts, so they count as online.
            InFlight(
                state.id,
                state.online + state.abandoned_in_flight,
                state.batch,
                state.crash_suspects,
            )
            for state in self.states.values()
            if state.online or state.batch or state.abandoned_in_flight
        ]

    def own_zone_in_flight(self) -> list[InFlight]:
        """Returns the work in flight of this instance and the peers of its zone."""
        found = self.peers.summed()
        for own in self.own_in_flight():
            peers = found.get(own.upstream, InFlight(own.upstream, 0, 0))
            found[own.upstream] = InFlight(
                own.upstream,
                own.online + peers.online,
                own.batch + peers.batch,
                own.crash_suspects + peers.crash_suspects,
            )
        return list(found.values())

    def load(self, state: UpstreamState) -> int:
        """Returns all requests at an upstream, untracked ones included."""
        return self.known_load(state) + state.untracked

    def known_load(self, state: UpstreamState) -> int:
        """Returns the requests that any instance has in flight at an upstream."""
        reported = self.peers.load(state.id) + self.zones.load(state.id)
        return state.online + state.batch + reported

    def free_slots(self, state: UpstreamState) -> int:
        """Returns the unused slots of an upstream; negative if requests queue there."""
        return state.upstream.slots - self.load(state)

    def online_load(self, state: UpstreamState) -> int:
        """Returns the online requests that any instance has in flight there."""
        reported = self.peers.online(state.id) + self.zones.online(state.id)
        return state.online + reported

    def online_slots(self, state: UpstreamState) -> int:
        """Returns the slots that online requests do not hold; batch yields its own."""
        return state.upstream.slots - self.online_load(state) - state.untracked

    def outdated_online(self, state: UpstreamState) -> int:
        """Returns the online requests there that are known by outdated counts only."""
        peers, zones = self.peers, self.zones
        return peers.outdated_online(state.id) + zones.outdated_online(state.id)

    # Decisions.

    def choose_online(
        self, service: str, *, tried: Collection[UpstreamId], now: float
    ) -> UpstreamState | NoUpstreamAvailable:
        """Chooses for an online request: a free slot, else one that batch yields.

        Args:
          service: Service of the request.
          tried: Upstreams to exclude.
          now: Seconds on this instance's clock.
        """
        serving = self._online_candidates(service, tried, now)
        if not serving:
            return NoUpstreamAvailable(f"no upstream serves {service}")
        return min(serving, key=lambda state: self._online_cost(state, now))

    def serves(self, service: str, *, avoid: Collection[UpstreamId]) -> bool:
        """Returns whether a service has an upstream that is not draining."""
        return any(state.id not in avoid for state in self._usable(service))

    def upstreams_to_avoid(
        self, verdict: Verdict, service: str, *, now: float
    ) -> set[UpstreamId]:
        """Returns unsteady upstreams to avoid for a request under which some crashed.

        If an upstream that has just started or is flapping crashed under the request
        too, the cause would be unclear. Unless the verdict requires steady upstreams,
        they are used if no other can be tried.

        Args:
          verdict: Verdict on the request.
          service: Service of the request.
          now: Seconds on this instance's clock.
        """
        if not verdict.crashes:
            return set()
        usable = list(self._usable(service))
        steady_since = now - verdict.stagger_s
        unsteady = {state.id for state in usable if steady_since < state.steady_from}
        others = (state for state in usable if state.id not in unsteady)
        if verdict.steady_only or any(
            state.breaker.allows_request(now) for state in others
        ):
            return unsteady
        return set()

    def upstreams_of_other_versions(self, origin: StreamOrigin) -> set[UpstreamId]:
        """Returns the upstreams that must not go on with a stream, by their version."""
        return {
            state.id
            for state in self._usable(origin.service)
            if not origin.is_known or state.upstream.version != origin.version
        }

    def upstreams_with_crash_suspects(self) -> set[UpstreamId]:
        """Returns the upstreams at which any instance runs crash suspects."""
        return {
            state.id
            for state in self.states.values()
            if state.crash_suspects
            or self.peers.crash_suspects(state.id)
            or self.zones.crash_suspects(state.id)
        }

    def busy_upstreams(self) -> set[UpstreamId]:
        """Returns the upstreams at which any instance has work in flight."""
        return {state.id for state in self.states.values() if self.load(state)}

    def steady_in_s(self, service: str, *, now: float) -> float:
        """Returns seconds until a service has a steady upstream, if none crashes."""
        delays = (max(0.0, s.steady_from - now) for s in self._usable(service))
        return min(delays, default=STEADY_S)

    def open_slots(
        self, service: str, *, avoid: Collection[UpstreamId], now: float
    ) -> int:
        """Returns how many slots online requests could take now.

        Args:
          service: Service of the requests.
          avoid: Upstreams to exclude.
          now: Seconds on this instance's clock.
        """
        serving = self._online_candidates(service, avoid, now)
        return sum(self._open_slots(state, now) for state in serving)

    def choose_open_slot(
        self, service: str, number: int, *, avoid: Collection[UpstreamId], now: float
    ) -> UpstreamState:
        """Returns the upstream of an open slot, given the slot's number from 0.

        Instances with the same counts number the slots alike, so that requests of
        different instances take different slots.
        """
        slots = [
            (k, state.id, state)
            for state in self._online_candidates(service, avoid, now)
            for k in range(self._open_slots(state, now))
        ]
        slots.sort(key=lambda slot: slot[:2])
        return slots[number][2]

    def total_slots(
        self, service: str, *, avoid: Collection[UpstreamId] = (), now: float
    ) -> int:
        """Returns the slots of all upstreams of a service that may be tried."""
        serving = self._online_candidates(service, avoid, now)
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
        avoid_if_possible: Iterable[Collection[UpstreamId]] = (),
    ) -> UpstreamState | NoUpstreamAvailable:
        """Chooses for a batch item: an upstream with more free slots than a reserve.

        Args:
          route: The job's route.
          reserve: Slots per upstream that are kept for online requests.
          avoid: Upstreams to exclude; their free slots do not count.
          now: Seconds on this instance's clock.
          ahead: Requests and items queued ahead of the item.
          ineligible: Upstreams that the item must not use, although their free slots
            count for those ahead of it.
          avoid_if_possible: Sets of upstreams to use only if there is no other, the
            worst first.
        """
        service = self.draw_service(route.targets)
        free = {
            state.id: self.free_slots(state) - reserve - self._remote_reserve(state)
            for state in self._usable(service)
            if state.id not in avoid
            and state.breaker.allows_request(now)
            and now >= state.full_until
        }
        free = {upstream: slots for upstream, slots in free.items() if slots > 0}
        if not free:
            return NoUpstreamAvailable(f"no slot is free at {service}")
        left = sum(free.values()) - self._online_headroom(service, now)
        if left <= 0:
            return NoUpstreamAvailable(
                f"free slots of {service} are reserved for online requests"
            )
        if left <= ahead:
            return NoUpstreamAvailable(
                f"{ahead} are queued ahead at {service}", queued_ahead=True
            )
        states = [
            self.states[upstream] for upstream in free if upstream not in ineligible
        ]
        if not states:
            return NoUpstreamAvailable(
                f"no steady upstream of {service} has a free slot"
            )
        for avoided in avoid_if_possible:
            states = [state for state in states if state.id not in avoided] or states
        return min(states, key=lambda state: self._batch_cost(state, now))

    def _online_headroom(self, service: str, now: float) -> int:
        """Returns the free slots that batch leaves to arriving online requests.

        Requests shorter than ``HEADROOM_S`` hold a slot for their service time only.
        Where no answer has shown that time here, the slots that they hold in the whole
        fleet do: by Little's law, these are the arrival rate times that time.
        """
        held_s = min(HEADROOM_S, self.demand.for_service(service).service_time_s)
        arriving = self.demand.fleet_rate(service, now=now) * held_s
        in_use = sum(self.online_load(state) for state in self._usable(service))
        return int(min(arriving, in_use))

    def should_preempt(self, state: UpstreamState, instance: InstanceId) -> bool:
        """Returns whether this instance is the one to preempt an item at an upstream.

        That is the instance with the most items there in the zone with the most, so
        that only one of those with the same counts preempts.
        """
        own = (state.batch, instance)
        peers = self.peers.batch_by_reporter(state.id)
        if any((count, peer) > own for peer, count in peers.items()):
            return False
        own_zone = (state.batch + self.peers.batch(state.id), self.zone)
        zones = self.zones.batch_by_reporter(state.id)
        return not any((count, zone) > own_zone for zone, count in zones.items())

    def contended_batch_peers(self) -> set[InstanceId]:
        """Returns the peers with items where this instance's requests may need slots.

        One of them may have to preempt an item, whatever others know by then.
        """
        found: set[InstanceId] = set()
        for state in self.states.values():
            if state.online and self.free_slots(state) <= CONTENDED_FREE_SLOTS:
                found.update(self.peers.batch_by_reporter(state.id))
        return found

    def _usable(self, service: str) -> Iterator[UpstreamState]:
        """Yields the listed upstreams of a service that are not draining."""
        for state in self.states.values():
            if state.upstream.service != service or state.gone:
                continue
            if not state.upstream.draining:
                yield state

    def _online_candidates(
        self, service: str, avoid: Collection[UpstreamId], now: float
    ) -> list[UpstreamState]:
        """Returns upstreams that are not ejected, or all of them if all are."""
        serving = [s for s in self._usable(service) if s.id not in avoid]
        return [s for s in serving if s.breaker.allows_request(now)] or serving

    def _open_slots(self, state: UpstreamState, now: float) -> int:
        if now < state.full_until:
            return 0
        return max(0, self.online_slots(state))

    def draw_service(self, targets: tuple[Target, ...]) -> str:
        """Picks one of a route's services at random, by weight."""
        if len(targets) == 1:
            return targets[0].service
        weights = [target.weight for target in targets]
        if not any(weights):
            return targets[0].service
        return self.rng.choices(targets, weights)[0].service

    def _online_cost(self, state: UpstreamState, now: float) -> tuple[int, float]:
        """Returns the cost rank of an upstream's next slot, then its load."""
        rank = _SLOT_PREEMPTIBLE if self._has_aggregated_counts(state) else _SLOT_FREE
        if self.free_slots(state) <= 0:
            rank = _SLOT_PREEMPTIBLE if self._may_preempt(state) else _SLOT_QUEUED
        if self._is_suspect(state, now):
            rank = max(rank, _SLOT_SUSPECT)
        return rank, self._load_cost(state)

    def _may_preempt(self, state: UpstreamState) -> bool:
        """Returns whether an item of any instance can be preempted for a slot."""
        reported = self.peers.batch(state.id) + self.zones.batch(state.id)
        return state.batch + reported > 0 and self.online_slots(state) > 0

    def _batch_cost(self, state: UpstreamState, now: float) -> float:
        suspect = self._is_suspect(state, now)
        return self._load_cost(state) + (SUSPECT_LOAD if suspect else 0.0)

    def _is_suspect(self, state: UpstreamState, now: float) -> bool:
        """Returns whether the upstream may fail requests or run untracked ones."""
        return state.results.suspect(now) or now < state.unverified_until

    def _load_cost(self, state: UpstreamState) -> float:
        """Returns the load scaled to eight slots, with tie-breaking and zone cost."""
        cost = self.load(state) / max(1, state.upstream.slots) * 8
        tie_load = LAGGING_TIE_LOAD if self.lagging else TIE_LOAD
        cost += self.rng.random() * tie_load
        if self._has_aggregated_counts(state):
            cost += LARGE_FLEET_ZONE_LOAD
        elif state.upstream.zone != self.zone:
            cost += OTHER_ZONE_LOAD
        return cost

    def _has_aggregated_counts(self, state: UpstreamState) -> bool:
        """Returns whether the upstream's zone reports its work in flight as a whole."""
        return state.upstream.zone != self.zone and bool(self.zones.reporters())

    def _remote_reserve(self, state: UpstreamState) -> int:
        return REMOTE_ZONE_RESERVE if self._has_aggregated_counts(state) else 0
