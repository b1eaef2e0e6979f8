"""Load balancing: chooses the upstream of each request."""

from coppercleat.routing._choose import (
    ONLINE_RECENT_S,
    Choice,
    NoUpstream,
    Wanted,
    choose,
    expected_load,
)
from coppercleat.routing._feeders import PeerArrivals, assign_feeders
from coppercleat.routing._health import Health, HealthState
from coppercleat.routing._rendezvous import owner, ranked
from coppercleat.routing._subset import subset
from coppercleat.routing._table import RoutingTable, UpstreamRecord

__all__ = [
    "ONLINE_RECENT_S",
    "Choice",
    "Health",
    "HealthState",
    "NoUpstream",
    "PeerArrivals",
    "RoutingTable",
    "UpstreamRecord",
    "Wanted",
    "assign_feeders",
    "choose",
    "expected_load",
    "owner",
    "ranked",
    "subset",
]
