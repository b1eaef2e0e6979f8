"""Steps for gateways before stand-ins of the users' platform."""

import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import httpcore
import pynng
import trio
from behave import given, then, when

from coppercleat.ids import InstanceId
from coppercleat.membership import EnvelopeWriter, LinkCheck
from tests.harness import (
    JOBS,
    ONCE,
    PLAIN,
    RESUMABLE,
    SHARD_VARIABLE,
    STREAM,
    Gateways,
    until,
)

ROUTES = {"stream": STREAM, "resumable": RESUMABLE, "plain": PLAIN, "once": ONCE}
JOB = "job-1"


def job_of(*items):
    return json.dumps({"items": list(items)}).encode()


def wire_item(name, body="eA=="):
    return {"id": name, "path": "/week/1", "headers": {}, "body": body, "tokens": 1}


BODIES = {
    "no items": job_of(),
    "201 items": job_of(*(wire_item(f"i{n}") for n in range(201))),
    "no base64": job_of(wire_item("a", body="?")),
    "twice": job_of(wire_item("a"), wire_item("a")),
}


@given("{gateways:d} gateways and {runners:d} runners")
def start(context, gateways, runners):
    context.fleet = Gateways(gateways=gateways, runners=runners)
    context.fleet.start()
    context.answers = []
    context.asked = 0


@given("{gateways:d} gateways and {runners:d} runners, each reached by a link")
def start_with_links(context, gateways, runners):
    context.fleet = Gateways(gateways=gateways, runners=runners, proxied=True)
    context.fleet.start()
    context.answers = []
    context.asked = 0


@given("{gateways:d} gateways and a runner that answers {garbage}")
def start_with_garbage(context, gateways, garbage):
    context.fleet = Gateways(gateways=gateways, runners=1, garbage=garbage)
    context.fleet.start()
    context.answers = []
    context.asked = 0


@then("the answer is {status:d} and gateway {number:d} still serves")
def still_serves(context, status, number):
    assert context.answer.status == status, context.answer
    process = context.fleet.processes[f"gateway-{number}"]
    time.sleep(0.5)
    assert process.running, process.output()[-2000:]
    is_ready(context, number)


@then("the stream is {end} and has events {first:d}-{last:d}")
def stream_is(context, end, first, last):
    answer = context.answer
    assert answer.status == 200, answer
    assert answer.whole == (end == "whole"), answer
    assert answer.events == list(range(first, last + 1)), answer


@given("every runner is set to {knobs}")
@when("every runner is now set to {knobs}")
def every_runner(context, knobs):
    if "_next" in knobs:
        context.fleet.run(all_told, context.fleet)
    for name in context.fleet.runners:
        # What hits a number of requests hits the first runner only.
        values = json.loads(knobs)
        if name != context.fleet.runners[0]:
            values = {k: v for k, v in values.items() if not k.endswith("_next")}
        set_knobs(context, name, values)


async def all_told(fleet):
    """Waits until all gateways have asked all runners what they run.

    One that has told goes before one that has not, so that the first runner would not
    be the first choice in the 0.1 s after a start.
    """

    async def told():
        reports = [(await fleet.control(name))["reports"] for name in fleet.runners]
        return min(reports) >= len(fleet.names)

    await until("all runners have told", told)


def set_knobs(context, name, values):
    if values:
        context.fleet.run(lambda: context.fleet.control(name, **values))


@when("the store turns gateway {number:d} away")
def turn_away(context, number):
    set_knobs(context, "store", {"cut_zones": [f"gateway-{number}"]})


@then("hardly an event was made twice")
def made_once(context):
    runs = context.fleet.run(context.fleet.runs)
    knobs = context.fleet.run(lambda: context.fleet.control("runner-1"))["knobs"]
    made = sum(run["events"] for run in runs)
    assert made <= 1.1 * len(context.items) * knobs["events"], made


@given("runner {number:d} is set to {knobs}")
def one_runner(context, number, knobs):
    set_knobs(context, f"runner-{number}", json.loads(knobs))


@given("the store is set to {knobs}")
@when("the store is set to {knobs}")
def store_has(context, knobs):
    knobs, _, lasts = knobs.partition(" for ")
    values = json.loads(knobs)
    set_knobs(context, "store", values)
    if lasts:
        time.sleep(float(lasts.removesuffix(" s")))
        healthy = {name: type(value)() for name, value in values.items()}
        set_knobs(context, "store", healthy)


