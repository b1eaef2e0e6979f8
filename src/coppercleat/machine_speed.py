"""Measures how much a machine carries, so that duties fall to those that carry most."""

from __future__ import annotations

import time

_ROUNDS = 50_000


def measure_speed() -> int:
    """Returns the binary logarithm of the rounds of a loop that run in a second.

    Machines of one kind measure alike, give or take one.
    """
    began = time.perf_counter()
    total = 0
    for number in range(_ROUNDS):
        total += number
    elapsed_s = max(time.perf_counter() - began, 1e-6)
    return int(_ROUNDS / elapsed_s).bit_length()
