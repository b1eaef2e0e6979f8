"""Messages between gateway instances, besides those of the membership."""

from __future__ import annotations

from typing import Any, cast

import msgspec

from coppercleat.accounts import PeerUse
from coppercleat.ids import InstanceId, JobId, StreamKey, ZoneId
from coppercleat.serving._account_load import AccountLoadReport
from coppercleat.serving._fleet_order import QueuedWork, UnsharedWork
from coppercleat.serving._generation import (
    NO_GENERATION,
    Generation,
    Precedence,
    precedence,
)
from coppercleat.serving._model import RouteConfig, Upstream
from coppercleat.serving._placement import AttemptResults
from coppercleat.serving._stream_origins import BegunStreams, StreamOrigin
from coppercleat.serving._work_counts import InFlight


class WorkWithoutAccounts(msgspec.Struct, frozen=True, tag="work", array_like=True):
    """``WorkInFlight`` as it is sent while no account load is to be reported.

    Attributes:
      counts: Attempts in flight, by upstream.
      waiting: Queued work.
      rates: Arrival rate of online requests at the sender, per second, by service.
      number: Increases with each of the sender's messages of this type.
      pass_on: Whether the receiver passes it on within the availability zone.
      accounts: What client accounts have used of their allowances at the sender.
      streams: Streams that have begun at the sender since its previous message.
    """

    counts: tuple[InFlight, ...]
    waiting: tuple[UnsharedWork, ...] = ()
    rates: dict[str, float] = {}
    number: int = 0
    pass_on: bool = False
    accounts: PeerUse = PeerUse()
    streams: tuple[BegunStreams, ...] = ()


class WorkInFlight(WorkWithoutAccounts, frozen=True, tag="work", array_like=True):
    """All work that the sender has in flight or queued; replaces its previous message.

    Only ``streams`` adds to what was told before.

    Attributes:
      account_load: ``AccountLoadReport`` of the sender; absent from instances of
        earlier versions. Decoded without a type, so that a malformed report does not
        make the rest of the message unreadable; ``read_report`` checks it.
    """

    waiting: tuple[QueuedWork, ...] = ()
    account_load: Any = AccountLoadReport()

    def on_wire(self) -> WorkWithoutAccounts:
        """Returns what to send: an empty report is omitted, as by earlier versions."""
        waiting = tuple(one.on_wire() for one in self.waiting)
        if self.account_load != AccountLoadReport():
            return msgspec.structs.replace(
                self, waiting=cast(tuple[QueuedWork, ...], waiting)
            )
        plain = WorkWithoutAccounts(*msgspec.structs.astuple(self)[:-1])
        return msgspec.structs.replace(plain, waiting=waiting)


class ZoneWorkWithoutAccounts(msgspec.Struct, frozen=True, tag="zone", array_like=True):
    """``ZoneWorkInFlight`` as it is sent while no account load is to be reported.

    Attributes:
      zone: The sender's availability zone.
      counts: Attempts in flight in the whole zone, by upstream.
      rates: Arrival rate of online requests in the zone, per second, by service.
      accounts: What client accounts have used of their allowances in the zone.
      streams: Streams that have begun in the zone since the previous message.
    """

    zone: ZoneId
    counts: tuple[InFlight, ...]
    rates: dict[str, float] = {}
    accounts: PeerUse = PeerUse()
    streams: tuple[BegunStreams, ...] = ()


class ZoneWorkInFlight(
    ZoneWorkWithoutAccounts, frozen=True, tag="zone", array_like=True
):
    """All work in flight in an availability zone; replaces the previous message.

    Only ``streams`` adds to what was told before.

    Attributes:
      account_load: ``AccountLoadReport`` of the zone; see ``WorkInFlight``.
    """

    account_load: Any = AccountLoadReport()

    def on_wire(self) -> ZoneWorkWithoutAccounts:
        """Returns what to send: an empty report is omitted, as by earlier versions."""
        if self.account_load != AccountLoadReport():
            return self
        return ZoneWorkWithoutAccounts(*msgspec.structs.astuple(self)[:-1])


class AttemptResultsReport(msgspec.Struct, frozen=True, tag="results", array_like=True):
    """Results of the sender's attempts since its previous message.

    Attributes:
      results: Results by upstream.
      pass_on: Whether the receiver passes them on within the availability zone.
    """

    results: tuple[AttemptResults, ...]
    pass_on: bool = False


