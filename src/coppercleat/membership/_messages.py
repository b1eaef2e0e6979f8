"""What entry instances tell each other; every list is bounded."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from coppercleat.configuration import Change, Snapshot
from coppercleat.ids import InstanceId, JobId, Revision, UpstreamId, ZoneId
from coppercleat.quarantine import CrashUpdate
from coppercleat.storage import Node

_MAX_MEMBERS = 64
_MAX_CHANGES = 512
MAX_ARRIVALS = 1024
"""Upstreams in one message at most."""

_MAX_NODES = 20_000


class MemberLine(Struct, frozen=True, array_like=True):
    """What a heartbeat passes on of one member.

    Attributes:
      incarnation: Grows with each start of the instance.
      beat: Grows with each heartbeat of the incarnation.
      revision: Its configuration revision.
    """

    instance: InstanceId
    address: str
    zone: ZoneId
    incarnation: int
    beat: int
    revision: Revision


class Heartbeat(Struct, frozen=True, tag="hb", array_like=True):
    """A sign of life, with what the sender has heard of some others."""

    own: MemberLine
    heard: Annotated[tuple[MemberLine, ...], Meta(max_length=_MAX_MEMBERS)]


class LinkCheck(Struct, frozen=True, tag="check", array_like=True):
    """Says nothing itself; its envelope asks for an answer, or is one."""


class ConfigurationPull(Struct, frozen=True, tag="pull", array_like=True):
    """Asks for what follows a revision, and for the nodes if none are known."""

    after: Revision
    wants_nodes: bool = False


class ConfigurationChanges(Struct, frozen=True, tag="changes", array_like=True):
    """Accepted changes in order."""

    changes: Annotated[tuple[Change, ...], Meta(max_length=_MAX_CHANGES)]


class ConfigurationSnapshot(Struct, frozen=True, tag="snapshot", array_like=True):
    """The whole configuration, for a member too far behind."""

    snapshot: Snapshot


class NodesKnown(Struct, frozen=True, tag="nodes", array_like=True):
    """The platform's list as the sender last read it."""

    nodes: Annotated[tuple[Node, ...], Meta(max_length=_MAX_NODES)]


class OnlineArrivals(Struct, frozen=True, tag="online", array_like=True):
    """The sender's online requests in flight on upstreams that others feed."""

    in_flight: Annotated[
        tuple[tuple[UpstreamId, int], ...], Meta(max_length=MAX_ARRIVALS)
    ]


class UpstreamLeaving(Struct, frozen=True, tag="leaving", array_like=True):
    """An upstream has said that it is leaving."""

    upstream: UpstreamId


class JobHint(Struct, frozen=True, tag="job", array_like=True):
    """A job was accepted or cancelled; look at it now."""

    job: JobId


Message = (
    Heartbeat
    | LinkCheck
    | ConfigurationPull
    | ConfigurationChanges
    | ConfigurationSnapshot
    | NodesKnown
    | OnlineArrivals
    | UpstreamLeaving
    | JobHint
    | CrashUpdate
)
