"""A request in the admission queue, and the refusal of one that gets no slot."""

from __future__ import annotations

from collections.abc import Collection

import attrs

from coppercleat.ids import NO_ACCOUNT, TenantId, UpstreamId
from coppercleat.quarantine import FREE, Verdict
from coppercleat.serving._fair_share import ShareStanding
from coppercleat.serving._fleet_order import QueuePosition, Rank
from coppercleat.serving._placement import NoUpstreamAvailable
from coppercleat.serving._stream_origins import StreamOrigin
from coppercleat.serving._upstream_state import UpstreamState

MIN_RETRY_AFTER_S = 0.1
"""Shortest retry delay, in seconds: about the time until a slot of a full fleet is
released."""

MAX_RETRY_AFTER_S = 5.0
"""Longest retry delay, in seconds; a burst of requests is over by then."""


@attrs.frozen
class Overloaded:
    """Sentinel: the request is shed, since no slot is released before its deadline.

    Attributes:
      reason: Cause in words.
      retry_after_s: Seconds after which the client should retry.
    """

    reason: str
    retry_after_s: float


@attrs.define(eq=False, kw_only=True)
class QueuedRequest:
    """An online request in the admission queue.

    All times are in seconds of this instance's clock.

    Attributes:
      service: Service whose upstreams can serve it.
      account: Client account that it is served for; empty if none is known.
      priority: Priority of its account or route; 0 is the most urgent.
      on_time_by: Latest time of dispatch at which it meets its latency target.
      serve_by: Latest time of dispatch at which it is answered before its deadline.
      begun: Whether a part of its response has been sent; then it is queued whatever
        its estimated wait.
      avoid: Upstreams that it must not be sent to; may change while it is queued.
      queue_at_upstream_from: When it may wait at an upstream without a free slot at the
        earliest: before, one that it has tried may come back.
      verdict: The quarantine's verdict on it; may exclude further upstreams.
      origin: What began the stream that it goes on with, and alone may go on; None for
        a new one.
      entered_at: When it joined the admission queue.
      standing: How its account stands to its share of the slots; None where fair
        sharing is off.
      had_to_wait: Whether it got no slot in a dispatch.
      outcome: The upstream whose slot it got, or why it got none; None while it is
        queued.
    """

    service: str
    priority: int
    on_time_by: float
    serve_by: float
    account: TenantId = NO_ACCOUNT
    begun: bool = False
    avoid: Collection[UpstreamId] = ()
    queue_at_upstream_from: float = float("-inf")
    verdict: Verdict = FREE
    origin: StreamOrigin | None = None
    entered_at: float = float("-inf")
    standing: ShareStanding | None = None
    had_to_wait: bool = False
    outcome: UpstreamState | NoUpstreamAvailable | Overloaded | None = None

    def position(self, now: float) -> QueuePosition:
        """Returns its position in the queue of the whole fleet.

        Beyond its account's share it ranks as late from the start, so that requests
        within their shares go before it, late ones too.
        """
        if now <= self.on_time_by:
            rank = Rank.ONLINE_LATE if self.is_over_share else Rank.ONLINE
            return self._position(rank, self.on_time_by)
        return self.late_position()

    def late_position(self) -> QueuePosition:
        """Returns the position that it has once it is late."""
        return self._position(Rank.ONLINE_LATE, self.serve_by)

    @property
    def is_over_share(self) -> bool:
        """Whether it is beyond its account's share of the slots."""
        return self.standing is not None and self.standing.level > 0

    @property
    def is_within_share(self) -> bool:
        """Whether shares are in use and it is within that of its account."""
        return self.standing is not None and not self.standing.level

    def _position(self, rank: Rank, due_at: float) -> QueuePosition:
        if self.standing is None:
            return QueuePosition(rank=rank, due_at=due_at)
        return QueuePosition(
            rank=rank, priority=self.priority, level=self.standing.level, due_at=due_at
        )

    def local_position(self, now: float) -> tuple[int, int, float, float]:
        """Returns its sort key among the requests queued at this instance."""
        position = self.position(now)
        return position.rank, self.priority, position.level, position.due_at

    def account_position(self, now: float) -> tuple[bool, int, float]:
        """Returns its sort key among the queued requests of its account."""
        is_late = now > self.on_time_by
        due_at = self.serve_by if is_late else self.on_time_by
        return is_late, self.priority, due_at
