"""Steps for rows and stalled jobs of one id at two hosts."""

import msgspec
import structlog
import trio
import trio.testing
from behave import then, when

from coppercleat.jobs import JobIndex, JobRow, StalledJobs, StoredJob, Sweeper
from coppercleat.storage import MemoryPlatform, Put, Transaction
from tests.harness import HOST
from tests.harness._job_plans import OTHER_HOST
from tests.harness._twin_jobs import ID, ITEMS, LONGEST_S, ONE, OTHER


def row_of(ref, **fields):
    times = {"accepted_at": 0.0, "due_at": 9.0, "expires_at": 9.0}
    return JobRow(job=ref.id, host=ref.host, path="/", tokens=(1,), **times | fields)


def put(platform, part, value):
    puts = [Put(f"job/{ID}", value)]
    platform.transact_now(Transaction(puts=puts, part=part))


@when("jobs of one id at two hosts have expired")
def have_expired(context):
    async def run():
        platform = MemoryPlatform()
        for ref in ITEMS:
            put(platform, ref.host, msgspec.json.encode(row_of(ref, ended=True)))
        index = JobIndex(platform)
        await index.refresh()
        sweeper = Sweeper(
            platform,
            index,
            keep_s=60.0,
            clock=lambda: 10_000.0,
            owner="me/1",
            live_instances=lambda: ["me/1"],
            quota_prefix_of=lambda host, path: None,
        )
        with trio.move_on_after(12):
            await sweeper.run()
        context.left = sorted(platform.rows)

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then("nothing of them is left in the store after 12 s")
def nothing_left(context):
    assert context.left == [], context.left


BAD = b"no row"
ROWS = {
    "both bad": {HOST: BAD, OTHER_HOST: BAD},
    "one bad, and the good one is deleted": {
        HOST: BAD,
        OTHER_HOST: msgspec.json.encode(row_of(OTHER)),
    },
    "one good, and the bad one names its host": {
        HOST: msgspec.json.encode(row_of(ONE)),
        OTHER_HOST: msgspec.json.encode(row_of(ONE)),
    },
}


@when("two hosts have a row of one key, {rows}")
def have_rows(context, rows):
    async def run():
        platform = MemoryPlatform()
        for part, value in ROWS[rows].items():
            put(platform, part, value)
        index = JobIndex(platform)
        await index.refresh()
        if "is deleted" in rows:
            deletes = [f"job/{ID}"]
            platform.transact_now(Transaction(deletes=deletes, part=OTHER_HOST))
            await index.refresh()
        # A read of all is due.
        await trio.sleep(LONGEST_S)
        await index.refresh()

    with structlog.testing.capture_logs() as lines:
        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    context.reported = [
        line for line in lines if line["event"] == "Job row is invalid; ignored."
    ]


@then("a bad row is reported {count:d} times")
def bad_reported(context, count):
    assert len(context.reported) == count, context.reported


# Stalled jobs.


@when("two jobs of one id are stalled for {seconds:d} s")
def are_stalled(context, seconds):
    known = [StoredJob(row_of(ref), version) for version, ref in enumerate(ITEMS, 1)]
    stalled_jobs = StalledJobs()
    context.reported = []
    for now in range(seconds + 1):
        found = stalled_jobs.find_due(
            known, should_report=lambda job: True, now=float(now)
        )
        context.reported += [stored.row.host for stored, _ in found]


@then("each of them is reported {count:d} times")
def each_reported(context, count):
    assert sorted(context.reported) == sorted([HOST, OTHER_HOST] * count), (
        context.reported
    )
