"""Steps for runs whose callers are gone: those of before a start, and silent ones."""

import os

import trio
from behave import then, when

from tests.features.steps.gateway_steps import JOB, all_whole
from tests.harness import RESUMABLE, STREAM, until, waited_for_processor_s


@when("gateway 1 is killed and starts again")
def gateway_again(context):
    system = context.fleet
    system.processes["gateway-1"].kill()
    system.start_gateway("gateway-1")
    system.run(system.ready, "gateway-1")
    # It asks the runners as soon as it knows them.
    system.run(trio.sleep, 0.5)


@when("{count:d} stream requests come to it side by side")
def side_by_side(context, count):
    before = _processor_waits(context.fleet)
    context.took = context.fleet.run(_ask_side_by_side, context.fleet, count, "s")
    context.waited = {
        name: round(waited - before[name], 3)
        for name, waited in _processor_waits(context.fleet).items()
    }


def _processor_waits(system):
    """Returns how long each process has waited for a processor so far."""
    waits = {name: p.processor_wait_s() for name, p in system.processes.items()}
    return waits | {"the test itself": waited_for_processor_s(os.getpid())}


async def _ask_side_by_side(system, count, prefix):
    took = []

    async def ask(number):
        began = trio.current_time()
        answer = await system.ask("gateway-1", STREAM, f"{prefix}{number}")
        assert answer.status == 200, answer
        took.append(trio.current_time() - began)

    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(ask, number)
    return took


@then("all of them are answered within {within:g} s")
def answered_within(context, within):
    # A failure tells whether it was the machine that gave no processor meanwhile.
    told = f"took {context.took}; waited for a processor, by process: {context.waited}"
    assert max(context.took) <= within, told


@then("after runner 1 is free both run requests again")
def both_run_again(context):
    system = context.fleet
    system.run(lambda: system.control("runner-1", foreign=0))

    async def runner_1_runs():
        await _ask_side_by_side(system, 12, f"t{trio.current_time()}-")
        return any(run["runner"] == "runner-1" for run in await system.runs())

    system.run(until, "runner 1 runs requests again", runner_1_runs)


@when("of {count:d} {runs} those at runner 1 go silent for good and go on at runner 2")
def silence_runs(context, count, runs):
    context.silenced = count, runs


@when("{count:d} stream requests come to gateway {number:d} beside the silent runs")
def come_beside_silent_runs(context, count, number):
    silenced, runs = context.silenced
    gateway = f"gateway-{number}"
    context.fleet.run(_beside_silent_runs, context, silenced, runs, gateway, count)


async def _beside_silent_runs(context, silenced, runs, gateway, count):
    system = context.fleet
    context.answers = []

    async def ask_stream(number):
        request = f"beside-{number}"
        answer = await system.ask(gateway, STREAM, request, deadline_ms=20_000)
        context.answers.append(answer)

    async with trio.open_nursery() as nursery:
        if runs == "items of a job":
            items = [f"item {number}" for number in range(silenced)]
            await system.submit("gateway-1", JOB, items)
        else:
            for number in range(silenced):
                nursery.start_soon(system.ask, "gateway-1", RESUMABLE, f"q{number}")
        at_runner_1 = await _silence_runner_1(system, silenced)
        await until("they go on", lambda: _resumed(system, at_runner_1), wait_s=3)
        for number in range(count):
            nursery.start_soon(ask_stream, number)
        await until("silent runs end", lambda: _ended(system, at_runner_1))
        ended_at = trio.current_time()
        await until("all run", lambda: _have_run(system, count), wait_s=8)
        context.ran_after_s = trio.current_time() - ended_at


async def _silence_runner_1(system, count):
    """Returns how many runs there have gone silent."""

    async def all_run():
        return len(await system.runs()) == count

    await until("all run", all_run)
    await trio.sleep(0.3)
    report = await system.control("runner-1", silenced=1)
    assert report["running"] >= 3, report["running"]
    return report["running"]


async def _resumed(system, count):
    runs = await system.runs()
    return sum(run["after"] is not None for run in runs) >= count


async def _ended(system, count):
    """Whether the first runs at runner 1 have come to their end."""
    runs = [run for run in await system.runs() if run["runner"] == "runner-1"]
    return all(run["ended"] for run in runs[:count])


async def _have_run(system, count):
    runs = await system.runs()
    return sum(run["id"].startswith("beside-") for run in runs) >= count


@then("all are answered, and none waited at a runner for more than {within:g} s")
def none_queued(context, within):
    all_whole(context)
    waited = [
        context.fleet.run(context.fleet.control, name)["waited_s"]
        for name in context.fleet.runners
    ]
    assert max(waited) <= within, waited


@then("all of them ran at most {within:g} s after the silent runs had ended")
def ran_after(context, within):
    assert context.ran_after_s <= within, context.ran_after_s
