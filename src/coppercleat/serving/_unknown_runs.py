"""Estimates how many untracked requests an upstream runs, from its load reports.

An untracked request runs at an upstream while no instance has it in flight: its caller
crashed, or its connection was lost without the upstream noticing. New requests would
queue behind it. A report is some milliseconds old when it arrives and other requests
start and end meanwhile, so it yields a range of possible numbers.
"""

from __future__ import annotations

from collections.abc import Sequence

ASSUME_RUNNING_AFTER_S = 0.2
"""Seconds without data after which an abandoned attempt is assumed to be still running:
the connection to the upstream may be dead, so it cannot learn of the cancellation."""

UNTRACKED_EXPIRY_S = 5.0
"""Seconds without a report after which untracked requests are taken to have ended:
about the duration of the longest batch item."""

ESTIMATE_DECREMENT = 1
"""Decrease of an estimate that a report permits but does not support. Without it, slots
would stay unused, since under load each report permits one or two too many."""

SUPPORT_SHARE = 0.6
"""A report supports an estimate if it would yield at least as many at more than this
share of the times at which the tracked requests were counted. Lower values keep slots
unused for longer, from a half on for over 0.6 s at a time; higher ones give up too
early."""


def estimate_untracked(before: int, *, reported: int, known: Sequence[int]) -> int:
    """Returns the new estimate after a report.

    Args:
      before: The previous estimate.
      reported: Running and waiting requests in the upstream's report.
      known: Requests that instances had in flight there, at several times around that
        of the report.
    """
    most = max(0, reported - min(known))
    least = max(0, reported - max(known))
    supporting = sum(reported - count >= before for count in known)
    supported = supporting > SUPPORT_SHARE * len(known)
    return min(most, max(least, before if supported else before - ESTIMATE_DECREMENT))
