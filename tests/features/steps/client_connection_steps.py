"""Steps for connections of clients that are closed."""

import socket
import struct

import trio
import trio.lowlevel
from behave import then, when

from coppercleat.asgi import send_json, serve_lifespan
from coppercleat.rpc import serve_application

REQUEST = b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n{}"
ANSWER_S = 0.05


async def application(scope, receive, send):
    if scope["type"] == "lifespan":
        await serve_lifespan(receive, send)
        return
    while (await receive()).get("more_body"):
        pass
    await trio.sleep(ANSWER_S)
    await send_json(send, 200, {})


async def answered(stream):
    await stream.send_all(REQUEST)
    data = b""
    while not data.endswith(b"{}"):
        data += await stream.receive_some()


async def twice(stream):
    await answered(stream)
    await answered(stream)


async def nothing(stream):
    await trio.sleep(ANSWER_S)


async def part_of_request(stream):
    await stream.send_all(REQUEST[:-1])
    await trio.sleep(ANSWER_S)


async def request_only(stream):
    await stream.send_all(REQUEST)
    await trio.sleep(ANSWER_S / 2)


async def reset(stream):
    await answered(stream)
    option = struct.pack("ii", 1, 0)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)


async def half_closed(stream):
    await stream.send_all(REQUEST)
    await stream.send_eof()
    while await stream.receive_some():
        pass


BEFORE_CLOSE = {
    "after an answer": answered,
    "after two answers": twice,
    "before a request": nothing,
    "within a request": part_of_request,
    "within an answer": request_only,
    "by a reset": reset,
    "for writing, then wholly": half_closed,
}


def tasks():
    return trio.lowlevel.current_statistics().tasks_living


@when("{count:d} clients of a server close their connections {moment}")
def close_connections(context, count, moment):
    async def client(address):
        host, _, port = address.partition(":")
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            with trio.move_on_after(1):
                await BEFORE_CLOSE[moment](stream)

    async def main():
        async with trio.open_nursery() as nursery:
            [url] = await nursery.start(serve_application, application, "127.0.0.1:0")
            # The server's own tasks begin after it has said that it listens.
            await trio.sleep(0.1)
            before = tasks()
            async with trio.open_nursery() as clients:
                for _ in range(count):
                    clients.start_soon(client, url.removeprefix("http://"))
            with trio.move_on_after(1):
                while tasks() > before:
                    await trio.sleep(0.01)
            context.left = tasks() - before
            nursery.cancel_scope.cancel()

    trio.run(main)


@then("nothing is left of them within 1 s")
def nothing_left(context):
    assert context.left == 0, context.left
