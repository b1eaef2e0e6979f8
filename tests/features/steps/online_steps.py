"""Steps that make online requests and check their responses."""

import base64
import json
import socket

import trio
from behave import then, when

from coppercleat.emulator import expected_text
from tests.harness import until
from tests.harness.scenario import (
    Outcome,
    act_on_entry,
    engines,
    entry,
    make_requests,
)


@when("{count:d} requests are made at once")
def requests_at_once(context, count):
    context.tokens = 8
    context.outcomes = make_requests(context, count)


@when("{count:d} requests are made at entry {number:d}")
def requests_at(context, count, number):
    context.tokens = 8
    context.outcomes = make_requests(context, count, number)


@when("{count:d} requests are made with {body}")
def requests_with(context, count, body):
    options = json.loads(body)
    context.tokens = options.get("maxTokens", 8)
    options["tokens"] = options.pop("maxTokens", 8)
    context.outcomes = make_requests(context, count, **options)


@then("each is answered whole with its own answer")
def all_answered(context):
    for outcome in context.outcomes:
        assert outcome.error is None, f"{outcome.error.kind}: {outcome.error}"
        assert outcome.text == expected_text(outcome.prompt, context.tokens), (
            outcome.text
        )


@then("each is refused as {kind}, {outcome}")
def all_refused(context, kind, outcome):
    for found in context.outcomes:
        assert found.error is not None, f"answered: {found.text}"
        assert found.error.kind == kind, f"{found.error.kind}: {found.error}"
        assert found.error.outcome == outcome, found.error.outcome


@then("each refusal has a retry delay")
def has_retry_delay(context):
    for found in context.outcomes:
        assert found.error.info.get("retryAfterMs", 0) > 0, found.error.info


@then("no engine has run a request")
def no_engine_ran(context):
    assert context.fleet.run(context.fleet.executions) == []


@then("each request ran at most once")
def at_most_once(context):
    ran = context.fleet.run(context.fleet.executions)
    requests = [execution.rpartition(".")[0] for execution in ran]
    assert len(requests) == len(set(requests)) <= len(context.outcomes), ran


@then("engine {number:d} runs none of {count:d} more requests at each entry")
def runs_none(context, number, count):
    name = engines(context)[number - 1]

    async def read():
        if not context.fleet.processes[name].running:
            return []
        return (await context.fleet.control(name))["executions"]

    before = context.fleet.run(read)
    for index in range(len(context.fleet.entries)):
        for outcome in make_requests(context, count, index + 1):
            assert outcome.text == expected_text(outcome.prompt, 8), outcome.error
    assert context.fleet.run(read) == before


@then("every entry reports engine {number:d} as {state}")
def entries_report_engine(context, number, state):
    name = engines(context)[number - 1]

    async def all_report():
        for instance in context.fleet.entries:
            status = await context.fleet.status(instance)
            states = {u["upstream"]: u["state"] for u in status["upstreams"]}
            if states.get(name, "gone") != state:
                return False
        return True

    context.fleet.run(lambda: until(f"{name} is {state}", all_report))


# Requests made while something else happens.


@when(
    "{count:d} requests of {tokens:d} tokens run at entry {number:d} while it is {done}"
)
def run_during(context, count, tokens, number, done):
    context.tokens = tokens
    context.outcomes = [Outcome(f"long answer {index}") for index in range(count)]

    async def run():
        async with (
            context.fleet.client(entry(context, number)) as client,
            trio.open_nursery() as nursery,
        ):
            for outcome in context.outcomes:
                nursery.start_soon(lambda o=outcome: o.infer(client, maxTokens=tokens))
            await until(f"{count} run", lambda: _are_running(context, count))
            act_on_entry(context, number, done)

    context.fleet.run(run)


async def _are_running(context, count):
    total = 0
    for name in engines(context):
        total += (await context.fleet.control(name))["running"]
    return total >= count


