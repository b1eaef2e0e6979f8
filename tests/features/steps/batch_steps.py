"""Steps that submit batch jobs and check their state and results."""

import json
import time

import trio
from behave import then, when

from coppercleat.cli._batch import read_results, submit_lines
from coppercleat.emulator import expected_text
from coppercleat.rpc import RpcError
from tests.harness import until
from tests.harness.scenario import Outcome, act_on_entry, engines, entry

OPEN = "JOB_STATE_OPEN"


def lines_of(count):
    """Returns the items of a batch job as JSON Lines."""
    items = [{"prompt": f"item {i} of the lot", "id": f"m{i}"} for i in range(count)]
    return b"".join(json.dumps(item).encode() + b"\n" for item in items)


def submit(context, lines, number=1, **spec):
    """Submits a batch job; stores the response or the error in the context."""
    spec = {"deployment": "menus", "maxTokens": 8} | spec

    async def run():
        async with context.fleet.client(entry(context, number)) as client:
            return await submit_lines(client, spec, iter([lines] if lines else []))

    context.refusal = context.answer = None
    try:
        context.answer = context.fleet.run(run)
    except RpcError as error:
        context.refusal = error
        return
    context.job = context.answer["jobId"]
    context.tokens = spec["maxTokens"]
    context.count = context.answer["items"]


async def get_job(context, client):
    return await client.call("BatchService", "GetJob", {"jobId": context.job})


def some_entry(context):
    """Returns the name of the last running instance."""
    names = [
        name
        for name in context.fleet.entries
        if context.fleet.processes[name].running and name not in context.jobs
    ]
    return names[-1]


@when('a batch job of {count:d} items is submitted with key "{key}"')
def submit_job(context, count, key):
    submit(context, lines_of(count), jobKey=key)


@when('a batch job of {count:d} items is submitted for "{deployment}"')
def submit_for(context, count, deployment):
    submit(context, lines_of(count), deployment=deployment)


@when("a batch job of {count:d} items of {tokens:d} tokens is submitted")
def submit_long(context, count, tokens):
    submit(context, lines_of(count), maxTokens=tokens)


@when("a batch job of {count:d} items is submitted, due in {seconds:d} seconds")
def submit_due(context, count, seconds):
    context.due_at = time.time() + seconds
    submit(context, lines_of(count), dueAt=context.due_at)


@when("a batch job with the lines {lines} is submitted")
@when("a batch job with the lines  is submitted")
def submit_text(context, lines=""):
    text = lines.replace(";", "\n").encode().replace(b"\\xff", b"\xff")
    submit(context, text)


@when("the same batch job is submitted again at entry {number:d}")
def submit_again(context, number):
    context.first = context.job
    submit(context, lines_of(context.count), number, jobKey="sunday")


@when("another batch job is submitted with the same key")
def submit_other(context):
    submit(context, lines_of(context.count + 1), jobKey="sunday")


@when("the batch job has started")
def has_started(context):
    async def started():
        return await context.fleet.executions()

    context.fleet.run(lambda: until("the batch job starts", started))


@when("the batch dispatcher of engine {number:d} is {done}")
def act_on_dispatcher(context, number, done):
    name = engines(context)[number - 1]
    status = context.fleet.run(context.fleet.status, entry(context, 1))
    feeder = next(u["feeder"] for u in status["upstreams"] if u["upstream"] == name)
    context.acted_on = list(context.fleet.entries).index(feeder) + 1
    context.jobs[feeder] = done
    act_on_entry(context, context.acted_on, done)


@when("entries {first:d} and {second:d} are killed")
def kill_two(context, first, second):
    act_on_entry(context, first, "killed")
    act_on_entry(context, second, "killed")


@when("nothing is recovered")
def nothing(context):
    pass


@when("it is started again")
def start_again(context):
    act_on_entry(context, context.acted_on, "started again")


@when("it is resumed after {seconds:d} seconds")
def resume(context, seconds):
    time.sleep(seconds)
    act_on_entry(context, context.acted_on, "resumed")


@when("the platform is away for {seconds:d} seconds")
def platform_away(context, seconds):
    fleet = context.fleet
    fleet.run(lambda: fleet.control("platform", outage=True))
    time.sleep(seconds)
    fleet.run(lambda: fleet.control("platform", outage=False, lose_share=0.0))


@when("it is back after {seconds:d} seconds")
def platform_back(context, seconds):
    time.sleep(seconds)
    context.fleet.run(
        lambda: context.fleet.control("platform", outage=False, hang=False)
    )


@when("the batch job is cancelled at entry {number:d}")
def cancel(context, number):
    async def run():
        async with context.fleet.client(entry(context, number)) as client:
            await client.call("BatchService", "Cancel", {"jobId": context.job})
            context.results = [r async for r in read_results(client, context.job)]

    try:
        context.fleet.run(run)
    except RpcError as error:
        context.refusal = error


