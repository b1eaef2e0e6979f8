"""Steps for kept connections to an upstream that have gone silent."""

import json
import socket

import trio
from behave import then, when

from coppercleat.errors import CoppercleatError
from coppercleat.ids import UpstreamId
from coppercleat.upstreams import Attempt, UpstreamClient


class Service:
    """Answers calls, but not on connections that have gone silent.

    Attributes:
      ran: Ids of the requests that were read.
      opened: Connections accepted.
    """

    def __init__(self):
        self.ran = []
        self.opened = 0
        self.silenced = 0

    async def serve(self, stream):
        self.opened += 1
        number, data = self.opened, b""
        async with stream:
            while True:
                while not _is_whole(data):
                    part = await stream.receive_some()
                    if number <= self.silenced:
                        await trio.sleep_forever()
                    if not part:
                        return
                    data += part
                request_id = _fields(data).get("x-request-id", "")
                data = b""
                self.ran.append(request_id)
                await trio.sleep(0.05)
                body = '{"running": 1}'
                head = f"x-request-id: {request_id}\r\ncontent-length: {len(body)}"
                answer = f"HTTP/1.1 200 OK\r\n{head}\r\n\r\n{body}"
                await stream.send_all(answer.encode())


def _fields(data):
    lines = data.partition(b"\r\n\r\n")[0].decode().lower().split("\r\n")[1:]
    return dict(line.split(": ", 1) for line in lines)


def _is_whole(data):
    head, end, body = data.partition(b"\r\n\r\n")
    return bool(end) and len(body) >= int(_fields(head).get("content-length", 0))


async def _call(client, request_id, *, within_s):
    """Returns whether a call was answered within a time."""
    with trio.move_on_after(within_s):
        try:
            await client.call("/x", b"{}", Attempt(), request_id=request_id)
        except CoppercleatError:
            return False
        return True
    return False


@when("{kept:d} kept connections to an upstream go silent, and {calls:d} {what} follow")
def calls_after_silence(context, kept, calls, what):
    context.service = service = Service()

    async def main():
        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, service.serve, [listener])
            port = listener.socket.getsockname()[1]
            client = UpstreamClient(
                UpstreamId("u"), f"127.0.0.1:{port}", connect_timeout_s=1.0
            )
            async with trio.open_nursery() as warming:
                for number in range(kept):
                    warming.start_soon(
                        lambda n=number: _call(client, f"warm-{n}", within_s=2)
                    )
            assert service.opened == len(service.ran) == kept, service.ran
            service.silenced = kept
            context.answered = [
                await _call(client, f"call-{number}", within_s=0.4)
                if what == "calls"
                else await client.load() is not None
                for number in range(calls)
            ]
            await client.aclose()
            nursery.cancel_scope.cancel()

    trio.run(main)


@then("{lost:d} of them is lost, and no request was read twice")
def few_lost(context, lost):
    assert context.answered.count(False) == lost, context.answered
    read = [request for request in context.service.ran if request]
    assert len(read) == len(set(read)), json.dumps(read)


@then("a connection whose bytes an upstream does not take ends within {within:g} s")
def kernel_gives_up(context, within):
    async def main():
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            client = UpstreamClient(
                UpstreamId("u"),
                f"127.0.0.1:{listener.getsockname()[1]}",
                connect_timeout_s=1.0,
            )
            attempt, began = Attempt(), trio.current_time()
            with trio.move_on_after(2 * within):
                try:
                    await client.call("/x", b"x" * 8_000_000, attempt, request_id="r")
                except CoppercleatError:
                    context.took = trio.current_time() - began
                    context.outcome = attempt.outcome.name

    context.took = float("inf")
    trio.run(main)
    assert context.took <= within, context.took
    assert context.outcome == "UNKNOWN", context.outcome
