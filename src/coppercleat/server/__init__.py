"""Runs an instance as a process, with its ports and its planned stop."""

from coppercleat.server._entry import run_entry
from coppercleat.server._standalone import STANDALONE_SERVICE, run_standalone

__all__ = ["STANDALONE_SERVICE", "run_entry", "run_standalone"]
