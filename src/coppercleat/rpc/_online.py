"""The online service: inference, streamed or whole, and calls of services."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncGenerator, AsyncIterator
from typing import Any

import trio

from coppercleat.errors import InvalidRequestError
from coppercleat.ids import RequestId, random_token
from coppercleat.instance import Instance
from coppercleat.online import Chunk, Exchange, InferenceRequest, ServiceRequest
from coppercleat.rpc._call import bearer_token, require_running
from coppercleat.rpc._errors import typed_errors
from coppercleat.v1 import online_pb
from coppercleat.v1.online_connect import OnlineService

_MS = 1000
_MAX_DEADLINE_MS = 3_600_000
_FINISHED = "length"


class OnlineRpc(OnlineService):
    """Serves ``coppercleat.v1.OnlineService``."""

    def __init__(self, instance: Instance) -> None:
        self.instance = instance

    async def infer(
        self, request: online_pb.InferRequest, ctx: Any
    ) -> online_pb.InferResponse:
        """Returns the whole answer at once."""
        with typed_errors():
            exchange = self._infer_exchange(request, ctx)
            texts = [chunk.text async for chunk in self._run(exchange)]
            return online_pb.InferResponse(
                request_id=exchange.request_id,
                text="".join(texts),
                generated_tokens=exchange.generated,
                finish_reason=_FINISHED,
                upstream=exchange.upstream,
            )

    async def infer_stream(
        self, request: online_pb.InferRequest, ctx: Any
    ) -> AsyncIterator[online_pb.InferChunk]:
        """Yields the answer as it is generated; the last chunk says why it ends."""
        with typed_errors():
            exchange = self._infer_exchange(request, ctx)
            async with contextlib.aclosing(self._run(exchange)) as chunks:
                async for chunk in chunks:
                    yield online_pb.InferChunk(
                        request_id=exchange.request_id,
                        text=chunk.text,
                        generated_tokens=chunk.tokens,
                    )
            yield online_pb.InferChunk(
                request_id=exchange.request_id,
                generated_tokens=exchange.generated,
                finish_reason=_FINISHED,
            )

    async def call(
        self, request: online_pb.CallRequest, ctx: Any
    ) -> online_pb.CallResponse:
        """Passes a request to a plain service."""
        with typed_errors():
            exchange = self._exchange(
                ServiceRequest(route=request.route, body=bytes(request.body)),
                request,
                ctx,
            )
            body = b"".join([chunk.body async for chunk in self._run(exchange)])
            return online_pb.CallResponse(
                request_id=exchange.request_id, body=body, upstream=exchange.upstream
            )

    async def _run(self, exchange: Exchange) -> AsyncGenerator[Chunk, None]:
        require_running(self.instance)
        async with contextlib.aclosing(self.instance.pipeline.run(exchange)) as chunks:
            async for chunk in chunks:
                yield chunk

    def _infer_exchange(self, request: online_pb.InferRequest, ctx: Any) -> Exchange:
        payload = InferenceRequest(
            deployment=request.deployment,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            adapter=request.adapter,
        )
        return self._exchange(payload, request, ctx)

    def _exchange(
        self,
        payload: InferenceRequest | ServiceRequest,
        request: online_pb.InferRequest | online_pb.CallRequest,
        ctx: Any,
    ) -> Exchange:
        online = self.instance.settings.online
        if request.deadline_ms > _MAX_DEADLINE_MS:
            raise InvalidRequestError(f"deadline_ms exceeds {_MAX_DEADLINE_MS}")
        allowed = request.deadline_ms / _MS or online.default_deadline_s
        now = trio.current_time()
        return Exchange(
            request_id=RequestId(random_token(self.instance.rng)),
            payload=payload,
            arrived_at=now,
            deadline=now + allowed,
            bearer_token=bearer_token(ctx),
            at_most_once=request.at_most_once,
            idempotency_key=request.idempotency_key,
        )
