"""Courses in which items of jobs may be kept from running."""

from functools import partial

import trio

from coppercleat.gateway import JobAnswer
from coppercleat.ids import InstanceId, JobId, UpstreamId
from coppercleat.jobs import JobIndex
from coppercleat.routing import rendezvous_order
from coppercleat.serving import (
    QueuedWork,
    Rank,
    lease_s,
    renewal_interval_s,
)
from coppercleat.storage import MemoryPlatform
from tests.harness import (
    HOST,
    JOB_ROUTE,
    LONGEST_S,
    NEVER,
    RUN_S,
    accept_job,
    course,
    fail_by_turns,
    first_moment,
    in_no_time,
    job_course,
    make_repository,
    make_route,
    make_worker,
    node_settings,
    submission,
)
from tests.harness._job_store import Trouble
from tests.harness._kept_jobs import EVENTS

ITEM = "an item"
X = UpstreamId("x")


# Runs that ended.


@job_course(
    "an answer that the upstream is full", "an item's run", first={"job-0": (200, True)}
)
async def refused_as_full(play, nursery):
    began = trio.current_time()
    await play.submit(1)
    return await play.until_run("job-0", began)


@job_course("a run that broke off", ITEM, first={"job-0": (502, False)})
async def broke(play, nursery):
    began = trio.current_time()
    await play.submit(1)
    return await play.until_run("job-0", began)


async def fail_steadily(placement):
    """A fifth of others' requests fail at the only upstream, 5 a second."""
    while True:
        now = trio.current_time()
        placement.states[X].results.observe_peer(succeeded=4, failed=1, now=now)
        await trio.sleep(1)


async def beside_failures(play, nursery, items, *, last):
    placement = play.instances[0].placement
    nursery.start_soon(fail_steadily, placement)
    await trio.sleep(5)
    began = trio.current_time()
    await play.submit(items)
    return await play.until_run(last, began)


FAILED_ONCE = {"job-0": (500, False)}


@job_course(
    "a failure of its own while a fifth of all requests fail", ITEM, first=FAILED_ONCE
)
async def failed_itself(play, nursery):
    return await beside_failures(play, nursery, 1, last="job-0")


@job_course(
    "a failure of another item of its job while a fifth of all requests fail",
    "the last of 10 items",
    first=FAILED_ONCE,
)
async def behind_one_that_failed(play, nursery):
    """Eight run at once, and the ninth in the place of the one that failed."""
    found = await beside_failures(play, nursery, 10, last="job-9")
    return found - RUN_S


# Order.


@job_course("word of 7 that wait elsewhere and never come", "the last of 8 items")
async def others_wait(play, nursery):
    began = trio.current_time()
    waiting = [QueuedWork(Rank.ONLINE, 100.0, "menus", 7)]
    peer_queues = play.instances[0].placement.peer_queues
    peer_queues.observe(InstanceId("peer"), waiting, now=began)
    await play.submit(8)
    return await play.until_run("job-7", began)


# Owners and leases.


async def store_away(play):
    """The store is away for 8 s; a call takes 2 s to fail."""
    play.views[0].trouble.append(Trouble("silent"))
    await trio.sleep(8)
    play.views[0].trouble.clear()


@job_course("an outage of the store of 8 s", "an item that waited for a slot")
async def away_while_it_waits(play, nursery):
    """The ninth item has a slot after 5 s."""
    began = trio.current_time()
    await play.submit(9)
    await trio.sleep(0.5)
    await store_away(play)
    return await play.until_run("job-8", began) - RUN_S


@job_course("an outage of the store of 8 s", "an item that was just accepted")
async def away_at_once(play, nursery):
    began = trio.current_time()
    await play.submit(1)
    await store_away(play)
    return await play.until_run("job-0", began)


async def owner_lost(play, *, lost=1):
    """Instances lose their power, the owner of the job the first of them."""
    await play.submit(1)
    await trio.sleep(0.5)
    began = trio.current_time()
    for scope in play.scopes[:lost]:
        scope.cancel()
    return await play.until_run("job-0", began)


@job_course("a loss of power of its owner", ITEM, instances=2)
async def owner_dies(play, nursery):
    return await owner_lost(play)


@job_course("a loss of power of its owner and 4 of 5 others", ITEM, instances=6)
async def most_die(play, nursery):
    return await owner_lost(play, lost=5)


