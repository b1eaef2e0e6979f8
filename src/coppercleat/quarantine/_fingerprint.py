"""Fingerprints, by which what is under suspicion is recognised across retries."""

from __future__ import annotations

import enum
import hashlib
from typing import NewType

from coppercleat.ids import JobRef

Fingerprint = NewType("Fingerprint", bytes)
"""Digest of a request, an item or a part of prompts; its length tells which."""

FINGERPRINT_BYTES = 16
"""Long enough that two requests never share a fingerprint by chance. The hash is
cryptographic, so that nobody can make a request that passes for another's."""


MAX_PART_BYTES = FINGERPRINT_BYTES - 1
"""Longest fingerprint of a part of prompts."""

ITEM_FINGERPRINT_BYTES = FINGERPRINT_BYTES + 1


class SubjectKind(enum.Enum):
    """Kind of what crashes are recorded against.

    Attributes:
      REQUEST: An online request, known by its content.
      ITEM: An item of a batch job, known by its job and its id.
      PART: A part of prompts, which requests and items share.
    """

    REQUEST = "request"
    ITEM = "item"
    PART = "part"


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


def item_fingerprint(job: JobRef, item: str) -> Fingerprint:
    """Returns the fingerprint of an item of a batch job.

    Its content is left out: items that are alike run at the same time, and a crash
    under one of them is no evidence against another.

    Args:
      job: The job.
      item: Id of the item, which its job has once.
    """
    digest = hashlib.blake2b(digest_size=ITEM_FINGERPRINT_BYTES)
    for part in (job.host.encode(), job.id.encode(), item.encode()):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
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


def kind_of(fingerprint: Fingerprint) -> SubjectKind:
    """Returns what a fingerprint is of."""
    if is_part(fingerprint):
        return SubjectKind.PART
    if len(fingerprint) == ITEM_FINGERPRINT_BYTES:
        return SubjectKind.ITEM
    return SubjectKind.REQUEST


def is_part(fingerprint: Fingerprint) -> bool:
    """Returns whether a fingerprint is that of a part of prompts."""
    return len(fingerprint) <= MAX_PART_BYTES


def format_fingerprint(fingerprint: Fingerprint) -> str:
    """Returns a fingerprint as hexadecimal text, for logs and operators."""
    return fingerprint.hex()
