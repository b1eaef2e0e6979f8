"""Steps for fleets of hundreds of instances."""

from behave import then, when

from tests.harness import HEARTBEAT_S, RelayModel, ZonesModel


@when("they exchange heartbeats for {seconds:g} s after their start")
def exchange(context, seconds):
    row = context.active_outline
    context.model = ZonesModel(
        int(row["members"]), int(row["zones"]), loss=int(row["lost"]) / 100
    )
    context.model.run(seconds)


@when("they exchange heartbeats for {seconds:g} s after their start, 10 in 100 lost")
def exchange_lossy(context, seconds):
    row = context.active_outline
    context.model = ZonesModel(int(row["members"]), int(row["zones"]), loss=0.1)
    context.model.run(seconds)


def shares_over(model, seconds):
    """Returns the least shares of living members taken as alive over a time."""
    own, others = 1.0, 1.0
    for _ in range(round(seconds / HEARTBEAT_S)):
        model.run(HEARTBEAT_S)
        seen_own, seen_others = model.alive_share()
        own, others = min(own, seen_own), min(others, seen_others)
    return own, others


@then("no live member of any zone is taken for dead in the next {seconds:g} s")
def none_for_dead(context, seconds):
    model = context.model
    sent = dict(model.cross_bytes)
    assert shares_over(model, seconds) == (1.0, 1.0)
    context.sent_per_s = [(model.cross_bytes[n] - sent[n]) / seconds for n in sent]


@then("a member sends at most {most:d} bytes a second of heartbeats to other zones")
def few_bytes(context, most):
    mean = sum(context.sent_per_s) / len(context.sent_per_s)
    assert mean <= most, mean


@when("of the fleet {what} dies")
def dies(context, what):
    names = context.model.names
    zone = [n for n in names if context.model.zone_of[n] == "zone-1"]
    context.victims = {
        "one member": zone[:1],
        "half of a zone": zone[::2],
        "a whole zone": zone,
        "half of the fleet": names[::2],
    }[what]
    context.model.dead.update(context.victims)


@then(
    "their own zone knows of it after {own_s:g} s and all others after {others_s:g} s"
)
def known_dead(context, own_s, others_s):
    model = context.model
    model.run(own_s)
    believers = {
        (observer, victim)
        for victim in context.victims
        for observer in model.believed(victim)
    }
    local = [p for p in believers if model.zone_of[p[0]] == model.zone_of[p[1]]]
    assert not local, local
    model.run(others_s - own_s)
    believers = [victim for victim in context.victims if model.believed(victim)]
    assert not believers, believers


@then("no live member is taken for dead")
def none_wrongly(context):
    assert context.model.alive_share() == (1.0, 1.0)


@when("one member starts again {later:g} s after its death")
def starts_again(context, later):
    context.again = context.model.names[0]
    context.model.dead.add(context.again)
    context.model.run(later)
    clock_s = int(context.active_outline["clock"])
    context.model.restart(context.again, clock_s=clock_s)


@then("all take it as alive {within:g} s later, and it takes all others as alive")
def alive_again(context, within):
    model = context.model
    model.run(within)
    assert model.believed(context.again) == model.observers()
    own = model.detectors[context.again]
    assert set(own.alive(model.now)) == set(model.names)


UPSTREAMS = 8
HELD_S = 0.55


@when("each of {instances:d} instances tells two relays what it starts and ends")
def share_slots(context, instances):
    load = int(context.active_outline["load"]) / 100
    per_s = load * UPSTREAMS * 8 / HELD_S
    context.told = {}
    for relayed in (True, False):
        model = RelayModel(instances, UPSTREAMS, relayed=relayed)
        model.run(20, per_s=per_s, held_s=HELD_S)
        context.told[relayed] = model


@then(
    "at most {met:d} in 100 requests are sent to a full upstream while a slot is free"
)
def few_meet_queues(context, met):
    model = context.told[True]
    assert model.met_full <= met / 100 * model.requests, model.met_full


@then("at most a third of the messages is sent that all would send each other")
def few_messages(context):
    messages = {relayed: model.messages for relayed, model in context.told.items()}
    assert messages[True] <= messages[False] / 3, messages
