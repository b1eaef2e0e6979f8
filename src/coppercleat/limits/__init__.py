"""Admission control, rate limits for client accounts, and retry budgets."""

from coppercleat.limits._admission import Admission, Admitted, Refusal, Request
from coppercleat.limits._retries import RetryBudget
from coppercleat.limits._tenants import TenantLimiter, TenantLimits
from coppercleat.limits._token_bucket import TokenBucket

__all__ = [
    "Admission",
    "Admitted",
    "Refusal",
    "Request",
    "RetryBudget",
    "TenantLimiter",
    "TenantLimits",
    "TokenBucket",
]
