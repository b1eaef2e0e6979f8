"""Steps that start fleets and do things to their processes."""

import json

from behave import given, then, when

from tests.harness import Deployment, Fleet, until
from tests.harness.scenario import act_on_entry, engines, entry


@given(
    "a fleet of {zones:d} zones, each with {entries:d} entries and {engines:d} engines"
)
def start_fleet(context, zones, entries, engines):
    options = {}
    for row in context.table or ():
        options[row["option"]] = json.loads(row["value"])
    names = ["burgos-a", "logrono-b", "vitoria-c"][:zones]
    context.fleet = Fleet(
        Deployment(zones=names, entries=entries, engines=engines, **options)
    )
    context.fleet.start()
    context.fleet.run(context.fleet.deploy)


@given("{standin} has {knobs}")
@when("{standin} has {knobs}")
def set_knobs(context, standin, knobs):
    names = {
        "the platform": ["platform"],
        "the service": ["service-1"],
        "every engine": engines(context),
    }
    found = names.get(standin) or [engines(context)[int(standin.split()[-1]) - 1]]
    for name in found:
        context.fleet.run(lambda n=name: context.fleet.control(n, **json.loads(knobs)))


@when("entry {number:d} is {done}")
def do_to_entry(context, number, done):
    act_on_entry(context, number, done)


@when("engine {number:d} is {done}")
def do_to_engine(context, number, done):
    name = engines(context)[number - 1]
    zone = next(n["zone"] for n in context.fleet.nodes if n["id"] == name)
    actions = {
        "killed": context.fleet.processes[name].kill,
        "started again": lambda: context.fleet.add_engine(name, zone),
    }
    actions[done]()


@then("entry {number:d} exits with code {code:d}")
def exits(context, number, code):
    assert context.fleet.processes[entry(context, number)].wait() == code


@then("entry {number:d} is ready")
def is_ready(context, number):
    context.fleet.run(context.fleet.ready, entry(context, number))


@then("entry {number:d} has started no process")
def no_children(context, number):
    assert context.fleet.processes[entry(context, number)].children() == []


@then("entry {number:d} thinks entry {other:d} is {state}")
def thinks(context, number, other, state):
    async def agrees():
        status = await context.fleet.status(entry(context, number))
        for instance in status["instances"]:
            if instance["instance"] == entry(context, other):
                return bool(instance.get("alive")) == (state == "alive")
        return state == "silent"

    context.fleet.run(lambda: until(f"{other} is {state}", agrees))


@when('zone "{zone}" is cut off from {what}')
def cut_zone(context, zone, what):
    fleet = context.fleet
    cuts = {
        "the others": lambda: fleet.cut(zone),
        "the platform": lambda: fleet.control("platform", cut_zones=[zone]),
        "the others and the platform": lambda: fleet.cut(zone, from_platform=True),
    }
    fleet.run(cuts[what])


@when("all cuts are healed")
def heal(context):
    context.fleet.run(context.fleet.cut)
