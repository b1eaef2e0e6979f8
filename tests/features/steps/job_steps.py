"""Steps about the cancellation, acceptance and takeover of jobs, and stalled jobs."""

import math

import trio
import trio.testing
from behave import then, when

from coppercleat.gateway import JobService
from coppercleat.ids import JobId, UpstreamId
from coppercleat.jobs import (
    FinishedItem,
    ItemState,
    JobIndex,
    JobRow,
    StalledJobs,
    StoredJob,
    Superseded,
)
from coppercleat.storage import MemoryPlatform
from tests.harness import (
    HOST,
    LOOK_S,
    accept_job,
    make_repository,
    make_route,
    make_worker,
    submission,
)


def finished_item(index):
    return FinishedItem(
        index=index, item=f"job-{index}", state=ItemState.COMPLETED, text=b"x"
    )


async def read_results(repository, count, after):
    results = []
    while after < count:
        page = await repository.results(HOST, JobId("job"), count, after=after)
        assert page.results and page.next == after + len(page.results), page
        after = page.next
        results += page.results
    return results


@when("a job of {count:d} items, {done:d} of them listed, is ended and then committed")
def cancel_then_commit(context, count, done):
    async def run():
        repository = make_repository()
        stored = await accept_job(repository, submission("job", count))
        # Results are committed in another order than that of the items.
        for index in reversed(range(done)):
            stored = await repository.commit(stored, [finished_item(index)], {})
        assert await repository.cancel(HOST, JobId("job"))
        assert await repository.cancel(HOST, JobId("job")), (
            "the repeated cancellation failed"
        )
        context.answer = await repository.commit(stored, [finished_item(done)], {})
        context.read = [
            await read_results(repository, count, at) for at in range(count)
        ]

    trio.run(run)
    context.count = count


@then(
    "the commit is refused, and {done:d} items are listed as completed, "
    "the others as cancelled"
)
def commit_refused(context, done):
    assert isinstance(context.answer, Superseded)
    assert context.answer.stored.row.ended
    listed = context.read[0]
    states = ["completed"] * done + ["cancelled"] * (context.count - done)
    assert [result.state.value for result in listed] == states, listed
    names = {result.item for result in listed}
    assert names == {f"job-{index}" for index in range(context.count)}, names
    assert all(result.text == b"" for result in listed[done:])


@then("reading from any position gives the same")
def reads_the_same(context):
    whole = context.read[0]
    assert len(whole) == context.count
    for after, part in enumerate(context.read):
        assert part == whole[after:], after


class UnresponsivePlatform(MemoryPlatform):
    """Applies transactions after a delay, and never responds to them."""

    effect_s = None

    async def transact(self, transaction):
        if self.effect_s is None:
            return await super().transact(transaction)
        await trio.sleep(self.effect_s)
        await super().transact(transaction)
        return await trio.sleep_forever()


@when("a job's {change} takes effect after {effect:g} s, and the store never answers")
def change_without_response(context, change, effect):
    async def run():
        platform = UnresponsivePlatform()
        repository, job_index = make_repository(platform), JobIndex(platform)
        worker = make_worker(repository, job_index)
        service = JobService(
            repository,
            job_index,
            worker,
            quota_tolerance=0.0,
            on_submit=lambda outcome: None,
        )
        await job_index.refresh()
        if change == "end":
            await accept_job(repository, submission("job", 3))
            await job_index.refresh()
        platform.effect_s = effect
        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(worker.run)
            if change == "end":
                reply = await service.end(HOST, JobId("job"))
            else:
                reply = await service.submit(submission("job", 3), make_route())
            nursery.cancel_scope.cancel()
        context.reply = reply
        # The first poll of the changes after the effect shows it.
        polls = math.floor(effect / LOOK_S) + 1
        context.reply_delay_s = trio.current_time() - began - polls * LOOK_S

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then("the client is told {answer} at most {within:g} s after the changes show it")
def reply_is_prompt(context, answer, within):
    assert context.reply.answer.value == answer, context.reply
    assert context.reply_delay_s <= within, context.reply_delay_s


class SlowInput(MemoryPlatform):
    """Delays reads of a job's input."""

    async def scan(self, prefix, **options):
        if prefix.startswith("input/"):
            await trio.sleep(0.5)
        return await super().scan(prefix, **options)


@when("the owner of a job of {count:d} items reads its input while the job {changes}")
def job_changes_during_load(context, count, changes):
    async def run():
        platform = SlowInput()
        repository, job_index = make_repository(platform), JobIndex(platform)
        worker = make_worker(repository, job_index)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(worker.run)
            await trio.sleep(0.1)
            stored = await accept_job(repository, submission("job", count))
            worker.start_accepted_job(stored)
            await trio.sleep(0.2)
            if changes == "is ended":
                await repository.cancel(HOST, JobId("job"))
            elif changes == "is taken by another":
                await repository.set_owner(stored, owner="other/1")
            if changes != "stays as it is":
                job_index.observe(await repository.find(HOST, JobId("job")))
            await trio.sleep(0.6)
            context.running = worker.items.placement.states[UpstreamId("x")].batch
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then("its owner runs {running:d} of its items")
def owner_runs(context, running):
    assert context.running == running, context.running


@when("{jobs:d} open jobs beside an ended one are looked at for {seconds:d} s")
def check_stalled_jobs(context, jobs, seconds):
    def stored(name, *, ended=False):
        row = JobRow(
            job=JobId(name),
            host=HOST,
            path="/week/s",
            tokens=(1,),
            accepted_at=0.0,
            due_at=60.0,
            expires_at=60.0,
            ended=ended,
        )
        return StoredJob(row, 1)

    known = [stored(f"j-{number}") for number in range(jobs)] + [
        stored("e", ended=True)
    ]
    stalled_jobs = StalledJobs()
    context.reported = []
    for now in range(seconds + 1):
        found = stalled_jobs.find_due(
            known, should_report=lambda job: True, now=float(now)
        )
        context.reported += [job.row.job for job, _ in found]


@then("{said:d} lines are due, {again:d} of them of a job that was said before")
def lines_due(context, said, again):
    assert len(context.reported) == said, context.reported
    assert len(context.reported) - len(set(context.reported)) == again, context.reported
