"""Takes over the work in flight that other instances and zones report."""

from __future__ import annotations

from typing import Any

import msgspec

from coppercleat.accounts import Allowances
from coppercleat.ids import InstanceId, ZoneId
from coppercleat.membership import Detector
from coppercleat.observability import part_logger
from coppercleat.serving._account_load import (
    AccountLoadReport,
    RejectedReport,
    read_report,
)
from coppercleat.serving._peer_messages import RelayedWork, ZoneWorkInFlight
from coppercleat.serving._placement import Placement
from coppercleat.serving._zone_relay import ZoneRelay

ZONE_COUNTS_EXPIRY_S = 2.5
"""How long the counts of a zone without live peers are kept; if the zone's reporter
crashes, another one takes over after ``SUSPECT_AFTER_S``."""

_REPORT_WARNING_INTERVAL_S = 60.0
"""Limits the warnings of each sender: its reports may come several times a second."""

_log = part_logger("peers")


class ReportedWork:
    """Work in flight by reporter; the clock is passed in.

    Attributes:
      placement: Counts and queued work of all reporters.
      allowances: Learns what accounts use elsewhere.
      relay: What this instance passes on within its zone.
      peers_at: When the counts of each peer were told, in seconds of this instance's
        clock.
      zones_at: The same of other zones.
    """

    def __init__(
        self,
        placement: Placement,
        detector: Detector,
        allowances: Allowances,
        relay: ZoneRelay,
    ) -> None:
        self.placement = placement
        self.allowances = allowances
        self.relay = relay
        self.peers_at: dict[InstanceId, float] = {}
        self.zones_at: dict[ZoneId, float] = {}
        self._detector = detector
        self._warned_at: dict[InstanceId | ZoneId, float] = {}

    def has_zone(self, zone: ZoneId | None, now: float) -> bool:
        """Returns whether there are recent counts of a whole zone."""
        if zone is None:
            return False
        return now - self.zones_at.get(zone, float("-inf")) <= ZONE_COUNTS_EXPIRY_S

    def is_news(self, relayed: RelayedWork) -> bool:
        """Whether a message passed on is of this zone and newer than what is known."""
        instance = relayed.instance
        own = self._detector.own
        return (
            instance != own.instance
            and self._detector.zone_of(instance) == own.zone
            and self.relay.is_newer(instance, relayed.incarnation, relayed.work.number)
        )

    def observe(self, relayed: RelayedWork, now: float) -> None:
        """Takes over an instance's work in flight, told directly or passed on."""
        instance, work = relayed.instance, relayed.work
        report = self._checked_report(instance, work.account_load, now)
        # A rejected report is not passed on.
        work = msgspec.structs.replace(work, account_load=report)
        heard_at = now - relayed.age_s
        self.relay.observe(instance, relayed.incarnation, work, now=heard_at)
        self.peers_at[instance] = heard_at
        self.placement.peers.observe(instance, work.counts)
        self.placement.peer_queues.observe(instance, work.waiting, now=heard_at)
        self.placement.demand.observe(instance, work.rates)
        self.placement.account_load.observe(instance, report)
        zone = self._detector.zone_of(instance) or self._detector.own.zone
        self.allowances.observe(instance, work.accounts, zone=zone)

    def observe_zone(self, work: ZoneWorkInFlight, heard_at: float, now: float) -> None:
        """Takes over another zone's work in flight, unless it is older than known."""
        if heard_at <= self.zones_at.get(work.zone, float("-inf")):
            return
        self.zones_at[work.zone] = heard_at
        self.placement.zones.observe(work.zone, work.counts)
        self.placement.demand.observe(work.zone, work.rates)
        report = self._checked_report(work.zone, work.account_load, now)
        self.placement.account_load.observe(work.zone, report)
        self.allowances.observe(work.zone, work.accounts, zone=work.zone)
        for peer in self.placement.peers.reporters():
            if self._detector.zone_of(peer) == work.zone:
                self.forget(peer)

    def checked_zone(self, work: ZoneWorkInFlight, now: float) -> ZoneWorkInFlight:
        """Returns a zone's work as it may be passed on: without a rejected report."""
        report = self._checked_report(work.zone, work.account_load, now)
        return msgspec.structs.replace(work, account_load=report)

    def forget(self, peer: InstanceId) -> None:
        """Drops what a peer has reported."""
        self.allowances.forget(peer)
        self.placement.account_load.forget(peer)
        self.placement.peers.forget(peer)
        self.placement.peer_queues.forget(peer)
        self.placement.demand.forget(peer)
        self.peers_at.pop(peer, None)

    def forget_zone(self, zone: ZoneId) -> None:
        """Drops what a zone has reported."""
        self.placement.zones.forget(zone)
        self.placement.demand.forget(zone)
        self.placement.account_load.forget(zone)
        self.allowances.forget(zone)
        self.zones_at.pop(zone, None)

    def zone_account_load(self) -> AccountLoadReport:
        """Returns the sum over this instance and the peers of its zone."""
        return self.placement.account_load.combined_report(
            peer
            for peer in self.placement.peers.reporters()
            if self._detector.zone_of(peer) == self._detector.own.zone
        )

    def _checked_report(
        self, reporter: InstanceId | ZoneId, data: Any, now: float
    ) -> AccountLoadReport:
        """Returns a reporter's account load; an empty one if it must not be used."""
        report = read_report(data)
        if not isinstance(report, RejectedReport):
            return report
        self._warned_at = {
            peer: warned_at
            for peer, warned_at in self._warned_at.items()
            if now - warned_at < _REPORT_WARNING_INTERVAL_S
        }
        if reporter not in self._warned_at:
            self._warned_at[reporter] = now
            _log.warning(
                "Account load of a peer ignored.", peer=reporter, reason=report.reason
            )
        return AccountLoadReport()
