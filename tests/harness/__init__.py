"""Starts stand-ins and entry instances as processes, and looks at them."""

from tests.harness._fleet import Deployment, Fleet
from tests.harness._processes import Process, free_port, until

__all__ = ["Deployment", "Fleet", "Process", "free_port", "until"]
