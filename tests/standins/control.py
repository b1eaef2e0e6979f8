"""What all stand-ins share: a control path that sets knobs, and a start."""

from __future__ import annotations

import argparse
import contextlib
import json
import sys
from typing import Any

import msgspec
import trio

from coppercleat.asgi import read_body, send_json, serve_lifespan
from coppercleat.rpc import serve_application


class Controlled:
    """Wraps an ASGI application: ``POST /control`` sets knobs, GET reads."""

    def __init__(self, knobs: msgspec.Struct) -> None:
        self.knobs = knobs

    def report(self) -> dict[str, Any]:
        """Returns what a test may read."""
        return {}

    async def serve(self, scope: Any, receive: Any, send: Any) -> None:
        """Serves everything but the control path."""
        raise NotImplementedError

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        if scope["path"] != "/control":
            await self.serve(scope, receive, send)
            return
        if scope["method"] == "POST":
            changes = json.loads(await read_body(receive))
            known = msgspec.to_builtins(self.knobs) | changes
            self.knobs = msgspec.convert(known, type(self.knobs), strict=False)
            await self.knobs_changed(set(changes))
        report = {"knobs": msgspec.to_builtins(self.knobs), **self.report()}
        await send_json(send, 200, report)

    async def knobs_changed(self, names: set[str]) -> None:
        """Acts on new knobs."""


async def run_standin(application: Any, port: int, *background: Any) -> None:
    """Serves an application with tasks in the background, until killed."""
    async with trio.open_nursery() as nursery:
        for task in background:
            nursery.start_soon(task)
        await nursery.start(serve_application, application, f"127.0.0.1:{port}")
        print("started", flush=True)


def arguments(*names: str) -> argparse.Namespace:
    """Parses ``--port`` and further string flags."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    for name in names:
        parser.add_argument(f"--{name}", default="")
    return parser.parse_args()


def start(main: Any, *args: Any) -> None:
    """Runs a stand-in until it is interrupted."""
    with contextlib.suppress(KeyboardInterrupt):
        trio.run(main, *args)
    sys.exit(0)
