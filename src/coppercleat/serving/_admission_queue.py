"""Admission queue: online requests wait here for a slot or are shed.

When demand exceeds the free slots, first come, first served would make nearly every
request late. Requests that can still meet their latency target are dispatched first,
late ones use what is left, and a request that cannot be served before its deadline is
refused at once.
"""

from __future__ import annotations

import collections
import random
from collections.abc import Callable, Collection

import attrs

from coppercleat.ids import UpstreamId
from coppercleat.quarantine import FREE, Verdict
from coppercleat.serving._fleet_order import QueuedWork, QueuePosition, Rank, YieldTimer
from coppercleat.serving._placement import NoUpstreamAvailable, Placement
from coppercleat.serving._stream_origins import StreamOrigin
from coppercleat.serving._upstream_state import UpstreamState

MAX_QUEUE_LENGTH = 512
"""Requests that may be queued at one instance; bounds memory. Beyond it the wait would
be longer than clients allow."""

MAX_SUMMARY_ENTRIES = 32
"""Queued requests that are reported to peers one by one; the rest is aggregated."""

MAX_QUEUED_PER_UPSTREAM = 1
"""Late requests that may wait at an upstream while no request here can be on time.
They use slots that the counts wrongly show as taken, as after a crash of a peer."""

MIN_RETRY_AFTER_S = 0.1
"""Shortest retry delay, in seconds: about the time until a slot of a full fleet is
released."""

MAX_RETRY_AFTER_S = 5.0
"""Longest retry delay, in seconds; a burst of requests is over by then."""


@attrs.frozen
class Overloaded:
    """Sentinel: the request is shed, since no slot is released before its deadline.

    Attributes:
      reason: Cause in words.
      retry_after_s: Seconds after which the client should retry.
    """

    reason: str
    retry_after_s: float


@attrs.define(eq=False, kw_only=True)
class QueuedRequest:
    """An online request in the admission queue.

    All times are in seconds of this instance's clock.

    Attributes:
      service: Service whose upstreams can serve it.
      priority: Priority of its account or route; 0 is the most urgent.
      on_time_by: Latest time of dispatch at which it meets its latency target.
      serve_by: Latest time of dispatch at which it is answered before its deadline.
      begun: Whether a part of its response has been sent; then it is queued whatever
        its estimated wait.
      avoid: Upstreams that it must not be sent to; may change while it is queued.
      queue_at_upstream_from: When it may wait at an upstream without a free slot at the
        earliest: before, one that it has tried may come back.
      verdict: The quarantine's verdict on it; may exclude further upstreams.
      origin: What began the stream that it goes on with, and alone may go on; None for
        a new one.
      outcome: The upstream whose slot it got, or why it got none; None while it is
        queued.
    """

    service: str
    priority: int
    on_time_by: float
    serve_by: float
    begun: bool = False
    avoid: Collection[UpstreamId] = ()
    queue_at_upstream_from: float = float("-inf")
    verdict: Verdict = FREE
    origin: StreamOrigin | None = None
    outcome: UpstreamState | NoUpstreamAvailable | Overloaded | None = None

    def position(self, now: float) -> QueuePosition:
        """Returns its position in the queue of the whole fleet."""
        if now <= self.on_time_by:
            return QueuePosition(Rank.ONLINE, self.on_time_by)
        return QueuePosition(Rank.ONLINE_LATE, self.serve_by)

    def local_position(self, now: float) -> tuple[int, int, float]:
        """Returns its sort key among the requests queued at this instance."""
        position = self.position(now)
        return position.rank, self.priority, position.due_at


