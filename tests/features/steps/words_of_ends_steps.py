"""Steps for words of ends among many instances, each course drawn from its seed."""

from behave import then

from tests.harness import WordPlay, draw_course


@then("in courses {first:d} to {last:d}, {ends:d} ends are held everywhere")
def held_everywhere(context, first, last, ends):
    row = context.active_outline
    failed = {}
    for seed in range(first, last + 1):
        course = draw_course(
            seed,
            instances=int(row["instances"]),
            births=row["births"] == "births told",
            ends=ends,
        )
        play = WordPlay(course, seed=seed)
        play.play()
        held = {instance.held() for instance in play.instances}
        if play.most != ends or held != {ends} or play.barred:
            failed[seed] = (play.most, held, play.barred[:3])
    assert not failed, failed
