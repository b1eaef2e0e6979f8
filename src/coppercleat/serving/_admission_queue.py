"""Where online requests wait for a slot, and which of them are refused at once.

Answers the load in which online requests alone need more slots than there are, as in
a wave of requests after half of the upstreams were lost. An upstream's own queue is
first come, first served: there everybody waits the same while, and in a wave nearly
all are late though the slots could have served most of them on time. Here those that
can be on time go first, the late ones fill the gaps, and who cannot be served before
the client gives up is told so at once.
"""

from __future__ import annotations

import collections
import random
from collections.abc import Callable, Collection

import attrs

from coppercleat.ids import UpstreamId
from coppercleat.quarantine import FREE, Verdict
from coppercleat.serving._fleet_order import Patience, Place, Rank, Waiting
from coppercleat.serving._placement import Nowhere, Placement
from coppercleat.serving._upstream_state import UpstreamState

MAX_WAITING = 512
"""Requests that wait at one instance at most. It bounds memory; beyond it the wait
would be longer than clients allow at any rate of slots seen."""

MAX_TOLD = 32
"""Waiting requests that others are told of one by one; the rest are told as one."""

QUEUED_UPSTREAM = 1
"""Late requests that may wait at an upstream itself while none here can be on time: a
slot that the counts show as taken, of an instance that has just died, is used so."""

RETRY_AFTER_S = 0.1
"""Shortest time after which to come back: a slot of a full fleet frees in about this
time."""

LONGEST_RETRY_S = 5.0
"""Longest time after which to come back: a wave of requests is over by then."""


@attrs.frozen
class TooLate:
    """Sentinel: no slot frees before the client gives up.

    Attributes:
      reason: Why, in words.
      retry_after_s: When to come back.
    """

    reason: str
    retry_after_s: float


@attrs.define(eq=False, kw_only=True)
class Waiter:
    """A request that waits for a slot.

    Attributes:
      service: Whose upstreams can serve it.
      priority: Rank of its route, 0 is the most urgent.
      on_time_by: When it must be sent at the latest to be on time.
      serve_by: When it must be sent at the latest to be answered at all.
      begun: Whether a part of its answer has been sent: it is not refused any more.
      avoid: Upstreams that it must not be sent to.
      verdict: Tells which others it should not be sent to, as things are.
      outcome: The upstream whose slot it got, or why there is none; None while it
        waits.
    """

    service: str
    priority: int
    on_time_by: float
    serve_by: float
    begun: bool = False
    avoid: Collection[UpstreamId] = ()
    verdict: Verdict = FREE
    outcome: UpstreamState | Nowhere | TooLate | None = None

    def place(self, now: float) -> Place:
        """Returns its place in the order of the fleet."""
        if now <= self.on_time_by:
            return Place(Rank.ONLINE, self.on_time_by)
        return Place(Rank.ONLINE_LATE, self.serve_by)

    def turn(self, now: float) -> tuple[int, int, float]:
        """Returns its place among those that wait at the same instance."""
        place = self.place(now)
        return place.rank, self.priority, place.due_at


