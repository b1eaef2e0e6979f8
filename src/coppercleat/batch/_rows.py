"""Rows and objects that a job consists of, and their keys.

* ``job/JOB``: what was asked, and how it ended. Written at acceptance and at
  the end only.
* ``open/JOB``: exists while the job is open, so that open jobs can be listed.
* ``jobkey/TENANT/KEY``: which job a submitter's key means.
* ``segment/JOB/N``: who runs a segment, and a pointer for each chunk done.
* ``challenge/INSTANCE``: asks a silent holder for a sign of life.
* objects ``input/JOB/N`` and ``result/JOB/SEGMENT/CHUNK-TOKEN``.
"""

from __future__ import annotations

import msgspec

from coppercleat.batch._jobs import Division, JobState
from coppercleat.ids import DeploymentId, InstanceId, JobId, TenantId

OPEN_PREFIX = "open/"
ITEMS_PER_INPUT_OBJECT = 4096
NO_HOLDER = InstanceId("")
"""The holder of a segment that was given up."""


class JobRow(msgspec.Struct, frozen=True, kw_only=True):
    """A job as the table keeps it; times are Unix seconds."""

    job: JobId
    tenant: TenantId
    deployment: DeploymentId
    job_key: str
    content_hash: str
    due_at: float
    max_tokens: int
    division: Division
    accepted_at: float
    state: JobState = JobState.OPEN
    finished_at: float = 0.0


class IdempotencyKeyRow(msgspec.Struct, frozen=True):
    """Which job a submitter's key means."""

    job: JobId
    content_hash: str


class SegmentRow(msgspec.Struct, frozen=True, kw_only=True):
    """Who runs a segment, and what is done.

    Attributes:
      holder: The instance that claimed it last.
      incarnation: Which start of that instance.
      results: Object name of each chunk's results; empty while not done.
    """

    holder: InstanceId
    incarnation: int
    results: tuple[str, ...]

    @property
    def done(self) -> bool:
        """Whether all chunks are committed."""
        return all(self.results)


class ChallengeRow(msgspec.Struct, frozen=True):
    """Who asks for a sign of life."""

    challenger: InstanceId


def job_key(job: JobId) -> str:
    """Key of the job's own row."""
    return f"job/{job}"


def open_key(job: JobId) -> str:
    """Key of the row that lists the job as open."""
    return OPEN_PREFIX + job


def idempotency_row_key(tenant: TenantId, key: str) -> str:
    """Key of the row that finds a job by its submitter's key."""
    return f"jobkey/{tenant}/{key}"


def segment_prefix(job: JobId) -> str:
    """Prefix of the keys of all segment rows."""
    return f"segment/{job}/"


def segment_key(job: JobId, segment: int) -> str:
    """Key of a segment's row."""
    return f"{segment_prefix(job)}{segment:06d}"


def challenge_key(instance: InstanceId) -> str:
    """Key of the row that asks an instance for a sign of life."""
    return f"challenge/{instance}"


def input_object_name(job: JobId, part: int) -> str:
    """Name of the object with a part of the input."""
    return f"input/{job}/{part:06d}"


def result_prefix(job: JobId) -> str:
    """Prefix of the names of all result objects."""
    return f"result/{job}/"


def result_object_name(job: JobId, segment: int, chunk: int, token: str) -> str:
    """Name of a result object, unique to the attempt at the chunk."""
    return f"{result_prefix(job)}{segment:06d}/{chunk:03d}-{token}"