@job_course("a loss of power of one owner after the other", ITEM, instances=3)
async def owners_die(play, nursery):
    found = await owner_lost(play)
    owner = play.instances[1].worker.runs and 1 or 2
    began = trio.current_time()
    play.scopes[owner].cancel()
    return found + await play.until_run("job-0", began)


async def owner_dies_slow_store(play, takes_s):
    await play.submit(1)
    for view in play.views:
        view.takes_s = takes_s
    await trio.sleep(3)
    began = trio.current_time()
    play.scopes[0].cancel()
    return await play.until_run("job-0", began)


for takes_s in (0.5, 0.8, 1.0, 1.2):

    @job_course(
        f"a loss of power of its owner and calls of {takes_s:g} s", ITEM, instances=2
    )
    async def owner_dies_calls_take(play, nursery, takes_s=takes_s):
        return await owner_dies_slow_store(play, takes_s)


for away_s in (2, 3, 5):

    @job_course(
        f"a loss of power of its owner and outages of {away_s} s, 2 s apart",
        ITEM,
        instances=2,
    )
    async def owner_dies_outages(play, nursery, away_s=away_s):
        nursery.start_soon(fail_by_turns, play.views[1:], 2.0, away_s)
        await trio.sleep(1)
        return await owner_lost(play)


@job_course("an acceptance by an instance without a lease", ITEM, instances=2)
async def nobody_owns(play, nursery):
    began = trio.current_time()
    play.instances[0].worker.holds_lease = lambda: False
    await play.submit(1)
    return await play.until_run("job-0", began)


@job_course("an acceptance where the last of 6 in line may start", ITEM, instances=6)
async def last_in_line(play, nursery):
    owners = {one.worker.owner: one.worker for one in play.instances}
    for owner in rendezvous_order(JobId("job"), list(owners))[:-1]:
        owners[owner].holds_lease = lambda: False
    began = trio.current_time()
    first = owners[rendezvous_order(JobId("job"), list(owners))[0]]
    await play.submit(1, number=list(owners.values()).index(first))
    return await play.until_run("job-0", began)


@job_course("an acceptance by an instance of which nothing else is known", ITEM)
async def unknown_owner(play, nursery):
    began = trio.current_time()
    one = play.instances[0]
    await one.service.repository.accept(
        submission("job", 1, tokens=EVENTS),
        one.route,
        owner="unknown/b0",
        finished_tokens=lambda host, prefix, account: 0,
    )
    return await play.until_run("job-0", began)


def owner_lost_among(count):
    """Returns the lease and a poll of it, as they are stretched by a fleet's size."""
    settings = node_settings("i-0", "a")
    return lease_s(settings, count) + 1.1 * renewal_interval_s(settings, count)


for count in (66, 200, 453, 720):
    course(f"a loss of power of its owner among {count}", ITEM)(
        partial(owner_lost_among, count)
    )


@course("3 s in which neither the store nor others were heard", ITEM)
def isolated():
    return in_no_time(isolated_for, 3.0)


async def isolated_for(cut_s):
    platform = MemoryPlatform()
    repository, job_index = make_repository(platform), JobIndex(platform)
    began = trio.current_time()
    worker = make_worker(
        repository, job_index, cut=lambda: trio.current_time() - began < cut_s
    )
    state = worker.items.placement.states[X]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(worker.run)
        await trio.sleep(0.1)
        worker.start_accepted_job(await accept_job(repository, submission("job", 1)))
        found = await first_moment(lambda now: state.batch > 0)
        nursery.cancel_scope.cancel()
    return found


# Quotas.


@job_course("tokens of a job that was done at another instance", "a job", instances=2)
async def tokens_done(play, nursery):
    route = make_route("R", max_waiting_tokens=EVENTS, **JOB_ROUTE)
    for one in play.instances:
        one.route = route
    await play.submit(1)
    done = play.instances[0].index
    with trio.fail_after(LONGEST_S):
        while not done.finished_tokens(HOST, route.prefix):
            await trio.sleep(0.02)
    began = trio.current_time()
    other = play.instances[1]
    while trio.current_time() - began < LONGEST_S:
        reply = await other.service.submit(submission("next", 1, tokens=EVENTS), route)
        if reply.answer is JobAnswer.ACCEPTED:
            return trio.current_time() - began
        await trio.sleep(reply.retry_after_s)
    return NEVER
