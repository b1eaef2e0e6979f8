"""``quarantine``: requests under which upstreams ended, and how to clear one."""

from __future__ import annotations

from collections.abc import Sequence

from absl import flags

from coppercleat.cli._admin_page import define_admin, print_page
from coppercleat.cli._registry import command
from coppercleat.quarantine import QUARANTINE_PATH


def _define(values: flags.FlagValues) -> None:
    define_admin(values)
    flags.DEFINE_string(
        "clear", "", "Fingerprint of a request to be let run again.", flag_values=values
    )


@command(
    "quarantine",
    "Lists requests that are kept from running, or clears one at all instances.",
    define=_define,
)
def quarantine(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Runs ``quarantine``."""
    if not values.clear:
        return print_page("quarantine", values.admin, QUARANTINE_PATH)
    path = f"{QUARANTINE_PATH}?fingerprint={values.clear}"
    return print_page("quarantine", values.admin, path, method="DELETE")
