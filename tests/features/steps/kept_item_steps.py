"""Steps for an item of a job that is kept from running, since upstreams ended."""

import contextlib

import msgspec
import trio
import trio.testing
from behave import then, when

from coppercleat.ids import InstanceId, JobRef, UpstreamId
from coppercleat.jobs import JobIndex
from coppercleat.quarantine import Crash, CrashReport, item_fingerprint
from coppercleat.serving import (
    InFlight,
    UpstreamNotListeningError,
    UpstreamResponse,
)
from coppercleat.upstreams import AttemptState
from tests.harness import (
    Endless,
    accept_job,
    make_repository,
    make_worker,
    submission,
)

COUNT = 3


def job_of_distinct_items(count):
    job = submission("job", count)
    items = [
        msgspec.structs.replace(item, body=b"%d" % index)
        for index, item in enumerate(job.items)
    ]
    return msgspec.structs.replace(job, items=items)


def fingerprint_in(job, index):
    return item_fingerprint(JobRef(host=job.host, id=job.job), job.items[index].id)


def hold_against(watch, fingerprint, ends):
    for number in range(ends):
        end = Crash(UpstreamId(f"u{number}"), trio.current_time(), number=1)
        watch.history.record_crash(fingerprint, end)


def take_back(watch, fingerprint):
    end = watch.history.crashes_of(fingerprint)[-1]
    told = CrashReport.of(fingerprint, end, now=trio.current_time(), retracted=True)
    watch.apply_update("peer", (told,), ())


AFTERWARDS = {
    "its answer clears it": lambda watch, fingerprint: watch.clear(fingerprint),
    "another tells that it was answered": lambda watch, fingerprint: watch.apply_update(
        "peer", (), (fingerprint,)
    ),
    "an end is taken back": take_back,
}


@when("one of 3 items is kept from running by {ends:d} ends, and after 0.5 s {what}")
def kept_and(context, ends, what):
    async def run():
        repository = make_repository()
        job_index = JobIndex(repository.platform)
        worker = make_worker(repository, job_index)
        job = job_of_distinct_items(COUNT)
        fingerprint = fingerprint_in(job, 0)
        watch = worker.items.crash_detector
        hold_against(watch, fingerprint, ends)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(worker.run)
            await trio.sleep(0.1)
            worker.start_accepted_job(await accept_job(repository, job))
            await trio.sleep(0.4)
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


def item_runs(worker):
    return worker.items.placement.states[UpstreamId("x")].batch == 1


def told_as_suspect(worker):
    [told] = worker.items.placement.own_in_flight()
    return bool(told.crash_suspects)


@when(
    "an item met {ends:d} ends {ago:g} s ago, "
    "and a peer runs {suspects:d} of that kind at the one upstream"
)
def beside_peer(context, ends, ago, suspects):
    peer = InstanceId("peer")

    async def run():
        repository = make_repository()
        worker = make_worker(repository, JobIndex(repository.platform))
        peers = worker.items.placement.peers
        peers.observe(peer, [InFlight(UpstreamId("x"), 0, 1, suspects)])
        job = job_of_distinct_items(1)
        hold_against(worker.items.crash_detector, fingerprint_in(job, 0), ends)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(worker.run)
            await trio.sleep(ago)
            worker.start_accepted_job(await accept_job(repository, job))
            await trio.sleep(0.2)
            context.told = [item_runs(worker) and told_as_suspect(worker)]
            await trio.sleep(0.8)
            context.told.append(item_runs(worker) and told_as_suspect(worker))
            context.beside = item_runs(worker)
            peers.observe(peer, [])
            await trio.sleep(1.0)
            context.alone = item_runs(worker)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then("it runs there within 1 s: {beside}; once the peer's run is over: yes")
def runs_beside(context, beside):
    assert context.beside == (beside == "yes")
    assert context.alone


@then("its run is told as that of a suspect after 0.2 s: {first}, after 1 s: {later}")
def told_as(context, first, later):
    assert context.told == [first == "yes", later == "yes"], context.told


class FirstIsGone(Endless):
    """A caller that reaches nobody at the first upstream that it is asked to call.

    Attributes:
      gone: That upstream; None before the first call.
    """

    def __init__(self):
        self.gone = None

    @contextlib.asynccontextmanager
    async def exchange(self, upstream, request, **options):
        self.gone = self.gone or upstream.id
        if upstream.id == self.gone:
            raise UpstreamNotListeningError("refused")
        async with super().exchange(upstream, request, **options) as answer:
            yield answer


@when("the trial of an item with {ends:d} ends meets an upstream that is gone")
def trial_meets_nobody(context, ends):
    async def run():
        repository = make_repository()
        worker = make_worker(repository, JobIndex(repository.platform))
        worker.items.caller = FirstIsGone()
        placement = worker.items.placement
        [state] = placement.states.values()
        other = msgspec.structs.replace(state.upstream, id=UpstreamId("y"))
        placement.replace([state.upstream, other])
        job = job_of_distinct_items(1)
        hold_against(worker.items.crash_detector, fingerprint_in(job, 0), ends)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(worker.run)
            worker.start_accepted_job(await accept_job(repository, job))
            while worker.items.caller.gone is None:
                await trio.sleep(0.01)
            refused_at = trio.current_time()
            while not any(state.batch for state in placement.states.values()):
                await trio.sleep(0.01)
            context.waited_s = trio.current_time() - refused_at
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then("the item runs elsewhere within {s:g} s")
def runs_elsewhere(context, s):
    assert context.waited_s <= s, context.waited_s


class OneSecond:
    """A caller whose upstreams take 1 s for an item, as ten events.

    Attributes:
      started: Bodies of the items, in the order of their first runs.
    """

    def __init__(self):
        self.started = []

    @contextlib.asynccontextmanager
    async def exchange(self, upstream, request, **options):
        options["attempt"].move(AttemptState.SENT)
        if request.body not in self.started:
            self.started.append(request.body)

        async def body():
            for number in range((options["resume_after"] or 0) + 1, 11):
                await trio.sleep(0.1)
                yield f"id: {number}\ndata: w\n\n".encode()

        yield UpstreamResponse(
            status=200,
            headers=[(b"content-type", b"text/event-stream")],
            refused=False,
            wrong_upstream=False,
            authenticated=True,
            body=body(),
        )


@when(
    "a job of {count:d} items runs in {slots:d} slots, "
    "and item 6 met {ends:d} ends before"
)
def runs_in_slots(context, count, slots, ends):
    context.caller = OneSecond()

    async def run():
        repository = make_repository()
        worker = make_worker(repository, JobIndex(repository.platform))
        worker.items.caller = context.caller
        placement = worker.items.placement
        [state] = placement.states.values()
        placement.replace([msgspec.structs.replace(state.upstream, slots=slots)])
        job = job_of_distinct_items(count)
        hold_against(worker.items.crash_detector, fingerprint_in(job, 6), ends)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(worker.run)
            await trio.sleep(0.1)
            worker.start_accepted_job(await accept_job(repository, job))
            await trio.sleep(count / slots + 5.0)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then("item 6 starts as number {number:d} at the latest")
def starts_as(context, number):
    assert context.caller.started.index(b"6") < number, context.caller.started
