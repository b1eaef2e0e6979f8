"""Rendezvous hashing: all instances rank the same nodes in the same order."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def _weight(key: str, node: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{node}".encode())


def rendezvous_order(key: str, nodes: Iterable[str]) -> list[str]:
    """Returns the nodes by descending weight for a key.

    Equal weights are ordered by node name.
    """
    return sorted(nodes, key=lambda node: (-_weight(key, node), node))


def rendezvous_owner(key: str, nodes: Iterable[str]) -> str | None:
    """Returns the node of the highest weight for a key, or None without nodes."""
    return max(nodes, key=lambda node: (_weight(key, node), node), default=None)
