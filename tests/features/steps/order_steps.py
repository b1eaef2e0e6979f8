"""Steps that change the desired versions and check those loaded on engines."""

import json

import httpcore
import trio
from behave import then, when

from coppercleat.emulator import expected_text
from coppercleat.orders import DesiredVersions, plan_orders
from tests.harness import until
from tests.harness.scenario import Outcome, act_on_entry, engines, entry


def want(context, versions, number=1):
    body = {
        "service": context.fleet.deployment.service,
        "versions": versions,
        "default_max_tokens": 8,
    }
    context.wanted = ",".join(sorted(versions))
    return context.fleet.apply(
        "ENTITY_KIND_DEPLOYMENT", "menus", body, entry=entry(context, number)
    )


async def all_loaded(context, versions):
    for name in engines(context):
        try:
            report = await context.fleet.control(name)
        except httpcore.ConnectError:
            return False
        if ",".join(report["versions"]) != versions:
            return False
    return True


@when("the deployment wants {versions} while requests go on")
def want_while(context, versions):
    wanted = json.loads(versions)
    context.outcomes = getattr(context, "outcomes", [])

    async def requests(stop):
        async with context.fleet.client(entry(context, 1)) as client:
            while not stop.is_set():
                outcome = Outcome(f"swap {len(context.outcomes)}")
                context.outcomes.append(outcome)
                await outcome.infer(client)

    async def run():
        async with trio.open_nursery() as nursery:
            stop = trio.Event()
            nursery.start_soon(requests, stop)
            await want(context, wanted)
            names = ",".join(sorted(wanted))
            await until(f"{names} loaded", lambda: all_loaded(context, names))
            stop.set()

    context.fleet.run(run)


@when("the deployment wants {versions} at another entry")
def want_at_another(context, versions):
    number = context.holder % len(context.fleet.entries) + 1

    async def run():
        name = entry(context, number)
        body = {
            "service": context.fleet.deployment.service,
            "versions": json.loads(versions),
        }
        operation = {
            "kind": "ENTITY_KIND_DEPLOYMENT",
            "name": "menus",
            "bodyJson": json.dumps(body),
        }
        await context.fleet.call(
            name,
            "OperatorService",
            "Apply",
            seenRevision=2,
            changeId="at another entry",
            operations=[operation],
        )

    context.fleet.run(run)


@then('every engine has loaded "{versions}"')
def has_loaded(context, versions):
    context.fleet.run(
        lambda: until(f"{versions} loaded", lambda: all_loaded(context, versions))
    )


@then('every engine still has "{versions}" after a while')
def still_has(context, versions):
    async def run():
        await trio.sleep(4.0)
        await until(f"{versions} loaded", lambda: all_loaded(context, versions))

    context.fleet.run(run)


@then("no request was lost")
def none_lost(context):
    assert len(context.outcomes) > 5
    for outcome in context.outcomes:
        assert outcome.error is None, f"{outcome.error.kind}: {outcome.error}"
        assert outcome.text == expected_text(outcome.prompt, 8)


@when("engine {number:d} starts again with nothing loaded")
def start_empty(context, number):
    context.fleet.deployment.versions = ""
    name = engines(context)[number - 1]
    context.fleet.add_engine(name, context.fleet.nodes[number - 1]["zone"])


@when("the holder of the lease is {done}")
def act_on_holder(context, done):
    for number, name in enumerate(context.fleet.entries, start=1):
        if '"Lease acquired."' in context.fleet.processes[name].output():
            context.holder = number
    act_on_entry(context, context.holder, done)


@when("the paused holder is resumed")
def resume_holder(context):
    act_on_entry(context, context.holder, "resumed")


@when('a previous holder orders engine {number:d} to unload "{version}"')
def stale_order(context, number, version):
    name = engines(context)[number - 1]
    url = f"http://127.0.0.1:{context.fleet.ports[name]}/orders"
    body = {"action": "unload", "version": version, "fence": 0}
    context.order_status = httpcore.request(
        "POST", url, content=json.dumps(body).encode()
    ).status


@then("the engine refuses it")
def refuses(context):
    assert context.order_status == 412, context.order_status


@then("the orders are {orders}")
def the_orders(context, orders):
    row = context.active_outline
    loaded = {
        name: [] if text == "-" else text.split(",")
        for name, text in zip("abc", row["loaded"].split(), strict=True)
    }
    versions = frozenset(row["desired"].replace("-", "").split(",")) - {""}
    planned = plan_orders(
        DesiredVersions(versions=versions, min_serving=1),
        loaded,
        max_loads=2,
        may_unload=row["unload"] == "yes",
    )
    signs = {"load": "+", "unload": "-"}
    formatted = [f"{o.upstream}{signs[o.action]}{o.version}" for o in planned]
    assert (" ".join(formatted) or "nothing") == orders, formatted
