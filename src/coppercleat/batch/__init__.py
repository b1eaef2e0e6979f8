"""Batch jobs: durable acceptance, exactly-once results and deadline forecasts."""

from coppercleat.batch._acceptance import Submission, SubmissionResult
from coppercleat.batch._challenges import ChallengeTracker
from coppercleat.batch._claim_scheduler import ClaimScheduler, OpenJob
from coppercleat.batch._feed import (
    DISPATCH_POLICIES,
    DispatchPolicy,
    UpstreamUsage,
    dispatch_policy,
)
from coppercleat.batch._forecast import Forecast, forecast
from coppercleat.batch._items import Item, ItemLineDecoder, ItemResult
from coppercleat.batch._jobs import Division, JobState, divide
from coppercleat.batch._ports import Fleet, HolderState
from coppercleat.batch._reading import Progress
from coppercleat.batch._rows import JobRow, SegmentRow
from coppercleat.batch._runner import BatchRunner
from coppercleat.batch._segments import ClaimRefusal, CommitOutcome, HeldSegment
from coppercleat.batch._state import BatchState
from coppercleat.batch._store import JobStore

__all__ = [
    "DISPATCH_POLICIES",
    "BatchRunner",
    "BatchState",
    "ChallengeTracker",
    "ClaimScheduler",
    "ClaimRefusal",
    "CommitOutcome",
    "Division",
    "DispatchPolicy",
    "Fleet",
    "Forecast",
    "HeldSegment",
    "HolderState",
    "Item",
    "ItemLineDecoder",
    "ItemResult",
    "JobRow",
    "JobState",
    "JobStore",
    "OpenJob",
    "Progress",
    "UpstreamUsage",
    "SegmentRow",
    "Submission",
    "SubmissionResult",
    "divide",
    "dispatch_policy",
    "forecast",
]
