"""``accounts``: client accounts of a gateway, and what they use."""

from __future__ import annotations

from collections.abc import Sequence

from absl import flags

from coppercleat.cli._admin_page import define_admin, print_page
from coppercleat.cli._registry import command

ACCOUNTS_PATH = "/accounts"


@command(
    "accounts",
    "Lists client accounts with their limits, their use and their rejections.",
    define=define_admin,
)
def accounts(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Runs ``accounts``."""
    return print_page("accounts", values.admin, ACCOUNTS_PATH)
