"""Batch jobs: accepted means done once, readable, on time or known to be late."""

from coppercleat.batch._acceptance import Submission, Submitted
from coppercleat.batch._challenges import Challenges
from coppercleat.batch._claim_scheduler import ClaimChooser, OpenJob
from coppercleat.batch._dispatch_policies import (
    FEED_POLICIES,
    FeedPolicy,
    RunnerView,
    feed_policy,
)
from coppercleat.batch._forecast import Forecast, forecast
from coppercleat.batch._items import Item, ItemLines, ItemResult
from coppercleat.batch._jobs import Division, JobState, divide
from coppercleat.batch._ports import Fleet, HolderState
from coppercleat.batch._reading import Progress
from coppercleat.batch._rows import JobRow, SegmentRow
from coppercleat.batch._runner import BatchRunner
from coppercleat.batch._segments import Claimed, Commit, HeldSegment
from coppercleat.batch._state import BatchState
from coppercleat.batch._store import JobStore

__all__ = [
    "FEED_POLICIES",
    "BatchRunner",
    "BatchState",
    "Challenges",
    "ClaimChooser",
    "Claimed",
    "Commit",
    "Division",
    "FeedPolicy",
    "Fleet",
    "Forecast",
    "HeldSegment",
    "HolderState",
    "Item",
    "ItemLines",
    "ItemResult",
    "JobRow",
    "JobState",
    "JobStore",
    "OpenJob",
    "Progress",
    "RunnerView",
    "SegmentRow",
    "Submission",
    "Submitted",
    "divide",
    "feed_policy",
    "forecast",
]
