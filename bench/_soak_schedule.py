"""A soak's play as data: when clients call what, and which faults come when.

A schedule is drawn whole before the play, is written as JSON, and can be played again,
without some of its faults or with them earlier or later. Times are in seconds from the
beginning of the play. Targets are names as ``Gateways`` gives them.
"""

from __future__ import annotations

import pathlib
import re
from collections.abc import Collection
from typing import Any

import msgspec


def _snake_case(name: str) -> str:
    return re.sub(r"(?<!^)(?=[A-Z])", "_", name).lower()


class Fault(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag=_snake_case
):
    """Something that goes wrong.

    Attributes:
      number: Names it within its schedule, also after others were taken out.
      for_s: How long it lasts; kinds that have steps of their own do not use it.
    """

    number: int
    at_s: float
    for_s: float = 0.0

    @property
    def kind(self) -> str:
        """Its kind, as the file names it."""
        return _snake_case(type(self).__name__)


class StoreAway(Fault):
    """The store answers nothing but 503."""


class StoreSilent(Fault):
    """The store takes calls and never answers."""


class StoreSlow(Fault):
    """The store takes so much longer."""

    latency_s: float


class StoreLosesAnswers(Fault):
    """A share of the changes lose their answers and take effect, some later.

    Attributes:
      table: Only changes that write to this table do; empty for all. With "job" these
        are acceptances, takeovers, commits and ends, while leases are renewed.
    """

    share: float
    late_effect_s: float
    table: str = ""


class HistoryLost(Fault):
    """The store drops its history of changes."""


class WayHarmed(Fault):
    """The way to a runner, or from a gateway to the store, is harmed.

    Attributes:
      way: Name of the runner or the gateway.
      cut: It refuses connections and closes open ones.
      swallow: Nothing passes towards its target.
      mute: Nothing passes back.
      delay_s: Added to each part, each way.
    """

    way: str
    cut: bool = False
    swallow: bool = False
    mute: bool = False
    delay_s: float = 0.0


class ConnectionsSilent(Fault):
    """Connections that are open on these ways fall silent for good, in series.

    Attributes:
      pauses_s: After each of the times.
    """

    ways: tuple[str, ...]
    pauses_s: tuple[float, ...]


class GatewaysKilled(Fault):
    """Gateways are killed at one moment and start again, maybe several times.

    Attributes:
      down_s: How long they are gone, each time.
      up_s: From a new start to the next kill.
    """

    gateways: tuple[str, ...]
    down_s: tuple[float, ...]
    up_s: float


class OwnerKilled(Fault):
    """The gateway that owns a job is killed, and starts again.

    Attributes:
      down_s: How long it is gone.
    """

    job: str
    down_s: float


class GatewayPaused(Fault):
    """A gateway stands still."""

    gateway: str


class GatewayStopped(Fault):
    """A gateway is stopped as planned, and starts again."""

    gateway: str


class GatewayReloads(Fault):
    """A gateway is told to read its settings again."""

    gateway: str


class RunnerFaulty(Fault):
    """A runner cuts, crosses, fails, sheds or says nothing, or its runs go unheard.

    The attributes are knobs of the stand-in; those left at 0 are not set.
    """

    runner: str
    cut_next: int = 0
    cut_after: int = 0
    cross_next: int = 0
    fail_next: int = 0
    shed_next: int = 0
    silenced: int = 0
    silent: bool = False


class StreamsNotResumed(Fault):
    """Runners cut streams, and none of them goes on with one."""

    status: int
    cut_after: int


class RunnerGrey(Fault):
    """A runner fails every so manieth request, and is otherwise well."""

    runner: str
    fail_every: int


class RunnerLeaves(Fault):
    """A runner drains, leaves the list, and is listed again.

    Attributes:
      drains_s: From its announcement to its leaving; it is gone for as long.
    """

    runner: str
    drains_s: float


class ConfigurationChanges(Fault):
    """The operator writes so many new versions in quick succession."""

    versions: int


