"""Steps that explore the stores."""

from behave import then, when

from tests.exploration import MODELS, Explorer, Violation, without


def explore(context, model, faults, runs, plant=None):
    """Explores from both ends: depth first, and at random from a seed."""
    explorer = Explorer(MODELS[model], faults=faults, plant=plant)
    context.violation = None
    try:
        explorer.exhaust(limit=runs // 2)
        explorer.sample(runs=runs // 2, seed=7)
    except Violation as violation:
        context.violation = str(violation)
    print(f"{model}: {explorer.runs} runs, {explorer.steps} steps")


@when("{model} is explored with {faults:d} faults in {runs:d} runs")
def explore_model(context, model, faults, runs):
    explore(context, model, faults, runs)


@when("{model} is explored without the checks of {prefix}")
def explore_planted(context, model, prefix):
    explore(context, model, 1, 40000, without(prefix))


@then("no invariant is broken")
def none_broken(context):
    assert context.violation is None, context.violation


@then("an invariant is broken: {which}")
def broken(context, which):
    assert context.violation is not None, "the planted fault was not found"
    assert which in context.violation, context.violation
