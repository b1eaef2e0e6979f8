"""``gateway``: an instance on the users' platform."""

from __future__ import annotations

from collections.abc import Sequence

from absl import flags

from coppercleat import clock
from coppercleat.cli._registry import ExitCode, command
from coppercleat.observability import EventRing, configure_logs
from coppercleat.platform import run_on_platform, settings_path


def _define(values: flags.FlagValues) -> None:
    flags.DEFINE_enum(
        "log_level",
        "info",
        ["debug", "info", "warning", "error"],
        "Least level logged.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "fleet",
        "",
        "Name of the fleet, the same on all its instances; needed where they reach "
        "the store by different addresses. Otherwise the store's address.",
        flag_values=values,
    )


@command("gateway", "Runs one gateway instance on the users' platform.", define=_define)
def gateway(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Runs ``gateway``."""
    configure_logs(level=values.log_level, as_json=True, ring=EventRing())
    clock.run(run_on_platform, settings_path(), values.fleet)
    return ExitCode.OK