class AdmissionQueue:
    """Decides who goes next; the clock and randomness are passed in.

    Attributes:
      placement: Knows the upstreams and what is in flight there.
      order: What waits at other instances.
      demand: How fast requests come and how long they hold a slot.
      closes_at: When this instance cuts what is still in flight; never, until it stops.
    """

    def __init__(
        self,
        placement: Placement,
        *,
        rng: random.Random,
    ) -> None:
        self.placement = placement
        self.order = placement.order
        self.demand = placement.demand
        self._rng = rng
        self.closes_at = float("inf")
        self._patience = Patience(rng)
        self._returns: dict[str, float] = {}
        self._waiting: list[Waiter] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def enter(self, waiter: Waiter, *, now: float) -> None:
        """Takes a request in, unless it cannot be served in time."""
        waiter.outcome = self._too_late(waiter, now)
        if waiter.outcome is None:
            self._waiting.append(waiter)

    def leave(self, waiter: Waiter) -> None:
        """Drops a request whose client has gone."""
        if waiter in self._waiting:
            self._waiting.remove(waiter)

    def settle(self, *, now: float, on_settled: Callable[[Waiter], None]) -> None:
        """Gives slots to those whose turn it is, and up those that cannot be served.

        Args:
          now: Seconds on this instance's clock.
          on_settled: Told of each request that has an outcome now; counts the slot.
        """
        still_waiting: list[Waiter] = []
        before: collections.Counter[str] = collections.Counter()
        elsewhere = {
            service: self.order.line(service, now=now)
            for service in {waiter.service for waiter in self._waiting}
        }
        open_slots: dict[tuple[str, frozenset[UpstreamId]], int] = {}
        left_open = False
        for waiter in sorted(self._waiting, key=lambda waiter: waiter.turn(now)):
            service, asked = waiter.service, self._asked(waiter, now)
            if asked not in open_slots:
                open_slots[asked] = self._open(waiter, now)
            ahead = elsewhere[service].ahead(waiter.place(now))
            waiter.outcome = self._outcome(
                waiter, open_slots[asked], before[service], ahead, now
            )
            if waiter.outcome is not None:
                on_settled(waiter)
                open_slots.clear()
                continue
            left_open = left_open or open_slots[asked] > before[service]
            before[service] += 1
            still_waiting.append(waiter)
        self._waiting = still_waiting
        if not left_open:
            self._patience.reset()

    def told(self, *, now: float) -> tuple[Waiting, ...]:
        """Returns what waits here, to be told to others."""
        waiting = sorted(self._waiting, key=lambda waiter: waiter.place(now))
        found = [_to_tell(waiter, 1, now) for waiter in waiting[:MAX_TOLD]]
        rest: dict[str, list[Waiter]] = {}
        for waiter in waiting[MAX_TOLD:]:
            rest.setdefault(waiter.service, []).append(waiter)
        found += [_to_tell(those[0], len(those), now) for those in rest.values()]
        return tuple(found)

    # Whose turn it is.

    def _outcome(
        self, waiter: Waiter, slots: int, before: int, elsewhere: int, now: float
    ) -> UpstreamState | Nowhere | TooLate | None:
        """Returns what a request gets now.

        Args:
          waiter: The request.
          slots: Slots that are open to it.
          before: How many go before it here.
          elsewhere: How many go before it at other instances.
          now: Seconds on this instance's clock.
        """
        ahead = before + elsewhere
        if ahead < slots:
            return self._slot(waiter, ahead, now)
        if before < slots and self._patience.overdue(now):
            self._patience.reset()
            return self._slot(waiter, self._rng.randrange(slots), now)
        if not self.placement.serves(waiter.service, avoid=self._avoid(waiter, now)):
            return Nowhere(f"no upstream serves {waiter.service}")
        if now > self._serve_by(waiter):
            return TooLate("no slot came free in time", RETRY_AFTER_S)
        if ahead == 0 and now > waiter.on_time_by:
            return self._queue_upstream(waiter, now)
        return None

    def _queue_upstream(self, waiter: Waiter, now: float) -> UpstreamState | None:
        """Returns an upstream at which a late request may wait, if there is one."""
        chosen = self.placement.choose_online(
            waiter.service, tried=self._avoid(waiter, now), now=now
        )
        if isinstance(chosen, Nowhere) or not self._may_queue(chosen, now):
            return None
        return chosen

    def _may_queue(self, state: UpstreamState, now: float) -> bool:
        """Returns whether a late request may wait at an upstream itself."""
        queued = -self.placement.online_slots(state)
        return queued < QUEUED_UPSTREAM and now >= state.full_until

    def _slot(self, waiter: Waiter, number: int, now: float) -> UpstreamState:
        if number == 0:
            chosen = self.placement.choose_online(
                waiter.service, tried=self._avoid(waiter, now), now=now
            )
            if isinstance(chosen, UpstreamState) and now >= chosen.full_until:
                return chosen
        return self.placement.choose_open_slot(
            waiter.service, number, avoid=self._avoid(waiter, now), now=now
        )

    def _asked(self, waiter: Waiter, now: float) -> tuple[str, frozenset[UpstreamId]]:
        """Returns what decides which slots are open to a request."""
        return waiter.service, frozenset(self._avoid(waiter, now))

    def _avoid(self, waiter: Waiter, now: float) -> Collection[UpstreamId]:
        """Returns where a request must not be sent now.

        What was unsteady may be so no more, and what was steady may be gone.
        """
        if not waiter.verdict.crashes:
            return waiter.avoid
        unsteady = self.placement.to_avoid(waiter.verdict, waiter.service, now=now)
        return unsteady | set(waiter.avoid)

    def _open(self, waiter: Waiter, now: float) -> int:
        return self.placement.open_slots(
            waiter.service, avoid=self._avoid(waiter, now), now=now
        )

    # Who is refused.

    def _too_late(self, waiter: Waiter, now: float) -> TooLate | None:
        """Judges a new request by the rate at which slots come free."""
        if len(self._waiting) >= MAX_WAITING:
            return TooLate("too many requests wait here", LONGEST_RETRY_S)
        total = self.placement.total_slots(waiter.service, now=now)
        missing = (
            1
            + self._ahead(waiter.place(now), waiter.service, now)
            - self._open(waiter, now)
        )
        if missing <= 0 or not total or waiter.begun:
            return None
        rate = total / self.demand.of(waiter.service).service_s
        if now + missing / rate <= waiter.on_time_by:
            return None
        # It will be late, and those on time go before it.
        late = Place(Rank.ONLINE_LATE, waiter.serve_by)
        last = 1 + self._ahead(late, waiter.service, now)
        spare = rate - self.demand.fleet_rate(waiter.service, now=now)
        if spare > 0 and now + last / spare <= self._serve_by(waiter):
            return None
        wait_s = self._return_in_s(waiter.service, rate, missing / rate, now)
        reason = (
            f"no slot comes free in time: {last} wait, {rate:.0f} a second come free"
        )
        return TooLate(reason, wait_s)

    def _serve_by(self, waiter: Waiter) -> float:
        """Returns when a request must be sent at the latest, also for a stop."""
        service_s = self.demand.of(waiter.service).service_s
        return min(waiter.serve_by, self.closes_at - service_s)

    def _ahead(self, place: Place, service: str, now: float) -> int:
        own = sum(
            other.service == service and other.place(now) < place
            for other in self._waiting
        )
        return own + self.order.ahead(place, service=service, now=now)

    def _return_in_s(
        self, service: str, rate: float, wait_s: float, now: float
    ) -> float:
        """Returns when to come back, so that returns come as fast as slots free.

        Each refused request gets the next of the moments at which slots come free for
        this instance's share of all requests, after those that wait now.
        """
        own = self.demand.of(service).rate(now=now)
        share = own / max(own, self.demand.fleet_rate(service, now=now), 1e-9)
        gap_s = 1 / max(rate * share, 1e-9)
        last = self._returns.get(service, now)
        at = max(last, now + wait_s) + gap_s * self._rng.uniform(0.5, 1.5)
        self._returns[service] = min(at, now + LONGEST_RETRY_S)
        return max(RETRY_AFTER_S, self._returns[service] - now)


def _to_tell(waiter: Waiter, count: int, now: float) -> Waiting:
    """Returns what others are told of one that waits, and of those like it."""
    place = waiter.place(now)
    return Waiting(place.rank, place.due_at - now, waiter.service, count)
