"""Steps that change the configuration and look where it is in force."""

import json

import httpcore
import pynng
import trio
from behave import then, when

from coppercleat.emulator import expected_text
from coppercleat.ids import InstanceId
from coppercleat.membership import EnvelopeWriter, JobHint, Links
from coppercleat.rpc import RpcError
from tests.harness import free_port, until
from tests.harness._fleet import KEY
from tests.harness.scenario import entry, make_requests

_KIND = "ENTITY_KIND_"


def operations_of(triples):
    """Returns operations from kind, name and body; no body deletes."""
    return [
        {"kind": _KIND + kind, "name": name, "delete": True}
        if body is None
        else {"kind": _KIND + kind, "name": name, "bodyJson": json.dumps(body)}
        for kind, name, body in triples
    ]


def apply(context, number, change_id, operations, **options):
    """Sends a change and keeps its answer, or its refusal."""
    name = entry(context, number)
    context.accepted = context.refused = None

    async def run():
        async with context.fleet.client(name) as client:
            body = {
                "seenRevision": 1,
                "changeId": change_id,
                "operations": operations,
                "author": change_id,
                **options,
            }
            return await client.call("OperatorService", "Apply", body)

    try:
        context.accepted = context.fleet.run(run)
    except RpcError as error:
        context.refused = error


MODEL_CHANGE = operations_of([("MODEL", "cocina", {"description": "menus"})])


@when('change "{change_id}" is sent to entry {number:d}')
def send_change(context, change_id, number):
    apply(context, number, change_id, MODEL_CHANGE)


@when('change "{change_id}" is sent to entry {number:d} as a dry run')
def send_dry_run(context, change_id, number):
    apply(context, number, change_id, MODEL_CHANGE, dryRun=True)


@when("the operations {operations} are sent")
def send_operations(context, operations):
    apply(context, 1, "c1", operations_of(json.loads(operations)))


@then("it was accepted as revision {revision:d}")
def was_accepted(context, revision):
    assert context.refused is None, context.refused
    assert int(context.accepted["revision"]) == revision, context.accepted


@then("the change is refused as {kind}, naming {place}")
def was_refused(context, kind, place):
    assert context.refused is not None, context.accepted
    assert context.refused.kind == kind, context.refused.kind
    assert place in str(context.refused), str(context.refused)


@then("entry {number:d} has revision {revision:d}")
def has_revision(context, number, revision):
    context.fleet.run(context.fleet.in_force, entry(context, number), revision)
    status = context.fleet.run(context.fleet.status, entry(context, number))
    assert int(status["revision"]) == revision


@then("every entry has revision {revision:d}")
def all_have_revision(context, revision):
    for number in range(len(context.fleet.entries)):
        has_revision(context, number + 1, revision)


@when("{count:d} operators change the configuration at once")
def race(context, count):
    context.results = []

    async def one(index):
        name = entry(context, index % len(context.fleet.entries) + 1)
        async with context.fleet.client(name) as client:
            body = {
                "seenRevision": 1,
                "changeId": f"racer-{index}",
                "author": f"racer-{index}",
                "operations": operations_of([("MODEL", f"m{index}", {})]),
            }
            try:
                await client.call("OperatorService", "Apply", body)
                context.results.append(None)
            except RpcError as error:
                context.results.append(error)

    async def run():
        async with trio.open_nursery() as nursery:
            for index in range(count):
                nursery.start_soon(one, index)

    context.fleet.run(run)


@then("exactly {count:d} change was accepted and the others met a conflict")
def one_accepted(context, count):
    errors = [error for error in context.results if error is not None]
    assert len(context.results) - len(errors) == count, errors
    assert {error.kind for error in errors} == {"conflict"}, errors


@then("the conflicts show what changed")
def conflicts_show(context):
    for error in context.results:
        if error is not None:
            assert "put model" in error.info["problems"][0], error.info