def ask(context, route, gateway="gateway-1", **options):
    context.asked += 1
    request = f"request-{context.asked}"
    return context.fleet.ask(gateway, ROUTES[route], request, **options)


@when("a client sends a {route} request")
def one_request(context, route):
    route, _, gateway = route.partition(" request to ")
    context.answer = context.fleet.run(
        lambda: ask(context, route, gateway.replace(" ", "-") or "gateway-1")
    )


@when("a client sends a stream request to gateway {number:d}")
def one_request_to(context, number):
    context.answer = context.fleet.run(
        lambda: ask(context, "stream", f"gateway-{number}")
    )


@when("{count:d} clients send a {route} request")
def several(context, count, route):
    ask_all(context, count, route, "gateway-1")


@when("{count:d} clients send a {route} request to gateway {number:d}")
def several_to(context, count, route, number):
    ask_all(context, count, route, f"gateway-{number}")


@when("{count:d} clients send a {route} request one after the other")
def one_by_one(context, count, route):
    context.answers = []

    async def all_of_them():
        for _ in range(count):
            context.answers.append(await ask(context, route, "gateway-1"))

    context.fleet.run(all_of_them)


@then("at most {failed:d} failed, and runner 1 ran at most {runs:d}")
def few_failed(context, failed, runs):
    statuses = [answer.status for answer in context.answers]
    assert statuses.count(500) <= failed, statuses
    report = context.fleet.run(context.fleet.control, "runner-1")
    assert len(report["runs"]) <= runs, len(report["runs"])


def ask_all(context, count, route, gateway, beside=None):
    context.answers = []

    async def one():
        context.answers.append(await ask(context, route, gateway))

    async def all_of_them():
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(one)
            if beside is not None:
                await trio.sleep(0.5)
                beside()

    context.fleet.run(all_of_them)


@then("all answers are whole")
def all_whole(context):
    for answer in context.answers:
        assert answer.status == 200 and answer.whole, answer
        assert answer.events == list(range(1, len(answer.events) + 1)), answer


@then("the answer is {status:d} {end} {events} after {count:d} runs")
def answer_is(context, status, end, events, count):
    answer = context.answer
    assert answer.status == status, answer
    assert answer.whole == (end == "whole"), answer
    if events != "-":
        first, last = map(int, events.split("-"))
        assert answer.events == list(range(first, last + 1)), answer
    if status in (200, 500):
        assert "response-stamp" in answer.headers, answer
    runs = context.fleet.run(context.fleet.runs)
    assert len(runs) == count, runs
    assert len({run["id"] for run in runs}) <= 1, runs


@then("the answer is {status:d} with a time to come back")
def come_back(context, status):
    assert context.answer.status == status, context.answer
    assert float(context.answer.headers["retry-after"]) > 0, context.answer


@when("a client calls {method} {host} {target} with {headers} and {size:d} bytes")
def raw_call(context, method, host, target, headers, size):
    headers = json.loads(headers.replace("LONG", "x" * 100_000))
    context.began = time.monotonic()

    body = BODIES.get(headers.pop("x-body", ""), b"x" * size)

    async def call():
        return await context.fleet.call(
            "gateway-1", method, host, target, headers=headers, body=body
        )

    context.answer = context.fleet.run(call)


@then("the answer is {status:d} at once and no runner has run anything")
def refused_at_once(context, status):
    assert context.answer.status == status, context.answer
    assert time.monotonic() - context.began < 4, "not at once"
    assert context.fleet.run(context.fleet.runs) == []


@then("the runner got method, target and body unchanged, and a shorter deadline")
def unchanged(context):
    (run,) = context.fleet.run(context.fleet.runs)
    assert run["target"] == STREAM[1] + "x?q=%2F1", run
    assert run["body"] == f"prompt of {run['id']}", run
    assert 0 < int(run["deadline_ms"]) <= 5000, run


@when("a client leaves after the first event of a stream")
def leave(context):
    async def some():
        with trio.move_on_after(1.0):
            await ask(context, "stream")

    context.fleet.run(some)


def open_client(context, route, *, length):
    """Sends a request's head on a connection of its own."""
    host, prefix = ROUTES[route]
    head = (
        f"POST {prefix}x HTTP/1.1\r\nhost: {host}\r\nrequest-id: raw\r\n"
        f"deadline-ms: 5000\r\ncontent-length: {length}\r\n\r\n"
    )
    port = context.fleet.ports["gateway-1"]["front"]
    context.client = socket.create_connection(("127.0.0.1", port), timeout=5)
    context.add_cleanup(context.client.close)
    context.client.sendall(head.encode())