@when(
    "{count:d} requests of {tokens:d} tokens run at entry {number:d}"
    " after all batch items are preempted"
)
def run_until_preempted(context, count, tokens, number):
    context.outcomes = [Outcome(f"swap {index}") for index in range(count)]
    batch_tokens = context.tokens

    async def only_online():
        for name in engines(context):
            report = await context.fleet.control(name)
            if report["running"] != count or report["waiting"]:
                return False
        return True

    async def run():
        async with (
            context.fleet.client(entry(context, number)) as client,
            trio.open_nursery() as nursery,
        ):
            for outcome in context.outcomes:
                nursery.start_soon(lambda o=outcome: o.infer(client, maxTokens=tokens))
            await until("all batch items are preempted", only_online)

    context.fleet.run(run)
    for outcome in context.outcomes:
        assert outcome.text == expected_text(outcome.prompt, tokens), outcome.error
    context.outcomes = []
    context.tokens = batch_tokens


@then("the response names the first job")
def first_job(context):
    assert context.refusal is None, context.refusal
    assert context.answer["jobId"] == context.first
    assert context.answer["resent"]


@then("the submission is refused as {kind}, {outcome}")
def refused(context, kind, outcome):
    found = context.refusal
    assert found is not None, "it was accepted"
    assert (found.kind, found.outcome) == (kind, outcome), f"{found.kind}: {found}"


@then("the refusal names {place}")
def names_place(context, place):
    assert place in str(context.refusal), str(context.refusal)


@then("there is {count:d} job")
def job_count(context, count):
    answer = context.fleet.run(
        lambda: context.fleet.call(entry(context, 1), "BatchService", "ListJobs")
    )
    assert len(answer.get("jobs", [])) == count, answer


@then("no input object is left")
def no_input(context):
    report = context.fleet.run(lambda: context.fleet.control("platform"))
    assert report["objects"] == [], report["objects"]


def check_complete(context, name, failing=()):
    """Waits for the end of the batch job and checks every result."""

    async def run():
        async with context.fleet.client(name) as client:

            async def ended():
                try:
                    job = await get_job(context, client)
                except RpcError as error:
                    assert error.outcome == "NOT_RUN", error
                    return None
                return job if job["state"] != OPEN else None

            job = await until("the batch job ends", ended, wait_s=90)
            assert job["state"] == "JOB_STATE_COMPLETED", job
            return [result async for result in read_results(client, context.job)]

    results = context.fleet.run(run)
    assert [r.get("index", 0) for r in results] == list(range(context.count))
    for index, result in enumerate(results):
        assert result["itemId"] == f"m{index}"
        if index in failing:
            assert not result.get("ok"), result
            assert result["errorKind"], result
            continue
        prompt = f"item {index} of the lot"
        assert result.get("ok"), result
        assert result["text"] == expected_text(prompt, context.tokens), result


@then("the batch job completes with all results correct")
def complete(context):
    check_complete(context, some_entry(context))


@then("the batch job completes at entry {number:d} with all results correct")
def complete_at(context, number):
    check_complete(context, entry(context, number))


@then("the batch job completes with all results correct but item {index:d}")
def complete_but(context, index):
    check_complete(context, some_entry(context), failing=(index,))


@then("no item was run twice")
def none_twice(context):
    ran = context.fleet.run(context.fleet.executions)
    items = [execution.rpartition(".")[0] for execution in ran]
    assert len(items) == len(set(items)) == context.count


@then("item {index:d} was run at most {times:d} times")
def at_most(context, index, times):
    async def run():
        async with context.fleet.client() as client:
            results = [r async for r in read_results(client, context.job)]
            return results[index]["attempts"]

    assert context.fleet.run(run) <= times


@then("the batch job is cancelled at every instance")
def cancelled(context):
    for name in context.fleet.entries:

        async def run(name=name):
            async with context.fleet.client(name) as client:
                return await get_job(context, client)

        assert context.fleet.run(run)["state"] == "JOB_STATE_CANCELLED"


@then("its results do not change")
def results_stay(context):
    async def run():
        async with context.fleet.client() as client:
            for _ in range(20):
                now = [r async for r in read_results(client, context.job)]
                assert now == context.results, (len(now), len(context.results))
                await trio.sleep(0.1)

    context.fleet.run(run)


@then("no item of the batch job runs")
def nothing_runs(context):
    async def idle():
        for name in engines(context):
            report = await context.fleet.control(name)
            if report["running"] or report["waiting"]:
                return False
        return True

    async def run():
        await until("the engines are idle", idle)
        before = await context.fleet.executions()
        await trio.sleep(2)
        assert await context.fleet.executions() == before

    context.fleet.run(run)


@then("the batch job is shown as late before it is due")
def shown_late(context):
    async def run():
        async with context.fleet.client() as client:

            async def late():
                return (await get_job(context, client)).get("late")

            await until("the batch job is late", late)
            assert time.time() < context.due_at
            process = context.fleet.processes[entry(context, 1)]

            async def logged():
                return "Job will be late." in process.output()

            await until("it is logged", logged)

    context.fleet.run(run)
