"""``entry``, ``standalone`` and ``check-settings``."""

from __future__ import annotations

import pathlib
import sys
from collections.abc import Sequence

from absl import flags

from coppercleat import clock
from coppercleat.cli._registry import ExitCode, command
from coppercleat.emulator import EngineSpeed
from coppercleat.errors import SettingsError
from coppercleat.server import run_entry, run_standalone
from coppercleat.settings import Settings, load_settings


def _define_settings(values: flags.FlagValues) -> None:
    flags.DEFINE_string("settings", None, "YAML settings file.", flag_values=values)


def _settings(values: flags.FlagValues) -> Settings:
    if not values.settings:
        raise SettingsError(
            "No settings file is named", remedy="Name one with --settings."
        )
    return load_settings(pathlib.Path(values.settings))


@command("entry", "Runs one entry instance.", define=_define_settings)
def entry(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Runs ``entry``."""
    clock.run(run_entry, _settings(values))
    return ExitCode.OK


@command("check-settings", "Checks a settings file.", define=_define_settings)
def check_settings(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Runs ``check-settings``."""
    settings = _settings(values)
    print(f"{values.settings}: good, instance {settings.instance.id}")
    return ExitCode.OK


def _define_standalone(values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        "listen", "127.0.0.1", "IP address to listen on.", flag_values=values
    )
    flags.DEFINE_integer(
        "port",
        7400,
        "First of three ports: RPC, admin, peers.",
        flag_values=values,
        lower_bound=1,
        upper_bound=65_533,
    )
    flags.DEFINE_integer(
        "engines", 1, "Built-in engines.", flag_values=values, lower_bound=1
    )
    flags.DEFINE_string("log_level", "info", "Least level logged.", flag_values=values)


@command(
    "standalone",
    "Runs an instance with a platform in memory and built-in engines.",
    define=_define_standalone,
)
def standalone(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Runs ``standalone``."""
    print(
        f"coppercleat standalone on {values.listen}:{values.port}; "
        "nothing outlives this process.",
        file=sys.stderr,
    )
    clock.run(
        lambda: run_standalone(
            listen=values.listen,
            port=values.port,
            engines=values.engines,
            speed=EngineSpeed(),
            log_level=values.log_level,
        )
    )
    return ExitCode.OK
