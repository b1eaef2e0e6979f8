"""The settings file of one instance: its classes and its checks."""

from coppercleat.settings._load import load_settings, parse_settings
from coppercleat.settings._model import (
    BatchSettings,
    InstanceSettings,
    ListenSettings,
    LogSettings,
    OnlineSettings,
    OrderSettings,
    PeerSettings,
    PlatformSettings,
    Settings,
    StopSettings,
)

__all__ = [
    "BatchSettings",
    "InstanceSettings",
    "ListenSettings",
    "LogSettings",
    "OnlineSettings",
    "OrderSettings",
    "PeerSettings",
    "PlatformSettings",
    "Settings",
    "StopSettings",
    "load_settings",
    "parse_settings",
]
