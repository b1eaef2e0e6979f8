"""Settings of a gateway instance."""

from __future__ import annotations

import msgspec

from coppercleat.accounts import AllowanceRule
from coppercleat.ids import InstanceId, ZoneId


class StoreRates(msgspec.Struct, frozen=True, kw_only=True):
    """Call rates that the platform's store can serve to the whole fleet."""

    reads_per_s: float = 2000.0
    writes_per_s: float = 800.0


class OverloadSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What the gateway decides while slots are short; all is off by default.

    Attributes:
      fair_shares: Whether client accounts within their share of the slots go first.
      timely_refusals: Whether queued requests are judged again, and refused clients are
        told when spare slots are expected.
    """

    fair_shares: bool = False
    timely_refusals: bool = False


class GatewaySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one gateway instance.

    Attributes:
      instance: Unique name of the instance; stays the same when it restarts.
      zone: Availability zone of the instance.
      clients: ``IP:PORT`` that listens for client requests.
      readiness: ``IP:PORT`` that serves readiness checks and metrics.
      peers: ``IP:PORT`` that receives messages of other instances.
      seeds: Addresses of peers to contact first; may be stale.
      grace_s: Seconds between the termination signal and the kill.
      apply_s: Seconds within which a new configuration must be in force.
      drain_s: Seconds after which a draining upstream must get no new work.
      cancel_s: Seconds after which no item of an ended job may start.
      quota_tolerance: Fraction by which waiting tokens may exceed their limit.
      allowance: How strictly allowances of client accounts are enforced.
      overload: What is decided while slots are short.
      zones: Availability zones of the deployment; empty if they are not known.
      keep_s: Seconds after its acceptance for which a job stays readable.
      store: Call rates of the platform's store.
      fleet_name: Common to all instances of a fleet; distinguishes fleets.
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
    allowance: AllowanceRule = AllowanceRule()
    overload: OverloadSettings = OverloadSettings()
    zones: tuple[ZoneId, ...] = ()
    keep_s: float = 120.0
    store: StoreRates = StoreRates()
    fleet_name: str = "fleet"
