"""The state of one online request across all its attempts."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import trio

from coppercleat.ids import (
    UNKNOWN_VERSION,
    SoftwareVersion,
    StreamKey,
    UpstreamId,
)
from coppercleat.serving._answer_use import ResponseHead, response_head
from coppercleat.serving._fair_share import ShareStanding
from coppercleat.serving._model import OnlineRequest, Reply, Route
from coppercleat.serving._progress import AttemptOutcome, ForwardedPart, RequestProgress
from coppercleat.serving._queued_request import MIN_RETRY_AFTER_S
from coppercleat.serving._stream_origins import StreamOrigin, stream_key
from coppercleat.serving._tried import TriedUpstreams
from coppercleat.serving._upstream_call import UpstreamResponse


@attrs.define(eq=False)
class Exchange:
    """One online request with its response; times are in trio's time.

    Attributes:
      deadline: When the client or the route stops waiting.
      tried: Upstreams that must not be tried now.
      upstream: Upstream of the current attempt.
      service: Service of that upstream.
      version: Version of that upstream's software.
      origin: What began the stream that the client gets; None before its first event.
      on_begun: Called with it once the answer's first event has come.
      retried_upstream: Upstream that has been granted one retry after it refused the
        request or did not accept a connection.
      reason: Why the last attempt failed or the request was rejected; may reach the
        client.
      first_byte_at: When the first byte was forwarded; 0 before that.
      last_received_at: When the attempt began or its last event arrived.
      attempt_started_at: When the attempt began.
      status: HTTP status of the attempt's response; 0 before one arrives.
      sent_head: Head that has been sent to the client; None before that.
      load: Estimated load of the upstream when the attempt began, the attempt
        included.
      reporters: Number of other instances whose counts were known when the attempt
        began.
      stalled: Whether the attempt was ended because the upstream stalled.
      disconnected: Whether the attempt failed because its connection broke.
      waited_s: Seconds spent in the queue for slots, over all attempts.
      standing: How its account stood to its share of the slots when it last had to
        wait; None if it had not to, or fair sharing is off.
      retry_after_s: Delay to suggest to the client if the request was not run.
    """

    request: OnlineRequest
    route: Route
    reply: Reply
    progress: RequestProgress
    deadline: float
    tried: TriedUpstreams = attrs.field(
        factory=lambda: TriedUpstreams(trio.current_time)
    )
    upstream: str = ""
    version: SoftwareVersion = UNKNOWN_VERSION
    origin: StreamOrigin | None = None
    on_begun: Callable[[StreamOrigin], None] = lambda origin: None
    service: str = ""
    retried_upstream: str = ""
    reason: str = ""
    arrived_at: float = 0.0
    first_byte_at: float = 0.0
    last_received_at: float = 0.0
    attempt_started_at: float = 0.0
    status: int = 0
    sent_head: ResponseHead | None = None
    load: int = 0
    reporters: int = 0
    stalled: bool = False
    disconnected: bool = False
    waited_s: float = 0.0
    standing: ShareStanding | None = None
    retry_after_s: float = MIN_RETRY_AFTER_S

    def allow_retry(self, upstream: UpstreamId) -> None:
        """Allows one more attempt at an upstream that did not run the request."""
        if self.retried_upstream != upstream:
            self.retried_upstream = upstream
            self.tried.discard(upstream)

    async def send_head(
        self, response: UpstreamResponse, forwarded: ForwardedPart
    ) -> None:
        """Sends the head of the first response; later ones continue its body.

        A resumable stream gets no content length, since the bytes of a resuming attempt
        may differ and the client would then see a truncated body.
        """
        if self.sent_head is not None:
            return
        self.sent_head = response_head(response)
        self.progress.forwarded = forwarded
        self.first_byte_at = trio.current_time()
        headers = response.headers
        if forwarded is ForwardedPart.EVENTS and self.route.resumes:
            headers = [h for h in headers if h[0].lower() != b"content-length"]
        await self.reply.start(response.status, headers)

    @property
    def takes_up(self) -> bool:
        """Whether the client goes on with a stream that was broken off."""
        request = self.request
        names_one = request.resume_after is not None or request.resumes is not None
        return self.route.resumes and names_one

    @property
    def stream(self) -> StreamKey:
        """Key of the stream, by the attempt that brought its first event."""
        request = self.request
        return stream_key(request.host, request.resumes or request.request_id)

    def record_origin(self) -> None:
        """Records that the current attempt's first event is about to be forwarded."""
        if self.sent_head is not None:
            return
        if self.origin is None:
            self.origin = StreamOrigin(self.service, self.version)
        self.on_begun(self.origin)

    async def finish(self) -> AttemptOutcome:
        """Ends the response as complete."""
        self.progress.forwarded = ForwardedPart.ALL
        await self.reply.finish()
        return AttemptOutcome.COMPLETE

    def broken_outcome(self) -> AttemptOutcome:
        """Returns the outcome of a failed attempt that may have run."""
        return AttemptOutcome.CUT if self.progress.started else AttemptOutcome.LOST