class RelayedWork(msgspec.Struct, frozen=True, array_like=True):
    """Work in flight of an instance, passed on by another one.

    Attributes:
      instance: The instance.
      incarnation: Its incarnation; orders its messages together with their numbers.
      age_s: Seconds since the message passed on arrived there.
      work: The message.
    """

    instance: InstanceId
    incarnation: int
    age_s: float
    work: WorkInFlight


class RelayedZoneWork(msgspec.Struct, frozen=True, array_like=True):
    """Work in flight of another zone, passed on by an instance of the own one.

    Attributes:
      age_s: Seconds since the message passed on arrived there.
      work: The message.
    """

    age_s: float
    work: ZoneWorkInFlight


class RelayedResults(msgspec.Struct, frozen=True, array_like=True):
    """Results of an instance's attempts, passed on by another one."""

    instance: InstanceId
    results: tuple[AttemptResults, ...]


class ZoneRelayed(msgspec.Struct, frozen=True, tag="relayed", array_like=True):
    """What the sender passes on to all instances of its zone.

    Attributes:
      works: Instances' work in flight that has changed, or was refreshed.
      zones: The same of other zones.
      results: Results of attempts.
      streams: Streams that have begun.
    """

    works: tuple[RelayedWork, ...]
    zones: tuple[RelayedZoneWork, ...]
    results: tuple[RelayedResults, ...]
    streams: tuple[BegunStreams, ...] = ()

    def on_wire(self) -> ZoneRelayed:
        """Returns what to send: empty reports of accounts are omitted."""
        works = tuple(
            msgspec.structs.replace(one, work=cast(WorkInFlight, one.work.on_wire()))
            for one in self.works
        )
        zones = tuple(
            msgspec.structs.replace(
                one, work=cast(ZoneWorkInFlight, one.work.on_wire())
            )
            for one in self.zones
        )
        return msgspec.structs.replace(self, works=works, zones=zones)


class OriginRequest(msgspec.Struct, frozen=True, tag="ask_origin", array_like=True):
    """Asks what began a stream that a client takes up at the sender."""

    key: StreamKey


class OriginReply(msgspec.Struct, frozen=True, tag="origin", array_like=True):
    """Response to ``OriginRequest``.

    Attributes:
      key: The stream.
      origin: What began it; None if the sender does not know.
    """

    key: StreamKey
    origin: StreamOrigin | None


class RoutesRequest(msgspec.Struct, frozen=True, tag="ask", array_like=True):
    """Requests routes newer than version ``after``, and the list of upstreams."""

    after: int


class RoutesSnapshot(msgspec.Struct, frozen=True, tag="know", array_like=True):
    """The sender's routes and upstreams.

    Attributes:
      config: Routes; None if the requester's version is as new.
      upstreams: All upstreams of the list.
      upstreams_age_s: Seconds since the sender read the list of upstreams.
    """

    config: RouteConfig | None
    upstreams: tuple[Upstream, ...]
    upstreams_age_s: float


class JobTakeover(msgspec.Struct, frozen=True, tag="taken", array_like=True):
    """The sender has taken over a job; its previous owner must stop running it.

    Attributes:
      job: Id of the job.
      host: Its host; None from an instance of a version that named the id alone.
    """

    job: JobId
    host: str | None = None


class ItemEvents(msgspec.Struct, frozen=True, array_like=True):
    """Progress of a previous owner on an item.

    Attributes:
      index: Position of the item in its job.
      last_event: Number of the last event.
      events: Data of each event.
      failures: Failed attempts.
      complete: Whether the item is finished.
      origin: What wrote the events; None if that is not known.
      generation: The run that the events belong to.
    """

    index: int
    last_event: int
    events: list[bytes]
    failures: int
    complete: bool
    origin: StreamOrigin | None = None
    generation: Generation = NO_GENERATION

    @property
    def precedence(self) -> Precedence:
        """Which of two copies of an item's progress is to be used: the greater."""
        return precedence(
            self.events, self.origin, self.generation, complete=self.complete
        )


class JobHandover(msgspec.Struct, frozen=True, tag="handover", array_like=True):
    """Response to ``JobTakeover`` with the sender's progress on the job.

    Attributes:
      job: Id of the job.
      items: Progress on its items.
      host: Its host; None from an instance of a version that named the id alone.
    """

    job: JobId
    items: list[ItemEvents]
    host: str | None = None
