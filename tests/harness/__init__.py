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
from tests.harness._job_play import JobPlay, draw_plan
from tests.harness._jobs import (
    HOST,
    LOOK_S,
    PREFIX,
    accept_job,
    make_repository,
    make_route,
    make_worker,
    submission,
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
    "HOST",
    "JOBS",
    "LOOK_S",
    "ONCE",
    "PLAIN",
    "PREFIX",
    "RESUMABLE",
    "STREAM",
    "Answer",
    "Deployment",
    "Fleet",
    "Gateways",
    "JobPlay",
    "Process",
    "Relay",
    "RelayedFleet",
    "SimulatedLinks",
    "accept_job",
    "draw_plan",
    "free_port",
    "make_peers",
    "make_repository",
    "make_route",
    "make_worker",
    "node_settings",
    "roomy_upstream",
    "submission",
    "until",
]
