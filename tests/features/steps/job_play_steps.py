"""Steps for plays of jobs under faults, each drawn whole from its seed."""

from behave import then

from tests.harness import JobPlay, draw_plan


@then("in plays {first:d} to {last:d} every accepted job is read to its end")
def all_read(context, first, last):
    failed, accepted = {}, 0
    for seed in range(first, last + 1):
        plan = draw_plan(seed)
        play = JobPlay(plan)
        play.play()
        accepted += len(play.accepted)
        if play.problems:
            failed[seed] = (play.problems, plan)
    assert not failed, failed
    # Faults may keep a part of the jobs from being accepted, but not most of them.
    assert accepted >= last + 1 - first, accepted
