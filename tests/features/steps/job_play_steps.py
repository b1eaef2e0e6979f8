"""Steps for randomized simulations of jobs under faults."""

from behave import then

from tests.harness import JobPlay, draw_plan


@then("in simulations {first:d} to {last:d} every accepted job is read to its end")
def all_jobs_read(context, first, last):
    failed, accepted = {}, 0
    for seed in range(first, last + 1):
        plan = draw_plan(seed)
        simulation = JobPlay(plan)
        simulation.play()
        accepted += len(simulation.accepted)
        if simulation.problems:
            failed[seed] = (simulation.problems, plan)
    assert not failed, failed
    # Faults may prevent the acceptance of some jobs, but not of most.
    assert accepted >= last + 1 - first, accepted
