"""What is known of one online request on its way to upstreams and back."""

from __future__ import annotations

import attrs
import trio

from coppercleat.ids import UpstreamId
from coppercleat.serving._admission_queue import MIN_RETRY_AFTER_S
from coppercleat.serving._answer_use import AnswerHead, head_of
from coppercleat.serving._model import OnlineRequest, Reply, Route
from coppercleat.serving._progress import AttemptEnd, Passed, RequestProgress
from coppercleat.serving._upstream_call import UpstreamAnswer


@attrs.define(eq=False)
class Exchange:
    """One request on its way, through all its attempts.

    Attributes:
      passed_by: The upstream that last refused, or took no connection in time; it
        gets one more chance, since another may not be left.
      heard_at: When the attempt began or its last event came, in trio's time.
      sent_at: When the attempt began, in trio's time.
      status: Of the attempt's answer; 0 before one.
      begun: What the client's answer has begun with; None before.
      load: Runs that the upstream was taken to have as the attempt began, this one
        included.
      reporters: Other instances whose work in flight was known then.
      silent: Whether the attempt was ended since the upstream was silent.
      disconnected: Whether it was ended since its connection broke.
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
    passed_by: str = ""
    reason: str = ""
    arrived_at: float = 0.0
    first_at: float = 0.0
    heard_at: float = 0.0
    sent_at: float = 0.0
    status: int = 0
    begun: AnswerHead | None = None
    load: int = 0
    reporters: int = 0
    silent: bool = False
    disconnected: bool = False
    waited_s: float = 0.0
    retry_after_s: float = MIN_RETRY_AFTER_S

    def allow_again(self, upstream: UpstreamId) -> None:
        """Lets an upstream be tried once more that has run nothing of the request."""
        if self.passed_by != upstream:
            self.passed_by = upstream
            self.tried.discard(upstream)

    async def begin(self, answer: UpstreamAnswer, passed: Passed) -> None:
        """Sends the head of the first answer; later ones go on in the same body.

        A stream that may go on elsewhere gets no length: another run's rest of it may
        have another, and the client would see its end too soon.
        """
        if self.begun is not None:
            return
        self.begun = head_of(answer)
        self.progress.passed = passed
        self.first_at = trio.current_time()
        headers = answer.headers
        if passed is Passed.EVENTS and self.route.resumes:
            headers = [h for h in headers if h[0].lower() != b"content-length"]
        await self.reply.start(answer.status, headers)

    async def finish(self) -> AttemptEnd:
        """Ends the answer as complete."""
        self.progress.passed = Passed.ALL
        await self.reply.finish()
        return AttemptEnd.COMPLETE

    def cut(self) -> AttemptEnd:
        """Returns how an attempt ended that broke off at work."""
        return AttemptEnd.CUT if self.progress.started else AttemptEnd.LOST
