"""Orders to engines: which versions to load, by one fenced holder a service."""

from coppercleat.orders._lease import Lease, LeaseRow, LeaseStore, LeaseWatch
from coppercleat.orders._plan import Order, Wanted, plan_orders, wanted_versions
from coppercleat.orders._reconciler import OrderKeeper

__all__ = [
    "Lease",
    "LeaseRow",
    "LeaseStore",
    "LeaseWatch",
    "Order",
    "OrderKeeper",
    "Wanted",
    "plan_orders",
    "wanted_versions",
]
