"""Steps for crash reports among many simulated instances, each drawn from a seed."""

from behave import then

from tests.harness import WordPlay, draw_course


@then("in simulations {first:d} to {last:d}, all instances count {crashes:d} crashes")
def all_count(context, first, last, crashes):
    row = context.active_outline
    failed = {}
    for seed in range(first, last + 1):
        course = draw_course(
            seed,
            instances=int(row["instances"]),
            births=row["start_times"] == "start times reported",
            ends=crashes,
        )
        play = WordPlay(course, seed=seed)
        play.play()
        counts = {instance.held() for instance in play.instances}
        if play.most != crashes or counts != {crashes} or play.barred:
            failed[seed] = (play.most, counts, play.barred[:3])
    assert not failed, failed
