"""Deterministic subsetting: limits how many upstreams an instance tracks.

See "Load Balancing in the Datacenter" in Beyer et al., "Site Reliability
Engineering" (2016).
"""

from __future__ import annotations

from collections.abc import Sequence

from coppercleat.ids import InstanceId, ZoneId
from coppercleat.routing._rendezvous import rendezvous_order
from coppercleat.storage import Node

MAX_LOCAL_UPSTREAMS = 48
MAX_REMOTE_UPSTREAMS = 16


def select_subset(
    instance: InstanceId,
    zone: ZoneId,
    nodes: Sequence[Node],
    *,
    always_tracked: frozenset[str] = frozenset(),
) -> list[Node]:
    """Returns the upstreams that an instance tracks.

    Limits hold per service, so a small fleet is tracked whole. Rendezvous hashing
    gives each instance a stable subset that differs from those of its peers.

    Args:
      instance: The instance.
      zone: Availability zone of the instance.
      nodes: All listed upstreams.
      always_tracked: Ids of upstreams that are tracked regardless of the limits.
    """
    chosen: list[Node] = []
    for service in sorted({node.service for node in nodes}):
        serving = {node.id: node for node in nodes if node.service == service}
        local = [i for i, node in serving.items() if node.zone == zone]
        remote = [i for i, node in serving.items() if node.zone != zone]
        selected = set(rendezvous_order(instance, local)[:MAX_LOCAL_UPSTREAMS])
        selected.update(rendezvous_order(instance, remote)[:MAX_REMOTE_UPSTREAMS])
        selected.update(always_tracked & serving.keys())
        chosen += [serving[i] for i in sorted(selected)]
    return chosen
