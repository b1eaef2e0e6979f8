"""The users' platform: its names, formats and calls, translated; nothing is decided."""

from coppercleat.platform._catalogue import PlatformCatalogue
from coppercleat.platform._edges import run_on_platform
from coppercleat.platform._ingress import HttpReply
from coppercleat.platform._settings import load_platform_settings, settings_path
from coppercleat.platform._store import StoreClient

__all__ = [
    "HttpReply",
    "PlatformCatalogue",
    "StoreClient",
    "load_platform_settings",
    "run_on_platform",
    "settings_path",
]
