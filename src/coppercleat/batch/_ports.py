"""What the batch path needs from the rest of the instance."""

from __future__ import annotations

from typing import Protocol

import attrs

from coppercleat.ids import InstanceId, JobId, UpstreamId
from coppercleat.routing import UpstreamRecord
from coppercleat.upstreams import UpstreamClient


class Fleet(Protocol):
    """What the runner needs to know of upstreams and other instances."""

    def dispatched_upstreams(self) -> list[UpstreamRecord]:
        """Returns the upstreams that this instance feeds, those leaving not."""
        ...

    def online_total(self, upstream: UpstreamId) -> int:
        """Returns online requests in flight there, of all instances."""
        ...

    def batch_client(self, upstream: UpstreamId) -> UpstreamClient:
        """Returns the client for batch items."""
        ...

    def holder_state(self, holder: InstanceId, incarnation: int) -> HolderState:
        """Returns what is known of a segment's holder."""
        ...

    def live(self) -> int:
        """Returns how many instances are thought alive."""
        ...

    def monitors_due_time(self, job: JobId) -> bool:
        """Returns whether this instance watches over a job's due time."""
        ...


@attrs.define(frozen=True)
class HolderState:
    """What is known of a holder.

    Attributes:
      alive: Whether peers hear it.
      restarted: Whether a later start of the same instance is known.
    """

    alive: bool
    restarted: bool