@when("a client sends a {route} request and reads nothing")
def reads_nothing(context, route):
    open_client(context, route, length=0)
    time.sleep(1)


@when("a client sends a {route} request of {size:d} bytes and falls silent after {n:d}")
def falls_silent(context, route, size, n):
    open_client(context, route, length=size)
    context.client.sendall(b"x" * n)


@then("the client was answered {status:d}")
def raw_answer(context, status):
    assert context.client.recv(100).startswith(f"HTTP/1.1 {status}".encode())


@then("gateway {number:d} has no call in flight")
def none_in_flight(context, number):
    text = context.fleet.run(context.fleet.metrics, f"gateway-{number}")
    assert "coppercleat_in_flight 0" in text, text


@then("the run at the runner ends")
def run_ends(context):
    async def ended():
        runs = await context.fleet.runs()
        return runs and all(run["ended"] == "left" for run in runs)

    context.fleet.run(lambda: until("the run ends", ended, wait_s=5))


@when("clients send stream requests with {ms:d} ms until one meets the silent runner")
def meet_silent(context, ms):
    for _ in range(30):
        began = time.monotonic()
        answer = context.fleet.run(lambda: ask(context, "stream", deadline_ms=ms))
        if answer.status != 200:
            context.answer = answer
            context.took = time.monotonic() - began
            return
    raise AssertionError("no request met the silent runner")


@then("that one was answered 504 by its deadline")
def by_deadline(context):
    assert context.answer.status == 504, context.answer


@then("none waited at the runner until an item was done")
def none_refused(context):
    report = context.fleet.run(lambda: context.fleet.control("runner-1"))
    assert report["waited_s"] < 1.0, report["waited_s"]


# Jobs.


ITEM_TOKENS = 250
"""Enough for the events of the longest item here."""


@when("a job of {count:d} items is submitted")
def submit(context, count):
    items = [f"item {index}" for index in range(count)]
    context.items = items
    began = time.monotonic()
    context.answer = context.fleet.run(
        lambda: context.fleet.submit("gateway-1", JOB, items, tokens=ITEM_TOKENS)
    )
    context.took_s = time.monotonic() - began


@then("the job was acknowledged within {seconds:g} s")
def acknowledged_within(context, seconds):
    assert context.answer.status == 202, context.answer
    assert context.took_s < seconds, context.took_s


@given("a job of {count:d} items that take {seconds:g} s runs")
def job_runs(context, count, seconds):
    for name in context.fleet.runners:
        set_knobs(context, name, {"events": 40, "event_s": seconds / 40})
    submit(context, count)


@when("the same job is submitted again to gateway {number:d}")
def submit_again(context, number):
    answer = context.fleet.run(
        lambda: context.fleet.submit(
            f"gateway-{number}", JOB, context.items, tokens=ITEM_TOKENS
        )
    )
    assert answer.status == 202, answer


@then("all its items are {state}, each listed once and whole")
def job_whole(context, state):
    state, _, gateway = state.partition(", each listed once and whole, at ")
    check_job(context, state, "gateway-1")


@then("all its items are {state}, each listed once and whole, at gateway {number:d}")
def job_whole_at(context, state, number):
    check_job(context, state, f"gateway-{number}")


def check_job(context, state, gateway):
    assert context.answer.status == 202, context.answer
    results = context.fleet.run(lambda: context.fleet.whole_job(gateway, JOB))
    wanted = {f"{JOB}-item-{index}" for index in range(len(context.items))}
    assert {result["id"] for result in results} == wanted
    assert len(results) == len(wanted)
    knobs = context.fleet.run(lambda: context.fleet.control("runner-1"))["knobs"]
    text = "\n".join(f"word {n}" for n in range(1, knobs["events"] + 1))
    for result in results:
        word = {"completed": "completed", "failed": "dead_letter"}[state]
        assert result["state"] == word, result
        if state == "completed":
            assert result["text"] == text, result


