"""State that one instance keeps of one incarnation of an upstream."""

from __future__ import annotations

import attrs
import msgspec

from coppercleat.ids import UpstreamId
from coppercleat.quarantine import SAME_CRASH_WINDOW_S
from coppercleat.routing import CircuitBreaker
from coppercleat.serving._model import Upstream
from coppercleat.serving._results import RecentResults
from coppercleat.serving._silent_moments import StallOnsets

MAX_EJECTION_S = 2.0
"""Longest ejection, in seconds. A trial costs one request the 0.1 s of a failed
connection, while a long ejection leaves upstreams idle after a network partition has
healed."""

_MAX_LISTINGS_WHILE_GONE = 8
"""Lists that may still show an upstream that has left. If it is listed longer, the
reply that seemed to come from another upstream at its address was wrong."""


@attrs.define(eq=False)
class UpstreamState:
    """One incarnation of an upstream, as this instance sees it.

    All times are in seconds of this instance's clock.

    Attributes:
      upstream: The upstream as last listed.
      breaker: Circuit breaker; ejects the upstream while all attempts fail.
      results: Recent attempts; show whether the upstream fails some of them.
      stall_onsets: Onsets of recent stalls that count against the upstream.
      online: Online requests of this instance in flight there.
      batch: Batch items of this instance in flight there.
      crash_suspects: Those of them under which upstreams have crashed, and that have
        not shown by their progress that this one survives them.
      gone: Whether it was found to have left, possibly before the list shows it.
      left_after_crash: Whether it left the list soon after a known crash. A run that
        is interrupted there reached a later incarnation at its address.
      listings_while_gone: Number of lists that have shown it since.
      restarted: Whether a newer incarnation, with its own state, has replaced it.
      untracked: Untracked requests: it reports that it runs them, but no instance has
        them in flight.
      abandoned: Own attempts abandoned since the last time nothing was untracked. As
        many untracked requests are reported to peers as in flight.
      full_until: End of the backoff after it refused a request as full.
      unverified_until: Until when it may run requests from before this instance's
        start; minus infinity once it has reported its load.
      started_at: Start of this incarnation, as seen here; minus infinity if unknown.
      crashed_at: Time of its last crash under this id.
      steady_from: When it becomes steady; see ``FlapDamping``.
      service_flaps: Whether upstreams of its service recently crashed soon after their
        start. Only then is it unsteady after its own start.
      steady_at_crash: Whether it counted as steady when it last crashed.
      before_crash: ``started_at`` and ``steady_from`` from before its last crash.
    """

    upstream: Upstream
    breaker: CircuitBreaker = attrs.field(
        factory=lambda: CircuitBreaker(max_ejection_s=MAX_EJECTION_S)
    )
    results: RecentResults = attrs.field(factory=RecentResults)
    stall_onsets: StallOnsets = attrs.field(factory=StallOnsets)
    online: int = 0
    batch: int = 0
    crash_suspects: int = 0
    gone: bool = False
    left_after_crash: bool = False
    listings_while_gone: int = 0
    restarted: bool = False
    untracked: int = 0
    abandoned: int = 0
    full_until: float = float("-inf")
    unverified_until: float = float("-inf")
    started_at: float = float("-inf")
    crashed_at: float = float("-inf")
    steady_from: float = float("-inf")
    service_flaps: bool = False
    steady_at_crash: bool = True
    before_crash: tuple[float, float] = (float("-inf"), float("-inf"))

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
        """Whether it has left without having announced it."""
        return self.gone and not self.restarted and not self.upstream.draining

    @property
    def stopping(self) -> bool:
        """Whether it is draining, or has left without a restart or a crash."""
        explained = self.restarted or self.left_after_crash
        return self.upstream.draining or (self.gone and not explained)

    def update_listing(self, upstream: Upstream) -> None:
        """Takes over a new listing of this incarnation."""
        moved = upstream.address != self.upstream.address
        if not upstream.version and upstream.is_same_incarnation(self.born_ms):
            # A list from an instance that tells no versions.
            upstream = msgspec.structs.replace(upstream, version=self.upstream.version)
        self.upstream = upstream
        self.listings_while_gone = self.listings_while_gone + 1 if self.gone else 0
        if moved or self.listings_while_gone > _MAX_LISTINGS_WHILE_GONE:
            self.gone = False

    def was_steady(self, *, began: float, at: float) -> bool:
        """Returns whether it was steady when it crashed during an attempt.

        The crash may already be known from another attempt.

        Args:
          began: Start of the attempt.
          at: When the attempt was interrupted.
        """
        if began <= self.crashed_at or at - self.crashed_at < SAME_CRASH_WINDOW_S:
            return self.steady_at_crash
        return at >= self.steady_from or not self.service_flaps

    @property
    def abandoned_in_flight(self) -> int:
        """Own abandoned attempts that may still hold slots."""
        return min(self.abandoned, self.untracked)

    def succeeded(self, now: float) -> None:
        """Records an attempt that succeeded."""
        self.breaker.succeeded()
        self.results.observe(failed=False, now=now)

    def failed(self, now: float, *, reached: bool = True) -> None:
        """Records an attempt that failed.

        Args:
          now: Seconds on this instance's clock.
          reached: Whether a connection was made.
        """
        record = self.breaker.failed if reached else self.breaker.unreachable
        record(now)
        self.results.observe(failed=True, now=now)
