"""Steps for the client of the RPCs, before a server that answers bytes."""

import json
import struct

import trio
from behave import then, when

from coppercleat.errors import RpcError
from coppercleat.rpc import RpcClient

HEADER = struct.Struct(">BI")


def envelope(flags, body):
    return HEADER.pack(flags, len(body)) + body


def body_of(words):
    """Returns the bytes of a body: words that name envelopes, or the text itself."""
    known = {
        "message": envelope(0, json.dumps({"text": "a"}).encode()),
        "garbled": envelope(0, b"<html>"),
        "list": envelope(0, b"[]"),
        "end": envelope(2, b"{}"),
        "garbled-end": envelope(2, b"<html>"),
        "empty-end": envelope(2, b""),
        "half-end": envelope(2, b"{}")[:-1],
        "error-end": envelope(2, b'{"error": {"code": "internal"}}'),
        "compressed": envelope(1, json.dumps({"text": "a"}).encode()),
        "nothing": b"",
    }
    return b"".join(known.get(word, word.encode()) for word in words.split())


@when('a {kind} call is answered {status:d} "{body}"')
def answered(context, kind, status, body):
    data = body_of(body)
    head = f"HTTP/1.1 {status} OK\r\ncontent-length: {len(data)}\r\n\r\n".encode()

    async def serve(stream):
        await stream.receive_some(65_536)
        await stream.send_all(head + data)

    async def run():
        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listener.socket.getsockname()[1]
            nursery.start_soon(trio.serve_listeners, serve, [listener])
            async with RpcClient(f"127.0.0.1:{port}") as client:
                context.outcome = await outcome(client, kind)
            nursery.cancel_scope.cancel()

    trio.run(run)


async def outcome(client, kind):
    try:
        if kind == "unary":
            return json.dumps(await client.call("S", "M", {}))
        parts = [part async for part in client.stream("S", "M", [{}])]
        return " ".join(part["text"] for part in parts) or "-"
    except RpcError as error:
        return f"error {error.code}"


@then("the caller has {outcome}")
def caller_has(context, outcome):
    assert context.outcome == outcome, context.outcome
