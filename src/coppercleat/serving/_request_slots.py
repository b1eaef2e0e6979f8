"""Which upstreams a queued request may use, and how many open slots these have."""

from __future__ import annotations

from collections.abc import Collection

from coppercleat.ids import UpstreamId
from coppercleat.serving._placement import Placement
from coppercleat.serving._queued_request import QueuedRequest


class RequestSlots:
    """Finds the slots that a queued request may use; the clock is passed in."""

    def __init__(self, placement: Placement) -> None:
        self.placement = placement

    def candidate_key(
        self, request: QueuedRequest, now: float
    ) -> tuple[str, frozenset[UpstreamId]]:
        """Returns a key that requests share which have the same open slots."""
        return request.service, frozenset(self.excluded(request, now))

    def excluded(self, request: QueuedRequest, now: float) -> Collection[UpstreamId]:
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
            excluded = set(self.other_versions(request)).union(excluded)
        return excluded

    def other_versions(self, request: QueuedRequest) -> Collection[UpstreamId]:
        """Returns the upstreams that a request cannot use by their version."""
        if request.origin is None:
            return ()
        return self.placement.upstreams_of_other_versions(request.origin)

    def open_slots(self, request: QueuedRequest, now: float) -> int:
        """Returns how many slots a request could take now."""
        return self.placement.open_slots(
            request.service, avoid=self.excluded(request, now), now=now
        )

    def total_slots(self, request: QueuedRequest, now: float) -> int:
        """Returns the slots that a request could use if all were free.

        Others use the slots of all versions alike, so that only its own exclusions by
        version are left out.
        """
        return self.placement.total_slots(
            request.service, avoid=self.other_versions(request), now=now
        )

    def share_of_service(self, request: QueuedRequest, total: int, now: float) -> float:
        """Returns the share of its service's slots that a request can use."""
        if request.origin is None:
            return 1.0
        return total / max(1, self.placement.total_slots(request.service, now=now))
