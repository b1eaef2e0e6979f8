"""Access to the jobs in platform storage."""

from __future__ import annotations

import random
from collections.abc import Callable

from coppercleat.batch._acceptance import JobAcceptance
from coppercleat.batch._finisher import JobFinisher
from coppercleat.batch._reading import JobReader
from coppercleat.batch._segments import SegmentStore
from coppercleat.storage import Platform


class JobStore:
    """Groups the operations on stored jobs.

    Every operation raises ``PlatformUnavailableError`` if the platform is unavailable.

    Attributes:
      reader: Reads jobs and results.
      acceptance: Accepts jobs.
      segments: Claims segments and commits their chunks.
      finisher: Completes and cancels jobs.
    """

    def __init__(
        self,
        platform: Platform,
        *,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Initializes the components.

        Args:
          platform: Storage of rows and objects.
          clock: Returns Unix time in seconds.
          rng: Source of ids and tokens.
        """
        self.reader = JobReader(platform)
        self.acceptance = JobAcceptance(platform, self.reader, clock=clock, rng=rng)
        self.segments = SegmentStore(platform, rng=rng)
        self.finisher = JobFinisher(platform, self.reader, clock=clock)
