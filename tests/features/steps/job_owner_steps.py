"""Steps for what an owner of jobs commits, and what it leaves to others."""

import contextlib

import trio
import trio.testing
from behave import then, when

from coppercleat.ids import JobId
from coppercleat.jobs import (
    FinishedItem,
    ItemState,
    JobIndex,
)
from coppercleat.serving import RouteConfig, RouteTable, UpstreamResponse
from coppercleat.storage import MemoryPlatform
from coppercleat.upstreams import AttemptState
from tests.harness import HOST, make_repository, make_worker, submission
from tests.harness._job_instance import Instance
from tests.harness._job_store import Trouble, View

ITEMS = 3
ITEM_S = 1.0
STREAM = [(b"content-type", b"text/event-stream")]


class OneEvent:
    """A caller whose upstreams answer with one event after some time."""

    @contextlib.asynccontextmanager
    async def exchange(self, upstream, request, **options):
        options["attempt"].move(AttemptState.SENT)

        async def body():
            # Item 0 is the last.
            await trio.sleep(ITEM_S + 0.2 * (ITEMS - int(request.request_id[-1])))
            yield b"id: 1\ndata: w\n\n"

        yield UpstreamResponse(
            status=200,
            headers=STREAM,
            refused=False,
            wrong_upstream=False,
            authenticated=True,
            body=body(),
        )


class SlowCommits(MemoryPlatform):
    """Takes a while for each transaction."""

    takes_s = 0.1

    async def transact(self, transaction):
        await trio.sleep(self.takes_s)
        return await super().transact(transaction)


EFFECT_AFTER_S = {
    "all items wait for a slot": 0.3,
    "all items run": 0.8,
    "item 0 is being committed": 2.2,
}
RUNS_FROM_S = 0.5


@when("a commit of item 0 by an earlier run takes effect while {items}")
def earlier_commit(context, items):
    async def run():
        platform = SlowCommits()
        repository, index = make_repository(platform), JobIndex(platform)
        worker = make_worker(repository, index)
        worker.items.caller = OneEvent()
        routes = worker._starter.routes
        worker._starter.routes = lambda: (
            routes() if trio.current_time() >= RUNS_FROM_S else None
        )
        accepted = await repository.accept(
            submission("job", ITEMS),
            worker_route(routes),
            owner=worker.owner,
            finished_tokens=lambda host, prefix, account: 0,
        )
        done = FinishedItem(index=0, item="job-0", state=ItemState.COMPLETED, text=b"w")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(worker.run)
            await trio.sleep_until(EFFECT_AFTER_S[items])
            platform.takes_s, takes_s = 0.0, platform.takes_s
            await repository.commit(accepted, [done], {})
            platform.takes_s = takes_s
            await trio.sleep(8)
            nursery.cancel_scope.cancel()
        stored = await repository.find(HOST, JobId("job"))
        context.listed = stored.row.listed

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def worker_route(routes):
    (route,) = routes().config.routes
    return route


@then("each of the items is listed once")
def listed_once(context):
    assert sorted(context.listed) == list(range(ITEMS)), context.listed


# Planned stops.

TROUBLES = {
    "the store answers": (),
    "the answers to its release are lost": (Trouble("loses", "commit"),),
    "its release takes effect late, without answers": (Trouble("late", "commit", 4.0),),
    "the store is away for the first second": (Trouble("away"),),
}
AWAY_S = 1.0
LONGEST_S = 20.0
IN_FLIGHT_S = 7.0
"""Longer than clients are waited for: the instance stays until the end of its grace."""


@when("an instance with a job stops and {store}")
def instance_stops(context, store):
    async def run():
        memory = MemoryPlatform()
        async with trio.open_nursery() as nursery:
            instances = [Instance(n, n, View(memory, nursery)) for n in range(2)]
            for instance in instances:
                nursery.start_soon(instance.run)
            await trio.sleep(3)
            stopping, other = instances
            await stopping.service.submit(submission("job", ITEMS), stopping.route)
            await trio.sleep(0.2)
            stopping.view.trouble.extend(TROUBLES[store])
            began = trio.current_time()
            nursery.start_soon(stopping.stop, IN_FLIGHT_S)
            owner = stopping.watch.owner_name
            while other.watch.is_owner_alive(owner, since=0.0):
                if trio.current_time() - began > LONGEST_S:
                    break
                await trio.sleep(0.05)
                if trio.current_time() - began > AWAY_S:
                    stopping.view.trouble[:] = [
                        t for t in stopping.view.trouble if t.kind != "away"
                    ]
            context.known_s = trio.current_time() - began
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then("others know within {within:g} s that it is leaving")
def leaving_known(context, within):
    # Others look for changed rows once a second, with some jitter.
    assert context.known_s <= within + 1.2, context.known_s


# Routes.


@when("the owner of a job learns of its route after {known:g} s")
def route_known(context, known):
    async def run():
        platform = MemoryPlatform()
        repository, index = make_repository(platform), JobIndex(platform)
        worker = make_worker(repository, index)
        worker.items.caller = OneEvent()
        routes = worker._starter.routes
        other = RouteTable(RouteConfig(version=1, routes=()))
        worker._starter.routes = lambda: (
            routes() if trio.current_time() >= known else other
        )
        await repository.accept(
            submission("job", ITEMS),
            worker_route(routes),
            owner=worker.owner,
            finished_tokens=lambda host, prefix, account: 0,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(worker.run)
            while (await repository.find(HOST, JobId("job"))).row.open:
                await trio.sleep(0.1)
                if trio.current_time() > LONGEST_S:
                    break
            context.took_s = trio.current_time()
            nursery.cancel_scope.cancel()
        page = await repository.results(HOST, JobId("job"), ITEMS, after=0)
        context.states = {result.state.value for result in page.results}

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then("its items are {state} within {within:g} s")
def items_ended(context, state, within):
    assert context.states == {state}, context.states
    assert context.took_s <= within, context.took_s
