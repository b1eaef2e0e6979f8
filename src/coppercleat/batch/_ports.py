"""Interfaces that batch processing needs from the rest of the instance."""

from __future__ import annotations

from typing import Protocol

import attrs

from coppercleat.ids import InstanceId, JobId, UpstreamId
from coppercleat.routing import UpstreamRecord
from coppercleat.upstreams import UpstreamClient


class Fleet(Protocol):
    """Upstreams and other instances of the fleet."""

    def dispatched_upstreams(self) -> list[UpstreamRecord]:
        """Returns the upstreams to dispatch to, without those draining or ejected."""
        ...

    def online_total(self, upstream: UpstreamId) -> int:
        """Returns the online requests in flight on an upstream, of all instances."""
        ...

    def batch_client(self, upstream: UpstreamId) -> UpstreamClient:
        """Returns the upstream's client for batch items."""
        ...

    def holder_state(self, holder: InstanceId, incarnation: int) -> HolderState:
        """Returns the known state of a segment's holder.

        Args:
          holder: The instance.
          incarnation: Incarnation that claimed the segment.
        """
        ...

    def live(self) -> int:
        """Returns the number of instances considered alive."""
        ...

    def monitors_due_time(self, job: JobId) -> bool:
        """Returns whether this instance monitors the job's due time."""
        ...


@attrs.define(frozen=True)
class HolderState:
    """State of a segment's holder.

    Attributes:
      alive: Whether its heartbeats are received.
      restarted: Whether a later incarnation of the instance is known.
    """

    alive: bool
    restarted: bool
