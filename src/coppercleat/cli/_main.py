"""Finds the subcommand, parses its flags and runs it."""

from __future__ import annotations

import importlib
import sys
from collections.abc import Sequence

from absl import flags

from coppercleat.cli._registry import COMMANDS, Command, ExitCode
from coppercleat.errors import CoppercleatError, RpcError, SettingsError

_MODULES = {"gateway": ("_gateway",)}
"""Modules of the commands that must stay small in memory, by first word."""

_ALL_MODULES = (
    "_accounts",
    "_batch",
    "_configuration",
    "_fleet",
    "_gateway",
    "_infer",
    "_quarantine",
    "_serve",
)

_LONGEST_NAME_WORDS = 2
_EXIT_CODES_HELP = (
    "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 settings invalid, "
    "4 refused and not run, 5 outcome unknown."
)


def main(argv: Sequence[str] | None = None) -> int:
    """Runs the command line and returns the exit code."""
    words = list(sys.argv[1:] if argv is None else argv)
    # Importing a module registers its commands.
    for module in _MODULES.get(words[0] if words else "", _ALL_MODULES):
        importlib.import_module(f"coppercleat.cli.{module}")
    command = _find(words)
    if command is None:
        wants_help = not words or words[0] in ("help", "--help", "-h")
        print(_overview(), file=sys.stdout if wants_help else sys.stderr)
        return ExitCode.OK if wants_help and words else ExitCode.USAGE
    rest = words[len(command.name.split()) :]
    try:
        arguments = command.flag_values([command.name, *rest])[1:]
    except flags.Error as error:
        print(f"{command.name}: {error}. See --help.", file=sys.stderr)
        return ExitCode.USAGE
    if command.flag_values.help:
        print(_help(command))
        return ExitCode.OK
    return _run(command, arguments)


def _run(command: Command, arguments: Sequence[str]) -> int:
    try:
        return command.handler(command.flag_values, arguments)
    except SettingsError as error:
        print(f"settings: {error}", file=sys.stderr)
        return ExitCode.SETTINGS
    except RpcError as error:
        print(f"{error.kind}: {error}", file=sys.stderr)
        for problem in error.info.get("problems", []):
            print(f"  {problem}", file=sys.stderr)
        if error.outcome == "NOT_RUN":
            return ExitCode.NOT_RUN
        return ExitCode.UNKNOWN if error.outcome == "UNKNOWN" else ExitCode.FAILED
    except CoppercleatError as error:
        print(f"{error.kind}: {error}", file=sys.stderr)
        return ExitCode.FAILED
    except KeyboardInterrupt:
        return ExitCode.FAILED


def _find(words: Sequence[str]) -> Command | None:
    for count in range(_LONGEST_NAME_WORDS, 0, -1):
        command = COMMANDS.get(" ".join(words[:count]))
        if command is not None:
            return command
    return None


def _overview() -> str:
    lines = ["Usage: coppercleat COMMAND [flags] [arguments]", ""]
    width = max(len(name) for name in COMMANDS) + 2
    for name in sorted(COMMANDS):
        lines.append(f"  {name:<{width}}{COMMANDS[name].summary}")
    lines += ["", "coppercleat COMMAND --help shows a command's flags.", ""]
    return "\n".join([*lines, _EXIT_CODES_HELP])


def _help(command: Command) -> str:
    usage = f"Usage: coppercleat {command.name} [flags] {command.arguments}".rstrip()
    flag_help = command.flag_values.get_help()
    return f"{usage}\n\n{command.summary}\n{flag_help}\n{_EXIT_CODES_HELP}"
