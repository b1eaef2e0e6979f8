"""Limits the rate and concurrency of each client account (tenant).

There is no central counter. Each instance enforces its share of the fleet-wide
limit: the limit divided by the number of live instances, times a slack for uneven
load balancing. An instance's share of the concurrency is at least one request, so
the fleet exceeds a limit that is smaller than its number of instances.
"""

from __future__ import annotations

import attrs

from coppercleat.ids import TenantId
from coppercleat.limits._admission import Admitted, Refusal
from coppercleat.limits._token_bucket import TokenBucket

SHARE_SLACK = 1.25
_BURST_WINDOW_S = 2.0
"""Seconds of the permitted rate that a tenant may use in one burst."""

_CONCURRENCY_RETRY_DELAY_S = 0.2


@attrs.define(kw_only=True)
class TenantLimits:
    """Fleet-wide limits of a tenant; 0 means no limit.

    Attributes:
      rate: Online requests per second.
      concurrency: Online requests in flight.
    """

    rate: float = 0.0
    concurrency: int = 0


@attrs.define
class _Usage:
    bucket: TokenBucket | None
    in_flight: int = 0


class TenantLimiter:
    """Enforces this instance's share of the limits of each tenant."""

    def __init__(self) -> None:
        self._usage: dict[TenantId, _Usage] = {}

    def try_acquire(
        self, tenant: TenantId, limits: TenantLimits, *, instances: int, now: float
    ) -> Admitted | Refusal:
        """Admits a request of a tenant or refuses it.

        Args:
          tenant: The tenant.
          limits: Fleet-wide limits of the tenant.
          instances: Number of live instances.
          now: Monotonic time in seconds.
        """
        share = min(1.0, SHARE_SLACK / max(1, instances))
        usage = self._usage.setdefault(tenant, _Usage(None))
        if limits.concurrency and usage.in_flight >= max(
            1.0, limits.concurrency * share
        ):
            return Refusal(
                "the tenant's concurrency is used up", _CONCURRENCY_RETRY_DELAY_S
            )
        retry_delay_s = self._take_token(usage, limits.rate * share, now)
        if retry_delay_s > 0:
            return Refusal("the tenant's rate is used up", retry_delay_s)
        usage.in_flight += 1
        return Admitted()

    def release(self, tenant: TenantId) -> None:
        """Records that an admitted request has ended."""
        usage = self._usage[tenant]
        usage.in_flight -= 1
        if not usage.in_flight and usage.bucket is None:
            del self._usage[tenant]

    @staticmethod
    def _take_token(usage: _Usage, rate: float, now: float) -> float:
        if rate <= 0:
            usage.bucket = None
            return 0.0
        burst = max(1.0, rate * _BURST_WINDOW_S)
        if usage.bucket is None:
            usage.bucket = TokenBucket(rate=rate, burst=burst, now=now)
        usage.bucket.rate = rate
        usage.bucket.burst = burst
        return usage.bucket.take(now)
