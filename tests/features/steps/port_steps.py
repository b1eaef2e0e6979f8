"""Steps for plays that run side by side: their shards, their ports, their fleets."""

import os
import signal
import subprocess
import sys
import tempfile
import time

import yaml
from behave import given, then, when

from coppercleat.platform import load_platform_settings
from tests.harness import SHARD_VARIABLE, Gateways, until

_PLAY = """
from tests.harness import Process, free_port, own_shard
free_port()
shard = own_shard()
print(shard.number, shard.first_port, flush=True)
if {starts}:
    child = Process("sleeper", ["60"], program="sleep")
    print(child.popen.pid, flush=True)
input()
"""
_SUITE = """
from tools.behave_shards import Run
run = Run([])
print(*(run.environment(n).get("COPPERCLEAT_TEST_SHARD") for n in range(6)), flush=True)
input()
"""
_LISTENER = """
import socket, sys
listener = socket.create_server(("127.0.0.1", {port}))
print("listens", flush=True)
sys.stdin.read()
"""
_PAUSED_S = 0.5
_APART_S = 2.0
"""Several times as long as gateways need to hear of each other."""


def start_python(context, code, **environment):
    process = subprocess.Popen(
        [sys.executable, "-c", code],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        env=environment or None,
    )

    def end():
        process.kill()
        process.communicate()

    context.add_cleanup(end)
    return process


def start_play(context, shard=None, starts=False):
    environment = {k: v for k, v in os.environ.items() if k != SHARD_VARIABLE}
    if shard is not None:
        environment[SHARD_VARIABLE] = str(shard)
    return start_python(context, _PLAY.format(starts=starts), **environment)


def shard_of(play):
    """Returns the shard of a play and its first port."""
    number, port = play.stdout.readline().split()
    return int(number), int(port)


@given("a play that holds a shard")
def holding_play(context):
    context.plays = [start_play(context)]
    context.shards = [shard_of(context.plays[0])]


@given("a play that holds a shard, with a process that it started")
def holding_play_with_child(context):
    context.plays = [start_play(context, starts=True)]
    context.shards = [shard_of(context.plays[0])]
    child = int(context.plays[0].stdout.readline())
    context.add_cleanup(os.kill, child, signal.SIGKILL)


@when("a second play is given the same shard")
def second_play(context):
    second = start_play(context, shard=context.shards[0][0])
    _, context.errors = second.communicate(timeout=60)
    context.exit_code = second.returncode


@then("the second play ends with an error that names the first one and the remedy")
def second_fails(context):
    assert context.exit_code != 0
    [last] = context.errors.strip().splitlines()[-1:]
    pid, shard = context.plays[0].pid, context.shards[0][0]
    assert "ShardHeldError" in last, last
    assert f"shard {shard} of the tests' ports is held by process {pid}" in last, last
    assert f"give {SHARD_VARIABLE} another shard" in last, last


@when("{count:d} more plays start without a shard")
def more_plays(context, count):
    more = [start_play(context) for _ in range(count)]
    context.shards += [shard_of(play) for play in more]


@then("each play has a shard of its own, and no port is of two shards")
def own_shards(context):
    assert len({number for number, _ in context.shards}) == len(context.shards)
    ports = sorted(port for _, port in context.shards)
    apart = [after - before for before, after in zip(ports, ports[1:], strict=False)]
    assert all(gap >= 1000 for gap in apart), ports


@when("the play is killed")
def kill_play(context):
    context.plays[0].kill()
    context.plays[0].wait()


@then("a second play may be given the same shard")
def second_is_given_it(context):
    second = start_play(context, shard=context.shards[0][0])
    assert shard_of(second) == context.shards[0]


@given("a suite that holds the shards 0 to 5")
def first_suite(context):
    # Locks of its own: this scenario may run within a suite.
    context.locks = tempfile.TemporaryDirectory(prefix="coppercleat-locks-")
    context.add_cleanup(context.locks.cleanup)
    context.suite = start_suite(context)
    assert context.suite.stdout.readline().split() == [str(n) for n in range(6)]


def start_suite(context):
    own = {"TMPDIR": context.locks.name, SHARD_VARIABLE: "11"}
    return start_python(context, _SUITE, **os.environ | own)


@when("a second suite starts")
def second_suite(context):
    context.given = start_suite(context).stdout.readline().split()


@then("the processes of the second suite are given no shard")
def given_none(context):
    assert context.given == ["None"] * 6, context.given


