"""Gives each scenario a place for its fleet, and ends what it started."""

from behave.model_core import Status


def before_scenario(context, scenario):
    context.fleet = None
    context.jobs = {}


def after_scenario(context, scenario):
    if context.fleet is None:
        return
    try:
        disturbances = context.fleet.note_foreign_listeners()
        for disturbance in disturbances:
            print(f"--- {disturbance}")
        if scenario.status == Status.failed:
            for name, process in context.fleet.processes.items():
                print(f"--- {name}\n{process.output()[-20000:]}")
    finally:
        context.fleet.close()
    assert not disturbances, disturbances
