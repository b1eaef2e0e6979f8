"""Names what a request asks, whoever brings it and however often it comes."""

from __future__ import annotations

import hashlib
from typing import NewType

Fingerprint = NewType("Fingerprint", bytes)
"""The same for requests that ask the same; ``FINGERPRINT_BYTES`` long."""

FINGERPRINT_BYTES = 16
"""Two of a billion requests are alike by chance once in 10^20 times. The hash is a
cryptographic one: nobody can make a request that passes for another's."""


def fingerprint_of(
    *, method: str, host: str, target: bytes, account: bytes, body: bytes
) -> Fingerprint:
    """Returns the fingerprint of a request.

    Neither its id nor its other headers count: a client that asks again has a new id
    and less time left. A body of 2 kB takes 9 us, one of 4 MB 23 ms (on a machine of
    eight cores, six of them busy), so it is worked out where it is needed only.

    Args:
      method: Its method.
      host: Its host, without the port.
      target: Path and query.
      account: What names the client account; empty where nothing does.
      body: Its whole body.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (method.encode(), host.lower().encode(), target, account):
        # Lengths keep apart what else could be cut in two at another place.
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body)
    return Fingerprint(digest.digest())


def shown(fingerprint: Fingerprint) -> str:
    """Returns a fingerprint as logs and operators write it."""
    return fingerprint.hex()
