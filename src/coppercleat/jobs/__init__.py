"""Jobs of many items, whose results are listed in the order of completion."""

from coppercleat.jobs._index import JobIndex
from coppercleat.jobs._items import ItemRunner
from coppercleat.jobs._pace import ItemPace
from coppercleat.jobs._records import NOBODY, ItemSpec, ItemState, JobRow, ResultRow
from coppercleat.jobs._repository import (
    Finished,
    Held,
    JobRepository,
    OverQuota,
    ResultsPage,
    Submission,
    Superseded,
)
from coppercleat.jobs._run import JobRun
from coppercleat.jobs._schedule import next_turns
from coppercleat.jobs._stalled_jobs import StillJobs
from coppercleat.jobs._sweep import Sweeper
from coppercleat.jobs._worker import JobWorker

__all__ = [
    "NOBODY",
    "Finished",
    "Held",
    "ItemPace",
    "ItemRunner",
    "ItemSpec",
    "ItemState",
    "JobIndex",
    "JobRow",
    "JobRun",
    "JobWorker",
    "JobRepository",
    "OverQuota",
    "ResultRow",
    "ResultsPage",
    "StillJobs",
    "Submission",
    "Superseded",
    "Sweeper",
    "next_turns",
]
