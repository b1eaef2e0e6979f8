"""Admission queue: online requests wait here for a slot or are shed.

When demand exceeds the free slots, first come, first served would make nearly every
request late. Requests that can still meet their latency target are dispatched first,
late ones use what is left, and a request that cannot be served before its deadline is
refused at once.
"""

from __future__ import annotations

import collections
import math
import random
import sys
from collections.abc import Callable

from coppercleat.ids import TenantId, UpstreamId
from coppercleat.serving._fair_share import FairShares, ShareWeights
from coppercleat.serving._fleet_order import (
    QueuedWork,
    QueuePosition,
    Rank,
    YieldTimer,
)
from coppercleat.serving._load_shedding import LoadShedder
from coppercleat.serving._placement import NoUpstreamAvailable, Placement
from coppercleat.serving._queued_request import Overloaded, QueuedRequest
from coppercleat.serving._request_slots import RequestSlots
from coppercleat.serving._settings import OverloadSettings
from coppercleat.serving._upstream_state import UpstreamState

MAX_SUMMARY_ENTRIES = 32
"""Queued requests that are reported to peers one by one; the rest is aggregated."""

MAX_QUEUED_PER_UPSTREAM = 1
"""Late requests that may wait at an upstream while no request here can be on time.
They use slots that the counts wrongly show as taken, as after a crash of a peer."""

_ALL_OFF = OverloadSettings()


UNREPORTED_S = 0.015
"""Time in seconds for which other instances may not know of a new request: until a
report of it has arrived and they have dispatched. Meanwhile they give open slots to
their own requests, also to those that it goes before."""

_LAST_ONLINE = QueuePosition(
    rank=Rank.ONLINE_LATE, priority=sys.maxsize, level=math.inf, due_at=math.inf
)
"""Position behind all online requests."""


