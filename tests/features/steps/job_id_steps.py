"""Steps for jobs of one id at two hosts, on the clock of the test."""

from collections.abc import Awaitable, Callable

import trio
from behave import then, when

from coppercleat.gateway import JobAnswer
from coppercleat.ids import JobId, JobRef
from coppercleat.jobs import ItemState
from coppercleat.routing import rendezvous_order
from coppercleat.serving import ItemEvents
from tests.harness import HOST, LOOK_S, PLANTS, make_repository, make_route
from tests.harness._job_instance import EVENTS
from tests.harness._job_plan_parts import Ask, submission_of, word_of
from tests.harness._job_play import CANCEL_S
from tests.harness._job_store import Trouble
from tests.harness._twin_jobs import ID, ITEMS, LONGEST_S, ONE, OTHER, Site, play

SLOW_S = 0.3
"""Time of a call to a slow store; with it reads of input overlap."""

COURSES: dict[str, tuple[Callable[[Site], Awaitable[None]], int]] = {}


def course(words, *, instances=1):
    def register(call):
        COURSES[words] = call, instances
        return call

    return register


@course("both come to one instance, 1 s apart, and run side by side")
async def at_one(site):
    await site.submit(ONE)
    await trio.sleep(1)
    await site.submit(OTHER)
    await trio.sleep(LOOK_S)
    assert OTHER in site.caller.began, "it waits for the end of the other host's job"
    assert await site.results(ONE) == []


@course("each comes to an instance of its own, 1 s apart", instances=2)
async def at_two(site):
    await site.submit(ONE)
    await trio.sleep(1)
    await site.submit(OTHER, number=1)


@course("one comes while the input of the other is read")
async def while_loading(site):
    site.instances[0].view.takes_s = SLOW_S
    async with trio.open_nursery() as nursery:
        nursery.start_soon(site.submit, ONE)
        await trio.sleep(SLOW_S / 2)
        nursery.start_soon(site.submit, OTHER)


@course("the input of both is an object", instances=2)
async def large(site):
    for number, ref in enumerate(ITEMS):
        await site.submit(ref, number=number, large=True)


@course("a takeover of one is told to the owner of the other")
async def takeover_told(site):
    await site.submit(ONE)
    await trio.sleep(1)
    site.handed_over = site.instances[0].worker.stop_taken_job(OTHER)
    await site.submit(OTHER)


@course("a takeover names the id alone")
async def takeover_unnamed(site):
    await at_one(site)
    site.instances[0].worker.stop_jobs_of_id(ID)


@course("progress of one is told while the input of the other is read")
async def progress_told(site):
    (instance,) = site.instances
    foreign = [b"of the other job"] * EVENTS
    await site.submit(OTHER)
    await site.until_whole(OTHER)
    instance.view.takes_s = SLOW_S
    async with trio.open_nursery() as nursery:
        nursery.start_soon(site.submit, ONE)
        for _ in range(20):
            await trio.sleep(SLOW_S / 4)
            items = [ItemEvents(0, EVENTS, foreign, 0, True)]
            instance.worker.receive_handover(OTHER, items)


@course("the owner of one is dead, that of the other lives", instances=2)
async def owner_dead(site):
    """The first in line for the job of the dead owner may not start anything."""
    owners = {one.worker.owner: one for one in site.instances}
    first, second = rendezvous_order(ID, list(owners))
    repository = make_repository(site.memory)
    holds_lease = owners[first].worker.holds_lease
    owners[first].worker.holds_lease = lambda: False
    for ref, owner in ((ONE, "gone/b0"), (OTHER, first)):
        ask = Ask(0.0, "submit", ref.id, 0, host=ref.host, items=ITEMS[ref])
        await repository.accept(
            submission_of(ask),
            owners[second].route,
            owner=owner,
            finished_tokens=lambda host, prefix, account: 0,
        )
        site.answers[ref] = JobAnswer.ACCEPTED
    check_whole(ONE, await site.until_whole(ONE))
    assert await site.results(OTHER) == []
    owners[first].worker.holds_lease = holds_lease


