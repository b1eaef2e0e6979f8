"""Chooses which upstreams an instance follows when there are very many."""

from __future__ import annotations

from collections.abc import Sequence

from coppercleat.ids import InstanceId, ZoneId
from coppercleat.routing._rendezvous import ranked
from coppercleat.storage import Node

FOLLOWED_LOCAL = 48
FOLLOWED_REMOTE = 16


def subset(
    instance: InstanceId,
    zone: ZoneId,
    nodes: Sequence[Node],
    *,
    fed: frozenset[str] = frozenset(),
) -> list[Node]:
    """Returns the upstreams to follow: all of a small fleet, else a share.

    Each service gets its own share, the same at each call, and a different one
    for each instance, so that every upstream is followed by several instances.

    Args:
      instance: Who asks.
      zone: Its availability zone.
      nodes: All upstreams listed.
      fed: Ids of upstreams that this instance feeds; always followed.
    """
    chosen: list[Node] = []
    for service in sorted({node.service for node in nodes}):
        serving = {node.id: node for node in nodes if node.service == service}
        local = [i for i, node in serving.items() if node.zone == zone]
        remote = [i for i, node in serving.items() if node.zone != zone]
        wanted = set(ranked(instance, local)[:FOLLOWED_LOCAL])
        wanted.update(ranked(instance, remote)[:FOLLOWED_REMOTE])
        wanted.update(fed & serving.keys())
        chosen += [serving[i] for i in sorted(wanted)]
    return chosen
