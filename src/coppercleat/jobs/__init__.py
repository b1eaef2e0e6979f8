"""Batch jobs of many items, whose results are listed in order of completion."""

from coppercleat.jobs._index import JobIndex
from coppercleat.jobs._items import ItemRunner
from coppercleat.jobs._pace import ItemDurationEstimator
from coppercleat.jobs._records import NO_OWNER, ItemSpec, ItemState, JobRow, ResultRow
from coppercleat.jobs._repository import (
    FinishedItem,
    JobRepository,
    OthersJob,
    OverQuota,
    ResultsPage,
    StoredJob,
    Submission,
    Superseded,
)
from coppercleat.jobs._run import JobRun
from coppercleat.jobs._schedule import next_candidates
from coppercleat.jobs._still_jobs import StalledJobs
from coppercleat.jobs._sweep import Sweeper
from coppercleat.jobs._worker import JobWorker

__all__ = [
    "NO_OWNER",
    "FinishedItem",
    "StoredJob",
    "ItemDurationEstimator",
    "ItemRunner",
    "ItemSpec",
    "ItemState",
    "JobIndex",
    "JobRow",
    "JobRun",
    "JobWorker",
    "JobRepository",
    "OthersJob",
    "OverQuota",
    "ResultRow",
    "ResultsPage",
    "StalledJobs",
    "Submission",
    "Superseded",
    "Sweeper",
    "next_candidates",
]
