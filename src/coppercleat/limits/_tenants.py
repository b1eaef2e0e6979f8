"""Rates and concurrency of each tenant, shared among the live instances.

Each instance grants its share of the fleet's limit: the limit divided by the
number of live instances, times a slack for uneven balancing. There is no
central counter; the sum over all instances exceeds the limit by the slack at
most.
"""

from __future__ import annotations

import attrs

from coppercleat.ids import TenantId
from coppercleat.limits._admission import Admitted, Refusal
from coppercleat.limits._token_bucket import TokenBucket

SHARE_SLACK = 1.25
_BURST_S = 2.0
_CONCURRENCY_RETRY_S = 0.2


@attrs.define(kw_only=True)
class TenantLimits:
    """A tenant's limits over the whole fleet; 0 means no limit.

    Attributes:
      rate: Online requests a second.
      concurrency: Online requests in flight.
    """

    rate: float = 0.0
    concurrency: int = 0


@attrs.define
class _Usage:
    bucket: TokenBucket | None
    in_flight: int = 0


class TenantLimiter:
    """Grants or refuses requests tenant by tenant."""

    def __init__(self) -> None:
        self._usage: dict[TenantId, _Usage] = {}

    def enter(
        self, tenant: TenantId, limits: TenantLimits, *, instances: int, now: float
    ) -> Admitted | Refusal:
        """Counts a request in, if the tenant's share allows it.

        Args:
          tenant: Whose request it is.
          limits: The tenant's limits over the whole fleet.
          instances: How many instances live.
          now: Seconds on this instance's clock.
        """
        share = min(1.0, SHARE_SLACK / max(1, instances))
        usage = self._usage.setdefault(tenant, _Usage(None))
        if limits.concurrency and usage.in_flight >= max(
            1.0, limits.concurrency * share
        ):
            return Refusal("the tenant's concurrency is used up", _CONCURRENCY_RETRY_S)
        wait = self._take(usage, limits.rate * share, now)
        if wait > 0:
            return Refusal("the tenant's rate is used up", wait)
        usage.in_flight += 1
        return Admitted()

    def leave(self, tenant: TenantId) -> None:
        """Counts a request out; forgets a tenant without any."""
        usage = self._usage[tenant]
        usage.in_flight -= 1
        if not usage.in_flight and usage.bucket is None:
            del self._usage[tenant]

    @staticmethod
    def _take(usage: _Usage, rate: float, now: float) -> float:
        if rate <= 0:
            usage.bucket = None
            return 0.0
        burst = max(1.0, rate * _BURST_S)
        if usage.bucket is None:
            usage.bucket = TokenBucket(rate=rate, burst=burst, now=now)
        usage.bucket.rate = rate
        usage.bucket.burst = burst
        return usage.bucket.take(now)
