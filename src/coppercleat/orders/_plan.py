"""Plans orders from the loaded and the desired versions of engines."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

import msgspec

from coppercleat.configuration import Deployment
from coppercleat.ids import UpstreamId

LOAD = "load"
UNLOAD = "unload"


class DesiredVersions(msgspec.Struct, frozen=True, kw_only=True):
    """Versions that a service's engines should have loaded.

    Attributes:
      versions: Versions and adapters to load on every engine.
      min_serving: Number of engines that must have loaded each version before any
        version is unloaded.
    """

    versions: frozenset[str]
    min_serving: int


class Order(msgspec.Struct, frozen=True):
    """Order to load or unload a version on an engine.

    Attributes:
      upstream: The engine.
      action: ``load`` or ``unload``.
      version: The version or adapter.
    """

    upstream: UpstreamId
    action: str
    version: str


def desired_versions(
    deployments: Iterable[Deployment], service: str
) -> DesiredVersions:
    """Returns the union of the versions of a service's deployments.

    Versions of weight 0 are left out; adapters count as versions.
    """
    versions: set[str] = set()
    min_serving = 1
    for deployment in deployments:
        if deployment.service != service:
            continue
        versions.update(v for v, weight in deployment.versions.items() if weight > 0)
        versions.update(deployment.adapters)
        min_serving = max(min_serving, deployment.min_serving)
    return DesiredVersions(versions=frozenset(versions), min_serving=min_serving)


def plan_orders(
    desired: DesiredVersions,
    loaded: Mapping[UpstreamId, Collection[str]],
    *,
    max_loads: int,
    may_unload: bool,
) -> list[Order]:
    """Returns the orders to send now, empty if engines match the desired versions.

    Loads come first, the versions on the fewest engines before others, and are
    limited because the weight store is rate-limited. Nothing is unloaded before
    enough engines have loaded every desired version.

    Args:
      desired: The desired versions.
      loaded: Loaded versions of each engine that reported them.
      max_loads: Maximum number of loads to order.
      may_unload: Whether all instances have had time to read the configuration.
    """
    loads = [
        Order(upstream, LOAD, version)
        for upstream in sorted(loaded)
        for version in sorted(desired.versions - set(loaded[upstream]))
    ]
    if loads:
        by_scarcity = sorted(
            loads, key=lambda o: (_serving_count(o.version, loaded), o.upstream)
        )
        if not _enough_serving(desired, loaded) or not may_unload:
            return by_scarcity[:max_loads]
        loads = by_scarcity[:max_loads]
    if not desired.versions or not may_unload or not _enough_serving(desired, loaded):
        return loads
    unloads = [
        Order(upstream, UNLOAD, version)
        for upstream in sorted(loaded)
        for version in sorted(set(loaded[upstream]) - desired.versions)
    ]
    return loads + unloads


def _serving_count(version: str, loaded: Mapping[UpstreamId, Collection[str]]) -> int:
    return sum(version in versions for versions in loaded.values())


def _enough_serving(
    desired: DesiredVersions, loaded: Mapping[UpstreamId, Collection[str]]
) -> bool:
    needed = min(desired.min_serving, len(loaded))
    return all(_serving_count(v, loaded) >= needed for v in desired.versions)
