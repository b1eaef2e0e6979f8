"""Steps for log lines about jobs of one id at two hosts."""

import ast
import json
import pathlib

from behave import then, when

from coppercleat.observability import lines_about
from tests.harness import HOST
from tests.harness._job_plans import OTHER_HOST
from tests.harness._twin_jobs import ID

LOGGING = ("src/coppercleat/jobs", "src/coppercleat/gateway")
SUBJECTS = {"job", "item"}


def logging_calls():
    """Yields the place of each call that logs of a job or an item, and its fields."""
    for folder in LOGGING:
        for path in pathlib.Path(folder).glob("*.py"):
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
                if isinstance(node, ast.Call) and is_sentence(node.args):
                    fields = {keyword.arg for keyword in node.keywords}
                    if fields & SUBJECTS:
                        yield f"{path}:{node.lineno}", fields


def is_sentence(arguments):
    """Whether arguments are those of a log line: a sentence first."""
    first = arguments[0] if arguments else None
    return isinstance(first, ast.Constant) and str(first.value).endswith(".")


@then("each line of jobs and gateways that names a job or an item names its host")
def lines_name_host(context):
    calls = dict(logging_calls())
    assert len(calls) > 15, calls
    unnamed = [place for place, fields in calls.items() if "host" not in fields]
    assert not unnamed, unnamed


def lines_of(letter, host, item):
    """Returns a line of a job, and one of its item."""
    of_job = {"event": f"{letter}2", "job": ID, "host": host, "timestamp": letter}
    return [of_job | {"event": f"{letter}1", "item": item}, of_job]


def without_host(events):
    return [{k: v for k, v in event.items() if k != "host"} for event in events]


ASKED = "item-1"
LINES = {
    "have one, in jobs of one id": [
        *lines_of("a", HOST, ASKED),
        *lines_of("b", OTHER_HOST, ASKED),
    ],
    "have one, in jobs of one id, lines of other ids": [
        *lines_of("a", HOST, ASKED),
        *lines_of("b", OTHER_HOST, ASKED),
        {"event": "c", "job": "other", "host": HOST},
    ],
    "do not have one, but jobs of one id": [
        *lines_of("a", HOST, ASKED),
        *lines_of("b", OTHER_HOST, "item-2"),
    ],
    "do not have one, but jobs of one id, logged before": [
        *lines_of("a", HOST, ASKED),
        *without_host(lines_of("b", OTHER_HOST, "item-2")),
    ],
}


@when("it is asked what lines tell of an item, of whose id two hosts {state}")
def ask_lines(context, state):
    lines = [json.dumps(event) for event in LINES[state]]
    context.found = [event["event"] for event in lines_about(ASKED, lines)]


@then("the lines found are {events}")
def lines_found(context, events):
    assert context.found == events.split(), context.found
