"""The engine as an ASGI application, by the interface that engines share.

``POST /v1/completions`` takes JSON and answers with JSON or, for
``"stream": true``, with server-sent events that end with ``data: [DONE]``.
``GET /load`` reports, with a lag, what runs and waits. ``POST /orders`` takes
orders to load or unload a version.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs
import msgspec
import trio

from coppercleat.asgi import (
    Receive,
    Scope,
    Send,
    read_body,
    send_json,
    send_part,
    serve_lifespan,
    start_response,
)
from coppercleat.emulator._engine import Engine, EngineSpeed, Sequence

_STREAM_BUFFER = 4096


class CompletionBody(msgspec.Struct, kw_only=True):
    """Body of ``/v1/completions``."""

    model: str
    prompt: str
    max_tokens: int = 16
    stream: bool = False
    request_id: str = ""
    resume_tokens: int = 0


class OrderBody(msgspec.Struct, kw_only=True):
    """Body of ``/orders``."""

    action: str
    version: str
    fence: int


@attrs.define
class Delivery:
    """A sequence and the channel that carries its tokens.

    Attributes:
      whole: Whether all tokens have gone into the channel.
    """

    sequence: Sequence
    send: trio.MemorySendChannel[str]
    tokens: trio.MemoryReceiveChannel[str]
    whole: bool = False


class EngineApp:
    """Runs one engine and answers its HTTP calls.

    Attributes:
      executions: Told of each execution that starts, with its request id.
      leaving: Whether the engine announces that it is leaving.
      refusing: Whether requests are refused as not run.
      fence: The highest fencing number seen.
      checks_fencing: Whether older fencing numbers are refused.
      versions: The versions loaded.
      order_log: Orders carried out, in order.
      busy_s: Seconds spent in steps so far.
    """

    def __init__(
        self,
        name: str,
        *,
        speed: EngineSpeed,
        versions: set[str],
        checks_fencing: bool = True,
        report_lag_s: float = 0.25,
        on_execution: Callable[[str], None] = lambda request_id: None,
    ) -> None:
        self.name = name
        self.engine = Engine(speed)
        self.versions = versions
        self.checks_fencing = checks_fencing
        self.fence = 0
        self.leaving = False
        self.refusing = False
        self.order_log: list[str] = []
        self.busy_s = 0.0
        self.on_execution = on_execution
        self._report_lag_s = report_lag_s
        self._report = b""
        self._deliveries: dict[int, Delivery] = {}
        self._work = trio.Event()
        self._routes = {
            ("POST", "/v1/completions"): self._complete,
            ("GET", "/load"): self._load,
            ("POST", "/orders"): self._order,
        }

    async def run(self) -> None:
        """Steps the engine for ever, and refreshes the lagging report."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._step_forever)
            nursery.start_soon(self._report_forever)

    async def _step_forever(self) -> None:
        while True:
            if self.engine.idle:
                self._work = trio.Event()
                await self._work.wait()
            result = self.engine.step()
            self.busy_s += result.duration_s
            await trio.sleep(result.duration_s)
            for sequence, token in result.tokens:
                self._deliver(sequence, token)

    def _deliver(self, sequence: Sequence, token: str) -> None:
        delivery = self._deliveries.get(id(sequence))
        if delivery is None:
            return
        try:
            delivery.send.send_nowait(token)
        except (trio.WouldBlock, trio.BrokenResourceError):
            self.engine.cancel(sequence)
            delivery.send.close()
            return
        if sequence.finished:
            delivery.whole = True
            delivery.send.close()

    async def _report_forever(self) -> None:
        while True:
            self._report = self.report_now()
            await trio.sleep(self._report_lag_s)

    def report_now(self) -> bytes:
        """Returns the load report as of now, as JSON."""
        return msgspec.json.encode(
            {
                "engine": self.name,
                "running": len(self.engine.running),
                "waiting": len(self.engine.waiting),
                "kv_used": self.engine.kv_used,
                "kv_tokens": self.engine.speed.kv_tokens,
                "versions": sorted(self.versions),
                "state": "leaving" if self.leaving else "live",
                "fence": self.fence,
            }
        )

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serves one ASGI scope."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        handler = self._routes.get((scope["method"], scope["path"]))
        if handler is None:
            await send_json(send, 404, {"error": "no such path"})
            return
        body = await read_body(receive)
        await handler(body, receive, send)

    async def _load(self, body: bytes, receive: Receive, send: Send) -> None:
        await send_json(send, 200, msgspec.Raw(self._report or self.report_now()))

    async def _order(self, body: bytes, receive: Receive, send: Send) -> None:
        order = msgspec.json.decode(body, type=OrderBody)
        if self.checks_fencing and order.fence < self.fence:
            await send_json(send, 412, {"error": "old fence", "fence": self.fence})
            return
        self.fence = max(self.fence, order.fence)
        self.order_log.append(f"{order.action} {order.version} {order.fence}")
        if order.action == "load":
            self.versions.add(order.version)
        else:
            self.versions.discard(order.version)
        await send_json(send, 200, {"versions": sorted(self.versions)})

    async def _complete(self, body: bytes, receive: Receive, send: Send) -> None:
        try:
            request = msgspec.json.decode(body, type=CompletionBody)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            await send_json(send, 400, {"error": str(error)})
            return
        if self.refusing or request.model not in self.versions:
            why = "refusing" if self.refusing else f"{request.model} is not loaded"
            await send_json(send, 503, {"error": why, "not_run": True})
            return
        self.on_execution(request.request_id)
        sequence = Sequence(
            request_id=request.request_id,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            resumed_tokens=min(request.resume_tokens, request.max_tokens - 1),
        )
        delivery = self._start(sequence)
        try:
            respond = self._stream if request.stream else self._whole
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_on_disconnect, receive, nursery.cancel_scope)
                await respond(delivery, send)
                nursery.cancel_scope.cancel()
        finally:
            self._deliveries.pop(id(sequence), None)
            self.engine.cancel(sequence)

    def _start(self, sequence: Sequence) -> Delivery:
        delivery = Delivery(sequence, *trio.open_memory_channel[str](_STREAM_BUFFER))
        self._deliveries[id(sequence)] = delivery
        self.engine.submit(sequence)
        self._work.set()
        return delivery

    async def _stream(self, delivery: Delivery, send: Send) -> None:
        request_id = delivery.sequence.request_id
        await start_response(send, 200, b"text/event-stream", request_id)
        async for token in delivery.tokens:
            event = msgspec.json.encode({"id": request_id, "text": token})
            await send_part(send, b"data: " + event + b"\n\n")
        # The server breaks off what is left open; a reader that fell behind sees that.
        if delivery.whole:
            await send_part(send, b"data: [DONE]\n\n", more=False)

    async def _whole(self, delivery: Delivery, send: Send) -> None:
        sequence = delivery.sequence
        text = "".join([token async for token in delivery.tokens])
        await send_json(
            send,
            200,
            {
                "id": sequence.request_id,
                "text": text,
                "finish_reason": "length",
                "generated_tokens": sequence.generated,
            },
            request_id=sequence.request_id,
        )


async def _cancel_on_disconnect(receive: Receive, scope: trio.CancelScope) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()
