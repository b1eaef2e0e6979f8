"""What a soak holds its clients' answers and the runners' runs against.

The soaks share these checks; see docs/PROMISES.md.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import attrs

from tests.harness import Answer

AT_MOST_ONCE = ("stream", "once")
PROMISES = (408, 421, 429, 503)
EVENTS = 30
CANCEL_S = 3.0
"""After a job's end is acknowledged nothing of it may start for longer than this."""

Runs = dict[str, list[dict[str, Any]]]
"""Runs by the request or the item that was run."""


@attrs.define
class Job:
    """A submitted job as its client knows it."""

    id: str
    items: list[str]
    statuses: list[int] = attrs.field(factory=list)
    seen: dict[int, Any] = attrs.field(factory=dict)
    ended_at: float = 0.0
    end_asked: bool = False

    @property
    def accepted(self) -> bool:
        """Whether any submission was acknowledged."""
        return 202 in self.statuses

    @property
    def item_ids(self) -> list[str]:
        """Ids of its items, as its client names them."""
        return [f"{self.id}-item-{n}" for n in range(len(self.items))]

    @property
    def listed_ids(self) -> list[str]:
        """Ids of the items that its client has read as listed."""
        return [result["id"] for result in self.seen.values()]


def runs_by_request(runs: Iterable[dict[str, Any]]) -> Runs:
    """Returns the runs by what was run."""
    found: Runs = {}
    for run in runs:
        found.setdefault(run["id"], []).append(run)
    return found


def check_requests(
    answers: Mapping[str, tuple[str, Answer | None]], runs: Runs
) -> list[str]:
    """Returns what is wrong with the answers to online requests, in words.

    Args:
      answers: Kind of route and answer of each, None for no answer.
      runs: All runs.
    """
    problems = []
    for request, (kind, answer) in answers.items():
        ran = runs.get(request, [])
        if kind in AT_MOST_ONCE and len(ran) > 1:
            problems.append(f"{request} ({kind}) ran {len(ran)} times")
        if answer is not None:
            problems += _check_answer(request, answer, ran)
    return problems


def _check_answer(
    request: str, answer: Answer, ran: Sequence[dict[str, Any]]
) -> list[str]:
    problems = []
    if answer.status in PROMISES and ran:
        problems.append(f"{request}: {answer.status}, but it ran")
    if answer.status != 200:
        return problems
    if request not in answer.headers.get("response-stamp", ""):
        problems.append(f"{request}: another request's answer")
    events = answer.events
    if events != list(range(1, len(events) + 1)):
        problems.append(f"{request}: events {events}")
    if answer.whole and len(events) != EVENTS:
        problems.append(f"{request}: looks whole after {len(events)} events")
    return problems


def check_runs_of(job: Job, runs: Runs) -> list[str]:
    """Returns what is wrong with the runs of a job, in words."""
    problems = []
    ran = [run for name in job.item_ids for run in runs.get(name, ())]
    refused = job.statuses and all(s in PROMISES for s in job.statuses)
    if refused and ran:
        problems.append(f"{job.id}: always refused as not run, but it ran")
    if job.ended_at:
        late = [r for r in ran if r["at"] > job.ended_at + CANCEL_S]
        if late:
            problems.append(f"{job.id}: {len(late)} runs after its end")
    return problems


def check_listed(job: Job) -> list[str]:
    """Returns what is wrong with the list of a job that should be whole, in words."""
    problems = []
    if sorted(job.listed_ids) != sorted(job.item_ids):
        problems.append(
            f"{job.id}: listed are {job.listed_ids}, its end was asked: {job.end_asked}"
        )
    text = "\n".join(f"word {n}" for n in range(1, EVENTS + 1))
    for result in job.seen.values():
        good = result["state"] == "completed" and result["text"] == text
        if not good and result["state"] != "dead_letter":
            problems.append(f"{job.id}: {result['id']} is not whole")
    return problems


def take_page(job: Job, after: int, page: dict[str, Any]) -> list[str]:
    """Takes what a read of a job's results found; returns what has changed, in words.

    Args:
      job: The job, as its client knows it.
      after: The position from which on it was read.
      page: What was read.
    """
    problems = []
    for position, result in enumerate(page["results"], after):
        first = job.seen.setdefault(position, result)
        if first != result:
            problems.append(f"{job.id}: position {position} changed")
    return problems
