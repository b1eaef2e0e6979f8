"""Load balancing: chooses the upstream of each request."""

from coppercleat.routing._choose import (
    ONLINE_ACTIVITY_WINDOW_S,
    NoUpstream,
    RoutingRequest,
    UpstreamChoice,
    choose_upstream,
    expected_load,
)
from coppercleat.routing._feeders import (
    PeerOnlineCounts,
    assign_batch_dispatchers,
)
from coppercleat.routing._health import CircuitBreaker, CircuitState
from coppercleat.routing._rendezvous import rendezvous_order, rendezvous_owner
from coppercleat.routing._subset import select_subset
from coppercleat.routing._table import RoutingTable, UpstreamRecord

__all__ = [
    "ONLINE_ACTIVITY_WINDOW_S",
    "CircuitBreaker",
    "CircuitState",
    "NoUpstream",
    "PeerOnlineCounts",
    "RoutingRequest",
    "RoutingTable",
    "UpstreamChoice",
    "UpstreamRecord",
    "assign_batch_dispatchers",
    "choose_upstream",
    "expected_load",
    "rendezvous_order",
    "rendezvous_owner",
    "select_subset",
]
