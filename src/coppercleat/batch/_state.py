"""State shared by the components of one instance's batch processing."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs
import trio

from coppercleat.batch._ports import Fleet
from coppercleat.batch._segment_work import SegmentWork
from coppercleat.batch._store import JobStore
from coppercleat.configuration import Deployment, Document, Kind
from coppercleat.ids import InstanceId
from coppercleat.observability import Metrics
from coppercleat.settings import BatchSettings
from coppercleat.storage import paced

_MAX_CHECK_READS_PER_S = 300.0


@attrs.define(kw_only=True, eq=False)
class BatchState:
    """Claimed segments, dependencies and wake-up events of one instance.

    Attributes:
      instance: This instance.
      incarnation: Returns the incarnation of this instance.
      settings: Batch settings.
      store: Jobs in platform storage.
      fleet: Upstreams and other instances.
      document: The current configuration.
      metrics: Metrics of this instance.
      clock: Returns Unix time in seconds.
      rng: Source of randomness.
      pick_version: Selects a model version of a deployment.
      held: Segments claimed by this instance.
      draining: Whether the instance claims no segments and starts no chunks.
      uncommitted_chunks: Number of complete chunks not yet committed.
      open_jobs: Number of open jobs at the last poll.
      wake: Set when items may have become ready to dispatch.
      poll_requested: Set to poll for jobs before the interval has passed.
    """

    instance: InstanceId
    incarnation: Callable[[], int]
    settings: BatchSettings
    store: JobStore
    fleet: Fleet
    document: Document
    metrics: Metrics
    clock: Callable[[], float]
    rng: random.Random
    pick_version: Callable[[Deployment], str]
    held: list[SegmentWork] = attrs.field(factory=list)
    draining: bool = False
    uncommitted_chunks: int = 0
    open_jobs: int = 0
    wake: trio.Event = attrs.field(factory=trio.Event)
    poll_requested: trio.Event = attrs.field(factory=trio.Event)

    @property
    def at_uncommitted_limit(self) -> bool:
        """Whether the limit of uncommitted chunks is reached."""
        return self.uncommitted_chunks >= self.settings.max_held_chunks

    def deployment_of(self, segment: SegmentWork) -> Deployment | None:
        """Returns the deployment of a segment's job, or None if it was removed."""
        return self.document.get(Kind.DEPLOYMENT, segment.held.job.deployment)

    def remove_segment(self, segment: SegmentWork) -> None:
        """Removes a segment that is finished or no longer held."""
        if segment in self.held:
            self.held.remove(segment)

    def check_interval_s(self) -> float:
        """Returns the interval in seconds between checks of the held segments."""
        return paced(self.settings.poll_s, self.fleet.live(), _MAX_CHECK_READS_PER_S)