class AdmissionQueue:
    """Decides which queued request gets the next slot; the clock is passed in.

    Attributes:
      placement: Upstreams and the work in flight there.
      peer_queues: Requests and items that are queued at other instances.
      demand: Arrival rates and service times.
      shedder: Refuses requests that would not get a slot in time.
      share_weights: Returns the weights by which client accounts share the slots; None
        if requests go first by their due times alone.
      on_over_share: Called with each request that has to wait beyond its account's
        share of the slots, when it begins to wait.
    """

    def __init__(
        self,
        placement: Placement,
        *,
        rng: random.Random,
        overload: OverloadSettings = _ALL_OFF,
    ) -> None:
        self.placement = placement
        self.peer_queues = placement.peer_queues
        self.demand = placement.demand
        self._rng = rng
        self._slots = RequestSlots(placement)
        self.shedder = LoadShedder(
            placement, self._slots, rng=rng, timely=overload.timely_refusals
        )
        self._yield_timer = YieldTimer(rng)
        self._queue: list[QueuedRequest] = []
        self.share_weights: Callable[[], ShareWeights | None] = lambda: None
        self.on_over_share: Callable[[QueuedRequest], None] = lambda request: None

    def __len__(self) -> int:
        return len(self._queue)

    def enter(self, request: QueuedRequest, *, now: float) -> None:
        """Queues a request, or sheds it if it cannot be served in time."""
        request.entered_at = now
        self._set_standing(request, now)
        request.outcome = self.shedder.refusal(request, self._queue, now=now)
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
        shares = self._update_standings(now)
        still_queued: list[QueuedRequest] = []
        ahead_here: collections.Counter[str] = collections.Counter()
        backlogs = {
            service: self.peer_queues.backlog(
                service, now=now, level_of=shares.level_of(service) if shares else None
            )
            for service in {request.service for request in self._queue}
        }
        open_slots: dict[tuple[str, frozenset[UpstreamId]], int] = {}
        left_open = False
        is_evaluated = self.shedder.begin_evaluation(now=now)
        for request in sorted(
            self._queue, key=lambda request: request.local_position(now)
        ):
            service = request.service
            candidates = self._slots.candidate_key(request, now)
            if candidates not in open_slots:
                open_slots[candidates] = self._slots.open_slots(request, now)
            ahead_elsewhere = backlogs[service].ahead(
                self._fleet_position(request, now)
            )
            request.outcome = self._decide(
                request,
                open_slots[candidates],
                ahead_here[service],
                ahead_elsewhere,
                now,
            )
            if request.outcome is None and is_evaluated:
                request.outcome = self.shedder.queued_refusal(
                    request,
                    slots=open_slots[candidates],
                    ahead=ahead_here[service] + ahead_elsewhere,
                    now=now,
                )
            if request.outcome is not None:
                on_decided(request)
                open_slots.clear()
                continue
            left_open = left_open or open_slots[candidates] > ahead_here[service]
            ahead_here[service] += 1
            still_queued.append(request)
            self._begin_to_wait(request)
        self._queue = still_queued
        if not left_open:
            self._yield_timer.reset()

    def summary(self, *, now: float) -> tuple[QueuedWork, ...]:
        """Returns what is queued here, as it is reported to peers."""
        ordered = sorted(self._queue, key=lambda request: request.position(now))
        entries = [
            _queued_work(request, 1, now) for request in ordered[:MAX_SUMMARY_ENTRIES]
        ]
        # Requests beyond their share must not count ahead of others within it.
        rest: dict[tuple[str, int, bool], list[QueuedRequest]] = {}
        for request in ordered[MAX_SUMMARY_ENTRIES:]:
            position = request.position(now)
            key = request.service, position.priority, position.level > 0
            rest.setdefault(key, []).append(request)
        entries += [
            _queued_work(requests[0], len(requests), now) for requests in rest.values()
        ]
        return tuple(entries)

    # Shares.

    def _set_standing(self, request: QueuedRequest, now: float) -> None:
        """Sets how a new request's account stands to its share, if that is in use."""
        weights = self.share_weights()
        if weights is None:
            return
        shares = self._fair_shares(weights, request, *self._queue, now=now)
        own = request.account_position(now)
        request.standing = shares.standing(
            request.account,
            ahead=sum(
                other.account == request.account and other.account_position(now) <= own
                for other in self._queue
            ),
            service=request.service,
        )

    def _update_standings(self, now: float) -> FairShares | None:
        """Sets how the accounts of all queued requests stand to their shares.

        Done once for a dispatch: a request that gets its slot in it adds to the slots
        held what it takes from the requests ahead.
        """
        weights = self.share_weights()
        if weights is None:
            for request in self._queue:
                request.standing = None
            return None
        shares = self._fair_shares(weights, *self._queue, now=now)
        ahead: collections.Counter[TenantId] = collections.Counter()
        for request in sorted(
            self._queue, key=lambda request: request.account_position(now)
        ):
            request.standing = shares.standing(
                request.account,
                ahead=ahead[request.account],
                service=request.service,
            )
            ahead[request.account] += 1
        return shares

    def _fair_shares(
        self, weights: ShareWeights, *queued: QueuedRequest, now: float
    ) -> FairShares:
        return FairShares.at_present(
            weights,
            self.placement.account_load,
            queued=(request.account for request in queued),
            total_slots={
                service: self.placement.total_slots(service, now=now)
                for service in {request.service for request in queued}
            },
        )

    def _fleet_position(self, request: QueuedRequest, now: float) -> QueuePosition:
        """Returns the position of a request among those queued at other instances."""
        if request.standing is None:
            return request.position(now)
        is_unreported = 0 <= now - request.entered_at < UNREPORTED_S
        return _LAST_ONLINE if is_unreported else request.position(now)

    def _begin_to_wait(self, request: QueuedRequest) -> None:
        """Records that a request got no slot in a dispatch."""
        if request.had_to_wait:
            return
        request.had_to_wait = True
        if request.is_over_share:
            self.on_over_share(request)

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
            request.service, avoid=self._slots.excluded(request, now)
        ):
            return NoUpstreamAvailable(_no_upstream_reason(request))
        expired = self.shedder.expired(request, now=now)
        if expired is not None:
            return expired
        may_queue_from = max(request.on_time_by, request.queue_at_upstream_from)
        if ahead == 0 and now > may_queue_from:
            return self._queue_at_upstream(request, now)
        return None

    def _queue_at_upstream(
        self, request: QueuedRequest, now: float
    ) -> UpstreamState | None:
        """Returns an upstream at which a late request may wait, if there is one."""
        chosen = self.placement.choose_online(
            request.service, tried=self._slots.excluded(request, now), now=now
        )
        if isinstance(chosen, NoUpstreamAvailable) or not self._may_queue_at(
            chosen, request, now
        ):
            return None
        return chosen

    def _may_queue_at(
        self, state: UpstreamState, request: QueuedRequest, now: float
    ) -> bool:
        """Returns whether a late request may wait at an upstream.

        Requests that are known by outdated counts only may have ended. One beyond its
        account's share gets their slots only: at the upstream it would wait ahead of
        requests within their share that are still to come.
        """
        queued = -self.placement.online_slots(state)
        queued -= self.placement.outdated_online(state)
        most = 0 if request.is_over_share else MAX_QUEUED_PER_UPSTREAM
        return queued < most and now >= state.full_until

    def _take_slot(
        self, request: QueuedRequest, number: int, now: float
    ) -> UpstreamState:
        """Returns the upstream of the open slot with a number, from 0.

        The first in the queue of the fleet gets the best upstream instead.
        """
        if number == 0:
            chosen = self.placement.choose_online(
                request.service, tried=self._slots.excluded(request, now), now=now
            )
            if isinstance(chosen, UpstreamState) and now >= chosen.full_until:
                return chosen
        return self.placement.choose_open_slot(
            request.service, number, avoid=self._slots.excluded(request, now), now=now
        )


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
    # Others rank it by the level that they compute.
    is_on_time = now <= request.on_time_by
    rank = Rank.ONLINE if is_on_time else position.rank
    return QueuedWork(
        rank,
        position.due_at - now,
        request.service,
        count,
        position.priority,
        position.level,
        request.account if request.standing is not None and count == 1 else None,
    )