AnyFault = (
    StoreAway
    | StoreSilent
    | StoreSlow
    | StoreLosesAnswers
    | HistoryLost
    | WayHarmed
    | ConnectionsSilent
    | GatewaysKilled
    | OwnerKilled
    | GatewayPaused
    | GatewayStopped
    | GatewayReloads
    | RunnerFaulty
    | StreamsNotResumed
    | RunnerGrey
    | RunnerLeaves
    | ConfigurationChanges
)


class PlannedJob(msgspec.Struct, frozen=True, kw_only=True):
    """A job that clients submit."""

    id: str
    items: int


class Submission(msgspec.Struct, frozen=True, kw_only=True):
    """A client submits a job, or submits it again.

    Attributes:
      leaves_after_s: The client closes its connection so long after it has called;
        None if it waits for the answer.
      unless_accepted: Not sent if an answer has told the client that it is accepted.
    """

    at_s: float
    job: str
    gateway: str
    leaves_after_s: float | None = None
    unless_accepted: bool = True


class EndRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A client asks for the end of a job.

    Attributes:
      leaves_after_s: As of a submission.
    """

    at_s: float
    job: str
    gateway: str
    leaves_after_s: float | None = None


class Read(msgspec.Struct, frozen=True, kw_only=True):
    """A client reads results of a job.

    Attributes:
      from_share: From which position on, as a share of those it has read.
    """

    at_s: float
    job: str
    gateway: str
    from_share: float


class OnlineRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A client sends an online request.

    Attributes:
      client: Number of the client, which keeps its connections open for its next
        requests; None for a connection of its own.
      route: Its kind of route.
      leaves_after_s: As of a submission.
    """

    at_s: float
    id: str
    client: int | None = None
    route: str
    gateway: str
    leaves_after_s: float | None = None


class Schedule(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """All of a play.

    Attributes:
      event_s: Time between the events of an answer.
    """

    seed: int
    length_s: float
    gateways: int
    runners: int
    event_s: float = 0.02
    jobs: tuple[PlannedJob, ...]
    submissions: tuple[Submission, ...]
    ends: tuple[EndRequest, ...]
    reads: tuple[Read, ...]
    requests: tuple[OnlineRequest, ...]
    faults: tuple[AnyFault, ...]

    def without(self, numbers: Collection[int]) -> Schedule:
        """Returns the schedule without the faults of these numbers."""
        kept = tuple(fault for fault in self.faults if fault.number not in numbers)
        return msgspec.structs.replace(self, faults=kept)

    def shifted(self, by_s: float, numbers: Collection[int] = ()) -> Schedule:
        """Returns the schedule with faults earlier or later than clients' calls.

        Args:
          by_s: How much later; earlier if negative, but never before the beginning.
          numbers: Which faults; all if empty.
        """
        moved = tuple(
            msgspec.structs.replace(fault, at_s=max(0.0, fault.at_s + by_s))
            if not numbers or fault.number in numbers
            else fault
            for fault in self.faults
        )
        return msgspec.structs.replace(self, faults=moved)


def save_schedule(schedule: Schedule, path: pathlib.Path) -> None:
    """Writes a schedule as JSON, a line an entry."""
    fields = msgspec.to_builtins(schedule)
    text = ",\n".join(f'"{name}": {_lines(value)}' for name, value in fields.items())
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text("{" + text + "}\n", encoding="utf-8")


def load_schedule(path: pathlib.Path) -> Schedule:
    """Reads a schedule.

    Raises:
      msgspec.ValidationError: The file is not one; the message names the field.
    """
    return msgspec.json.decode(path.read_bytes(), type=Schedule)


def _lines(value: Any) -> str:
    if not isinstance(value, list | tuple):
        return msgspec.json.encode(value).decode()
    entries = ",\n".join(msgspec.json.encode(entry).decode() for entry in value)
    return f"[\n{entries}\n]"
