"""Settings classes; each field's annotation is also its check."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct, field

from coppercleat.ids import InstanceId, RegionId, ZoneId

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Address = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]
Url = Annotated[str, Meta(pattern=r"^https?://.+$")]
Seconds = Annotated[float, Meta(gt=0, le=86_400)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]


class InstanceSettings(Struct, forbid_unknown_fields=True, kw_only=True):
    """Who this instance is and where it runs."""

    id: Name
    zone: Name
    region: Name

    @property
    def instance_id(self) -> InstanceId:
        """The id in its own type."""
        return InstanceId(self.id)

    @property
    def zone_id(self) -> ZoneId:
        """The availability zone in its own type."""
        return ZoneId(self.zone)

    @property
    def region_id(self) -> RegionId:
        """The region in its own type."""
        return RegionId(self.region)


class ListenSettings(Struct, forbid_unknown_fields=True, kw_only=True):
    """Addresses to listen on, as ``IP:PORT``."""

    rpc: Address
    admin: Address
    peers: Address


class PlatformSettings(Struct, forbid_unknown_fields=True, kw_only=True):
    """Where the platform's services are and how long to wait for them."""

    url: Url
    timeout_s: Seconds = 2.0
    list_poll_s: Seconds = 2.0


class PeerSettings(Struct, forbid_unknown_fields=True, kw_only=True):
    """How entry instances speak with each other."""

    keys: Annotated[
        list[Annotated[str, Meta(min_length=16)]], Meta(min_length=1, max_length=3)
    ]
    seeds: list[Address] = field(default_factory=list)
    heartbeat_s: Seconds = 0.5
    suspect_after_s: Seconds = 3.0
    fanout: Count = 4


class OnlineSettings(Struct, forbid_unknown_fields=True, kw_only=True):
    """Limits of the online path."""

    default_deadline_s: Seconds = 30.0
    max_body_bytes: Count = 1_000_000
    max_in_flight: Count = 2_000
    connect_timeout_s: Seconds = 0.5
    stall_s: Seconds = 5.0
    retry_ratio: Annotated[float, Meta(ge=0, le=1)] = 0.1
    load_poll_s: Seconds = 1.0


class BatchSettings(Struct, forbid_unknown_fields=True, kw_only=True):
    """Limits of the batch path."""

    policy: Name = "yield"
    chunk_items: Annotated[int, Meta(ge=1, le=4096)] = 512
    segment_chunks: Annotated[int, Meta(ge=1, le=64)] = 8
    max_job_items: Count = 1_000_000
    max_attempts: Annotated[int, Meta(ge=1, le=20)] = 3
    max_concurrency: Annotated[int, Meta(ge=1, le=1024)] = 32
    poll_s: Seconds = 1.0
    challenge_s: Seconds = 2.5
    max_held_chunks: Annotated[int, Meta(ge=1, le=1000)] = 32
    item_timeout_s: Seconds = 120.0
    retention_s: Annotated[float, Meta(gt=0)] = 30 * 86_400.0


class OrderSettings(Struct, forbid_unknown_fields=True, kw_only=True):
    """Orders to engines, and the lease of whoever gives them."""

    poll_s: Seconds = 1.0
    lease_s: Seconds = 6.0
    order_timeout_s: Seconds = 2.0
    unload_after_s: Seconds = 6.0
    max_loads: Count = 2


class StopSettings(Struct, forbid_unknown_fields=True, kw_only=True):
    """Bounds of a planned stop."""

    drain_s: Seconds = 20.0
    unready_s: Annotated[float, Meta(ge=0, le=60)] = 0.2


class LogSettings(Struct, forbid_unknown_fields=True, kw_only=True):
    """How logs are written."""

    level: Annotated[str, Meta(pattern="^(debug|info|warning|error)$")] = "info"
    json: bool = True


class Settings(Struct, forbid_unknown_fields=True, kw_only=True):
    """All settings of one entry instance."""

    instance: InstanceSettings
    listen: ListenSettings
    platform: PlatformSettings
    peers: PeerSettings
    online: OnlineSettings = field(default_factory=OnlineSettings)
    batch: BatchSettings = field(default_factory=BatchSettings)
    orders: OrderSettings = field(default_factory=OrderSettings)
    stop: StopSettings = field(default_factory=StopSettings)
    log: LogSettings = field(default_factory=LogSettings)