@when("jobs of {count:d} items are submitted until one is refused with {status:d}")
def until_refused(context, count, status):
    items = [f"item {index}" for index in range(count)]
    context.accepted = 0
    for number in range(20):
        job = f"many-{number}"
        gateway = f"gateway-{number % 2 + 1}"
        answer = context.fleet.run(
            lambda j=job, g=gateway: context.fleet.submit(g, j, items)
        )
        if answer.status == status:
            context.refused = job
            return
        assert answer.status == 202, answer
        context.accepted += count * 150
    raise AssertionError("no job was refused")


@then("at most {most:d} tokens wait and no item of the refused job has run")
def quota_kept(context, most):
    assert context.accepted <= most, context.accepted
    runs = context.fleet.run(context.fleet.runs)
    assert not [run for run in runs if run["id"].startswith(context.refused)]


@when("the job is ended at gateway {number:d}")
def end_job(context, number):
    time.sleep(1.0)
    end(context, f"gateway-{number}")


def end(context, gateway):
    answer = context.fleet.run(
        lambda: context.fleet.call(gateway, "DELETE", JOBS[0], f"/v1/lots/{JOB}")
    )
    assert answer.status == 200, answer


@when("its end is asked for while the store is set to {knobs}, and its client leaves")
def end_unanswered(context, knobs):
    system, healthy = context.fleet, {name: 0 for name in json.loads(knobs)}

    async def ask():
        await system.control("store", **json.loads(knobs))
        context.answer = None
        with trio.move_on_after(0.2):
            context.answer = await system.call(
                "gateway-1", "DELETE", JOBS[0], f"/v1/lots/{JOB}"
            )
        # The gateway itself asks for 2 s, whether or not its client has left.
        await trio.sleep(2.5)
        await system.control("store", **healthy)

    time.sleep(0.5)
    system.run(ask)


@when(
    "its owner is killed, and its end is asked while the store loses its answers "
    "for {seconds:g} s"
)
def owner_killed_and_end_unanswered(context, seconds):
    system = context.fleet

    async def play():
        await system.control("store", lose_share=1.0)
        with trio.move_on_after(1.0):
            await system.call("gateway-3", "DELETE", JOBS[0], f"/v1/lots/{JOB}")
        await trio.sleep(seconds)
        await system.control("store", lose_share=0)
        system.start_gateway("gateway-1")
        await system.ready("gateway-1")

    time.sleep(0.5)
    system.processes["gateway-1"].kill()
    system.run(play)


@then(
    "its row says {ended} 3 s later, and {done} of its items are completed after 15 s"
)
def ended_or_whole(context, ended, done):
    time.sleep(3)
    row = context.fleet.run(lambda: context.fleet.job_row(JOB))
    assert row["ended"] == (ended == "ended"), row
    # The changes may show the end before the client leaves; it is told so then.
    told = context.answer is not None and context.answer.status == 200
    assert row["ended"] or not told, context.answer
    time.sleep(12)
    page = context.fleet.run(lambda: context.fleet.results("gateway-2", JOB))
    completed = [r for r in page["results"] if r["state"] == "completed"]
    assert (len(completed) == page["total"]) == (done == "all"), page


@then("every gateway lists all its items, the others as given up")
def listed_whole(context):
    system = context.fleet
    pages = [system.run(lambda n=n: system.results(n, JOB)) for n in system.names]
    for page in pages:
        assert page == pages[0], pages
        assert page["next"] == page["total"] == 4, page
        assert {r["id"] for r in page["results"]} == {
            f"{JOB}-item-{n}" for n in range(4)
        }
        assert {r["state"] for r in page["results"]} <= {"completed", "dead_letter"}


@then("no item of it runs any more after {seconds:d} s")
def nothing_runs(context, seconds):
    time.sleep(seconds)
    before = len(context.fleet.run(context.fleet.runs))
    report = context.fleet.run(lambda: context.fleet.control("runner-1"))
    assert report["running"] == 0, report["running"]
    time.sleep(1.0)
    assert len(context.fleet.run(context.fleet.runs)) == before


@then("it can be ended again")
def end_again(context):
    end(context, "gateway-1")


# Processes.


@when("gateway {number:d} is {done} after {seconds:d} s")
def do_later(context, number, done, seconds):
    time.sleep(seconds)
    do_to_gateway(context, number, done)


@when("gateway {number:d} is killed")
def kill_gateway(context, number):
    do_to_gateway(context, number, "killed")


@when("gateway {number:d} is stopped as planned")
def stop_gateway(context, number):
    context.stopped_at = time.monotonic()
    do_to_gateway(context, number, "stopped as planned")


