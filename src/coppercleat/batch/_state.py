"""What the parts of the batch path share."""

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

_MAX_WATCH_READS_PER_S = 300.0


@attrs.define(kw_only=True, eq=False)
class BatchState:
    """One instance's part in all open jobs.

    Attributes:
      instance: This instance.
      incarnation: Gives which start of it this is.
      settings: Limits.
      store: Jobs on the platform.
      fleet: Upstreams and other instances.
      document: The configuration in force.
      metrics: Where to count.
      clock: Gives Unix time in seconds.
      rng: Source of randomness.
      pick_version: Draws a version of a deployment.
      held: Segments that this instance holds.
      draining: Whether nothing new is begun.
      uncommitted_chunks: Chunks complete and not yet committed.
      open_jobs: Open jobs at the last look.
      wake: Set when items may be started.
      poll_requested: Set when jobs should be looked at now.
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
        """Whether as many chunks wait for their commit as may."""
        return self.uncommitted_chunks >= self.settings.max_held_chunks

    def deployment_of(self, segment: SegmentWork) -> Deployment | None:
        """Returns the deployment that a segment's items run on."""
        return self.document.get(Kind.DEPLOYMENT, segment.held.job.deployment)

    def remove_segment(self, segment: SegmentWork) -> None:
        """Forgets a segment that is finished or lost."""
        if segment in self.held:
            self.held.remove(segment)

    def watch_interval_s(self) -> float:
        """Returns how long a holder waits between looks at its segments."""
        return paced(self.settings.poll_s, self.fleet.live(), _MAX_WATCH_READS_PER_S)
