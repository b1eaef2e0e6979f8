"""Stand-in for a model engine: the emulator behind a layer of faults."""

from __future__ import annotations

import os
from typing import Any

import msgspec
import trio

from coppercleat.emulator import EngineApp, EngineSpeed
from tests.standins.control import Controlled, arguments, run_standin, start


class Knobs(msgspec.Struct, kw_only=True):
    """What a test can set; counts are of further requests that it hits.

    Attributes:
      leaving: Announce leaving.
      refusing: Refuse requests as not run.
      hang: Take requests and never answer.
      cross: Answer with another request's id.
      cut: Close after so many parts of the body; -1 for never.
      cut_next: So many requests are cut.
      die_after: Exit after so many parts; -1 for never.
      fail_next: So many requests are answered with status 500.
      reject_prompts: Prompts with this text are answered with status 400.
      deadly: Prompts with this text end the process as their first token comes.
      slow_every: Every so-manieth request waits, 0 for none.
      slow_s: For so long.
      silent: Give no load reports.
    """

    leaving: bool = False
    refusing: bool = False
    hang: bool = False
    cross: int = 0
    cut: int = -1
    cut_next: int = 0
    die_after: int = -1
    fail_next: int = 0
    reject_prompts: str = ""
    deadly: str = ""
    slow_every: int = 0
    slow_s: float = 0.0
    silent: bool = False


class CutError(Exception):
    """Ends a response in the middle."""


class EngineStandin(Controlled):
    """Serves an ``EngineApp`` with faults, and logs every execution."""

    def __init__(self, engine: EngineApp) -> None:
        super().__init__(Knobs())
        self.engine = engine
        self.executions: list[str] = []
        self.orders: list[dict[str, Any]] = []
        self.requests = 0
        self.tokens = {"online": 0, "batch": 0}
        self.active = {"online": 0, "batch": 0}
        self.yields: list[float] = []
        self.online_since: float | None = None
        engine.on_execution = self.executions.append

    async def knobs_changed(self, names: set[str]) -> None:
        self.engine.leaving = self.knobs.leaving
        self.engine.refusing = self.knobs.refusing

    def report(self) -> dict[str, Any]:
        return {
            "executions": self.executions,
            "running": len(self.engine.engine.running),
            "waiting": len(self.engine.engine.waiting),
            "versions": sorted(self.engine.versions),
            "orders": self.engine.order_log,
            "tokens": self.tokens,
            "busy_s": self.engine.busy_s,
            "yields_s": self.yields,
        }

    async def serve(self, scope: Any, receive: Any, send: Any) -> None:
        knobs = self.knobs
        if scope["path"] == "/load" and knobs.silent:
            await trio.sleep_forever()
        if scope["path"] != "/v1/completions":
            await self.engine(scope, receive, send)
            return
        self.requests += 1
        if knobs.hang:
            await send(_head(200))
            await trio.sleep_forever()
        if knobs.slow_every and self.requests % knobs.slow_every == 0:
            await trio.sleep(knobs.slow_s)
        if knobs.fail_next > 0:
            knobs.fail_next -= 1
            headers = dict(scope["headers"])
            self.executions.append(headers[b"x-request-id"].decode())
            await send(_head(500))
            await send({"type": "http.response.body", "body": b"{}"})
            return
        receive = self._watched(_checked(receive, knobs))
        request_id = dict(scope["headers"]).get(b"x-request-id", b"").decode()
        kind = "batch" if "-" in request_id else "online"
        self._started(kind)
        try:
            await self.engine(scope, receive, self._faulty(send, kind))
        finally:
            self._ended(kind)

    def _watched(self, receive: Any) -> Any:
        """Notes whether a body is a deadly one."""

        async def watched() -> Any:
            message = await receive()
            text = self.knobs.deadly.encode()
            if text and text in message.get("body", b""):
                self.knobs.die_after = 0
            return message

        return watched

    def _started(self, kind: str) -> None:
        self.active[kind] += 1
        if kind == "online" and self.active["batch"] and self.online_since is None:
            self.online_since = trio.current_time()

    def _ended(self, kind: str) -> None:
        """Notes how long batch took to let go of the engine."""
        self.active[kind] -= 1
        if kind == "batch" and not self.active["batch"] and self.online_since:
            self.yields.append(trio.current_time() - self.online_since)
            self.online_since = None
        if kind == "online" and not self.active["online"]:
            if self.online_since is not None:
                self.yields.append(trio.current_time() - self.online_since)
            self.online_since = None

    def _faulty(self, send: Any, kind: str) -> Any:
        knobs = self.knobs
        crossed = knobs.cross > 0
        cut = knobs.cut_next > 0
        knobs.cross -= crossed
        knobs.cut_next -= cut
        parts = 0

        async def faulty(message: Any) -> None:
            nonlocal parts
            if message["type"] == "http.response.body":
                if cut and parts >= knobs.cut:
                    raise CutError
                if 0 <= knobs.die_after <= parts:
                    os._exit(1)
                parts += 1
                self.tokens[kind] += 1
                if crossed:
                    body = message["body"].replace(b'"id":"', b'"id":"other-')
                    message = {**message, "body": body}
            await send(message)

        return faulty


def _head(status: int) -> dict[str, Any]:
    headers = [(b"content-type", b"application/json")]
    return {"type": "http.response.start", "status": status, "headers": headers}


def _checked(receive: Any, knobs: Knobs) -> Any:
    """Turns a rejected prompt into a body that the engine answers with 400."""

    async def checked() -> Any:
        message = await receive()
        text = knobs.reject_prompts.encode()
        if text and text in message.get("body", b""):
            return {**message, "body": b'{"rejected": true}'}
        return message

    return checked


async def main(options: Any) -> None:
    """Serves until killed."""
    speed = EngineSpeed()
    if options.speed:
        speed = EngineSpeed(**msgspec.json.decode(options.speed))
    engine = EngineApp(
        options.name,
        speed=speed,
        versions=set(filter(None, options.versions.split(","))),
        checks_fencing=options.fencing != "ignores",
    )
    await run_standin(EngineStandin(engine), options.port, engine.run)


if __name__ == "__main__":
    start(main, arguments("name", "versions", "fencing", "speed"))
