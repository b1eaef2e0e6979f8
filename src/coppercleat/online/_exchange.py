"""State of one online request in the pipeline."""

from __future__ import annotations

import functools

import attrs
import msgspec

from coppercleat.ids import RequestId, TenantId, UpstreamId
from coppercleat.quarantine import Fingerprint, fingerprint_of


class InferenceRequest(msgspec.Struct, kw_only=True):
    """An inference request as received."""

    deployment: str
    prompt: str
    max_tokens: int = 0
    adapter: str = ""


class ServiceRequest(msgspec.Struct, kw_only=True):
    """A request to a plain service as received."""

    route: str
    body: bytes


class Chunk(msgspec.Struct):
    """Part of a response.

    Attributes:
      text: Text of the tokens in this chunk.
      tokens: Number of tokens generated so far, this chunk included.
      body: Whole response body of a plain service; empty for an engine.
    """

    text: str
    tokens: int = 0
    body: bytes = b""


@attrs.define(kw_only=True)
class Exchange:
    """An online request and its progress.

    Filters and the dispatcher fill in the fields from ``tenant`` on. Times are
    monotonic seconds of this instance.

    Attributes:
      request_id: Id of the request.
      payload: The request as received.
      arrived_at: When the request arrived.
      deadline: When the request times out.
      bearer_token: Bearer token of the client account.
      at_most_once: Whether the request must never run twice.
      idempotency_key: Key under which retries find the response; empty for none.
      tenant: The authenticated client account.
      service: Service that runs the request.
      version: Version to run; empty for a plain service.
      path: URL path at the plain service.
      max_tokens: Maximum number of tokens to generate.
      stored_response: Stored response to an earlier request with the same key.
      generated: Tokens forwarded to the client so far.
      texts: Their texts, kept only for a request with an idempotency key.
      upstream: Upstream of the latest attempt.
      sent_at: When the first attempt was sent; 0 before.
      first_token_at: When the first token arrived; 0 before.
      attempts: Number of attempts started.
      may_have_run: Whether any failed attempt may have run.
      body: Whole response body of a plain service.
    """

    request_id: RequestId
    payload: InferenceRequest | ServiceRequest
    arrived_at: float
    deadline: float
    bearer_token: str = ""
    at_most_once: bool = False
    idempotency_key: str = ""

    tenant: TenantId = TenantId("")
    service: str = ""
    version: str = ""
    path: str = ""
    max_tokens: int = 0
    stored_response: Chunk | None = None
    generated: int = 0
    texts: list[str] = attrs.field(factory=list)
    upstream: UpstreamId = UpstreamId("")
    sent_at: float = 0.0
    first_token_at: float = 0.0
    attempts: int = 0
    may_have_run: bool = False
    body: bytes = b""

    @property
    def idempotent(self) -> bool:
        """Whether the request may be sent again although it may have run."""
        return not self.at_most_once

    @property
    def prompt(self) -> str:
        """The prompt; empty for a plain service."""
        return self.payload.prompt if isinstance(self.payload, InferenceRequest) else ""

    @functools.cached_property
    def fingerprint(self) -> Fingerprint:
        """Fingerprint of the content, the same when a client repeats the request."""
        payload = self.payload
        if isinstance(payload, InferenceRequest):
            target = f"{payload.deployment}/{payload.adapter}/{payload.max_tokens}"
            body = payload.prompt.encode()
        else:
            target, body = payload.route, payload.body
        return fingerprint_of(
            method=self.request_class,
            host="",
            target=target.encode(),
            account=self.tenant.encode(),
            body=body,
        )

    @property
    def request_class(self) -> str:
        """Value of the metric label ``class``."""
        return "infer" if isinstance(self.payload, InferenceRequest) else "call"
