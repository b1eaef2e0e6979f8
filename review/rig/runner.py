"""Stand-in for a model runner: a process that streams numbered events.

It writes a line to its log as a run begins and as it ends, so that what it ran is known
however it ends itself. ``python3 -m rig.runner --help`` lists its settings.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import pathlib
import time

from rig.wire import Call, reply, serve

_QUEUE = 24


class Runner:
    """Serves requests in a number of slots."""

    def __init__(self, options: argparse.Namespace) -> None:
        """Takes the settings of ``main``."""
        self.options = options
        self.slots = asyncio.Semaphore(options.slots)
        self.running = 0
        self.waiting = 0
        self.answers = 0
        self.log = pathlib.Path(options.log)

    def note(self, **fields: object) -> None:
        """Writes a line to the log."""
        entry = {"at": time.time(), "runner": self.options.id} | fields
        with self.log.open("a", encoding="utf-8") as log:
            log.write(json.dumps(entry) + "\n")

    async def handle(self, call: Call) -> None:
        """Answers a call."""
        if call.method == "GET" and call.path == "/v1/report":
            body = {"stage": "dual", "models": [], "busy": False, "seqNo": 1}
            body |= {"queued": self.waiting, "running": self.running}
            await reply(call, 200, json.dumps(body).encode())
        elif call.headers.get("expect-instance", self.options.id) != self.options.id:
            await reply(call, 421, headers={"instance-id": self.options.id})
        elif call.method == "GET" and call.path == "/health":
            await reply(call, 200, headers={"instance-id": self.options.id})
        elif self.waiting >= _QUEUE:
            await reply(call, 503, headers={"not-executed": "1"})
        else:
            await self._admit(call)

    async def _admit(self, call: Call) -> None:
        self.waiting += 1
        work = asyncio.create_task(self._run_in_slot(call))
        leaves = asyncio.create_task(call.closed.wait())
        await asyncio.wait({work, leaves}, return_when=asyncio.FIRST_COMPLETED)
        for task in (work, leaves):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError, ConnectionError):
                await task

    async def _run_in_slot(self, call: Call) -> None:
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            await self._run(call)
        finally:
            self.running -= 1
            self.slots.release()

    async def _run(self, call: Call) -> None:
        options, request = self.options, call.headers.get("request-id", "")
        after = int(call.headers.get("last-event-id", 0))
        self.answers += 1
        unframed = bool(options.unframed) and self.answers % options.unframed == 0
        self.note(
            what="runs",
            id=request,
            after=after,
            unframed=unframed,
            target=call.target,
        )
        head = {
            "request-id": request,
            "response-stamp": f"{options.id}.{request}",
            "content-type": "text/event-stream",
        }
        head |= (
            {"connection": "close"} if unframed else {"transfer-encoding": "chunked"}
        )
        lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in head.items())]
        call.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        outcome = "left"
        try:
            await self._send_events(call, after, unframed=unframed)
            outcome = "ends"
        finally:
            self.note(what=outcome, id=request, after=after, unframed=unframed)

    async def _send_events(self, call: Call, after: int, *, unframed: bool) -> None:
        options, request = self.options, call.headers.get("request-id", "")
        for number in range(after + 1, options.events + 1):
            await asyncio.sleep(options.event_ms / 1000)
            event = f"id: {number}\ndata: {request} {number}\n\n".encode()
            call.writer.write(event if unframed else _chunk(event))
            await call.writer.drain()
        if not unframed:
            call.writer.write(b"0\r\n\r\n")
        await call.writer.drain()


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


async def main() -> None:
    """Serves until killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--id", required=True)
    parser.add_argument("--log", required=True)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--events", type=int, default=100)
    parser.add_argument("--event-ms", type=float, default=20.0)
    parser.add_argument(
        "--unframed", type=int, default=0, help="each so manieth answer has no length"
    )
    runner = Runner(parser.parse_args())
    server = await serve(runner.options.port, runner.handle, keep=False)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
