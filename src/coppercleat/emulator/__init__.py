"""A small model engine: the embedded default, and the tests' upstream."""

from coppercleat.emulator._app import EngineApp
from coppercleat.emulator._engine import Engine, EngineSpeed, Sequence, expected_text
from coppercleat.emulator._prefix_cache import PrefixCache

__all__ = [
    "Engine",
    "EngineApp",
    "EngineSpeed",
    "PrefixCache",
    "Sequence",
    "expected_text",
]