@when("gateway {number:d} is started again")
def start_again(context, number):
    context.fleet.start_gateway(f"gateway-{number}")


@when("gateway {number:d} is told to reload")
def reload_gateway(context, number):
    context.fleet.processes[f"gateway-{number}"].signal(signal.SIGHUP)
    time.sleep(0.5)


def do_to_gateway(context, number, done):
    name = f"gateway-{number}"
    process = context.fleet.processes[name]
    if done.startswith("killed"):
        process.kill()
    if done.endswith("restarted"):
        context.fleet.start_gateway(name)
    if done == "stopped as planned":
        process.signal(signal.SIGTERM)
    if done.startswith("paused"):
        process.signal(signal.SIGSTOP)
        time.sleep(float(done.split()[-2]))
        process.signal(signal.SIGCONT)


@then("gateway {number:d} is ready")
def is_ready(context, number):
    context.fleet.run(lambda: context.fleet.ready(f"gateway-{number}"))


@then("gateway {number:d} is not ready")
def is_not_ready(context, number):
    status = context.fleet.run(lambda: context.fleet.readiness(f"gateway-{number}"))
    assert status == 503, status


@when("a client sends a stream request once the port is open")
def once_open(context):
    async def answered():
        try:
            return await ask(context, "stream")
        except httpcore.NetworkError:
            return None

    context.answer = context.fleet.run(lambda: until("the port is open", answered))


@when("{count:d} clients send a stream request while gateway 1 is stopped as planned")
def beside_stop(context, count):
    process = context.fleet.processes["gateway-1"]
    context.stopped_at = time.monotonic()
    ask_all(
        context,
        count,
        "stream",
        "gateway-1",
        beside=lambda: process.signal(signal.SIGTERM),
    )


@then("gateway {number:d} has exited with code {code:d} within {seconds:d} s")
def has_exited(context, number, code, seconds):
    assert context.fleet.processes[f"gateway-{number}"].wait() == code
    assert time.monotonic() - context.stopped_at < seconds + 1


# The operator and the runners.


@when("the operator removes the stream route")
def remove_route(context):
    routes = [r for r in context.fleet.config["routes"] if r["name"] != "r-stream"]
    context.fleet.run(lambda: context.fleet.apply_config(routes=routes))


@then("within {seconds:d} s every gateway answers a stream request with {status:d}")
def within(context, seconds, status):
    time.sleep(seconds)
    for name in context.fleet.names:
        answer = context.fleet.run(lambda n=name: ask(context, "stream", n))
        assert answer.status == status, answer


@when("the operator writes a document that does not fit")
def bad_document(context):
    context.fleet.run(lambda: context.fleet.put("op/config", b'{"version": "no"'))
    time.sleep(1.5)


@when("runner {number:d} is leaving")
def leaving(context, number):
    name = f"runner-{number}"
    context.fleet.run(lambda: context.fleet.list_runner(name, state="draining"))


@when("runner {number:d} is removed")
def removed(context, number):
    context.fleet.run(lambda: context.fleet.unlist_runner(f"runner-{number}"))


@when("{seconds:d} s pass")
def passing(context, seconds):
    time.sleep(seconds)


@then("runner {number:d} has run nothing")
def ran_nothing(context, number):
    report = context.fleet.run(lambda: context.fleet.control(f"runner-{number}"))
    assert report["runs"] == [], report["runs"]


@then("a soak of {s:d} s with seed {seed:d}, in which runners end, breaks no promise")
def short_soak_with_ends(context, s, seed):
    short_soak(context, s, seed, "--ends")


@then("a soak of {seconds:d} s with seed {seed:d} breaks no promise")
def short_soak(context, seconds, seed, *more):
    command = [sys.executable, "-m", "bench.soak"]
    command += ["--seeds", f"{seed}-{seed}", "--length_s", str(seconds), *more]
    # The soak is a play of its own; this process may hold the shard that was given.
    own = {k: v for k, v in os.environ.items() if k != SHARD_VARIABLE}
    done = subprocess.run(command, capture_output=True, text=True, check=False, env=own)
    assert done.returncode == 0, done.stdout + done.stderr


@when("{what} fails")
def something_fails(context, what):
    if what == "a stream request":
        one_request(context, "stream")
        context.failed_id = f"request-{context.asked}"
        return
    submit(context, 2)
    context.fleet.run(lambda: context.fleet.whole_job("gateway-2", JOB))
    context.failed_id = f"{JOB}-item-0"


