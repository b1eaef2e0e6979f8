"""Orders engines to load and unload versions, under one fenced lease per service."""

from coppercleat.orders._lease import Lease, LeaseExpiryMonitor, LeaseRow, LeaseStore
from coppercleat.orders._plan import (
    DesiredVersions,
    Order,
    desired_versions,
    plan_orders,
)
from coppercleat.orders._reconciler import VersionReconciler

__all__ = [
    "Lease",
    "LeaseRow",
    "LeaseStore",
    "LeaseExpiryMonitor",
    "Order",
    "VersionReconciler",
    "DesiredVersions",
    "plan_orders",
    "desired_versions",
]
