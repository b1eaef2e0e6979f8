"""Subcommands, each with flags of its own."""

from __future__ import annotations

import enum
from collections.abc import Callable, Sequence

import attrs
from absl import flags


class ExitCode(enum.IntEnum):
    """What the exit status of the program means."""

    OK = 0
    FAILED = 1
    USAGE = 2
    SETTINGS = 3
    NOT_RUN = 4
    UNKNOWN = 5


Handler = Callable[[flags.FlagValues, Sequence[str]], int]


@attrs.define(kw_only=True)
class Command:
    """A subcommand.

    Attributes:
      arguments: Its positional arguments, for the help text.
      flag_values: Its flags.
    """

    name: str
    summary: str
    arguments: str
    flag_values: flags.FlagValues
    handler: Handler


COMMANDS: dict[str, Command] = {}


def command(
    name: str,
    summary: str,
    *,
    arguments: str = "",
    define: Callable[[flags.FlagValues], None] = lambda values: None,
) -> Callable[[Handler], Handler]:
    """Registers a subcommand.

    Args:
      name: One or two words, such as ``batch submit``.
      summary: One sentence.
      arguments: Positional arguments, for the help text.
      define: Defines the flags.
    """

    def register(handler: Handler) -> Handler:
        values = flags.FlagValues()
        flags.DEFINE_bool("help", False, "Show this help.", flag_values=values)
        define(values)
        COMMANDS[name] = Command(
            name=name,
            summary=summary,
            arguments=arguments,
            flag_values=values,
            handler=handler,
        )
        return handler

    return register
