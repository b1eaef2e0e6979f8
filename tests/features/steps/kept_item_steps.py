"""Steps for an item of a job that is kept from running, since upstreams ended."""

import msgspec
import trio
import trio.testing
from behave import then, when

from coppercleat.ids import RequestId, UpstreamId
from coppercleat.jobs import JobIndex
from coppercleat.quarantine import End, ToldEnd
from coppercleat.serving import OnlineRequest
from tests.harness import (
    HOST,
    accept_job,
    make_repository,
    make_worker,
    submission,
)

COUNT = 3


def job_of_distinct_items():
    job = submission("job", COUNT)
    items = [
        msgspec.structs.replace(item, body=b"%d" % index)
        for index, item in enumerate(job.items)
    ]
    return msgspec.structs.replace(job, items=items)


def fingerprint_of_first(job):
    first = job.items[0]
    request = OnlineRequest(
        request_id=RequestId(first.id),
        method="POST",
        host=HOST,
        target=first.target.encode(),
        headers=first.headers,
        body=first.body,
        allowed_s=0.0,
    )
    return request.fingerprint


def take_back(watch, fingerprint):
    end = watch.ledger.ends_of(fingerprint)[-1]
    told = ToldEnd.of(fingerprint, end, now=trio.current_time(), withdrawn=True)
    watch.take_news("peer", (told,), ())


AFTERWARDS = {
    "its answer clears it": lambda watch, fingerprint: watch.answered(fingerprint),
    "another tells that it was answered": lambda watch, fingerprint: watch.take_news(
        "peer", (), (fingerprint,)
    ),
    "an end is taken back": take_back,
}


@when("one of 3 items is kept from running by {ends:d} ends, and after 1 s {what}")
def kept_and(context, ends, what):
    async def run():
        repository = make_repository()
        job_index = JobIndex(repository.platform)
        worker = make_worker(repository, job_index)
        job = job_of_distinct_items()
        fingerprint = fingerprint_of_first(job)
        watch = worker.items.end_watch
        for number in range(ends):
            end = End(UpstreamId(f"u{number}"), trio.current_time(), number=1)
            watch.ledger.ended(fingerprint, end)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(worker.run)
            await trio.sleep(0.1)
            worker.own(await accept_job(repository, job))
            await trio.sleep(0.9)
            if what.endswith("s pass"):
                await trio.sleep(float(what.split()[0]))
            elif what in AFTERWARDS:
                AFTERWARDS[what](watch, fingerprint)
            await trio.sleep(1.0)
            context.running = worker.items.placement.states[UpstreamId("x")].batch
            context.told = sum(waiting.count for waiting in worker.waiting())
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then("{running:d} items run 1 s later, and {told:d} more are told to wait for a slot")
def run_later(context, running, told):
    assert context.running == running, context.running
    assert context.told == told, context.told
