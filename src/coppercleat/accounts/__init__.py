"""Client accounts of the configuration: keys, priority and allowance."""

from coppercleat.accounts._account import ClientAccount, KeyDigest, digest_of
from coppercleat.accounts._allowance import (
    AllowanceRule,
    Allowances,
    OverAllowance,
)
from coppercleat.accounts._directory import AccountDirectory
from coppercleat.accounts._reported_use import PeerUse
from coppercleat.accounts._use import AccountUse, StoredUse

__all__ = [
    "AccountDirectory",
    "AccountUse",
    "AllowanceRule",
    "Allowances",
    "ClientAccount",
    "KeyDigest",
    "OverAllowance",
    "PeerUse",
    "StoredUse",
    "digest_of",
]
