"""One client account, as the configuration has it."""

from __future__ import annotations

import hashlib
from typing import NewType

import msgspec

from coppercleat.ids import TenantId

KeyDigest = NewType("KeyDigest", bytes)
"""Digest of an API key; keys themselves are kept nowhere."""

_DIGEST_BYTES = 20


def digest_of(key: bytes) -> KeyDigest:
    """Returns the digest by which a key is looked up."""
    return KeyDigest(hashlib.blake2b(key, digest_size=_DIGEST_BYTES).digest())


class ClientAccount(msgspec.Struct, frozen=True, kw_only=True):
    """A client account (tenant).

    Attributes:
      name: Name that upstreams get.
      keys: Digests of its keys; none if all were taken away.
      priority: Takes precedence over the route's; None for the route's.
      rate_per_s: Allowed online requests per second over the whole fleet; 0 for no
        limit.
      burst: Requests allowed beyond the rate.
    """

    name: TenantId
    keys: tuple[KeyDigest, ...] = ()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
