"""Which instance feeds batch to which upstream, and what runs online there."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from coppercleat.ids import InstanceId, UpstreamId, ZoneId
from coppercleat.routing._rendezvous import owner


def feeder(
    upstream: UpstreamId,
    zone: ZoneId,
    alive: Sequence[tuple[InstanceId, ZoneId]],
) -> InstanceId | None:
    """Returns the one instance that feeds batch to an upstream.

    Args:
      upstream: The upstream.
      zone: Its availability zone.
      alive: Living instances with their zones.

    Returns:
      An instance of the same zone if there is any, else any; None if none
      lives. Two instances that differ about who lives may both feed for a
      moment, which costs batch speed and nothing else.
    """
    local = [instance for instance, where in alive if where == zone]
    chosen = owner(upstream, local or [instance for instance, _ in alive])
    return InstanceId(chosen) if chosen is not None else None


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
