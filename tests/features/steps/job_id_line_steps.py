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


ASKED = "item-1"
THIS = {"job": ID, "host": HOST}
OTHER = {"job": ID, "host": OTHER_HOST}
THIS_LINES = [THIS | {"item": ASKED, "event": "this"}, THIS | {"event": "its job"}]
OTHER_LINES = [
    OTHER | {"item": "item-2", "event": "other"},
    OTHER | {"event": "other job"},
]


def without_host(events):
    return [{k: v for k, v in event.items() if k != "host"} for event in events]


LINES = {
    "two hosts have one of its id in jobs of one id": [
        *THIS_LINES,
        OTHER | {"item": ASKED, "event": "of its id"},
        *OTHER_LINES,
    ],
    "the other host's job of one id is of other items": [*THIS_LINES, *OTHER_LINES],
    "such a job beside it, whose lines name no host": [
        *THIS_LINES,
        *without_host(OTHER_LINES),
    ],
}


@when("the lines of an item are searched for, {where}")
def search_lines(context, where):
    lines = [json.dumps(event) for event in LINES[where]]
    context.found = [event["event"] for event in lines_about(ASKED, lines)]


@then("those found are {events}, of this job or the other")
def lines_found(context, events):
    assert context.found == events.split(", "), context.found
