"""Steps for a gateway's process that stands still while others go on."""

import signal
import time

import trio
from behave import then, when

from tests.features.steps.gateway_steps import JOB, all_whole
from tests.harness import RESUMABLE


@when("gateway 1 stands still for {seconds:g} s while the last {n:d} bytes arrive")
def rest_arrives_unread(context, seconds, n):
    process = context.fleet.processes["gateway-1"]
    process.signal(signal.SIGSTOP)
    context.client.sendall(b"x" * n)
    time.sleep(seconds)
    process.signal(signal.SIGCONT)


@when("gateway 1 stands still for {seconds:g} s in the middle of {count:d} {runs}")
def stands_still(context, seconds, count, runs):
    context.answers = []
    context.fleet.run(_stand_still, context, seconds, count, runs)


async def _stand_still(context, seconds, count, runs):
    system, process = context.fleet, context.fleet.processes["gateway-1"]

    async def ask(number):
        answer = await system.ask("gateway-1", RESUMABLE, f"q{number}")
        context.answers.append(answer)

    async with trio.open_nursery() as nursery:
        if runs == "items of a job":
            context.items = [f"item {number}" for number in range(count)]
            await system.submit("gateway-1", JOB, context.items)
        else:
            for number in range(count):
                nursery.start_soon(ask, number)
        await trio.sleep(0.8)
        process.signal(signal.SIGSTOP)
        # The runners' events arrive all the while, and wait in the sockets.
        await trio.sleep(seconds)
        process.signal(signal.SIGCONT)
        await trio.sleep(4)
    context.runs = await system.runs()


@then("each was run once, and none was taken for silent")
def run_once(context):
    all_whole(context)
    output = context.fleet.processes["gateway-1"].output()
    ids = [run["id"] for run in context.runs]
    assert len(ids) == len(set(ids)), sorted(ids)
    assert "A run was left unheard." not in output
