"""What is known of one online request on its way to upstreams and back."""

from __future__ import annotations

import attrs
import trio

from coppercleat.ids import UpstreamId
from coppercleat.serving._admission_queue import RETRY_AFTER_S
from coppercleat.serving._model import Header, OnlineRequest, Reply, Route
from coppercleat.serving._progress import AttemptEnd, RequestProgress


@attrs.define(eq=False)
class Exchange:
    """One request on its way, through all its attempts.

    Attributes:
      refused_by: The upstream that refused last; it gets one more chance.
      heard_at: When the attempt began or its last event came, in trio's time.
      sent_at: When the attempt began, in trio's time.
      status: Of the attempt's answer; 0 before one.
      load: Runs that the upstream was taken to have as the attempt began, this one
        included.
      tellers: Other instances whose work in flight was known then.
      silent: Whether the attempt was ended since the upstream was silent.
      waited_s: Seconds for which it waited for slots, at all attempts.
      retry_after_s: When to come back, if it is refused as not run.
    """

    request: OnlineRequest
    route: Route
    reply: Reply
    progress: RequestProgress
    ends_at: float
    tried: set[UpstreamId] = attrs.field(factory=set)
    upstream: str = ""
    refused_by: str = ""
    reason: str = ""
    arrived_at: float = 0.0
    first_at: float = 0.0
    heard_at: float = 0.0
    sent_at: float = 0.0
    status: int = 0
    load: int = 0
    tellers: int = 0
    silent: bool = False
    waited_s: float = 0.0
    retry_after_s: float = RETRY_AFTER_S

    async def start_answer(self, status: int, headers: list[Header]) -> None:
        """Sends the head of the first answer; later ones go on in the same body."""
        if self.progress.started:
            return
        self.progress.started = True
        self.first_at = trio.current_time()
        await self.reply.start(status, headers)

    def cut(self) -> AttemptEnd:
        """Returns how an attempt ended that broke off at work."""
        return AttemptEnd.CUT if self.progress.started else AttemptEnd.LOST
