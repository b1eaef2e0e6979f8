"""Steps for requests that end the upstreams that run them."""

import contextlib
import json
import subprocess
import sys
import time

import httpcore
import trio
from behave import given, then, when

from coppercleat.rpc import RpcError
from tests.harness import ONCE, PLAIN, RESUMABLE, STREAM
from tests.harness.scenario import engines
from tests.standins.runner import DEADLY_AFTER_S

ROUTES = {"stream": STREAM, "resumable": RESUMABLE, "plain": PLAIN, "once": ONCE}
DEADLY = "a deadly prompt"
DEADLY_KNOBS = {"deadly": "deadly"}
PAUSE_S = 0.25
NETWORK = (httpcore.NetworkError, httpcore.ProtocolError)
LAST = 3
TOLD_WITHIN_S = 0.1
"""From an upstream's end to the moment at which all instances know it."""


class Plays:
    """What was sent and answered.

    Attributes:
      deadly: Answers to the deadly request, and how long each took; None for none.
      proper: When each proper request was sent, and whether it was answered whole.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.sent = 0
        self.deadly = []
        self.proper = []

    async def send_deadly(self, route, *, gateway):
        self.sent += 1
        name = f"deadly-{self.sent}"
        began = time.monotonic()
        answer = None
        with contextlib.suppress(*NETWORK):
            answer = await self.fleet.ask(gateway, ROUTES[route], name, body=DEADLY)
        self.deadly.append((name, answer, time.monotonic() - began))

    async def send_proper(self, number):
        sent_at = time.monotonic()
        gateway = self.fleet.names[number % len(self.fleet.names)]
        whole = False
        with contextlib.suppress(*NETWORK):
            answer = await self.fleet.ask(gateway, PLAIN, f"proper-{number}")
            whole = answer.status == 200 and answer.whole
        self.proper.append((sent_at, whole))

    async def play(self, route, *, times, at_once):
        knobs = await self.revived_with()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.revive, knobs)
            async with trio.open_nursery() as clients:
                for number in range(times):
                    for k in range(at_once):
                        names = self.fleet.names
                        gateway = names[(number + k) % len(names)]
                        clients.start_soon(self._send_deadly, route, gateway)
                    clients.start_soon(self.send_proper, 2 * number)
                    await trio.sleep(PAUSE_S / 2)
                    clients.start_soon(self.send_proper, 2 * number + 1)
                    await trio.sleep(PAUSE_S / 2)
            while self.fleet.reviving:
                await trio.sleep(0.05)
            nursery.cancel_scope.cancel()

    async def _send_deadly(self, route, gateway):
        await self.send_deadly(route, gateway=gateway)

    async def revived_with(self):
        """Asks while all runners live: once requests come, one may be gone."""
        report = await self.fleet.control(self.fleet.runners[0])
        return {**DEADLY_KNOBS, "birthless": report["knobs"]["birthless"]}

    async def revive(self, knobs):
        await self.fleet.revive_forever(after_s=1.0, **knobs)


def plays_of(context):
    if not hasattr(context, "plays"):
        context.plays = Plays(context.fleet)
    return context.plays


@when(
    "a deadly {route} request comes {times:d} times in turn, "
    "while runners are back after 1 s"
)
def in_turn(context, route, times):
    plays = plays_of(context)
    context.fleet.run(lambda: plays.play(route, times=times, at_once=1))


@when(
    "a deadly {route} request comes {times:d} times, {n:d} at once, "
    "while runners are back after 1 s"
)
def at_once(context, route, times, n):
    plays = plays_of(context)
    context.fleet.run(lambda: plays.play(route, times=times, at_once=n))


@when("all gateways are killed and start again")
def all_restart(context):
    fleet = context.fleet
    for name in fleet.names:
        fleet.processes[name].kill()
    for name in fleet.names:
        fleet.start_gateway(name)
    for name in fleet.names:
        fleet.run(fleet.ready, name)


@given("all runners are listed anew")
def listed_anew(context):
    async def list_all():
        for name in context.fleet.runners:
            await context.fleet.list_runner(name)

    context.fleet.run(list_all)


@when("{count:d} equal {route} requests are answered while runners are set to {knobs}")
def answered(context, count, route, knobs):
    plays = plays_of(context)

    async def play():
        for name in context.fleet.runners:
            await context.fleet.control(name, **json.loads(knobs))
        for number in range(count):
            gateway = context.fleet.names[number % len(context.fleet.names)]
            await plays.send_deadly(route, gateway=gateway)

    context.fleet.run(play)


@when("runners are set to {knobs} again")
def healed(context, knobs):
    async def heal():
        for name in context.fleet.runners:
            await context.fleet.control(name, **json.loads(knobs))

    context.fleet.run(heal)


@when("a deadly {route} request comes {times:d} times in turn")
def again(context, route, times):
    plays = plays_of(context)

    async def play():
        for number in range(times):
            gateway = context.fleet.names[number % len(context.fleet.names)]
            await plays.send_deadly(route, gateway=gateway)

    context.fleet.run(play)


@then("at most {most:d} runners have ended under it")
def ended(context, most):
    found = context.fleet.ended
    assert 0 < len(found) <= most, found


@then("at most {most:d} runners have ended under it, or were about to")
def ended_or_about_to(context, most):
    """Allows for requests that were sent before the last of these ends could be told.

    One that was sent then ends its runner by 60 ms after it began to run.
    """
    found = context.fleet.ended
    assert len(found) >= most, found
    last = found[most - 1][0]
    later = [end for end in found if end[0] > last + TOLD_WITHIN_S + DEADLY_AFTER_S]
    assert not later, found
    assert len(found) <= 2 * most, found


@then("at most {most:d} runners have ended under it, and one more {s:g} s later")
def ended_and_one_more(context, most, s):
    found = [at for at, _ in context.fleet.ended]
    assert 0 < len(found) <= most + 1, found
    assert len(found) <= most or found[most] >= found[most - 1] + s, found


@then("its last answers are all {status:d}, within {s:g} s, and it was {run}")
def last_answers(context, status, s, run):
    plays = plays_of(context)
    started = {ran["id"] for ran in context.fleet.run(context.fleet.runs)}
    for name, answer, took_s in plays.deadly[-LAST:]:
        assert answer is not None and answer.status == status, (name, answer)
        assert took_s <= s, (name, took_s)
        assert (name in started) == (run == "run"), name
        if status == 503:
            assert float(answer.headers["retry-after"]) > 0, answer


@then("no proper request sent later than {s:g} s after the third end has failed")
def proper(context, s):
    third = context.fleet.ended[2][0]
    later = [whole for at, whole in plays_of(context).proper if at > third + s]
    assert len(later) > 10 and all(later), later


@when("a job of {count:d} items is submitted, of which one is deadly, and {s:d} s pass")
def deadly_job(context, count, s):
    async def play():
        plays = plays_of(context)
        knobs = await plays.revived_with()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(plays.revive, knobs)
            items = [DEADLY, *(f"item {number}" for number in range(1, count))]
            answer = await context.fleet.submit("gateway-1", "job-1", items)
            assert answer.status == 202, answer
            await trio.sleep(s)
            nursery.cancel_scope.cancel()
        return await context.fleet.results("gateway-2", "job-1")

    context.page = context.fleet.run(play)


@then("all other items are completed")
def others_completed(context):
    page = context.page
    done = [r["id"] for r in page["results"] if r["state"] == "completed"]
    assert len(done) == page["total"] - 1 == len(page["results"]), page
    assert "job-1-item-0" not in done, done


@when("a deadly inference is asked {times:d} times in turn at all entries")
def deadly_inference(context, times):
    context.errors = []

    async def play():
        names = list(context.fleet.entries)
        for number in range(times):
            entry = names[number % len(names)]
            context.errors.append(await ask_to_fail(context, entry))
            await trio.sleep(PAUSE_S)

    context.fleet.run(play)


async def ask_to_fail(context, entry):
    asked = {"deployment": "menus", "prompt": DEADLY}
    try:
        await context.fleet.call(entry, "OnlineService", "Infer", **asked)
    except RpcError as error:
        return error
    return None


@then("at most {most:d} engines have ended")
def engines_ended(context, most):
    processes = context.fleet.processes
    ended = [name for name in engines(context) if not processes[name].running]
    assert 0 < len(ended) <= most, ended


@then("the last {count:d} were refused as not run, with a time to come back")
def refused_at_last(context, count):
    for error in context.errors[-count:]:
        assert error is not None and error.outcome == "NOT_RUN", error
        assert int(error.info["retryAfterMs"]) > 0, error.info
        assert "ended while they ran" in str(error), error


@then("a proper inference is answered")
def proper_inference(context):
    async def ask():
        asked = {"deployment": "menus", "prompt": "a proper one"}
        entry = next(iter(context.fleet.entries))
        return await context.fleet.call(entry, "OnlineService", "Infer", **asked)

    assert context.fleet.run(ask)["text"]


def run_quarantine(context, number, *flags):
    port = context.fleet.ports[f"gateway-{number}"]["readiness"]
    command = [sys.executable, "-m", "coppercleat", "quarantine"]
    command += [f"--admin=127.0.0.1:{port}", *flags]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 0, done.stdout + done.stderr
    return json.loads(done.stdout)


@then('"quarantine" at gateway {number:d} lists it with {count:d} upstreams')
def lists_request(context, number, count):
    [listed] = run_quarantine(context, number)
    assert len(listed["upstreams"]) == count, listed
    assert 0 < listed["retry_after_s"] <= 60, listed
    context.fingerprint = listed["fingerprint"]


@when('"quarantine" at gateway {number:d} clears it')
def clears_request(context, number):
    answer = run_quarantine(context, number, f"--clear={context.fingerprint}")
    assert answer == {"cleared": True}, answer
    time.sleep(0.2)


@then('"quarantine" at gateway {number:d} lists nothing')
def lists_nothing(context, number):
    assert run_quarantine(context, number) == []
