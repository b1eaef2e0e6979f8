"""The command line."""

from coppercleat.cli._main import main

__all__ = ["main"]
