"""What one instance knows of one life of an upstream."""

from __future__ import annotations

import attrs

from coppercleat.ids import UpstreamId
from coppercleat.quarantine import SAME_END_S
from coppercleat.routing import Health
from coppercleat.serving._model import Upstream
from coppercleat.serving._results import RecentResults
from coppercleat.serving._silent_moments import StallOnsets

LONGEST_EJECTION_S = 2.0
"""Longest time without a trial of an upstream that failed. A trial costs one request
the 0.1 s of a connection that is not made; after a zone was cut off for some seconds,
longer pauses would leave its upstreams idle for as long again."""

_LISTS_WITH_GONE = 8
"""Lists that may still show an upstream that has left, some 4 s. One that goes on to be
shown was not gone: what answered in its place was wrong."""


@attrs.define(eq=False)
class UpstreamState:
    """One upstream as this instance sees it.

    Attributes:
      online: Online requests of this instance in flight there.
      batch: Batch items of this instance in flight there.
      gone: Whether it has been found to have left, before the list shows it.
      lists_since: How many lists have shown it since.
      restarted: Whether it has started again under its id, which is another state.
      health: Ejects it while it fails throughout.
      results: Tells whether it fails a part of its requests.
      silences: When it fell silent, as far as that is held against it.
      unknown: Requests that it runs and nobody has told of, by its own report.
      unheard: Own runs that were left unheard since there was an unknown run last;
        peers are told of as many unknown ones, and hold their slots for taken too.
      full_until: Until when it is taken as full, since it has said so.
      unproved_until: Until when it may run requests of before this instance's start;
        never, once it has told how many it runs.
      since: When this life of it began, as seen here; minus infinity if unknown.
      ended_at: When it was last found to have ended under this id.
      steady_from: From when on it counts as steady: see ``Steadiness``.
      among_short: Whether lives of its service were short of late: only then does it
        say something that it has just started.
      ended_steady: Whether it was steady, or no life short, when it last ended.
      before_end: ``since`` and ``steady_from`` as they were before that.
    """

    upstream: Upstream
    health: Health = attrs.field(factory=lambda: Health(longest_s=LONGEST_EJECTION_S))
    results: RecentResults = attrs.field(factory=RecentResults)
    silences: StallOnsets = attrs.field(factory=StallOnsets)
    online: int = 0
    batch: int = 0
    gone: bool = False
    lists_since: int = 0
    restarted: bool = False
    unknown: int = 0
    unheard: int = 0
    full_until: float = float("-inf")
    unproved_until: float = float("-inf")
    since: float = float("-inf")
    ended_at: float = float("-inf")
    steady_from: float = float("-inf")
    among_short: bool = False
    ended_steady: bool = True
    before_end: tuple[float, float] = (float("-inf"), float("-inf"))

    @property
    def id(self) -> UpstreamId:
        """The upstream's id."""
        return self.upstream.id

    @property
    def born_ms(self) -> int:
        """See ``Upstream.born_ms``."""
        return self.upstream.born_ms

    @property
    def unlisted(self) -> bool:
        """Whether it is no longer listed, and has not said that it leaves."""
        return self.gone and not self.restarted and not self.upstream.draining

    @property
    def stopping(self) -> bool:
        """Whether it leaves, or has left, as planned."""
        return self.upstream.draining or (self.gone and not self.restarted)

    def listed(self, upstream: Upstream) -> None:
        """Takes its line of a list that shows this life."""
        moved = upstream.address != self.upstream.address
        self.upstream = upstream
        self.lists_since = self.lists_since + 1 if self.gone else 0
        if moved or self.lists_since > _LISTS_WITH_GONE:
            self.gone = False

    def was_steady(self, *, began: float, at: float) -> bool:
        """Returns whether it was steady when it ended under a run.

        The end may be known already, of another run, or noticed late.

        Args:
          began: When the run began, in trio's time.
          at: When it broke off.
        """
        if began <= self.ended_at or at - self.ended_at < SAME_END_S:
            return self.ended_steady
        return at >= self.steady_from or not self.among_short

    @property
    def held(self) -> int:
        """Own runs that were left and may still hold their slots."""
        return min(self.unheard, self.unknown)

    def succeeded(self, now: float) -> None:
        """Notes an attempt that ended well."""
        self.health.succeeded()
        self.results.observe(failed=False, now=now)

    def failed(self, now: float, *, reached: bool = True) -> None:
        """Notes an attempt that failed, or a connection that could not be made."""
        note = self.health.failed if reached else self.health.unreachable
        note(now)
        self.results.observe(failed=True, now=now)
