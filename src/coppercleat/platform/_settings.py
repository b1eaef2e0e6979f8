"""The platform's settings file, decoded into the gateway's settings."""

from __future__ import annotations

import os
import pathlib

import msgspec
import yaml

from coppercleat.accounts import AllowanceRule
from coppercleat.errors import SettingsError
from coppercleat.ids import InstanceId, ZoneId
from coppercleat.platform._names import SETTINGS_VARIABLE
from coppercleat.serving import GatewaySettings, OverloadSettings, StoreRates

_MS = 1000

_PRESSURE = "pressure"
"""Contract of deployments whose callers compete for too few slots."""


class _Listen(msgspec.Struct):
    front: str
    readiness: str
    control: str = ""


class _Bounds(msgspec.Struct, rename="camel"):
    drain_ms: float = 2000
    grace_s: float = 8
    config_apply_ms: float = 2000
    cancel_ms: float = 3000
    status_s: float = 120
    quota_overshoot: float = 0.1
    quota_window_s: float = 5
    quota_slack: float = 20


class _Platform(msgspec.Struct, rename="camel"):
    address: str
    writes_per_s: float = 800
    reads_per_s: float = 2000


class _File(msgspec.Struct, rename="camel"):
    """The fields that are used; others are ignored, since new ones may come."""

    node_name: str
    zone: str
    ip: str
    listen_addrs: _Listen
    port_range: tuple[int, int]
    platform: _Platform
    seed_nodes: list[str] = []
    zones: dict[str, str] = {}
    contracts: list[str] = []
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


class PlatformSettings(msgspec.Struct, frozen=True):
    """What the settings file says.

    Attributes:
      store: ``IP:PORT`` of the platform's store.
    """

    gateway: GatewaySettings
    store: str


def settings_path() -> pathlib.Path:
    """Returns where the platform has put the settings file.

    Raises:
      SettingsError: The environment does not name it.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(
            f"{SETTINGS_VARIABLE} is not set",
            remedy="Set it to the path of the settings file.",
        )
    return pathlib.Path(path)


def load_platform_settings(path: pathlib.Path, *, fleet: str) -> PlatformSettings:
    """Reads and checks the settings file.

    Args:
      path: Where the file is.
      fleet: Name of the fleet; if empty, the store's address stands for it.

    Raises:
      SettingsError: The file cannot be read or a field does not fit.
    """
    try:
        text = path.read_text(encoding="utf-8")
        loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
        file = msgspec.convert(yaml.load(text, loader), _File)  # noqa: S506
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise SettingsError(f"{path}: cannot be read: {error}") from error
    except msgspec.ValidationError as error:
        raise SettingsError(
            f"{path}: {error}", remedy="Correct the field that follows '$'."
        ) from error
    is_pressed = _PRESSURE in file.contracts
    peers = file.listen_addrs.control or f"{file.ip}:{file.port_range[0]}"
    gateway = GatewaySettings(
        instance=InstanceId(file.node_name),
        zone=ZoneId(file.zone),
        clients=file.listen_addrs.front,
        readiness=file.listen_addrs.readiness,
        peers=peers,
        seeds=tuple(file.seed_nodes),
        grace_s=file.bounds.grace_s,
        apply_s=file.bounds.config_apply_ms / _MS,
        drain_s=file.bounds.drain_ms / _MS,
        keep_s=file.bounds.status_s,
        cancel_s=file.bounds.cancel_ms / _MS,
        quota_tolerance=file.bounds.quota_overshoot,
        allowance=AllowanceRule(
            window_s=file.bounds.quota_window_s,
            tolerance=file.bounds.quota_overshoot,
            slack=file.bounds.quota_slack,
        ),
        overload=OverloadSettings(fair_shares=is_pressed, timely_refusals=is_pressed),
        zones=tuple(ZoneId(zone) for zone in file.zones),
        store=StoreRates(
            reads_per_s=file.platform.reads_per_s,
            writes_per_s=file.platform.writes_per_s,
        ),
        # Behind a path, as in tests, each instance may have a way of its own.
        fleet_name=fleet or f"fleet at {file.platform.address.partition('/')[0]}",
    )
    return PlatformSettings(gateway, file.platform.address)
