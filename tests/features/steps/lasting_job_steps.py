"""Steps for states of jobs that could last."""

import contextlib

import msgspec
import trio
import trio.testing
from behave import then, when

from coppercleat.errors import PlatformUnavailableError
from coppercleat.ids import JobId, JobRef
from coppercleat.jobs import (
    NO_OWNER,
    JobIndex,
    StoredJob,
    Sweeper,
)
from coppercleat.storage import (
    AnswerLostError,
    MemoryPlatform,
    Put,
    Transaction,
)
from tests.harness import (
    HOST,
    accept_job,
    make_repository,
    make_worker,
    submission,
)
from tests.harness._job_instance import FiveEvents
from tests.harness._job_store import Trouble, View
from tests.harness._jobs import LOOK_S

MAX_ENTRIES = 100
"""Entries of one transaction, by the store."""

AWAY_S = 5.0
SLOTS = 400
"""More than a job has items."""


class BoundedView(View):
    """A store that refuses large transactions with a status that promises nothing."""

    async def transact(self, transaction):
        entries = [*transaction.checks, *transaction.puts, *transaction.deletes]
        if len(entries) > MAX_ENTRIES:
            raise AnswerLostError("The store answered 400")
        return await super().transact(transaction)


class Site:
    """One worker at a store that others write as well.

    Attributes:
      memory: The store.
      view: The store as the worker reaches it.
      caller: Makes the items' runs.
      cut: Whether the worker is cut off from all others.
    """

    def __init__(self, nursery, *, event_s=0.1):
        self.memory = MemoryPlatform()
        self.view = BoundedView(self.memory, nursery)
        self.caller = FiveEvents(event_s)
        self.cut = False
        self.repository = make_repository(self.view)
        self.worker = make_worker(
            self.repository, JobIndex(self.view), cut=lambda: self.cut
        )
        self.worker.items.caller = self.caller
        placement = self.worker.items.placement
        (state,) = placement.states.values()
        placement.replace([msgspec.structs.replace(state.upstream, slots=SLOTS)])
        nursery.start_soon(self.worker.run)

    async def accept(self, name, items):
        stored = await accept_job(self.repository, submission(name, items))
        assert isinstance(stored, StoredJob), stored
        return stored

    async def listed(self, name):
        stored = await make_repository(self.memory).find(HOST, name)
        return len(stored.row.listed)


def play(run, **options):
    """Plays a course on a clock of the test."""

    async def main():
        async with trio.open_nursery() as nursery:
            await run(Site(nursery, **options))
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def until_listed(site, name, count, within_s):
    with trio.move_on_after(within_s):
        while await site.listed(name) < count:
            await trio.sleep(0.1)
    return await site.listed(name)


# Items that finish at once.


EVENTS = {}


def event(words):
    def register(call):
        EVENTS[words] = call
        return call

    return register


@event("expire at once")
async def expire(site, count):
    site.worker._starter.clock = lambda: 1000.0
    await site.accept("job", count)


@event("finish while commits fail")
async def finish(site, count):
    await site.accept("job", count)
    await trio.sleep(0.2)
    site.view.trouble.append(Trouble("away", "commit"))
    await trio.sleep(AWAY_S)
    site.view.trouble.clear()


@event("finish at once")
async def finish_at_once(site, count):
    await site.accept("job", count)


@when("{count:d} items of a job {what}")
def many_items(context, count, what):
    context.count = count
    context.what = what


@then("within {seconds:g} s all of them are listed")
def all_listed(context, seconds):
    async def run(site):
        await EVENTS[context.what](site, context.count)
        context.listed = await until_listed(site, "job", context.count, seconds)

    play(run)
    assert context.listed == context.count, (context.listed, context.count)


@when("a job of {count:d} items is stopped as planned with {made:d} events of each")
def stopped(context, count, made):
    async def run(site):
        stored = await site.accept("job", count)
        await trio.sleep(made * site.caller.event_s + 0.05)
        await site.worker.release_jobs()
        repository = make_repository(site.memory)
        found = await repository.find(HOST, "job")
        context.owner = found.row.owner
        context.checkpoints = await repository.checkpoints(stored.row)

    play(run)


@then("its row names no owner, and the progress of {count:d} items at least is kept")
def released(context, count):
    assert context.owner == NO_OWNER, context.owner
    assert len(context.checkpoints) >= count, len(context.checkpoints)


@when(
    "a job of {count:d} items that have finished is stopped as planned before a commit"
)
def stopped_finished(context, count):
    async def run(site):
        site.view.trouble.append(Trouble("away", "commit"))
        await site.accept("job", count)
        await trio.sleep(1.5)
        site.view.trouble.clear()
        await site.worker.release_jobs()
        found = await make_repository(site.memory).find(HOST, "job")
        context.owner, context.listed = found.row.owner, len(found.row.listed)

    play(run)


