"""Steps for the proxy that stands between the processes of a test."""

import functools

import trio
from behave import given, then, when

from tests.harness import free_port
from tests.standins.proxy import Knobs, Link, Proxy

_PARTS = (b"first ", b"second ", b"third")
_TAKES_S = 0.3
"""Within this time a part has gone through, or is lost."""


@given("a proxy before a server that answers in parts")
def a_proxy(context):
    context.port = free_port()


@when("three parts are sent {way}, the second beside {harm}")
def send_parts(context, way, harm):
    trio.run(play, context, way, harm)


async def play(context, way, harm):
    accepted, takes = trio.open_memory_channel(1)

    async def accept(stream):
        await accepted.send(stream)
        await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        serve = functools.partial(trio.serve_tcp, host="127.0.0.1")
        [listener] = await nursery.start(serve, accept, 0)
        target = "{}:{}".format(*listener.socket.getsockname()[:2])
        proxy = Proxy(nursery)

        async def set_harm(**harms):
            proxy.knobs = Knobs(links={context.port: Link(target=target, **harms)})
            await proxy.knobs_changed({"links"})

        await set_harm()
        client = await trio.open_tcp_stream("127.0.0.1", context.port)
        server = await takes.receive()
        ends = (server, client) if way == "to the client" else (client, server)
        harmed = {"silence": 1} if harm == "silence" else {harm: True}
        context.came = await pass_parts(*ends, [{}, harmed, {}], set_harm)
        nursery.cancel_scope.cancel()


async def pass_parts(sender, receiver, harms, set_harm):
    """Sends each part under its harm; returns what has come in the end."""
    came = b""
    for part, harm in zip(_PARTS, harms, strict=True):
        await set_harm(**harm)
        await sender.send_all(part)
        with trio.move_on_after(_TAKES_S):
            while True:
                came += await receiver.receive_some()
    return came


@then("what has come is a beginning of what was sent, and lacks what was lost")
def a_beginning(context):
    assert context.came == _PARTS[0], context.came
