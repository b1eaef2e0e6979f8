"""Compares what engines have loaded with what deployments want."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

import msgspec

from coppercleat.configuration import Deployment
from coppercleat.ids import UpstreamId

LOAD = "load"
UNLOAD = "unload"


class DesiredVersions(msgspec.Struct, frozen=True, kw_only=True):
    """What a service's engines should have.

    Attributes:
      versions: Versions and adapters to have loaded.
      min_serving: Engines that must have each before anything is unloaded.
    """

    versions: frozenset[str]
    min_serving: int


class Order(msgspec.Struct, frozen=True):
    """One order: ``load`` or ``unload`` a version on an engine."""

    upstream: UpstreamId
    action: str
    version: str


def desired_versions(
    deployments: Iterable[Deployment], service: str
) -> DesiredVersions:
    """Returns what all deployments of a service want together.

    A version of weight 0 is kept off; an adapter is loaded like a version.
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
    wanted: DesiredVersions,
    loaded: Mapping[UpstreamId, Collection[str]],
    *,
    max_loads: int,
    may_unload: bool,
) -> list[Order]:
    """Returns the orders to give now; empty when nothing differs.

    Loads come first and are bounded, since the weight store is rate-limited
    over the whole fleet: one holder a service gives all of them. Nothing is
    unloaded before every wanted version serves on enough engines.

    Args:
      wanted: What should be loaded.
      loaded: What each engine has; engines without a report are left out.
      max_loads: Loads to order now at most.
      may_unload: Whether callers have had time to see the configuration.
    """
    loads = [
        Order(upstream, LOAD, version)
        for upstream in sorted(loaded)
        for version in sorted(wanted.versions - set(loaded[upstream]))
    ]
    if loads:
        by_scarcity = sorted(
            loads, key=lambda o: (_serving_count(o.version, loaded), o.upstream)
        )
        if not _enough_serving(wanted, loaded) or not may_unload:
            return by_scarcity[:max_loads]
        loads = by_scarcity[:max_loads]
    if not wanted.versions or not may_unload or not _enough_serving(wanted, loaded):
        return loads
    unloads = [
        Order(upstream, UNLOAD, version)
        for upstream in sorted(loaded)
        for version in sorted(set(loaded[upstream]) - wanted.versions)
    ]
    return loads + unloads


def _serving_count(version: str, loaded: Mapping[UpstreamId, Collection[str]]) -> int:
    return sum(version in versions for versions in loaded.values())


def _enough_serving(
    wanted: DesiredVersions, loaded: Mapping[UpstreamId, Collection[str]]
) -> bool:
    needed = min(wanted.min_serving, len(loaded))
    return all(_serving_count(v, loaded) >= needed for v in wanted.versions)
