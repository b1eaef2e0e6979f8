"""Load shedding: refuses online requests that would not get a slot in time.

Load: a wave that demands more than the slots that are released, and that ends before
the deadlines of its requests. A request that cannot be answered before its deadline is
refused at once, and its client is told when spare slots are expected.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import attrs

from coppercleat.serving._fleet_order import QueuePosition
from coppercleat.serving._placement import Placement
from coppercleat.serving._queued_request import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    Overloaded,
    QueuedRequest,
)
from coppercleat.serving._request_slots import RequestSlots
from coppercleat.serving._retry_times import OverloadHistory, Reservations
from coppercleat.serving._stream_origins import StreamOrigin

MAX_QUEUE_LENGTH = 512
"""Requests that may be queued at one instance; bounds memory. Beyond it the wait would
be longer than clients allow."""

EVALUATION_INTERVAL_S = 0.05
"""Seconds between two evaluations of the queued requests; a shorter interval would
evaluate the same reports of other instances twice."""

HONOURED_SHARE = 1 / 3
"""Part of the time that they have left up to which clients honour a Retry-After."""

_ENTRY = "entry"
_QUEUE = "queue"
"""Where a request is shed, as the metrics name it."""


@attrs.frozen
class SlotFlow:
    """Slots that a request may use and the arrivals that compete for them.

    Attributes:
      released: Slots released per second while all are in use.
      arriving: Arrivals per second.
      share: Share of its service's slots that the request can use.
    """

    released: float
    arriving: float
    share: float


@attrs.frozen
class SlotOutlook:
    """When requests that cannot be on time get slots.

    Attributes:
      flow: Slots and arrivals.
      starts_in_s: Seconds until arrivals leave slots, at the earliest.
      spare: Slots per second that arrivals leave then.
    """

    flow: SlotFlow
    starts_in_s: float
    spare: float


class LoadShedder:
    """Decides which requests are refused, and when their clients should retry.

    Attributes:
      shutdown_at: When this instance aborts what is in flight, in seconds of its
        clock; infinity until it shuts down.
      timely: Whether queued requests are evaluated again, and refused clients are told
        when spare slots are expected.
      on_shed: Called for each refusal with where it happened, ``entry`` or ``queue``.
      on_retry_after: Called with the seconds after which a client should retry.
    """

    def __init__(
        self,
        placement: Placement,
        slots: RequestSlots,
        *,
        rng: random.Random,
        timely: bool = False,
    ) -> None:
        self.shutdown_at = float("inf")
        self.timely = timely
        self.on_shed: Callable[[str], None] = lambda at: None
        self.on_retry_after: Callable[[float], None] = lambda seconds: None
        self._demand = placement.demand
        self._peer_queues = placement.peer_queues
        self._slots = slots
        self._rng = rng
        self._next_retry_at: dict[str, float] = {}
        self._release_rates: dict[str, float] = {}
        self._overloads: dict[str, OverloadHistory] = {}
        self._reservations: dict[str, Reservations] = {}
        self._evaluated_at = float("-inf")
        self._outlooks: dict[tuple[str, StreamOrigin | None], SlotOutlook | None] = {}
        self._unserveable: set[QueuedRequest] = set()
        self._unserveable_before: set[QueuedRequest] = set()

    def refusal(
        self, request: QueuedRequest, queue: Sequence[QueuedRequest], *, now: float
    ) -> Overloaded | None:
        """Returns a refusal if a new request would not get a slot in time.

        The wait is estimated from the rate at which the service releases slots.

        Args:
          request: The request.
          queue: Requests that are queued at this instance.
          now: Seconds on this instance's clock.
        """
        if len(queue) >= MAX_QUEUE_LENGTH:
            reason = "too many requests wait here"
            return self._shed(Overloaded(reason, MAX_RETRY_AFTER_S), _ENTRY)
        total = self._slots.total_slots(request, now)
        share = self._slots.share_of_service(request, total, now)
        if self.timely and total:
            self._observe_rates(request.service, total / share, now)
        missing = (
            1
            + share * self._ahead(request.position(now), request.service, queue, now)
            - self._slots.open_slots(request, now)
        )
        if missing <= 0 or not total or request.begun:
            return None
        flow = SlotFlow(
            released=total / self._demand.for_service(request.service).service_time_s,
            arriving=share * self._demand.fleet_rate(request.service, now=now),
            share=share,
        )
        if now + missing / flow.released <= self._on_time_by(request):
            return None
        # It will be late, so requests that can be on time are dispatched before it.
        late = request.late_position()
        last = 1 + round(share * self._ahead(late, request.service, queue, now))
        spare = flow.released - flow.arriving
        if request.is_within_share:
            # Accounts within their shares demand no more than what is released.
            spare = flow.released
        if spare > 0 and now + last / spare <= self.dispatch_deadline(request):
            return None
        on_time_s = missing / flow.released
        refusal = self._refused(request, flow, last=last, on_time_s=on_time_s, now=now)
        return self._shed(refusal, _ENTRY)

    def begin_evaluation(self, *, now: float) -> bool:
        """Returns whether the queue is to be evaluated now.

        That is so every ``EVALUATION_INTERVAL_S``; ``queued_refusal`` is then called
        with each request that stays queued.
        """
        if not self.timely or 0 <= now - self._evaluated_at < EVALUATION_INTERVAL_S:
            return False
        self._evaluated_at = now
        self._outlooks.clear()
        self._unserveable_before = self._unserveable
        self._unserveable = set()
        self.sample_rates(now=now)
        return True

    def queued_refusal(
        self, request: QueuedRequest, *, slots: int, ahead: int, now: float
    ) -> Overloaded | None:
        """Returns a refusal if a queued request would not get a slot in time.

        A request is refused by the second evaluation in a row that finds so.

        Args:
          request: A queued request that gets no slot now.
          slots: Free slots that it could take.
          ahead: Requests of the whole fleet that are queued ahead of it.
          now: Seconds on this instance's clock.
        """
        if request.begun:
            return None
        outlook = self._outlook(request, now)
        if outlook is None:
            return None
        flow, deadline = outlook.flow, self.dispatch_deadline(request)
        missing = max(1.0, 1 + flow.share * ahead - slots)
        # Where slots are shared, only what is less far beyond its account's share goes
        # ahead of it later.
        shares = request.standing is not None
        due = deadline if shares else self._on_time_by(request)
        if now + missing / flow.released <= due:
            return None
        # Those ahead stay ahead of it once it is late, so this is the shortest wait.
        if outlook.spare > 0 and (
            now + outlook.starts_in_s + missing / outlook.spare <= deadline
        ):
            return None
        self._unserveable.add(request)
        if request not in self._unserveable_before:
            return None
        refusal = self._refused(request, flow, last=missing, on_time_s=0.0, now=now)
        return self._shed(refusal, _QUEUE)

    def expired(self, request: QueuedRequest, *, now: float) -> Overloaded | None:
        """Returns a refusal if the latest dispatch of a queued request has passed."""
        if now <= self.dispatch_deadline(request):
            return None
        if self.timely and request.begun:
            return None
        flow = self._slot_flow(request, now) if self.timely else None
        wait_s = MIN_RETRY_AFTER_S
        if flow is not None:
            wait_s = self._spare_in_s(request, flow, 0.0, now)
        return self._shed(Overloaded("no slot came free in time", wait_s), _QUEUE)

    def sample_rates(self, *, now: float) -> None:
        """Samples arrival rates, so that overloads are noticed without new requests."""
        if not self.timely:
            return
        for service, release_rate in self._release_rates.items():
            self._overload(service).observe(
                self._demand.fleet_rate(service, now=now), release_rate, now=now
            )

    def dispatch_deadline(self, request: QueuedRequest) -> float:
        """Returns the latest time of dispatch, also in view of a shutdown."""
        service_time_s = self._demand.for_service(request.service).service_time_s
        return min(request.serve_by, self.shutdown_at - service_time_s)

    # Estimates.

    def _on_time_by(self, request: QueuedRequest) -> float:
        """Returns the latest time of dispatch at which it is on time and answered."""
        if not self.timely:
            return request.on_time_by
        return min(request.on_time_by, self.dispatch_deadline(request))

    def _ahead(
        self,
        position: QueuePosition,
        service: str,
        queue: Sequence[QueuedRequest],
        now: float,
    ) -> int:
        """Returns how many requests of the whole fleet are queued ahead."""
        ahead_here = sum(
            other.service == service and other.position(now) < position
            for other in queue
        )
        return ahead_here + self._peer_queues.ahead(position, service=service, now=now)

    def _outlook(self, request: QueuedRequest, now: float) -> SlotOutlook | None:
        """Returns when late requests get slots, computed once an evaluation."""
        key = request.service, request.origin
        if key not in self._outlooks:
            self._outlooks[key] = self._new_outlook(request, now)
        return self._outlooks[key]

    def _new_outlook(self, request: QueuedRequest, now: float) -> SlotOutlook | None:
        flow = self._slot_flow(request, now)
        if flow is None:
            return None
        overload = self._overload(request.service)
        return SlotOutlook(
            flow=flow,
            starts_in_s=overload.ends_in_s_at_least(now=now),
            spare=flow.released - flow.share * overload.calm_rate,
        )

    def _slot_flow(self, request: QueuedRequest, now: float) -> SlotFlow | None:
        """Returns the slots that a request may use, None if there are none."""
        total = self._slots.total_slots(request, now)
        if not total:
            return None
        service = request.service
        share = self._slots.share_of_service(request, total, now)
        return SlotFlow(
            released=total / self._demand.for_service(service).service_time_s,
            arriving=share * self._demand.fleet_rate(service, now=now),
            share=share,
        )

    def _observe_rates(self, service: str, total: float, now: float) -> None:
        demand = self._demand.for_service(service)
        self._release_rates[service] = total / demand.service_time_s
        self._overload(service).observe(
            self._demand.fleet_rate(service, now=now),
            self._release_rates[service],
            now=now,
        )

    def _overload(self, service: str) -> OverloadHistory:
        return self._overloads.setdefault(service, OverloadHistory())

    # Refusals.

    def _refused(
        self,
        request: QueuedRequest,
        flow: SlotFlow,
        *,
        last: float,
        on_time_s: float,
        now: float,
    ) -> Overloaded:
        """Returns a refusal with the figures that decided it.

        Args:
          request: The request.
          flow: Slots that it may use.
          last: Its number among the requests that are queued.
          on_time_s: Seconds until those queued that can be on time have slots.
          now: Seconds on this instance's clock.
        """
        if not self.timely:
            wait_s = self._retry_after_s(request.service, flow.released, on_time_s, now)
            return Overloaded(
                f"no slot comes free in time: {last} wait, "
                f"{flow.released:.0f} a second come free",
                wait_s,
            )
        wait_s = self._spare_in_s(request, flow, on_time_s, now)
        left_s = max(0.0, self.dispatch_deadline(request) - now)
        return Overloaded(
            f"no slot is released within {left_s:.1f} s: {last:.0f} queued, "
            f"{flow.released:.0f} slots released and {flow.arriving:.0f} requests "
            f"arriving per second, a spare slot is expected in {wait_s:.1f} s",
            wait_s,
        )

    def _shed(self, refusal: Overloaded, at: str) -> Overloaded:
        self.on_shed(at)
        self.on_retry_after(refusal.retry_after_s)
        return refusal

    def _spare_in_s(
        self, request: QueuedRequest, flow: SlotFlow, on_time_s: float, now: float
    ) -> float:
        """Returns seconds until a spare slot, and reserves it for the client.

        Late requests that are queued do not count: a client that returns can be on
        time, and those go first.

        Args:
          request: The request that is refused.
          flow: Slots that it may use.
          on_time_s: Seconds until those queued that can be on time have slots.
          now: Seconds on this instance's clock.
        """
        service = request.service
        overload = self._overload(service)
        ends_in_s = overload.ends_in_s(now=now)
        arriving = flow.share * overload.calm_rate
        if overload.length_s is None:
            arriving = flow.arriving
        spare = flow.released - arriving
        if ends_in_s is None or spare <= 0:
            return self._retry_after_s(service, flow.released, on_time_s, now)
        own = self._demand.for_service(service).rate(now=now)
        fleet = max(own, self._demand.fleet_rate(service, now=now), 1e-9)
        gap_s = 1 / max(spare * own / fleet, 1e-9)
        reservations = self._reservations.setdefault(service, Reservations(self._rng))
        start = now + max(ends_in_s, on_time_s)
        at = reservations.first_spare(start, gap_s, now=now)
        wait_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, at - now))
        service_time_s = self._demand.for_service(service).service_time_s
        honoured_s = HONOURED_SHARE * max(0.0, request.serve_by + service_time_s - now)
        # A client does not wait longer, and uses a slot at the moment it returns.
        reservations.add(now + min(wait_s, honoured_s))
        return wait_s

    def _retry_after_s(
        self, service: str, rate: float, wait_s: float, now: float
    ) -> float:
        """Returns a retry delay that spreads retries over the released slots.

        Each refused request gets the next time at which a slot of this instance's
        share is released, with jitter.

        Args:
          service: Service of the request.
          rate: Slots that the service releases per second.
          wait_s: Seconds until the queued requests ahead have slots.
          now: Seconds on this instance's clock.
        """
        own = self._demand.for_service(service).rate(now=now)
        share = own / max(own, self._demand.fleet_rate(service, now=now), 1e-9)
        gap_s = 1 / max(rate * share, 1e-9)
        last = self._next_retry_at.get(service, now)
        at = max(last, now + wait_s) + gap_s * self._rng.uniform(0.5, 1.5)
        self._next_retry_at[service] = min(at, now + MAX_RETRY_AFTER_S)
        return max(MIN_RETRY_AFTER_S, self._next_retry_at[service] - now)