@when("a client of entry {number:d} disconnects in the middle of its response")
def client_disconnects(context, number):
    async def run():
        async with context.fleet.client(entry(context, number)) as client:
            body = {"deployment": "menus", "prompt": "left alone", "maxTokens": 5000}
            async for _ in client.stream("OnlineService", "InferStream", [body]):
                break
        await until("nothing runs", lambda: _are_idle(context))

    context.fleet.run(run)


async def _are_idle(context):
    for name in engines(context):
        report = await context.fleet.control(name)
        if report["running"] or report["waiting"]:
            return False
    return True


@when("a slow client reads nothing of {count:d} long responses")
def slow_client(context, count):
    host, _, port = context.fleet.address(entry(context, 1)).rpartition(":")
    body = json.dumps({"deployment": "menus", "prompt": "slow", "maxTokens": 20000})
    envelope = b"\0" + len(body).to_bytes(4, "big") + body.encode()
    head = (
        "POST /coppercleat.v1.OnlineService/InferStream HTTP/1.1\r\nhost: x\r\n"
        "content-type: application/connect+json\r\n"
        f"content-length: {len(envelope)}\r\n\r\n"
    )
    context.sockets = []
    for _ in range(count):
        slow = socket.create_connection((host, int(port)))
        slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        slow.sendall(head.encode() + envelope)
        context.sockets.append(slow)
    context.add_cleanup(lambda: [slow.close() for slow in context.sockets])


# Plain services.


@when('an allergen check "{body}" with key "{key}" is sent to entry {number:d}')
def keyed_check(context, body, key, number):
    send_check(context, number, body=body, atMostOnce=True, idempotencyKey=key)


@when('an allergen check "{body}" without a key is sent to entry {number:d}')
def unkeyed_check(context, body, number):
    send_check(context, number, body=body, atMostOnce=True)


def send_check(context, number, body, **options):
    outcome = Outcome(body)
    encoded = base64.b64encode(body.encode()).decode()

    async def run():
        async with context.fleet.client(entry(context, number)) as client:
            await outcome.call(
                client, route="allergens", body=encoded, deadlineMs=1500, **options
            )

    context.fleet.run(run)
    if outcome.text is not None:
        outcome.text = base64.b64decode(outcome.text).decode()
    context.checks = [*getattr(context, "checks", []), outcome]


@then('it is answered "{text}"')
def is_answered(context, text):
    found = context.checks[-1]
    assert found.error is None, f"{found.error.kind}: {found.error}"
    assert found.text == text, found.text


@then("it fails as {kind}, {outcome}")
def fails_as(context, kind, outcome):
    error = context.checks[-1].error
    assert error is not None, f"answered: {context.checks[-1].text}"
    assert (error.kind, error.outcome) == (kind, outcome), f"{error.kind} {error}"


@then("the service has run {count:d} checks")
def service_ran(context, count):
    report = context.fleet.run(lambda: context.fleet.control("service-1"))
    assert len(report["ran"]) == count, report["ran"]


@when("the allergen route is configured")
def allergen_route(context):
    body = {"service": "allergens", "at_most_once": True}
    context.fleet.run(
        lambda: context.fleet.apply("ENTITY_KIND_ROUTE", "allergens", body)
    )


@when(
    'an allergen check "{body}" with key "{key}" is sent to entry {number:d}'
    " and it is killed"
)
def check_and_kill(context, body, key, number):
    outcome = Outcome(body)

    async def run():
        async with (
            context.fleet.client(entry(context, number)) as client,
            trio.open_nursery() as nursery,
        ):
            encoded = base64.b64encode(body.encode()).decode()
            nursery.start_soon(
                lambda: outcome.call(
                    client,
                    route="allergens",
                    body=encoded,
                    atMostOnce=True,
                    idempotencyKey=key,
                )
            )

            async def runs():
                return (await context.fleet.control("service-1"))["ran"]

            await until("the check runs", runs)
            context.fleet.processes[entry(context, number)].kill()

    context.fleet.run(run)
    assert outcome.error is not None


@when("the node list shows engine {number:d} as {state}")
def list_shows(context, number, state):
    name = engines(context)[number - 1].replace("-", "_")
    context.fleet.run(lambda: context.fleet.publish(**{name: state}))