@when("the platform accepts a change that stale reads do not show")
def stale_change(context):
    """Commits at the platform itself, as another instance's change would be."""
    from coppercleat.configuration import ConfigurationStore, Document, Kind, Operation
    from coppercleat.platform import StoreClient

    url = f"http://127.0.0.1:{context.fleet.ports['platform']}"

    async def run():
        await context.fleet.control("platform", stale_reads=False)
        platform = StoreClient(url, timeout_s=2)
        document = Document()
        store = ConfigurationStore(platform, clock=lambda: 0.0)
        await store.catch_up(document)
        operation = Operation(kind=Kind.MODEL, name="m", body=b"{}")
        await store.apply(document, [operation], seen=1, change_id="c", author="a")
        for name in context.fleet.entries:
            await context.fleet.in_force(name, 2)
        await platform.aclose()

    context.fleet.run(run)


@then("no entry ever goes back")
def never_back(context):
    async def run():
        await context.fleet.control("platform", stale_reads=True)
        for _ in range(30):
            for name in context.fleet.entries:
                status = await context.fleet.status(name)
                assert int(status["revision"]) == 2, status
            await trio.sleep(0.1)

    context.fleet.run(run)


@when('a new entry starts in zone "{zone}" with a peer as its seed')
def new_entry(context, zone):
    seed = f"127.0.0.1:{context.fleet.entries[entry(context, 1)].ports['peers']}"
    context.fleet.deployment.settings["peers"] = {"seeds": [seed]}
    context.fleet.add_entry("newcomer", zone)
    context.fleet.run(context.fleet.ready, "newcomer")


@then("it has revision {revision:d} from its peers")
def from_peers(context, revision):
    status = context.fleet.run(context.fleet.status, "newcomer")
    assert int(status["revision"]) == revision
    assert status["configurationSource"] == "peers", status


@then("requests at the new entry are answered")
def newcomer_answers(context):
    number = list(context.fleet.entries).index("newcomer") + 1
    for outcome in make_requests(context, 4, number):
        assert outcome.text == expected_text(outcome.prompt, 8), outcome.error


@when("garbage is sent to the peers' port of entry {number:d}")
def send_garbage(context, number):
    port = context.fleet.entries[entry(context, number)].ports["peers"]
    hint = JobHint("a job")
    good = EnvelopeWriter(InstanceId("ghost"), 7, key=KEY).seal(hint)
    alien = EnvelopeWriter(InstanceId("ghost"), 8, key="another key entirely")
    messages = [b"", b"\x09rubbish", alien.seal(hint), good, good, good[:-3]]
    with pynng.Push0(dial=f"tcp://127.0.0.1:{port}", send_timeout=5000) as push:
        for message in messages:
            push.send(message)
        push.send(EnvelopeWriter(InstanceId("ghost"), 9, key=KEY).seal(hint))

    async def counted():
        return len(await _garbage(context, number)) >= 3

    context.fleet.run(lambda: until("garbage is counted", counted))


async def _garbage(context, number):
    port = context.fleet.entries[entry(context, number)].ports["admin"]
    async with httpcore.AsyncConnectionPool() as pool:
        page = await pool.request("GET", f"http://127.0.0.1:{port}/metrics")
    lines = page.content.decode().splitlines()
    return {
        line.partition('reason="')[2].partition('"')[0]: float(line.rpartition(" ")[2])
        for line in lines
        if line.startswith("coppercleat_peer_garbage_total{")
    }


@then("entry {number:d} counts it by reason")
def counts_garbage(context, number):
    counted = context.fleet.run(lambda: _garbage(context, number))
    expected = {"unknown_format": 2.0, "wrong_key": 2.0, "replayed": 1.0}
    assert counted == expected, counted


@when("{count:d} empty messages wait at the peers' port of an instance")
def empty_messages(context, count):
    context.received = []

    async def take(data):
        context.received.append(data)

    async def main():
        address = f"127.0.0.1:{free_port()}"
        links = Links(address)
        with pynng.Push0(dial=f"tcp://{address}", send_timeout=5000) as push:
            for _ in range(count):
                push.send(b"")
            await trio.sleep(0.2)
            with trio.move_on_after(1):
                await links.receive(take)
        links.close()

    trio.run(main)


@then("{count:d} messages without a byte are passed on")
def without_a_byte(context, count):
    assert context.received == [b""] * count, context.received
