"""Steps for connections to the store, with sockets of the test's own."""

import contextlib
import math

import trio
from behave import given, then, when

from coppercleat.errors import PlatformUnavailableError
from coppercleat.platform import StoreClient
from coppercleat.platform._store_connections import Drop
from coppercleat.platform._store_evidence import CallKind, Evidence
from coppercleat.rpc import RpcClient, RpcError
from coppercleat.storage import AnswerLostError, Put, Transaction


@given("answers to reads took {took:g} s of late")
def answers_took(context, took):
    context.evidence = Evidence()
    for n in range(5):
        context.evidence.note_answer(began=-n - took, now=-n)


@when("it begins, and then {event}")
def event_after(context, event):
    if event == "a later read is answered":
        context.evidence.note_answer(began=0.02, now=0.03)
    if event == "a kept connection is found dead":
        context.evidence.note_dead(0.03)


@then("a {call} that waits for {waited:g} s {verdict}")
def verdict_is(context, call, waited, verdict):
    dead = context.evidence.shows_dead(CallKind(call), began=0.0, now=waited)
    assert dead == (verdict == "has a dead connection"), context.evidence.usual_s


@given("a store that accepts connections and reads nothing")
def reads_nothing(context):
    context.reads = False


@given("a store that reads calls and answers none")
def answers_none(context):
    context.reads = True


def with_store(context, work):
    """Runs work with a client of the store, counting its connections."""

    async def with_client(address):
        client = StoreClient(
            f"http://{address}",
            on_drop=lambda why, count: context.dropped.append(why),
        )
        await work(client)
        await client.aclose()

    with_server(context, with_client)


def with_server(context, work):
    """Runs work with the address of a server that answers nothing."""
    context.opened, context.dropped = 0, []

    async def serve(stream):
        context.opened += 1
        with contextlib.suppress(trio.BrokenResourceError):
            while context.reads and await stream.receive_some():
                pass
            if not context.reads:
                await trio.sleep(math.inf)

    async def run():
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, serve, 0)
            port = listeners[0].socket.getsockname()[1]
            await work(f"127.0.0.1:{port}")
            nursery.cancel_scope.cancel()

    trio.run(run)


@when("a change of {size:d} MB is sent to it")
def big_change(context, size):
    async def change(client):
        began = trio.current_time()
        try:
            await client.transact(Transaction(puts=[Put("t/k", bytes(size * 10**6))]))
        except AnswerLostError:
            context.unknown_after_s = trio.current_time() - began

    with_store(context, change)


@then("it is unknown within {seconds:g} s whether the change was made")
def unknown_within(context, seconds):
    assert context.unknown_after_s < seconds, context.unknown_after_s


@when("an RPC of {size:d} MB is sent to it")
def big_rpc(context, size):
    async def call(address):
        began = trio.current_time()
        async with RpcClient(address) as client:
            try:
                await client.call("Any", "Any", {"text": "x" * size * 10**6})
            except RpcError as error:
                context.kind = error.info["kind"]
        context.took_s = trio.current_time() - began

    with_server(context, call)


@then("the RPC has failed as broken within {seconds:g} s")
def rpc_broken(context, seconds):
    assert context.kind == "broken"
    assert context.took_s < seconds, context.took_s


@then("connections were dropped as broken")
def dropped_broken(context):
    assert Drop.BROKEN in context.dropped, context.dropped


@when("{count:d} reads are made of it at once, again and again for {seconds:d} s")
def reads_at_once(context, count, seconds):
    reads_again(context, count, 0.0, seconds)


@when("{count:d} reads are made of it {s:g} s apart, again and again for {seconds:d} s")
def reads_apart(context, count, s, seconds):
    reads_again(context, count, s, seconds)


def reads_again(context, count, apart_s, seconds):
    context.asked = 0

    async def forever(client, begin_after_s):
        await trio.sleep(begin_after_s)
        while True:
            context.asked += 1
            with contextlib.suppress(PlatformUnavailableError):
                await client.read(["t/k"])

    async def read(client):
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                for number in range(count):
                    nursery.start_soon(forever, client, number * apart_s)

    with_store(context, read)


@then("at most {more:d} connections more were opened than reads were made")
def hardly_more(context, more):
    assert context.opened <= context.asked + more, (context.opened, context.asked)
