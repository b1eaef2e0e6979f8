"""To whom an instance sends its work in flight, by the size of the fleet."""

from __future__ import annotations

from coppercleat.ids import InstanceId, ZoneId
from coppercleat.membership import Detector
from coppercleat.serving._placement import Placement

_FULL_MESH_MAX_PEERS = 24
"""Up to this many peers, every instance sends its counts to every other one. In a
larger fleet it sends them within its availability zone, and the speakers of each zone
send the sums of its zone to the other zones."""

_ZONE_MESH_MAX_PEERS = 12
"""Up to this many peers in its zone, an instance of a larger fleet sends its counts to
each of them. In a larger zone the speakers pass them on; see ``ZoneRelay``."""


class PeerRecipients:
    """Chooses the recipients of an instance's messages; the clock is passed in."""

    def __init__(self, detector: Detector, placement: Placement) -> None:
        self._detector = detector
        self._placement = placement
        self._instance: InstanceId = detector.own.instance
        self._zone: ZoneId = detector.own.zone

    def live_peers(self, now: float) -> list[InstanceId]:
        """Returns the other instances with recent heartbeats."""
        return self._detector.alive(now)[1:]

    def here(self, now: float) -> list[InstanceId]:
        """Returns the live peers of the own zone."""
        return self._detector.alive_in(self._zone, now)

    def tells_all(self, now: float) -> bool:
        """Returns whether every instance sends its counts to every other one."""
        return len(self.live_peers(now)) <= _FULL_MESH_MAX_PEERS

    def lists_few(self) -> bool:
        """Returns whether so few instances are listed that all are told."""
        return len(self._detector.members) <= _FULL_MESH_MAX_PEERS

    def hears_few(self) -> bool:
        """Returns whether so few instances report one by one that all are told."""
        return len(self._placement.peers.reporters()) <= _FULL_MESH_MAX_PEERS

    def is_relayed(self, now: float) -> bool:
        """Returns whether speakers pass on what this zone's instances tell."""
        return len(self.here(now)) > _ZONE_MESH_MAX_PEERS and not self.tells_all(now)

    def is_speaker(self, now: float) -> bool:
        """Returns whether this instance is one of its zone's speakers."""
        return self._instance in self._detector.speakers(now)

    def of_counts(self, now: float, *, started: bool = False) -> list[InstanceId]:
        """Returns the peers to which this instance sends its own counts.

        Args:
          now: Seconds on this instance's clock.
          started: Whether an attempt has started, for which peers may have to preempt.
        """
        if self.tells_all(now):
            return self.live_peers(now)
        if not self.is_relayed(now):
            return self.here(now)
        recipients = set(self._detector.speakers(now))
        if started:
            recipients |= self._placement.contended_batch_peers()
        return sorted(recipients - {self._instance})

    def of_crashes(self, now: float) -> list[InstanceId]:
        """Returns the peers to which crash reports are sent; the rest get gossip."""
        recipients = self.live_peers(now)
        if len(recipients) > _FULL_MESH_MAX_PEERS:
            return self._detector.gossip_targets()
        return recipients

    def speakers_elsewhere(self, place: int, now: float) -> list[InstanceId]:
        """Returns one speaker of each other zone, that of a place among its zone's."""
        found = []
        for zone in self._detector.zones():
            speakers = self._detector.speakers_of(zone, now)
            if zone != self._zone and speakers:
                found.append(speakers[place % len(speakers)])
        return found
