"""Steps for what a play of the soak leaves when it fails."""

import json
import pathlib
import signal
import subprocess
import sys
import tempfile
from unittest import mock

import trio
from behave import given, then, when

from bench import soak

_SEED = 1
_REFUSED_S = 30.0
"""Within this time a gateway ends that can't listen."""

_GATEWAY = "gateway-2"
_LISTENER = """
import socket, sys
listener = socket.create_server(("127.0.0.1", int(sys.argv[1])))
print("listens", flush=True)
sys.stdin.read()
"""


async def port_taken(play):
    """A gateway is killed, and another process takes its port for a while."""
    fleet = play.fleet
    await fleet.control("store", latency_s=0.05)
    fleet.processes[_GATEWAY].kill()
    port = str(fleet.ports[_GATEWAY]["front"])
    command = [sys.executable, "-c", _LISTENER, port]
    with subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE
    ) as other:
        await trio.to_thread.run_sync(other.stdout.readline)
        fleet.start_gateway(_GATEWAY)
        with trio.move_on_after(_REFUSED_S):
            while fleet.processes[_GATEWAY].running:
                await trio.sleep(0.05)
        other.kill()
    await fleet.control("store", latency_s=0.0)


@given(
    "a soak of {seconds:d} s in which another process takes the front port of a "
    "killed gateway"
)
def disturbed_soak(context, seconds):
    context.play = soak.Soak(_SEED, length_s=seconds)

    async def harm_once():
        await trio.sleep(1)
        await port_taken(context.play)

    context.play._harm = harm_once


@when("it is played")
def play(context):
    with (
        tempfile.TemporaryDirectory() as directory,
        mock.patch.object(soak, "_OUT", pathlib.Path(directory)),
    ):
        context.play.play()
        [path] = pathlib.Path(directory).iterdir()
        text = path.read_text(encoding="utf-8")
    head, *parts = text.split("\n--- ")
    context.summary = json.loads(head)
    context.parts = dict(part.partition("\n")[::2] for part in parts)


def lines_of(context, part):
    return [json.loads(line) for line in context.parts[part].splitlines()]


@then("its only problem is that another process held that port")
def only_problem(context):
    [problem] = context.summary["problems"]
    port = context.play.fleet.ports[_GATEWAY]["front"]
    assert problem.startswith(f"port {port} of {_GATEWAY} (front) is held by"), problem


@then("its file tells the play's command, commit, shard and load")
def tells_play(context):
    [told] = lines_of(context, "play")
    assert told["command"] == sys.orig_argv, told
    assert isinstance(told["shard"], int), told
    assert len(told["load_at_begin"]) == len(told["load_at_end"]) == 3, told
    commit = subprocess.run(
        ["git", "rev-parse", "HEAD"], capture_output=True, text=True, check=False
    )
    assert told["commit"] == commit.stdout.strip(), told


@then("its file tells of that port who held it")
def tells_holder(context):
    ports = {told["name"]: told for told in lines_of(context, "ports")}
    told = ports[f"{_GATEWAY} (front)"]
    assert told["port"] == context.play.fleet.ports[_GATEWAY]["front"], told
    assert told["listens"] == "its own process", told
    assert {"the store", "the proxy", "the link of runner-1"} < set(ports), ports


@then("its file tells that the gateway was killed and when it started, each time")
def tells_lives(context):
    lives = [
        told for told in lines_of(context, "processes") if told["name"] == _GATEWAY
    ]
    killed, refused, last = lives
    assert [name for _, name in killed["signals"]] == ["SIGKILL"], killed
    assert killed["exit_code"] == -signal.SIGKILL, killed
    assert refused["exit_code"] not in {None, 0}, refused
    assert last["exit_code"] is None, last
    assert killed["from"] < killed["signals"][0][0] < refused["from"] < last["from"]


@then("its file has the lines of the gateway from before the kill and from after it")
def has_lines(context):
    text = context.parts[_GATEWAY]
    assert "address already in use" in text.lower(), text[-3000:]
    starts = [line for line in text.splitlines() if "address already" in line.lower()]
    before, _, after = text.partition(starts[0])
    assert before.strip(), text[:3000]
    assert after.strip(), text[-3000:]


@then("its file tells what was set at the store, with times")
def tells_knobs(context):
    set_ = lines_of(context, "faults as they were set")
    of_store = [told for told in set_ if told.get("of") == "store"]
    values = [told["latency_s"] for told in of_store if "latency_s" in told]
    assert values == [0.05, 0.0, 0.0], of_store
    assert sorted(told["at"] for told in set_) == [told["at"] for told in set_]


@then("its file tells each online request and each submission")
def tells_calls(context):
    told = lines_of(context, "clients and faults")
    asked = {line["request"] for line in told if line["what"] == "ask"}
    assert asked == set(context.play.answers), asked ^ set(context.play.answers)
    submitted = {line["job"] for line in told if line["what"] == "submit"}
    assert submitted == {job.id for job in context.play.jobs}, submitted


@then("its file has row, input and results of each accepted job")
def has_rows(context):
    rows = lines_of(context, "rows of the jobs")
    present = {row["key"] for row in rows if not row.get("absent")}
    accepted = [job.id for job in context.play.jobs if job.accepted]
    assert accepted, context.play.jobs
    for job in accepted:
        assert f"job/{job}" in present, sorted(present)
        for kind in ("input", "result"):
            assert any(key.startswith(f"{kind}/{job}/") for key in present), present