@then("a suite that starts after the end of the first is given the shards 0 to 5")
def third_suite(context):
    context.suite.kill()
    context.suite.wait()
    third = start_suite(context)
    assert third.stdout.readline().split() == [str(n) for n in range(6)]


# Ports of a fleet.


@given("{gateways:d} gateways and {runners:d} runners, none of whose ports others hold")
def start_watched(context, gateways, runners):
    # Not the scenario's own fleet: that one must not be disturbed.
    context.watched = Gateways(gateways=gateways, runners=runners)
    context.add_cleanup(context.watched.close)
    context.watched.start()
    assert context.watched.note_foreign_listeners() == []


@when("the {name} is killed and another process listens at its {use} port")
def take_port(context, name, use):
    context.name, context.port = name, context.watched.ports[name][use]
    context.watched.processes[name].kill()
    assert context.watched.note_foreign_listeners() == []
    context.other = start_python(context, _LISTENER.format(port=context.port))
    assert context.other.stdout.readline() == "listens\n"


@then("the fleet tells that its {use} port is held by another")
def tells_of_other(context, use):
    [told] = context.watched.note_foreign_listeners()
    begin = f"port {context.port} of {context.name} ({use}) is held by a process that"
    assert told.startswith(begin), told


@then("the fleet tells so after the other process has left, too")
def still_tells(context):
    before = list(context.watched.disturbances)
    context.other.kill()
    context.other.wait()
    assert context.watched.note_foreign_listeners() == before


@when("the gateway is paused for a while, killed and started again")
def trouble_of_its_own(context):
    fleet = context.watched
    fleet.processes["gateway-1"].signal(signal.SIGSTOP)
    time.sleep(_PAUSED_S)
    fleet.note_foreign_listeners()
    fleet.processes["gateway-1"].kill()
    fleet.note_foreign_listeners()
    fleet.start_gateway("gateway-1")
    fleet.note_foreign_listeners()
    fleet.run(fleet.ready, "gateway-1")


@then("the fleet tells of no other process")
def tells_of_none(context):
    assert context.watched.note_foreign_listeners() == []


# Two fleets.


@given("two fleets with gateways of other names, of {name}")
def two_fleets(context, name):
    context.fleets = [Gateways(gateways=1, runners=0) for _ in range(2)]
    for number, fleet in enumerate(context.fleets):
        context.add_cleanup(fleet.close)
        fleet.names = [f"gateway-of-{number}"]
    if name == "the same name":
        context.fleets[1].fleet_name = context.fleets[0].fleet_name


@when("the second fleet's gateway is told the address of the first one's")
def told_address(context):
    first, second = context.fleets
    settings = second.settings

    def with_foreign_seed(name, ports):
        seed = f"127.0.0.1:{first.ports['gateway-of-0']['control']}"
        return settings(name, ports) | {"seedNodes": [seed]}

    second.settings = with_foreign_seed
    # Stand-ins are named alike in both: their logs are files by name.
    for fleet in context.fleets:
        fleet.start()


@then("the gateways hear each other")
def hear(context):
    first, second = context.fleets

    async def both_hear():
        return await heard(first) == 1 and await heard(second) == 1

    first.run(until, "both gateways hear each other", both_hear)


@then("the gateways do not hear each other")
def hear_not(context):
    first, second = context.fleets
    time.sleep(_APART_S)
    assert first.run(heard, first) == 0
    assert second.run(heard, second) == 0


async def heard(fleet):
    """Returns how many others the fleet's only gateway hears."""
    page = await fleet.metrics(fleet.names[0])
    start = "coppercleat_peers_heard "
    [line] = [line for line in page.splitlines() if line.startswith(start)]
    return int(line.removeprefix(start))


# Names.


@given("a gateway reaches the store at {address}, its fleet's name is not told")
def no_name_given(context, address):
    name_of(context, address, "")


@given("a gateway reaches the store at {address}, its fleet's name is told as {told}")
def name_given(context, address, told):
    name_of(context, address, told)


def name_of(context, address, told):
    fleet = Gateways(gateways=1, runners=0)
    context.add_cleanup(fleet.close)
    ports = {"front": 1, "readiness": 2, "control": 3}
    settings = fleet.settings("gateway-1", ports)
    settings["platform"]["address"] = address
    path = fleet.directory / "settings.yaml"
    path.write_text(yaml.safe_dump(settings))
    loaded = load_platform_settings(path, fleet=told)
    context.fleet_name = loaded.gateway.fleet_name


@then("its fleet's name is {name}")
def fleet_is_named(context, name):
    assert context.fleet_name == name, context.fleet_name
