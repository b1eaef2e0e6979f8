"""Jobs as the platform keeps them, put together from what is done with them."""

from __future__ import annotations

import random
from collections.abc import Callable

from coppercleat.batch._acceptance import JobAcceptance
from coppercleat.batch._finisher import JobFinisher
from coppercleat.batch._reading import JobReader
from coppercleat.batch._segments import SegmentStore
from coppercleat.storage import Platform


class JobStore:
    """Reads and writes jobs through the platform.

    Every method of its parts raises ``PlatformUnavailableError`` when the platform
    is away.

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
        """Prepares the parts.

        Args:
          platform: Where rows and objects are.
          clock: Gives Unix time in seconds.
          rng: Source of ids.
        """
        self.reader = JobReader(platform)
        self.acceptance = JobAcceptance(platform, self.reader, clock=clock, rng=rng)
        self.segments = SegmentStore(platform, rng=rng)
        self.finisher = JobFinisher(platform, self.reader, clock=clock)
