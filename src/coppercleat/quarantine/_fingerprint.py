"""Content fingerprints, by which equal requests are recognised across retries."""

from __future__ import annotations

import hashlib
from typing import NewType

Fingerprint = NewType("Fingerprint", bytes)
"""Digest of ``FINGERPRINT_BYTES`` bytes, equal for requests with equal content."""

FINGERPRINT_BYTES = 16
"""Long enough that two requests never share a fingerprint by chance. The hash is
cryptographic, so that nobody can make a request that passes for another's."""


MAX_PART_BYTES = FINGERPRINT_BYTES - 1
"""Longest fingerprint of a part of prompts; its length tells it from a request's."""


def fingerprint_of(
    *, method: str, host: str, target: bytes, account: bytes, body: bytes
) -> Fingerprint:
    """Returns the fingerprint of a request.

    The request id and the other headers are left out, since a retry has a new id and a
    shorter deadline. The cost grows with the body: compute it only when needed.

    Args:
      method: HTTP method.
      host: Host name without the port.
      target: Path and query.
      account: Credentials or name of the client account; empty if there are none.
      body: The whole body.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (method.encode(), host.lower().encode(), target, account):
        # Length prefixes keep different splits of the same bytes apart.
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body)
    return Fingerprint(digest.digest())


def part_fingerprint(part: bytes) -> Fingerprint:
    """Returns the fingerprint of a part of prompts, shorter than that of a request.

    Args:
      part: Id of the part in hexadecimal; it is the fingerprint itself, so that
        operators find it again, unless it is too long or no hexadecimal.
    """
    try:
        found = bytes.fromhex(part.decode("latin-1"))
    except ValueError:
        found = b""
    if not 0 < len(found) <= MAX_PART_BYTES:
        found = hashlib.blake2b(part, digest_size=MAX_PART_BYTES).digest()
    return Fingerprint(found)


def is_part(fingerprint: Fingerprint) -> bool:
    """Returns whether a fingerprint is that of a part of prompts."""
    return len(fingerprint) <= MAX_PART_BYTES


def format_fingerprint(fingerprint: Fingerprint) -> str:
    """Returns a fingerprint as hexadecimal text, for logs and operators."""
    return fingerprint.hex()
