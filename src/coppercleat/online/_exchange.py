"""One online request on its way through the filters."""

from __future__ import annotations

import functools

import attrs
import msgspec

from coppercleat.ids import RequestId, TenantId, UpstreamId
from coppercleat.quarantine import Fingerprint, fingerprint_of


class InferenceRequest(msgspec.Struct, kw_only=True):
    """An inference as asked."""

    deployment: str
    prompt: str
    max_tokens: int = 0
    adapter: str = ""


class ServiceRequest(msgspec.Struct, kw_only=True):
    """A call to a plain service as asked."""

    route: str
    body: bytes


class Chunk(msgspec.Struct):
    """A part of an answer: the texts of tokens that came together.

    Attributes:
      tokens: How many tokens the answer has so far.
      body: The whole answer of a plain service instead.
    """

    text: str
    tokens: int = 0
    body: bytes = b""


@attrs.define(kw_only=True)
class Exchange:
    """What is known of a request; filters fill in the lower part.

    Attributes:
      arrived_at: On this instance's clock, in seconds.
      deadline: On the same clock.
      at_most_once: Whether it may never run twice.
      idempotency_key: The caller's key by which resends find the answer.
      service: Service that runs it, by the configuration.
      version: Version that runs it; empty for a plain service.
      path: Path of the plain service.
      max_tokens: Tokens to make.
      stored: An earlier answer to the same key.
      generated: Tokens passed on so far.
      texts: Their texts, kept only while a resend may ask for them.
      sent_at: When it was first sent to an upstream; 0 for not yet.
      first_token_at: When the first token came; 0 for not yet.
      attempts: Attempts begun.
      may_have_run: Whether any attempt so far may have run.
      body: The whole answer of a plain service.
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
    stored: Chunk | None = None
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
        """Whether it may be sent again after it may have run."""
        return not self.at_most_once

    @property
    def prompt(self) -> str:
        """The prompt, or nothing for a plain service."""
        return self.payload.prompt if isinstance(self.payload, InferenceRequest) else ""

    @functools.cached_property
    def fingerprint(self) -> Fingerprint:
        """Names what it asks: the same when a client asks again."""
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
        """The class that histograms are kept by."""
        return "infer" if isinstance(self.payload, InferenceRequest) else "call"
