"""Steps for soaks by schedules."""

import collections
import json
import os
import pathlib
import subprocess
import sys
import tempfile

from behave import then, when

from bench._soak_drawing import draw_schedule
from bench._soak_play import Play
from bench._soak_schedule import (
    GatewaysKilled,
    OnlineRequest,
    OwnerKilled,
    PlannedJob,
    Read,
    Schedule,
    StoreLosesAnswers,
    Submission,
    load_schedule,
    save_schedule,
)
from bench.scheduled_soak import cut_down
from tests.harness import SHARD_VARIABLE

LENGTH_S = 12.0
ON_PURPOSE = "j-0: made to fail on purpose"
KILL = GatewaysKilled(
    number=1, at_s=1.0, gateways=("gateway-1",), down_s=(0.4,), up_s=0.1
)
SCHEDULE = Schedule(
    seed=0,
    length_s=2.0,
    gateways=2,
    runners=1,
    jobs=(PlannedJob(id="j-0", items=2),),
    submissions=(Submission(at_s=0.1, job="j-0", gateway="gateway-2"),),
    ends=(),
    reads=(Read(at_s=0.9, job="j-0", gateway="gateway-2", from_share=0.0),),
    requests=(OnlineRequest(at_s=0.2, id="r-0", route="plain", gateway="gateway-2"),),
    faults=(KILL,),
)


def drawn(seeds):
    return [draw_schedule(seed, length_s=LENGTH_S) for seed in range(1, seeds + 1)]


@then("seed {seed:d} gives the same schedule each time, also from its file")
def same_schedule(context, seed):
    schedule = draw_schedule(seed, length_s=LENGTH_S)
    assert schedule == draw_schedule(seed, length_s=LENGTH_S)
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "schedule.json"
        save_schedule(schedule, path)
        assert load_schedule(path) == schedule


@then("of {seeds:d} seeds each kind of fault is in {least:d} or more")
def all_kinds(context, seeds, least):
    found = collections.Counter()
    for schedule in drawn(seeds):
        found.update({fault.kind for fault in schedule.faults})
    assert len(found) == 17, found
    assert min(found.values()) >= least, found


def loses_a_takeover(schedule):
    losing = [f for f in schedule.faults if isinstance(f, StoreLosesAnswers)]
    return any(
        fault.at_s < other.at_s + other.for_s and other.at_s < fault.at_s + 4
        for fault in schedule.faults
        if isinstance(fault, OwnerKilled)
        for other in losing
    )


@then(
    "of {seeds:d} seeds {least:d} or more kill a job's owner while the store loses "
    "answers"
)
def lost_takeovers(context, seeds, least):
    found = sum(loses_a_takeover(schedule) for schedule in drawn(seeds))
    assert found >= least, found


@then(
    "of {seeds:d} seeds {least:d} or more have clients that leave in the middle of an "
    "acceptance"
)
def leaving_clients(context, seeds, least):
    found = sum(
        any(step.leaves_after_s is not None for step in schedule.submissions)
        for schedule in drawn(seeds)
    )
    assert found >= least, found


@then("a schedule that fails by two of its faults is cut down to these")
def cut_to_two(context):
    schedule = max(drawn(20), key=lambda schedule: len(schedule.faults))
    needed = {schedule.faults[1].number, schedule.faults[-1].number}

    def fails(fewer):
        return needed <= {fault.number for fault in fewer.faults}

    left = cut_down(schedule, fails)
    assert {fault.number for fault in left.faults} == needed, left.faults
    assert left == schedule.without(
        {fault.number for fault in schedule.faults} - needed
    )


@then(
    "faults that are shifted by {by_s:g} s come {by_s_again:g} s later, and no "
    "earlier than 0 s"
)
def shifted(context, by_s, by_s_again):
    schedule = drawn(1)[0]
    later = schedule.shifted(by_s)
    for before, after in zip(schedule.faults, later.faults, strict=True):
        assert abs(after.at_s - before.at_s - by_s_again) < 1e-6
    first = schedule.faults[0].number
    one = schedule.shifted(by_s, [first])
    assert one.faults[1:] == schedule.faults[1:] and one != schedule
    assert schedule.shifted(-100).faults[0].at_s == 0.0


