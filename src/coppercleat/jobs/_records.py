"""Rows that a job consists of, and their keys.

All rows of a job lie in the part named by the job's host, so that accepting a job
and committing results are transactions of one part.

* ``job/JOB``: what was asked, who runs it, and which items are listed, in order.
* ``input/JOB/N``: the items, in slices; or one object, for a large job.
* ``result/JOB/POSITION``: one listed result; ``.../NN`` goes on with a long one.
* ``result/JOB/~``: which items were not listed when the job was ended. It comes after
  all results, so that a read of the last of them shows it, and is written with the end.
* ``partial/JOB/ITEM``: events that a running item has made so far.
* ``quota/PREFIX``: tokens ever accepted on a route, so that racing acceptances meet.
"""

from __future__ import annotations

import enum

import msgspec

from coppercleat.ids import JobId
from coppercleat.serving import Header

JOB_SPACE = "job"
NO_OWNER = ""
"""The owner of a job that was given up or never taken."""

SLICE_BYTES = 45_000
"""A row's value holds 65,536 bytes in base64, which is 49,152 raw."""

MAX_INPUT_SLICES = 14
"""Slices of input in the accepting transaction, which holds 1 MB in base64;
a larger job's input becomes an object."""


class ItemState(enum.Enum):
    """How a listed item ended."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class ItemSpec(msgspec.Struct, frozen=True, array_like=True):
    """One item as submitted.

    Attributes:
      target: Path at the upstream.
      headers: Headers to send with it.
      tokens: Prompt and output together, at most.
    """

    id: str
    target: str
    headers: list[Header]
    body: bytes
    tokens: int


class JobRow(msgspec.Struct, frozen=True, kw_only=True):
    """A job as the platform keeps it; times are Unix seconds.

    Attributes:
      path: Path under which it was submitted, which decides its route.
      tokens: Tokens of each item.
      owner: The start of an instance that runs it.
      listed: Index of the item at each position.
      ended: Whether its client has ended it.
      slices: Rows of input; 0 if the input is an object.
      input_object: Name of the object.
    """

    job: JobId
    host: str
    path: str
    tokens: tuple[int, ...]
    accepted_at: float
    due_at: float
    expires_at: float
    owner: str = NO_OWNER
    listed: tuple[int, ...] = ()
    ended: bool = False
    slices: int = 0
    input_object: str = ""

    @property
    def total(self) -> int:
        """How many items it has."""
        return len(self.tokens)

    @property
    def open(self) -> bool:
        """Whether any item is still to be run."""
        return not self.ended and len(self.listed) < self.total

    @property
    def waiting_tokens(self) -> int:
        """Tokens of items that are not listed, none once it has ended."""
        if self.ended:
            return 0
        return sum(self.tokens) - sum(self.tokens[i] for i in self.listed)


class ResultRow(msgspec.Struct, frozen=True, kw_only=True):
    """A listed result, or its first slice.

    Attributes:
      more: Rows that go on with the text.
    """

    item: str
    state: ItemState
    text: bytes
    more: int = 0


class EndRow(msgspec.Struct, frozen=True, kw_only=True):
    """What was left of a job when its client ended it.

    Attributes:
      unlisted: Index of each item that was not listed, in the order in which they are
        shown as cancelled behind the results.
    """

    unlisted: tuple[int, ...]


class CheckpointRow(msgspec.Struct, frozen=True, kw_only=True):
    """What a running item has made so far.

    Attributes:
      last_event: Number of the last event.
      events: Data of each event.
      failures: Runs that the upstream answered with a failure.
    """

    last_event: int
    events: list[bytes]
    failures: int = 0


class QuotaRow(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens ever accepted on a route, less those of jobs swept away."""

    accepted_tokens: int


def job_key(job: JobId) -> str:
    """Returns the key of a job's row."""
    return f"{JOB_SPACE}/{job}"


def input_key(job: JobId, index: int) -> str:
    """Returns the key of a slice of input."""
    return f"input/{job}/{index:04d}"


def result_key(job: JobId, position: int, slice_index: int = 0) -> str:
    """Returns the key of a result, or of a further slice of it."""
    key = f"result/{job}/{position:06d}"
    return f"{key}/{slice_index:02d}" if slice_index else key


def results_start_key(job: JobId, position: int) -> str:
    """Returns a key past all results before a position."""
    return f"result/{job}/{position - 1:06d}~" if position else ""


def end_key(job: JobId) -> str:
    """Returns the key of what was left at a job's end, past all its results."""
    return f"result/{job}/~"


def checkpoint_key(job: JobId, index: int) -> str:
    """Returns the key of a running item's events."""
    return f"partial/{job}/{index:04d}"


def quota_key(prefix: str) -> str:
    """Returns the key of a route's quota."""
    return f"quota/{prefix}"