class AdmissionQueue:
    """Decides which queued request gets the next slot; the clock is passed in.

    Attributes:
      placement: Upstreams and the work in flight there.
      peer_queues: Requests and items that are queued at other instances.
      demand: Arrival rates and service times.
      shutdown_at: When this instance aborts what is in flight, in seconds of its
        clock; infinity until it shuts down.
    """

    def __init__(
        self,
        placement: Placement,
        *,
        rng: random.Random,
    ) -> None:
        self.placement = placement
        self.peer_queues = placement.peer_queues
        self.demand = placement.demand
        self._rng = rng
        self.shutdown_at = float("inf")
        self._yield_timer = YieldTimer(rng)
        self._next_retry_at: dict[str, float] = {}
        self._queue: list[QueuedRequest] = []

    def __len__(self) -> int:
        return len(self._queue)

    def enter(self, request: QueuedRequest, *, now: float) -> None:
        """Queues a request, or sheds it if it cannot be served in time."""
        request.outcome = self._shed_if_too_late(request, now)
        if request.outcome is None:
            self._queue.append(request)

    def leave(self, request: QueuedRequest) -> None:
        """Removes a request whose client has disconnected."""
        if request in self._queue:
            self._queue.remove(request)

    def dispatch(
        self, *, now: float, on_decided: Callable[[QueuedRequest], None]
    ) -> None:
        """Gives free slots to the next requests and sheds those that cannot be served.

        Args:
          now: Seconds on this instance's clock.
          on_decided: Called with each request that has an outcome; counts its slot.
        """
        still_queued: list[QueuedRequest] = []
        ahead_here: collections.Counter[str] = collections.Counter()
        backlogs = {
            service: self.peer_queues.backlog(service, now=now)
            for service in {request.service for request in self._queue}
        }
        open_slots: dict[tuple[str, frozenset[UpstreamId]], int] = {}
        left_open = False
        for request in sorted(
            self._queue, key=lambda request: request.local_position(now)
        ):
            service, candidates = request.service, self._candidate_key(request, now)
            if candidates not in open_slots:
                open_slots[candidates] = self._open_slots(request, now)
            ahead_elsewhere = backlogs[service].ahead(request.position(now))
            request.outcome = self._decide(
                request,
                open_slots[candidates],
                ahead_here[service],
                ahead_elsewhere,
                now,
            )
            if request.outcome is not None:
                on_decided(request)
                open_slots.clear()
                continue
            left_open = left_open or open_slots[candidates] > ahead_here[service]
            ahead_here[service] += 1
            still_queued.append(request)
        self._queue = still_queued
        if not left_open:
            self._yield_timer.reset()

    def summary(self, *, now: float) -> tuple[QueuedWork, ...]:
        """Returns what is queued here, as it is reported to peers."""
        ordered = sorted(self._queue, key=lambda request: request.position(now))
        entries = [
            _queued_work(request, 1, now) for request in ordered[:MAX_SUMMARY_ENTRIES]
        ]
        rest: dict[str, list[QueuedRequest]] = {}
        for request in ordered[MAX_SUMMARY_ENTRIES:]:
            rest.setdefault(request.service, []).append(request)
        entries += [
            _queued_work(requests[0], len(requests), now) for requests in rest.values()
        ]
        return tuple(entries)

    # Dispatch.

    def _decide(
        self,
        request: QueuedRequest,
        slots: int,
        ahead_here: int,
        ahead_elsewhere: int,
        now: float,
    ) -> UpstreamState | NoUpstreamAvailable | Overloaded | None:
        """Returns the outcome of a request, None if it stays queued.

        Args:
          request: The request.
          slots: Free slots that it could take.
          ahead_here: Requests queued ahead of it at this instance.
          ahead_elsewhere: Requests queued ahead of it at other instances.
          now: Seconds on this instance's clock.
        """
        ahead = ahead_here + ahead_elsewhere
        if ahead < slots:
            return self._take_slot(request, ahead, now)
        if ahead_here < slots and self._yield_timer.expired(now):
            self._yield_timer.reset()
            return self._take_slot(request, self._rng.randrange(slots), now)
        if not self.placement.serves(
            request.service, avoid=self._excluded(request, now)
        ):
            return NoUpstreamAvailable(_no_upstream_reason(request))
        if now > self._dispatch_deadline(request):
            return Overloaded("no slot came free in time", MIN_RETRY_AFTER_S)
        may_queue_from = max(request.on_time_by, request.queue_at_upstream_from)
        if ahead == 0 and now > may_queue_from:
            return self._queue_at_upstream(request, now)
        return None

    def _queue_at_upstream(
        self, request: QueuedRequest, now: float
    ) -> UpstreamState | None:
        """Returns an upstream at which a late request may wait, if there is one."""
        chosen = self.placement.choose_online(
            request.service, tried=self._excluded(request, now), now=now
        )
        if isinstance(chosen, NoUpstreamAvailable) or not self._may_queue_at(
            chosen, now
        ):
            return None
        return chosen

    def _may_queue_at(self, state: UpstreamState, now: float) -> bool:
        """Returns whether a late request may wait at an upstream.

        Requests that are known by outdated counts only may have ended.
        """
        queued = -self.placement.online_slots(state)
        queued -= self.placement.outdated_online(state)
        return queued < MAX_QUEUED_PER_UPSTREAM and now >= state.full_until

    def _take_slot(
        self, request: QueuedRequest, number: int, now: float
    ) -> UpstreamState:
        """Returns the upstream of the open slot with a number, from 0.

        The first in the queue of the fleet gets the best upstream instead.
        """
        if number == 0:
            chosen = self.placement.choose_online(
                request.service, tried=self._excluded(request, now), now=now
            )
            if isinstance(chosen, UpstreamState) and now >= chosen.full_until:
                return chosen
        return self.placement.choose_open_slot(
            request.service, number, avoid=self._excluded(request, now), now=now
        )

    def _candidate_key(
        self, request: QueuedRequest, now: float
    ) -> tuple[str, frozenset[UpstreamId]]:
        """Returns a key that requests share which have the same open slots."""
        return request.service, frozenset(self._excluded(request, now))

    def _excluded(self, request: QueuedRequest, now: float) -> Collection[UpstreamId]:
        """Returns the upstreams that a request must not be sent to now.

        Computed anew each time, since upstreams become steady or leave meanwhile.
        """
        excluded = request.avoid
        if request.verdict.crashes:
            unsteady = self.placement.upstreams_to_avoid(
                request.verdict, request.service, now=now
            )
            excluded = unsteady.union(excluded)
        if request.origin is not None:
            excluded = set(self._other_versions(request)).union(excluded)
        return excluded

    def _other_versions(self, request: QueuedRequest) -> Collection[UpstreamId]:
        """Returns the upstreams that a request cannot use by their version."""
        if request.origin is None:
            return ()
        return self.placement.upstreams_of_other_versions(request.origin)

    def _open_slots(self, request: QueuedRequest, now: float) -> int:
        return self.placement.open_slots(
            request.service, avoid=self._excluded(request, now), now=now
        )

    # Load shedding.

    def _shed_if_too_late(
        self, request: QueuedRequest, now: float
    ) -> Overloaded | None:
        """Returns a refusal if a new request would not get a slot in time.

        The wait is estimated from the rate at which the service releases slots.
        """
        if len(self._queue) >= MAX_QUEUE_LENGTH:
            return Overloaded("too many requests wait here", MAX_RETRY_AFTER_S)
        total = self.placement.total_slots(
            request.service, avoid=self._other_versions(request), now=now
        )
        # Others use the slots of all versions alike.
        share = self._share_of_slots(request, total, now)
        missing = (
            1
            + share * self._ahead(request.position(now), request.service, now)
            - self._open_slots(request, now)
        )
        if missing <= 0 or not total or request.begun:
            return None
        rate = total / self.demand.for_service(request.service).service_time_s
        if now + missing / rate <= request.on_time_by:
            return None
        # It will be late, so requests that can be on time are dispatched before it.
        late = QueuePosition(Rank.ONLINE_LATE, request.serve_by)
        last = 1 + round(share * self._ahead(late, request.service, now))
        spare = rate - share * self.demand.fleet_rate(request.service, now=now)
        if spare > 0 and now + last / spare <= self._dispatch_deadline(request):
            return None
        wait_s = self._retry_after_s(request.service, rate, missing / rate, now)
        reason = (
            f"no slot comes free in time: {last} wait, {rate:.0f} a second come free"
        )
        return Overloaded(reason, wait_s)

    def _share_of_slots(self, request: QueuedRequest, total: int, now: float) -> float:
        """Returns the share of its service's slots that a request can use."""
        if request.origin is None:
            return 1.0
        return total / max(1, self.placement.total_slots(request.service, now=now))

    def _dispatch_deadline(self, request: QueuedRequest) -> float:
        """Returns the latest time of dispatch, also in view of a shutdown."""
        service_time_s = self.demand.for_service(request.service).service_time_s
        return min(request.serve_by, self.shutdown_at - service_time_s)

    def _ahead(self, position: QueuePosition, service: str, now: float) -> int:
        """Returns how many requests of the whole fleet are queued ahead."""
        ahead_here = sum(
            other.service == service and other.position(now) < position
            for other in self._queue
        )
        return ahead_here + self.peer_queues.ahead(position, service=service, now=now)

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
        own = self.demand.for_service(service).rate(now=now)
        share = own / max(own, self.demand.fleet_rate(service, now=now), 1e-9)
        gap_s = 1 / max(rate * share, 1e-9)
        last = self._next_retry_at.get(service, now)
        at = max(last, now + wait_s) + gap_s * self._rng.uniform(0.5, 1.5)
        self._next_retry_at[service] = min(at, now + MAX_RETRY_AFTER_S)
        return max(MIN_RETRY_AFTER_S, self._next_retry_at[service] - now)


def _no_upstream_reason(request: QueuedRequest) -> str:
    """Returns why a request cannot be placed anywhere."""
    if request.origin is None:
        return f"no upstream serves {request.service}"
    if not request.origin.is_known:
        return "the software version that began the stream is not known"
    return (
        f"no upstream of version {request.origin.version}, which began the stream, "
        f"serves {request.service}"
    )


def _queued_work(request: QueuedRequest, count: int, now: float) -> QueuedWork:
    """Returns the report on one queued request and others that it stands for."""
    position = request.position(now)
    return QueuedWork(position.rank, position.due_at - now, request.service, count)
