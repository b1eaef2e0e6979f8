"""Steps for gateways that get signals while they start."""

import pathlib
import signal
import time

from behave import then, when

from tests.harness import PLAIN

_TOLD_EVERY_S = 0.02
_WAIT_S = 60.0


def has_loaded(process, module):
    maps = pathlib.Path(f"/proc/{process.popen.pid}/maps")
    return module in maps.read_text()


@when(
    "gateway-1 starts again, and is told to read its settings from its first modules on"
)
def told_while_it_starts(context):
    fleet = context.fleet
    fleet.processes["gateway-1"].kill()
    fleet.start_gateway("gateway-1")
    process = fleet.processes["gateway-1"]
    ends_at = time.monotonic() + _WAIT_S
    while not has_loaded(process, "msgspec"):
        assert process.running and time.monotonic() < ends_at, process.output()
    context.told = 0
    while process.running and fleet.run(fleet.readiness, "gateway-1") != 200:
        assert time.monotonic() < ends_at, process.output()
        process.signal(signal.SIGHUP)
        context.told += 1
        time.sleep(_TOLD_EVERY_S)


@then("it becomes ready, has read them again, and serves a plain request")
def ready_and_serving(context):
    fleet = context.fleet
    process = fleet.processes["gateway-1"]
    code = process.popen.poll()
    assert code is None, f"ended with {code} after {context.told} signals"
    assert context.told > 0
    assert "Settings read again." in process.output(), process.output()
    answer = fleet.run(fleet.ask, "gateway-1", PLAIN, "r-1")
    assert answer.status == 200, answer
