"""How many runs an upstream has that nobody tells of, from its own reports.

Answers the load after connections have gone silent: an upstream cannot see that its
caller has gone, runs on to the end, and others would queue behind runs that count as
ended. A report is some ten milliseconds old, while own runs and those of peers start
and end, so that it proves a range and no number.
"""

from __future__ import annotations

from collections.abc import Sequence

ASSUME_RUNNING_AFTER_S = 0.2
"""A run that is left after so long without a word may go on: the way to its upstream
may be silent. Ten times the pause between events, twice a prompt's longest read."""

HELD_S = 5.0
"""Without a report for so long, unknown runs are taken as ended: the longest batch item
lasts for about 5 s, an answer to an online request for 1 s."""

UNPROVED_FADE = 1
"""Runs by which a belief falls that a report allows and does not speak for: in a busy
time each report allows one or two that there are not, and slots would stay unused."""

LIKELY_SHARE = 0.6
"""A report speaks for a belief if it would show as many runs at more than this share of
the moments that it may be of. Measured with three silent runs beside five requests a
second, a hundred plays: they are taken for ended for 0.26 slot-seconds a play in place
of 0.77, and slots stay unused after their end for 0.62 in place of 0.58. From a half
on, some stay unused for over 0.6 s at a time."""


def estimate_untracked(before: int, *, reported: int, known: Sequence[int]) -> int:
    """Returns how many unknown runs to believe in after a report.

    Args:
      before: How many were believed in.
      reported: Runs and waiting requests that the upstream has told of.
      known: How many were known at several moments around that of the report.
    """
    most = max(0, reported - min(known))
    proved = max(0, reported - max(known))
    speaks = sum(reported - count >= before for count in known)
    likely = speaks > LIKELY_SHARE * len(known)
    return min(most, max(proved, before if likely else before - UNPROVED_FADE))
