"""Steps for the small engine's answer to a reader that falls behind."""

import itertools

import msgspec
import trio
import trio.testing
from behave import then, when

from coppercleat.emulator import EngineApp, EngineSpeed

TOKENS = 5000
"""More than the engine holds for one reader."""


@when("a reader that takes {pace} asks the engine for a {kind} answer")
def ask_engine(context, pace, kind):
    context.sent = []
    app = EngineApp("engine", speed=EngineSpeed(), versions={"v"})
    body = {"model": "v", "prompt": "p", "max_tokens": TOKENS}
    body["stream"] = kind == "streamed"
    calls = itertools.count()

    async def receive():
        if next(calls):
            await trio.sleep_forever()
        return {"type": "http.request", "body": msgspec.json.encode(body)}

    async def send(message):
        if pace == "nothing for a while" and len(context.sent) == 1:
            await trio.sleep(60)
        context.sent.append(message)

    async def run():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(app.run)
            path = "/v1/completions"
            scope = {"type": "http", "method": "POST", "path": path}
            await app(scope, receive, send)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then("the engine's answer is {end}")
def engine_answer_is(context, end):
    bodies = [m for m in context.sent if m["type"] == "http.response.body"]
    ended = bool(bodies) and not bodies[-1].get("more_body", False)
    marked = any(b"[DONE]" in message["body"] for message in bodies)
    assert ended == (end == "whole"), context.sent[-1]
    assert marked <= ended, "an end marker in an answer that is cut"
