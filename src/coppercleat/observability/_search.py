"""Finds what log lines of any instances tell of an id."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec


def lines_about(identifier: str, lines: Iterable[str]) -> list[dict[str, Any]]:
    """Returns the events that carry an id, or the job of an item, by time.

    Lines that are no JSON, or have something before it, are taken as far as possible.

    Args:
      identifier: Id of a request, a job or an item.
      lines: Log lines of one or more instances, in any order.
    """
    events = [event for line in lines if (event := _event(line)) is not None]
    of_item = [event for event in events if event.get("item") == identifier]
    jobs = {(event.get("host"), event["job"]) for event in of_item if "job" in event}
    found = [event for event in events if _is_about(event, identifier, jobs)]
    return sorted(found, key=lambda event: event.get("timestamp", ""))


def _is_about(
    event: dict[str, Any], identifier: str, jobs: set[tuple[str | None, str]]
) -> bool:
    if identifier in event.values():
        return True
    # Of the item's job only what concerns the whole job.
    if "item" in event:
        return False
    host, job = event.get("host"), event.get("job")
    # Instances of versions before the hosts were logged name the id alone.
    return any(job == known and _may_be(host, of) for of, known in jobs)


def _may_be(host: str | None, other: str | None) -> bool:
    return host == other or None in (host, other)


def _event(line: str) -> dict[str, Any] | None:
    begin = line.find("{")
    if begin < 0:
        return None
    try:
        event = msgspec.json.decode(line[begin:])
    except msgspec.DecodeError:
        return None
    return event if isinstance(event, dict) and "event" in event else None
