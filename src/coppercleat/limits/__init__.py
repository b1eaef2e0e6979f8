"""Admission control, rate limits for client accounts, and retry budgets."""

from coppercleat.limits._admission import (
    AdmissionController,
    AdmissionRequest,
    Admitted,
    Refusal,
)
from coppercleat.limits._retries import RetryBudget
from coppercleat.limits._tenants import TenantLimiter, TenantLimits
from coppercleat.limits._token_bucket import TokenBucket

__all__ = [
    "AdmissionController",
    "AdmissionRequest",
    "Admitted",
    "Refusal",
    "RetryBudget",
    "TenantLimiter",
    "TenantLimits",
    "TokenBucket",
]
