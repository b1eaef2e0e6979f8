"""Steps for entries of the platform that another writer has put there."""

import ast
import contextlib
import json
import random

import msgspec
import structlog.testing
import trio
import trio.testing
from behave import then, when

from coppercleat.errors import PlatformUnavailableError
from coppercleat.ids import InstanceId, JobRef, ZoneId
from coppercleat.jobs import JobIndex, JobRow
from coppercleat.platform import PlatformCatalogue
from coppercleat.serving import Placement, Watch
from coppercleat.storage import (
    HistoryLostError,
    MemoryPlatform,
    Put,
    Row,
    Transaction,
)
from tests.harness import free_port, make_peers, node_settings

READS = 3
GOOD = {
    "service": "menus",
    "address": "10.0.0.1:8080",
    "zone": "burgos-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "seqNo": 4,
    "born": 1_796_260_943_655,
}


def literal(text):
    """Returns bytes as a test writes them, a product or a sum included."""
    parts = [part.split(" * ") for part in text.split(" + ")]
    return b"".join(ast.literal_eval(p[0]) * int((p + ["1"])[1]) for p in parts)


def good_entry(**changes):
    return json.dumps(GOOD | changes).encode()


class Entries:
    """The platform's store, as far as a catalogue reads it."""

    def __init__(self):
        self.rows = {
            "i-first": Row(good_entry(), 1),
            "i-last": Row(good_entry(address="10.0.0.3:8080"), 1),
        }

    async def rows_of(self, table):
        return sorted(self.rows.items())


def read_beside(context, key, *values):
    """Reads the list a few times with each value of an entry beside good ones."""
    entries = Entries()
    catalogue = PlatformCatalogue(entries)
    with structlog.testing.capture_logs() as lines:
        for version, value in enumerate(values, 2):
            entries.rows[key] = Row(value, version)
            for _ in range(READS):
                found = trio.run(catalogue.read_upstreams)
    context.key, context.lines = key, lines
    context.found = {upstream.id: upstream for upstream in found}


@when("an entry whose {field} is {value} stands between two good ones")
def entry_with(context, field, value):
    entry = dict(GOOD)
    text = json.dumps(entry)
    if value == "missing":
        del entry[field]
        text = json.dumps(entry)
    elif value != "as it should be":
        entry[field] = "the value"
        text = json.dumps(entry).replace('"the value"', value)
    read_beside(context, "i-middle", text.encode())


@when("an entry that is {text} stands between two good ones")
def entry_that_is(context, text):
    read_beside(context, "i-middle", literal(text))


@when("a good entry under the key {key} stands between two good ones")
def entry_under(context, key):
    read_beside(context, ast.literal_eval(f"'{key}'"), good_entry())


@when("an entry that was good becomes {text}")
def entry_becomes(context, text):
    good, again = good_entry(), text.startswith("good again after ")
    bad = literal(text.removeprefix("good again after "))
    read_beside(context, "i-middle", good, bad, *([good] if again else []))


@then("it names {what} to use, the others hold, and one line of the log tells of it")
def names(context, what):
    expected = {"i-first", "i-last"} | ({context.key} if what != "nothing" else set())
    assert set(context.found) == expected, context.found
    told = [line for line in context.lines if line.get("key") == context.key]
    bad = what == "nothing" or bool(told)
    assert len(told) == bad, told


@when("a row of an instance that is {text} stands between two good ones")
def instance_row(context, text):
    async def play():
        platform = MemoryPlatform()
        rng = random.Random(1)
        watch = Watch(
            node_settings("own", "a"),
            None,
            platform,
            Placement(ZoneId("a"), rng=rng),
            boot="b",
            rng=rng,
        )
        peers = make_peers("own", "a", free_port(), free_port())
        watch.on_members = peers.observe_list
        good = b'{"boot": "b", "peers": "127.0.0.1:9", "zone": "a"}'
        values = {"first": good, "foreign": literal(text), "last": good}
        for name, value in values.items():
            await platform.transact(Transaction(puts=[Put(f"instance/{name}", value)]))
        await watch._poll_instances()
        await watch._poll_instances()
        peers.messenger.beat(trio.current_time(), revision=0)
        peers.messenger.links.close()
        return set(peers.detector.members)

    context.known = trio.run(play)


@then("the other instances are known, and the polls go on")
def instances_known(context):
    assert {InstanceId("first"), InstanceId("last")} <= context.known, context.known


@when("a row of a job that is {text} stands between two good ones")
def job_row(context, text):
    def job(name, host):
        row = JobRow(
            job=name,
            host=host,
            path="/week/submit",
            accepted_at=1.0,
            due_at=2.0,
            expires_at=3.0,
            tokens=(1,),
        )
        return msgspec.json.encode(row)

    async def play():
        platform = MemoryPlatform()
        # Each lies in a part of its own, named by its host.
        other = job("first", "foreign")
        foreign = other if text == "another job's" else literal(text)
        values = {name: job(name, name) for name in ("first", "foreign", "last")}
        for name, value in (values | {"foreign": foreign}).items():
            await platform.transact(
                Transaction(puts=[Put(f"job/{name}", value)], part=name)
            )
        index = JobIndex(platform)
        with structlog.testing.capture_logs() as context.lines:
            for _ in range(READS):
                index._rescan_at = float("-inf")
                await index.refresh()
        return {str(stored.row.job): stored.version for stored in index}

    context.known = trio.run(play)


@then("the other jobs are known, and one line of the log tells of it")
def jobs_known(context):
    assert context.known == {"first": 1, "last": 3}, context.known
    told = [line for line in context.lines if line.get("key") == "job/foreign"]
    assert len(told) == 1, told


class Breaking(MemoryPlatform):
    """A platform whose changes are lost once, and whose next scan fails."""

    def __init__(self):
        super().__init__()
        self.lost = self.fails = False

    async def changes(self, table, *, after):
        if self.lost:
            self.lost = False
            raise HistoryLostError(f"Changes after {after} are dropped")
        return await super().changes(table, after=after)

    async def scan(self, prefix, **options):
        if self.fails:
            self.fails = False
            raise PlatformUnavailableError("The store is away")
        return await super().scan(prefix, **options)


@when("a job ends, the changes are lost, and the reading of all jobs breaks off once")
def reading_breaks_off(context):
    async def play():
        platform = Breaking()
        row = JobRow(
            job="job",
            host="h",
            path="/week/x",
            accepted_at=1.0,
            due_at=2.0,
            expires_at=3.0,
            tokens=(1,),
        )
        put = Put("job/job", msgspec.json.encode(row))
        await platform.transact(Transaction(puts=[put], part="h"))
        index = JobIndex(platform)
        await index.refresh()
        ended = msgspec.structs.replace(row, ended=True)
        put = Put("job/job", msgspec.json.encode(ended))
        await platform.transact(Transaction(puts=[put], part="h"))
        platform.lost = platform.fails = True
        fresh_at = index.fresh_at
        while index.fresh_at == fresh_at:
            with contextlib.suppress(PlatformUnavailableError):
                await index.refresh()
            await trio.sleep(0.001)
        return index.get(JobRef("h", "job")).row.ended

    context.ended = trio.run(play)


@then("the index knows that it has ended as soon as it is fresh")
def knows_end(context):
    assert context.ended
