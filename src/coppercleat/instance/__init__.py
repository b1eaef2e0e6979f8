"""One entry instance: its parts put together, run and stopped."""

from coppercleat.instance._fleet import Fleet
from coppercleat.instance._instance import Instance, stop_on_signal
from coppercleat.instance._keeper import ConfigurationKeeper
from coppercleat.instance._peers import Peers

__all__ = ["ConfigurationKeeper", "Fleet", "Instance", "Peers", "stop_on_signal"]
