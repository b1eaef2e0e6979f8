"""Steps for leases while the store is slow or away again and again."""

import trio
from behave import then, when

from coppercleat.serving import renewal_interval_s, retry_interval_s
from tests.harness import KeptJob, fail_by_turns, in_no_time, node_settings

LOOK_S = 0.05


@when(
    "two instances watch for {length:g} s, and calls take {takes:g} s, "
    "{away:g} s away every {well:g} s"
)
def watch_slow_store(context, length, takes, away, well):
    context.dead_s = context.dead_with_lease_s = 0.0

    async def run():
        play = KeptJob(instances=2)
        async with trio.open_nursery() as nursery:
            await play.start(nursery)
            other, watcher = (one.watch for one in play.instances)
            for view in play.views:
                view.takes_s = takes
            if away:
                nursery.start_soon(fail_by_turns, play.views, well, away)
            began = trio.current_time()
            while trio.current_time() - began < length:
                await trio.sleep(LOOK_S)
                if not watcher.is_owner_alive(other.owner_name, since=began):
                    context.dead_s += LOOK_S
                    context.dead_with_lease_s += LOOK_S * other.holds_lease()
            nursery.cancel_scope.cancel()

    in_no_time(run)


@then(
    "one that lives is taken for dead at most {most:g} s, "
    "and never while it holds its lease"
)
def taken_for_dead(context, most):
    assert context.dead_s <= most, context.dead_s
    assert not context.dead_with_lease_s, context.dead_with_lease_s


@then(
    "of {instances:d} instances, one whose renewal failed {failures:d} times "
    "tries after {s:g} s"
)
def tries_after(context, instances, failures, s):
    interval_s = renewal_interval_s(node_settings("i", "a"), instances)
    assert retry_interval_s(interval_s, failures) == s