@when("a schedule with a kill of gateway-1 is played and made to fail on purpose")
def fail_on_purpose(context):
    directory = tempfile.TemporaryDirectory(prefix="coppercleat-soak-")
    context.add_cleanup(directory.cleanup)
    context.play = Play(SCHEDULE, out=pathlib.Path(directory.name))
    context.play.problems.append(ON_PURPOSE)
    context.play.play()
    assert context.play.problems == [ON_PURPOSE], context.play.problems
    assert context.play.late == [], context.play.late


def read_lines(context, name):
    text = (context.play.folder / f"{name}.jsonl").read_text()
    return [json.loads(line) for line in text.splitlines()]


@then("its folder has the schedule, the problem, the ports and the load")
def has_schedule(context):
    folder = context.play.folder
    assert load_schedule(folder / "schedule.json") == SCHEDULE
    facts = json.loads((folder / "facts.json").read_text())
    assert facts["problems"] == [ON_PURPOSE], facts
    assert set(facts["ports"]["processes"]) == {"runner-1", "gateway-1", "gateway-2"}
    assert len(facts["load"]["start"]) == 3, facts
    assert "all has healed" in facts["moments"], facts


@then("it has the kill with its parameters, its time and the process that it hit")
def has_kill(context):
    [line] = read_lines(context, "faults")
    assert line["fault"]["down_s"] == [0.4], line
    [(name, at)] = line["hits"]
    assert name == "gateway-1", line
    assert line["from"] <= at <= line["to"], line


@then("it has both lives of gateway-1, and its lines of both")
def has_lives(context):
    lives = [x for x in read_lines(context, "processes") if x["name"] == "gateway-1"]
    assert [life["exit_code"] for life in lives] == [-9, None], lives
    assert lives[0]["began"] < lives[0]["ended"] <= lives[1]["began"], lives
    text = (context.play.folder / "gateway-1.log").read_text()
    lines = [json.loads(line) for line in text.splitlines() if line[:1] == "{"]
    times = [line["timestamp"][11:23] for line in lines]
    assert any(at < lives[0]["ended"] for at in times), text
    assert any(at > lives[1]["began"] for at in times), text


@then("it has the client's calls with their times and answers")
def has_calls(context):
    calls = {call["what"]: call for call in read_lines(context, "calls")}
    assert set(calls) == {"submit", "read", "request"}, calls
    assert calls["submit"]["status"] == 202, calls
    assert calls["submit"]["from"] <= calls["submit"]["to"], calls


@then("it has all rows of the job")
def has_rows(context):
    rows = json.loads((context.play.folder / "rows.json").read_text())["j-0"]
    keys = set(next(iter(rows.values())))
    assert "job/j-0" in keys, rows
    assert any(key.startswith("result/j-0/") for key in keys), rows


@then(
    "the schedule of {seconds:d} s of seed {seed:d} kills an owner while the store "
    "loses answers"
)
def short_schedule(context, seconds, seed):
    context.schedule = draw_schedule(seed, length_s=seconds)
    assert loses_a_takeover(context.schedule), context.schedule.faults


@then("it breaks no promise and no bound")
def short_scheduled_soak(context):
    with tempfile.TemporaryDirectory(prefix="coppercleat-soak-") as directory:
        path = pathlib.Path(directory) / "schedule.json"
        save_schedule(context.schedule, path)
        command = [sys.executable, "-m", "bench.scheduled_soak", "--schedule", path]
        # A play of its own; this process may hold the shard that was given.
        own = {k: v for k, v in os.environ.items() if k != SHARD_VARIABLE}
        done = subprocess.run(
            command, capture_output=True, text=True, check=False, env=own
        )
    assert done.returncode == 0, done.stdout + done.stderr
