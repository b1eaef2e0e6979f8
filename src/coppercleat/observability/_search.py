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
    wanted = {identifier}
    for event in events:
        if event.get("item") == identifier and "job" in event:
            wanted.add(event["job"])
    found = [event for event in events if _is_about(event, identifier, wanted)]
    return sorted(found, key=lambda event: event.get("timestamp", ""))


def _is_about(event: dict[str, Any], identifier: str, wanted: set[str]) -> bool:
    if identifier in event.values():
        return True
    # Of the item's job only what concerns the whole job.
    return event.get("job") in wanted and "item" not in event


def _event(line: str) -> dict[str, Any] | None:
    begin = line.find("{")
    if begin < 0:
        return None
    try:
        event = msgspec.json.decode(line[begin:])
    except msgspec.DecodeError:
        return None
    return event if isinstance(event, dict) and "event" in event else None
