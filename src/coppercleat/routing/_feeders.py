"""Which instance feeds batch to which upstream, and what runs online there."""

from __future__ import annotations

import math
from collections.abc import Iterable

from coppercleat.ids import InstanceId, UpstreamId, ZoneId
from coppercleat.routing._rendezvous import ranked


def assign_feeders(
    upstreams: Iterable[tuple[UpstreamId, ZoneId]],
    alive: Iterable[tuple[InstanceId, ZoneId]],
) -> dict[UpstreamId, InstanceId]:
    """Assigns to each upstream the one instance that feeds batch to it.

    An upstream goes to an instance of its own zone if any lives there, to the
    highest by rendezvous hashing that has room; room is an even share. Two
    instances that differ about who lives may both feed an upstream for a
    moment, which costs batch speed and nothing else.

    Args:
      upstreams: Upstreams with their zones.
      alive: Living instances with their zones.

    Returns:
      The feeder of each upstream; empty if no instance lives.
    """
    by_zone: dict[ZoneId, list[InstanceId]] = {}
    for instance, zone in alive:
        by_zone.setdefault(zone, []).append(instance)
    everybody = [instance for group in by_zone.values() for instance in group]
    if not everybody:
        return {}
    wanted: dict[ZoneId, list[UpstreamId]] = {}
    for upstream, zone in upstreams:
        wanted.setdefault(zone if zone in by_zone else ZoneId(""), []).append(upstream)
    assigned: dict[UpstreamId, InstanceId] = {}
    for zone, group in wanted.items():
        assigned.update(_assign_evenly(group, by_zone.get(zone, everybody)))
    return assigned


def _assign_evenly(
    upstreams: list[UpstreamId], instances: list[InstanceId]
) -> dict[UpstreamId, InstanceId]:
    room = math.ceil(len(upstreams) / len(instances))
    load = dict.fromkeys(instances, 0)
    assigned = {}
    for upstream in sorted(upstreams):
        for name in ranked(upstream, instances):
            instance = InstanceId(name)
            if load[instance] < room:
                load[instance] += 1
                assigned[upstream] = instance
                break
    return assigned


class PeerArrivals:
    """Online requests that each peer has in flight on each upstream."""

    def __init__(self) -> None:
        self._counts: dict[InstanceId, dict[UpstreamId, int]] = {}

    def observe(
        self, peer: InstanceId, in_flight: Iterable[tuple[UpstreamId, int]]
    ) -> list[UpstreamId]:
        """Takes a peer's counts; returns the upstreams whose count changed.

        Counts are absolute, so that a lost or repeated message does no harm.
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
        """Drops a dead peer's counts; returns the upstreams it had."""
        return list(self._counts.pop(peer, {}))

    def peers(self) -> list[InstanceId]:
        """Returns the peers that have told anything."""
        return list(self._counts)

    def total(self, upstream: UpstreamId) -> int:
        """Returns the sum over all peers."""
        return sum(counts.get(upstream, 0) for counts in self._counts.values())
