"""Rows and objects of a job in platform storage, and their keys.

* ``job/JOB``: specification and state; written at acceptance and at the end only.
* ``open/JOB``: index of open jobs.
* ``jobkey/TENANT/KEY``: job of a client account's idempotency key.
* ``segment/JOB/N``: holder of a segment, and the result object of each chunk.
* ``challenge/INSTANCE``: pending liveness challenge to an instance.
* ``input/JOB/N``: object with a part of the input.
* ``result/JOB/SEGMENT/CHUNK-TOKEN``: object with the results of a chunk.
"""

from __future__ import annotations

import msgspec

from coppercleat.batch._jobs import Division, JobState
from coppercleat.ids import DeploymentId, InstanceId, JobId, TenantId

OPEN_PREFIX = "open/"
ITEMS_PER_INPUT_OBJECT = 4096
NO_HOLDER = InstanceId("")
"""Holder of a released segment."""


class JobRow(msgspec.Struct, frozen=True, kw_only=True):
    """Stored row of a job; times are Unix seconds, 0 for none."""

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
    """Stored row of an idempotency key: its job and the hash of the job's content."""

    job: JobId
    content_hash: str


class SegmentRow(msgspec.Struct, frozen=True, kw_only=True):
    """Stored row of a claimed segment.

    Attributes:
      holder: The instance that claimed the segment last.
      incarnation: Incarnation of that instance.
      results: Name of each chunk's result object; empty until committed.
    """

    holder: InstanceId
    incarnation: int
    results: tuple[str, ...]

    @property
    def done(self) -> bool:
        """Returns whether all chunks are committed."""
        return all(self.results)


class ChallengeRow(msgspec.Struct, frozen=True):
    """Stored row of a pending liveness challenge."""

    challenger: InstanceId


def job_key(job: JobId) -> str:
    """Returns the key of a job's row."""
    return f"job/{job}"


def open_key(job: JobId) -> str:
    """Returns the key of a job's entry in the index of open jobs."""
    return OPEN_PREFIX + job


def idempotency_row_key(tenant: TenantId, key: str) -> str:
    """Returns the key of an idempotency key's row."""
    return f"jobkey/{tenant}/{key}"


def segment_prefix(job: JobId) -> str:
    """Returns the key prefix of a job's segment rows."""
    return f"segment/{job}/"


def segment_key(job: JobId, segment: int) -> str:
    """Returns the key of a segment's row."""
    return f"{segment_prefix(job)}{segment:06d}"


def challenge_key(instance: InstanceId) -> str:
    """Returns the key of an instance's challenge row."""
    return f"challenge/{instance}"


def input_object_name(job: JobId, part: int) -> str:
    """Returns the name of an input object."""
    return f"input/{job}/{part:06d}"


def result_prefix(job: JobId) -> str:
    """Returns the name prefix of a job's result objects."""
    return f"result/{job}/"


def result_object_name(job: JobId, segment: int, chunk: int, token: str) -> str:
    """Returns the name of a result object, unique to one commit by its token."""
    return f"{result_prefix(job)}{segment:06d}/{chunk:03d}-{token}"
