"""Keeps the whole fleet's polls of the platform within a budget."""

from __future__ import annotations


def paced(pause_s: float, instances: int, calls_per_s: float) -> float:
    """Returns how long one instance waits between polls.

    Args:
      pause_s: Seconds between polls while the fleet is small.
      instances: How many instances live.
      calls_per_s: Calls a second that the whole fleet may make.
    """
    return max(pause_s, instances / calls_per_s)