@then('"explain" with its id and the logs of all gateways tells "{cause}"')
def explained(context, cause):
    command = [sys.executable, "-m", "coppercleat", "explain", context.failed_id]
    for name in context.fleet.names:
        command.append(f"--log={context.fleet.processes[name].log}")
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 0, done.stderr
    assert cause in done.stdout, done.stdout


@given("a clean checkout built as the deploy file says")
def clean_checkout(context):
    context.directory = tempfile.TemporaryDirectory(prefix="coppercleat-build-")
    context.add_cleanup(context.directory.cleanup)
    checkout = pathlib.Path(context.directory.name)
    listed = subprocess.run(
        ["git", "ls-files", "src", "deploy", "requirements.lock"],
        capture_output=True,
        text=True,
        check=True,
    )
    for name in listed.stdout.splitlines():
        (checkout / name).parent.mkdir(parents=True, exist_ok=True)
        shutil.copy(name, checkout / name)
    deploy = tomllib.loads((checkout / "deploy/system.toml").read_text())
    subprocess.run(deploy["build"], shell=True, cwd=checkout, check=True)
    context.fleet = Gateways(gateways=1, runners=1, checkout=checkout)
    context.fleet.start()
    context.asked = 0


@when("all open connections to the store go silent")
def store_silent(context):
    # So that each poll has a kept connection to meet.
    time.sleep(1)
    for name in context.fleet.names:
        context.fleet.run(lambda n=name: context.fleet.link(n, silence=1))
    assert context.fleet.run(lambda: context.fleet.control("proxy"))["silent"]


@then("after {seconds:d} s runner {number:d} gets none of {count:d} stream requests")
def gets_none(context, seconds, number, count):
    time.sleep(seconds)
    several(context, count, "stream")
    all_whole(context)
    ran_nothing(context, number)


@then("{which} gateway has dropped silent connections, and none took the store as away")
def dropped_silent(context, which):
    for name in context.fleet.names:
        if which == "every":
            context.fleet.run(until, f"{name} drops", lambda n=name: drops(context, n))
        else:
            assert not context.fleet.run(drops, context, name), name
    for name in context.fleet.names:
        output = context.fleet.processes[name].output()
        assert "The store is away." not in output, name


async def drops(context, name):
    text = await context.fleet.metrics(name)
    return 'store_connections_dropped_total{reason="silent"}' in text


@given("the gateways have been up for {seconds:g} s")
def up_for(context, seconds):
    context.fleet.run(trio.sleep, seconds)


@when("{count:d} messages of another fleet reach gateway {number:d}")
def of_another_fleet(context, count, number):
    port = context.fleet.ports[f"gateway-{number}"]["control"]
    stranger = EnvelopeWriter(InstanceId("stranger"), 1, key="another fleet")
    with pynng.Push0(dial=f"tcp://127.0.0.1:{port}", send_timeout=5000) as push:
        for _ in range(count):
            push.send(stranger.seal(LinkCheck()))


@then("gateway {number:d} counts {count:d} dropped messages with reason {reason}")
def counts_dropped(context, number, count, reason):
    line = f'coppercleat_peer_garbage_total{{reason="{reason}"}} {count}'

    async def counted():
        metrics = await context.fleet.metrics(f"gateway-{number}")
        return line in metrics.splitlines()

    context.fleet.run(until, "dropped messages are counted", counted)


@then("gateway {number:d} warns of another fleet once")
def warns_once(context, number):
    output = context.fleet.processes[f"gateway-{number}"].output()
    assert output.count("Messages of another fleet are dropped.") == 1, output[-3000:]


@then("within {seconds:d} s every gateway hears {count:d} others")
def hears_others(context, seconds, count):
    line = f"coppercleat_peers_heard {count}"

    async def all_hear():
        pages = [await context.fleet.metrics(name) for name in context.fleet.names]
        return all(line in page.splitlines() for page in pages)

    what = f"every gateway hears {count} others"
    context.fleet.run(lambda: until(what, all_hear, wait_s=seconds))


@then("no gateway has dropped messages of another fleet")
def none_of_another_fleet(context):
    for name in context.fleet.names:
        page = context.fleet.run(context.fleet.metrics, name)
        assert "wrong_key" not in page, name
