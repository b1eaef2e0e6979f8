"""Identifier types, so that one kind is never taken for another."""

from __future__ import annotations

import random
from typing import NewType

import msgspec

InstanceId = NewType("InstanceId", str)
ZoneId = NewType("ZoneId", str)
RegionId = NewType("RegionId", str)
TenantId = NewType("TenantId", str)
UpstreamId = NewType("UpstreamId", str)
DeploymentId = NewType("DeploymentId", str)
RequestId = NewType("RequestId", str)
SoftwareVersion = NewType("SoftwareVersion", str)
JobId = NewType("JobId", str)
StreamKey = NewType("StreamKey", int)
Revision = NewType("Revision", int)

NO_ACCOUNT = TenantId("")
"""Of requests and jobs that need no client account."""

UNKNOWN_VERSION = SoftwareVersion("")
"""Of upstreams whose software version nobody has told."""

_TOKEN_BITS = 80


class JobRef(msgspec.Struct, frozen=True):
    """Identifies a job: clients choose ids, and those of two hosts may be alike.

    Attributes:
      host: Host that the job was submitted to.
      id: Id that its client gave it.
    """

    host: str
    id: JobId

    def __str__(self) -> str:
        return f"{self.id} of {self.host}"


def random_token(rng: random.Random) -> str:
    """Returns a fresh token of 20 hexadecimal digits.

    Args:
      rng: Source of randomness; pass ``random.SystemRandom()`` outside tests.
    """
    return f"{rng.getrandbits(_TOKEN_BITS):020x}"
