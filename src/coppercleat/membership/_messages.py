"""Messages between instances; the length of every list is limited."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from coppercleat.configuration import Change, Snapshot
from coppercleat.ids import InstanceId, JobId, Revision, UpstreamId, ZoneId
from coppercleat.quarantine import CrashUpdate
from coppercleat.storage import Node

_MAX_MEMBERS = 64
_MAX_ZONES = 64
MAX_DOWN = 256
"""Most members in one ``ZoneReport``; more than a zone of the planned size has."""

_MAX_CHANGES = 512
MAX_ARRIVALS = 1024
"""Most upstreams in one ``OnlineArrivals``."""

_MAX_NODES = 20_000


class MemberLine(Struct, frozen=True, array_like=True):
    """State of one member, as heartbeats carry it.

    Attributes:
      instance: The member.
      address: ``IP:PORT`` on which it receives messages.
      zone: Its availability zone.
      incarnation: Increases with each start of the instance.
      beat: Heartbeat counter, increases within the incarnation.
      revision: Its configuration revision.
      speed: What its machine carries, as a power of two; see ``measure_speed``. 0 if
        its release does not tell.
    """

    instance: InstanceId
    address: str
    zone: ZoneId
    incarnation: int
    beat: int
    revision: Revision
    speed: int = 0


class ZoneReport(Struct, frozen=True, array_like=True):
    """What a zone tells the others of its members, as one of them sees it.

    Attributes:
      zone: The availability zone.
      age_s: Seconds since the report was made; grows each time it is passed on.
      down: Known members of the zone that are not alive.
      speakers: Members that exchange the zone's sums with other zones.
    """

    zone: ZoneId
    age_s: Annotated[float, Meta(ge=0)]
    down: Annotated[tuple[InstanceId, ...], Meta(max_length=MAX_DOWN)]
    speakers: Annotated[tuple[InstanceId, ...], Meta(max_length=_MAX_MEMBERS)] = ()


class Heartbeat(Struct, frozen=True, tag="hb", array_like=True):
    """The sender's own state, and what it relays of other members.

    Attributes:
      own: State of the sender.
      heard: States of other members.
      zones: Reports of whole zones, in a fleet too large for a line of each member.
      ages_ms: Milliseconds since the last sign of life of each ``heard`` member;
        without ages, the states are taken as new.
    """

    own: MemberLine
    heard: Annotated[tuple[MemberLine, ...], Meta(max_length=_MAX_MEMBERS)]
    zones: Annotated[tuple[ZoneReport, ...], Meta(max_length=_MAX_ZONES)] = ()
    ages_ms: Annotated[
        tuple[Annotated[int, Meta(ge=0)], ...], Meta(max_length=_MAX_MEMBERS)
    ] = ()


class LinkCheck(Struct, frozen=True, tag="check", array_like=True):
    """Has no content; its envelope requests or carries an acknowledgement."""


class ConfigurationPull(Struct, frozen=True, tag="pull", array_like=True):
    """Requests the changes after a revision.

    Attributes:
      after: The sender's revision.
      wants_nodes: Whether the sender also requests a ``NodesKnown``.
    """

    after: Revision
    wants_nodes: bool = False


class ConfigurationChanges(Struct, frozen=True, tag="changes", array_like=True):
    """Accepted configuration changes, by ascending revision."""

    changes: Annotated[tuple[Change, ...], Meta(max_length=_MAX_CHANGES)]


class ConfigurationSnapshot(Struct, frozen=True, tag="snapshot", array_like=True):
    """The whole configuration, for a member whose revision is too old for changes."""

    snapshot: Snapshot


class NodesKnown(Struct, frozen=True, tag="nodes", array_like=True):
    """The platform's list of nodes as the sender last read it."""

    nodes: Annotated[tuple[Node, ...], Meta(max_length=_MAX_NODES)]


class OnlineArrivals(Struct, frozen=True, tag="online", array_like=True):
    """The sender's online requests in flight, for the batch dispatchers.

    Attributes:
      in_flight: Upstreams and the number of requests in flight on each.
    """

    in_flight: Annotated[
        tuple[tuple[UpstreamId, int], ...], Meta(max_length=MAX_ARRIVALS)
    ]


class UpstreamDraining(Struct, frozen=True, tag="leaving", array_like=True):
    """An upstream has announced that it is draining."""

    upstream: UpstreamId


class JobHint(Struct, frozen=True, tag="job", array_like=True):
    """A job was accepted or cancelled; the receiver should read it at once."""

    job: JobId


Message = (
    Heartbeat
    | LinkCheck
    | ConfigurationPull
    | ConfigurationChanges
    | ConfigurationSnapshot
    | NodesKnown
    | OnlineArrivals
    | UpstreamDraining
    | JobHint
    | CrashUpdate
)
