"""The users' platform: its names, formats and calls, translated; nothing is decided."""

from coppercleat.platform._catalogue import PlatformCatalogue
from coppercleat.platform._edges import run_on_platform
from coppercleat.platform._ingress import HttpReply
from coppercleat.platform._settings import load_platform_settings, settings_path
from coppercleat.platform._store import StoreClient
from coppercleat.platform._upstream_calls import HttpUpstreamCaller

__all__ = [
    "HttpReply",
    "HttpUpstreamCaller",
    "PlatformCatalogue",
    "StoreClient",
    "load_platform_settings",
    "run_on_platform",
    "settings_path",
]
