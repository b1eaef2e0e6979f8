"""Stored rows of a job, and their keys.

All rows of a job are in the storage partition named by the job's host, so that one
transaction can accept a job or commit results, and jobs of one id at two hosts have
rows of their own under the same keys.

* ``job/JOB``: the job, its owner, and the items whose results are listed, in order.
* ``input/JOB/N``: the submitted items in slices; a large job's input is an object.
* ``result/JOB/POSITION``: one listed result; ``result/JOB/POSITION/NN`` continues it.
* ``result/JOB/~``: the items that were not listed when the job was cancelled. It sorts
  after all results, so that a scan of the last of them includes it.
* ``partial/JOB/ITEM``: checkpoint of a running item.
* ``quota/PREFIX``, ``quota/PREFIX@ACCOUNT``: total tokens accepted on a route, of an
  account if there are accounts; every acceptance with a limit changes it, so that
  concurrent ones conflict.
"""

from __future__ import annotations

import enum
from urllib.parse import quote

import msgspec

from coppercleat.ids import NO_ACCOUNT, JobId, JobRef, TenantId
from coppercleat.serving import NO_GENERATION, Generation, Header, StreamOrigin

JOB_SPACE = "job"
"""First component of the keys of jobs, by which the change feed is read."""

NO_OWNER = ""
"""Owner of a job that was released or never had an owner."""

SLICE_BYTES = 45_000
"""Maximum bytes per row; the storage limit is 65,536 bytes in base64, or 49,152 raw."""

MAX_INPUT_SLICES = 14
"""Maximum slices of input in the accepting transaction, whose limit is 1 MB in base64;
larger input is stored as an object."""


class ItemState(enum.Enum):
    """Final state of an item."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class ItemSpec(msgspec.Struct, frozen=True, array_like=True):
    """One item as submitted.

    Attributes:
      id: Id that the client gave the item.
      target: Request target at the upstream.
      headers: Request headers.
      body: Request body.
      tokens: Upper bound on prompt and output tokens together.
    """

    id: str
    target: str
    headers: list[Header]
    body: bytes
    tokens: int


class JobRow(msgspec.Struct, frozen=True, kw_only=True):
    """A job's row. Times are Unix seconds.

    Attributes:
      job: Id of the job.
      host: Host that it was submitted to, which names its storage partition.
      path: Path that it was submitted to; with the host it determines the route.
      tokens: Tokens of each item, by index.
      accepted_at: When the job was accepted.
      due_at: When all items should be finished.
      expires_at: When items that are not finished fail.
      owner: Owner name of the instance that runs the job.
      listed: Item index at each position of the list of results.
      ended: Whether the client has cancelled the job.
      slices: Number of input rows; 0 if the input is an object.
      input_object: Name of the input object; empty if the input is in rows.
      account: Client account that submitted it; empty if it needed none.
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
    account: TenantId = NO_ACCOUNT

    @property
    def ref(self) -> JobRef:
        """What the job is found by: another host may have a job of its id."""
        return JobRef(self.host, self.job)

    @property
    def total(self) -> int:
        """Number of items."""
        return len(self.tokens)

    @property
    def open(self) -> bool:
        """Whether the job is not cancelled and some item is not listed."""
        return not self.ended and len(self.listed) < self.total

    @property
    def waiting_tokens(self) -> int:
        """Tokens of the items that are not listed; 0 once the job is cancelled."""
        if self.ended:
            return 0
        return sum(self.tokens) - sum(self.tokens[i] for i in self.listed)


class ResultRow(msgspec.Struct, frozen=True, kw_only=True):
    """A listed result, or its first slice.

    Attributes:
      item: Id of the item.
      state: Final state of the item.
      text: Event data, one event per line; empty unless the item is completed.
      more: Number of further rows that continue the text.
    """

    item: str
    state: ItemState
    text: bytes
    more: int = 0


class CancellationRow(msgspec.Struct, frozen=True, kw_only=True):
    """Items that were not listed when their job was cancelled.

    Attributes:
      unlisted: Item indexes, in the order in which they appear as cancelled after the
        listed results.
    """

    unlisted: tuple[int, ...]


class CheckpointRow(msgspec.Struct, frozen=True, kw_only=True):
    """Checkpoint of a running item.

    Attributes:
      last_event: Number of the last event.
      events: Data of each event.
      failures: Attempts that the upstream answered with a failure.
      origin: What wrote the events, and alone may go on after them; None in rows of
        instances that did not know.
      generation: The run that the events belong to.
    """

    last_event: int
    events: list[bytes]
    failures: int = 0
    origin: StreamOrigin | None = None
    generation: Generation = NO_GENERATION


class QuotaRow(msgspec.Struct, frozen=True, kw_only=True):
    """Total tokens accepted on a route, without those of deleted jobs.

    Where there are accounts, each has a total of its own.
    """

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
    """Returns the key after which the rows of a position start; empty for the first."""
    return f"result/{job}/{position - 1:06d}~" if position else ""


def cancellation_key(job: JobId) -> str:
    """Returns the key of the row written when a job is cancelled."""
    return f"result/{job}/~"


def checkpoint_key(job: JobId, index: int) -> str:
    """Returns the key of a running item's checkpoint."""
    return f"partial/{job}/{index:04d}"


def quota_key(prefix: str, account: TenantId = NO_ACCOUNT) -> str:
    """Returns the key of a route's quota, or of an account's quota on the route."""
    # A prefix ends with a slash, so that no other prefix looks like this one's account.
    return f"quota/{prefix}@{quote(account, safe='')}" if account else f"quota/{prefix}"
