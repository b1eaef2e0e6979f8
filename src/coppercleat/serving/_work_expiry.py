"""Expiry of the work in flight that other instances and zones have reported."""

from __future__ import annotations

from collections.abc import Callable, Collection

from coppercleat.ids import InstanceId, UpstreamId, ZoneId
from coppercleat.membership import Detector
from coppercleat.observability import part_logger
from coppercleat.serving._reported_work import ZONE_COUNTS_EXPIRY_S, ReportedWork

SUSPECT_AFTER_S = 2.0
"""Four heartbeats, so that a lost message or a busy moment makes nobody suspect."""

COUNTS_EXPIRY_S = 10.0
"""How long the counts of a live peer are kept without a refresh. Its work continues
while a link to it is broken, and links are reopened within about a second. Counts that
stayed for good would keep slots from being used."""

OUTDATED_COUNTS_S = 2.5
"""Age from which counts no longer keep late online requests from an upstream. Work goes
on without a refresh, but a late request has little to lose."""

QUEUED_WORK_EXPIRY_S = 1.5
"""How long a peer's queued work is kept without a refresh, longer than the refresh
interval. Slots reserved for work that is gone would stay unused."""

_log = part_logger("peers")


class WorkExpiry:
    """Drops reported work that is too old; the clock is passed in.

    Attributes:
      expired_counts: How often the counts of a peer expired.
      on_expired: Called with the upstreams of expired counts.
    """

    def __init__(
        self,
        reported: ReportedWork,
        detector: Detector,
        on_expired: Callable[[Collection[UpstreamId]], None],
    ) -> None:
        self.expired_counts = 0
        self.on_expired = on_expired
        self._reported = reported
        self._placement = reported.placement
        self._detector = detector

    def expire(self, now: float) -> bool:
        """Drops counts of dead peers and zones, and counts without a recent refresh.

        Returns:
          Whether any were dropped.
        """
        peers = [
            p
            for p in self._placement.peers.reporters()
            if self._have_peer_counts_expired(p, now)
        ]
        zones = [
            z
            for z in self._placement.zones.reporters()
            if self._have_zone_counts_expired(z, now)
        ]
        self._mark_outdated_counts(now)
        changed = self._expire_queued_work(now)
        for peer in peers:
            self._expire_peer_counts(peer)
        for zone in zones:
            self._expire_zone_counts(zone)
        return changed or bool(peers or zones)

    def _have_peer_counts_expired(self, peer: InstanceId, now: float) -> bool:
        """Returns whether a peer is dead or its counts are too old.

        The counts of a live peer are kept for longer, since its work continues.
        """
        age_s = now - self._reported.peers_at.get(peer, float("-inf"))
        is_alive = self._detector.is_alive(peer, now) or age_s <= SUSPECT_AFTER_S
        if is_alive and age_s <= COUNTS_EXPIRY_S:
            return False
        age_s = round(age_s, 1)
        _log.warning(
            "Counts of a peer expired.", peer=peer, told_s=age_s, lives=is_alive
        )
        return True

    def _have_zone_counts_expired(self, zone: ZoneId, now: float) -> bool:
        """Returns whether a zone is dead or its counts are too old."""
        age_s = now - self._reported.zones_at.get(zone, float("-inf"))
        is_alive = bool(self._detector.alive_in(zone, now))
        if age_s <= (COUNTS_EXPIRY_S if is_alive else ZONE_COUNTS_EXPIRY_S):
            return False
        age_s = round(age_s, 1)
        _log.warning(
            "Counts of a zone expired.", zone=zone, told_s=age_s, lives=is_alive
        )
        return True

    def _mark_outdated_counts(self, now: float) -> None:
        for peer, heard_at in self._reported.peers_at.items():
            if now - heard_at > OUTDATED_COUNTS_S:
                self._placement.peers.mark_outdated(peer)
        for zone, heard_at in self._reported.zones_at.items():
            if now - heard_at > OUTDATED_COUNTS_S:
                self._placement.zones.mark_outdated(zone)

    def _expire_queued_work(self, now: float) -> bool:
        """Drops peers' queued work that is too old; returns whether there was any."""
        expired = [
            peer
            for peer in self._placement.peer_queues.reporters()
            if now - self._reported.peers_at.get(peer, float("-inf"))
            > QUEUED_WORK_EXPIRY_S
        ]
        for peer in expired:
            self._placement.peer_queues.forget(peer)
        return bool(expired)

    def _expire_peer_counts(self, peer: InstanceId) -> None:
        """Drops the counts of a peer and reports which upstreams they concerned."""
        upstreams = self._placement.peers.upstreams_of(peer)
        self._reported.forget(peer)
        self.expired_counts += 1
        self.on_expired(upstreams)

    def _expire_zone_counts(self, zone: ZoneId) -> None:
        upstreams = self._placement.zones.upstreams_of(zone)
        self._reported.forget_zone(zone)
        self.on_expired(upstreams)