@when("two hosts have a job of one id, and one is ended")
def one_ended(context):
    async def run(site):
        await site.submit(OTHER)
        await trio.sleep(0.5)
        await site.submit(ONE)
        await trio.sleep(0.5)
        reply = await site.instances[1].service.end(OTHER.host, OTHER.id)
        assert reply.answer is JobAnswer.ENDED, reply
        context.ended_at = trio.current_time()
        context.results = {ONE: await site.until_whole(ONE)}
        await trio.sleep(LONGEST_S)
        context.began = site.caller.began

    play(run, instances=2)


@when("two hosts have a job of one id, and {course}")
def play_course(context, course):
    call, instances = COURSES[course]

    async def run(site):
        await call(site)
        context.answers, context.handed_over = site.answers, site.handed_over
        context.results = {ref: await site.until_whole(ref) for ref in ITEMS}
        context.began = site.caller.began

    play(run, instances=instances)


@when("with {plant} planted, two hosts have a job of one id, and {course}")
def play_planted_course(context, plant, course):
    context.found = ""
    try:
        with PLANTS[plant]():
            play_course(context, course)
        both_whole(context)
    except AssertionError as error:
        context.found = str(error)


@then("it is found")
def is_found(context):
    assert context.found, "no check has failed"


def check_whole(ref, results):
    names = sorted(result.item for result in results)
    assert names == [f"{ref.id}-{n}" for n in range(ITEMS[ref])], (str(ref), names)
    for result in results:
        assert result.state is ItemState.COMPLETED, result
        wanted = b"\n".join([word_of(ref.host, result.item)] * EVENTS)
        assert result.text == wanted, (str(ref), result)


@then("both jobs are listed whole, each with its own texts")
def both_whole(context):
    assert set(context.answers.values()) == {JobAnswer.ACCEPTED}, context.answers
    assert context.handed_over == [], context.handed_over
    for ref, results in context.results.items():
        check_whole(ref, results)


@then("the other job is listed whole, with its own texts")
def other_whole(context):
    check_whole(ONE, context.results[ONE])


@then("each item has run once")
def ran_once(context):
    runs = {ref: len(began) for ref, began in context.began.items()}
    assert runs == ITEMS, runs


@then("no item of the ended job begins {seconds:g} s after its end")
def none_begins_after(context, seconds):
    assert seconds == CANCEL_S
    late = [at for at in context.began[OTHER] if at > context.ended_at + seconds]
    assert not late, late


# Answers.


@when(
    "the answer to a submission is lost, beside a newer job of its id at another host"
)
def answer_lost(context):
    async def run(site):
        first, second = site.instances
        first.view.trouble.append(Trouble("loses", "accept"))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(site.submit, OTHER)
            await trio.sleep(0.01)
            await make_repository(site.memory).accept(
                submission_of(Ask(0.0, "submit", ID, 1, host=HOST)),
                second.route,
                owner=second.worker.owner,
                finished_tokens=lambda host, prefix, account: 0,
            )
            began = trio.current_time()
        context.told_s = trio.current_time() - began
        context.answer = site.answers[OTHER]

    play(run, instances=2)


@then("its client is told that it is accepted, within {seconds:g} s")
def told_within(context, seconds):
    assert context.answer is JobAnswer.ACCEPTED, context.answer
    assert context.told_s <= seconds, context.told_s


# Quotas.


@when("a job of 80 tokens is listed whole at each of two hosts, both of one id")
def whole_at_each(context):
    async def run(site):
        for ref in ITEMS:
            await site.submit(ref, items=8)
            assert len(await site.until_whole(ref, 8)) == 8
        await trio.sleep(2 * LOOK_S)
        next_job = JobRef(HOST, JobId("next"))
        await site.submit(next_job, items=8)
        context.answer = site.answers[next_job]

    # An item has 10 tokens.
    play(run, route=make_route(retention_s=600.0, max_waiting_tokens=100))


@then("the first host takes another job of 80 tokens, of 100 that may wait")
def takes_another(context):
    assert context.answer is JobAnswer.ACCEPTED, context.answer