@then("its row names no owner, and {count:d} items are listed")
def released_listed(context, count):
    assert context.owner == NO_OWNER, context.owner
    assert context.listed == count, context.listed


# Sweeps.


@when(
    "a job of {count:d} items of {size:d} bytes is swept by a row "
    "from before its second acceptance"
)
def swept_by_old_row(context, count, size):
    async def run():
        memory = MemoryPlatform()
        repository = make_repository(memory)
        job = submission("job", count, body=b"b" * size)
        await accept_job(repository, job)
        await repository.cancel(HOST, job.job)
        old = await repository.find(HOST, job.job)
        sweeper = make_sweeper(memory)
        assert await sweeper.sweep(old)
        second = await accept_job(repository, job)
        context.swept = await sweeper.sweep(old)
        context.input = None
        with contextlib.suppress(PlatformUnavailableError):
            context.input = await repository.items(second.row)
        context.items = job.items

    trio.run(run)


def make_sweeper(platform):
    return Sweeper(
        platform,
        JobIndex(platform),
        keep_s=120.0,
        clock=lambda: 200.0,
        owner="me/1",
        live_instances=lambda: ["me/1"],
        quota_prefix_of=lambda host, path: None,
    )


@then("its second acceptance still has its input")
def has_input(context):
    assert not context.swept
    assert context.input == context.items, "the input is missing"


# Owners that are cut off.


@when("a job is {what} while its owner is cut off")
def ended_meanwhile(context, what):
    async def run(site):
        await site.accept("job", 4)
        await trio.sleep(0.2)
        site.view.trouble.append(Trouble("away"))
        site.cut = True
        await trio.sleep(0.5)
        others = make_repository(site.memory)
        assert await others.cancel(HOST, "job")
        if what == "ended and deleted":
            stored = await others.find(HOST, "job")
            assert await make_sweeper(site.memory).sweep(stored)
        await trio.sleep(AWAY_S)
        back_at = trio.current_time()
        site.view.trouble.clear()
        site.cut = False
        await trio.sleep(AWAY_S)
        began = site.caller.began[JobRef(HOST, JobId("job"))]
        context.began = [at - back_at for at in began if at >= back_at]

    # The items still run when it is cut off.
    play(run, event_s=1.0)


@then("no item of it begins once the owner is back")
def none_begins(context):
    assert not context.began, context.began


# Items that wait for a slot.


def trouble_while(kind, for_s, only=""):
    async def harm(site):
        trouble = Trouble(kind, only)
        site.view.trouble.append(trouble)
        await trio.sleep(for_s)
        site.view.trouble.remove(trouble)

    return harm


async def no_trouble(site):
    return None


WHILE = {
    "all is well": no_trouble,
    "the history is lost at each look of 8 s": trouble_while("history", 8.0),
    "its owner can read changes, but nothing whole": trouble_while("away", 8.0, "scan"),
    "one look omits its change": trouble_while("omits", LOOK_S + 0.1),
}


@when("a job that waits for a slot is ended while {what}")
def ended_while_waiting(context, what):
    async def run(site):
        await site.accept("first", SLOTS // 2)
        await site.accept("second", SLOTS // 2)
        while sum(map(len, site.caller.began.values())) < SLOTS:
            await trio.sleep(0.01)
        await site.accept("job", 1)
        # Its owner knows of it, and the next read of all is some 5 s off.
        await trio.sleep(2 * LOOK_S)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(WHILE[what], site)
            await trio.sleep(0.01)
            assert await make_repository(site.memory).cancel(HOST, "job")
            ended_at = trio.current_time()
        await trio.sleep(10)
        began = site.caller.began.get(JobRef(HOST, JobId("job")), [])
        context.began = [round(at - ended_at, 2) for at in began]
        assert await site.listed("second") == SLOTS // 2

    # Slots are free 4.5 s after they were taken.
    play(run, event_s=0.9)


@then("no item of it begins more than {seconds:g} s after the end")
def none_begins_late(context, seconds):
    late = [at for at in context.began if at > seconds]
    assert not late, late


# Rows that do not fit.


MISFITS = {"a checkpoint": "partial/job/0000", "a slice of input": "input/job/0000"}


@when("{what} of a job does not fit and another job is accepted")
def misfit(context, what):
    async def run(site):
        stored = await accept_job(make_repository(site.memory), submission("job", 2))
        junk = Put(MISFITS[what], b"\xc1")
        site.memory.transact_now(Transaction(puts=[junk], part=HOST))
        assert stored.row.owner == "me/1"
        await trio.sleep(1)
        await site.accept("other", 2)
        await trio.sleep(5)
        context.listed = {name: await site.listed(name) for name in ("job", "other")}

    play(run)


@then("its owner goes on and lists {what}")
def lists(context, what):
    assert context.listed["other"] == 2, context.listed
    assert what == "the other" or context.listed["job"] == 2, context.listed
