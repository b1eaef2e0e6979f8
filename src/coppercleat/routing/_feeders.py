"""Assigns batch dispatchers to upstreams and tracks online load of peers."""

from __future__ import annotations

import math
from collections.abc import Iterable

from coppercleat.ids import InstanceId, UpstreamId, ZoneId
from coppercleat.routing._rendezvous import rendezvous_order


def assign_batch_dispatchers(
    upstreams: Iterable[tuple[UpstreamId, ZoneId]],
    alive: Iterable[tuple[InstanceId, ZoneId]],
) -> dict[UpstreamId, InstanceId]:
    """Assigns to each upstream the one instance that dispatches batch items to it.

    Instances of the upstream's zone are preferred; without any, all instances
    share its upstreams. Rendezvous hashing, bounded by an even share for each
    instance, keeps the assignment stable as membership changes. Instances with
    different views of the membership may dispatch to one upstream at the same
    time, which only lowers batch throughput.

    Args:
      upstreams: Upstreams with their zones.
      alive: Live instances with their zones.

    Returns:
      The batch dispatcher of each upstream; empty if no instance is alive.
    """
    instances_by_zone: dict[ZoneId, list[InstanceId]] = {}
    for instance, zone in alive:
        instances_by_zone.setdefault(zone, []).append(instance)
    all_instances = [
        instance for members in instances_by_zone.values() for instance in members
    ]
    if not all_instances:
        return {}
    # The empty zone collects upstreams whose zone has no live instance.
    upstreams_by_zone: dict[ZoneId, list[UpstreamId]] = {}
    for upstream, zone in upstreams:
        upstreams_by_zone.setdefault(
            zone if zone in instances_by_zone else ZoneId(""), []
        ).append(upstream)
    assigned: dict[UpstreamId, InstanceId] = {}
    for zone, members in upstreams_by_zone.items():
        assigned.update(
            _assign_evenly(members, instances_by_zone.get(zone, all_instances))
        )
    return assigned


def _assign_evenly(
    upstreams: list[UpstreamId], instances: list[InstanceId]
) -> dict[UpstreamId, InstanceId]:
    capacity = math.ceil(len(upstreams) / len(instances))
    load = dict.fromkeys(instances, 0)
    assigned = {}
    for upstream in sorted(upstreams):
        for name in rendezvous_order(upstream, instances):
            instance = InstanceId(name)
            if load[instance] < capacity:
                load[instance] += 1
                assigned[upstream] = instance
                break
    return assigned


class PeerOnlineCounts:
    """Online requests in flight on each upstream, as reported by each peer."""

    def __init__(self) -> None:
        self._counts: dict[InstanceId, dict[UpstreamId, int]] = {}

    def observe(
        self, peer: InstanceId, in_flight: Iterable[tuple[UpstreamId, int]]
    ) -> list[UpstreamId]:
        """Records a peer's counts; returns the upstreams whose count changed.

        Counts are absolute rather than increments, so that lost and duplicate
        messages are harmless.
        """
        before = self._counts.setdefault(peer, {})
        changed = []
        for upstream, count in in_flight:
            if before.get(upstream, 0) == count:
                continue
            changed.append(upstream)
            if count:
                before[upstream] = count
            else:
                before.pop(upstream, None)
        return changed

    def forget(self, peer: InstanceId) -> list[UpstreamId]:
        """Drops the counts of a dead peer; returns the upstreams they were for."""
        return list(self._counts.pop(peer, {}))

    def peers(self) -> list[InstanceId]:
        """Returns the peers that have reported counts."""
        return list(self._counts)

    def total(self, upstream: UpstreamId) -> int:
        """Returns the online requests in flight on an upstream, over all peers."""
        return sum(counts.get(upstream, 0) for counts in self._counts.values())
