"""What one gateway process is told at its start."""

from __future__ import annotations

import msgspec

from coppercleat.ids import InstanceId, ZoneId


class StoreRates(msgspec.Struct, frozen=True, kw_only=True):
    """What the platform's store serves to the whole fleet, in calls a second."""

    reads_per_s: float = 2000.0
    writes_per_s: float = 800.0


class GatewaySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one gateway instance, whatever file they came from.

    Attributes:
      clients: ``IP:PORT`` on which clients' requests arrive.
      readiness: ``IP:PORT`` of readiness and metrics.
      peers: ``IP:PORT`` on which other instances' messages arrive.
      seeds: Peers' addresses to begin with; may be stale.
      grace_s: Seconds between the order to stop and the kill.
      apply_s: Seconds within which a new configuration must be in force.
      drain_s: Seconds after which a leaving upstream must get no new work.
      cancel_s: Seconds after which nothing of an ended job may start.
      quota_tolerance: Share by which waiting tokens may exceed their limit.
      keep_s: Seconds after its acceptance for which a job stays readable.
      store: Rates of the platform's store.
      fleet_name: The same on all instances of a fleet, different between fleets.
    """

    instance: InstanceId
    zone: ZoneId
    clients: str
    readiness: str
    peers: str
    seeds: tuple[str, ...] = ()
    grace_s: float = 8.0
    apply_s: float = 2.0
    drain_s: float = 2.0
    cancel_s: float = 3.0
    quota_tolerance: float = 0.1
    keep_s: float = 120.0
    store: StoreRates = StoreRates()
    fleet_name: str = "fleet"
