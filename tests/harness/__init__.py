"""Starts stand-ins and instances as processes, and looks at them."""

from tests.harness._fleet import Deployment, Fleet
from tests.harness._gateways import (
    JOBS,
    ONCE,
    PLAIN,
    RESUMABLE,
    STREAM,
    Answer,
    Gateways,
)
from tests.harness._links import (
    Relay,
    RelayedFleet,
    SimulatedLinks,
    make_peers,
    node_settings,
    roomy_upstream,
)
from tests.harness._processes import Process, free_port, until

__all__ = [
    "JOBS",
    "ONCE",
    "PLAIN",
    "RESUMABLE",
    "STREAM",
    "Answer",
    "Deployment",
    "Fleet",
    "Gateways",
    "Process",
    "Relay",
    "RelayedFleet",
    "SimulatedLinks",
    "free_port",
    "make_peers",
    "node_settings",
    "roomy_upstream",
    "until",
]
