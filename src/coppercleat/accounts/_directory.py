"""Finds the account that holds a key."""

from __future__ import annotations

from collections.abc import Iterable

from coppercleat.accounts._account import ClientAccount, KeyDigest, digest_of


class AccountDirectory:
    """Accounts by the digests of their keys.

    A key of two accounts belongs to the first of them. Keys are found by their digests,
    so that the time of a look-up tells nothing of how much of a key is right.

    Attributes:
      shared_keys: Names of accounts that hold a key of an earlier account.
    """

    def __init__(self, accounts: Iterable[ClientAccount]) -> None:
        self.shared_keys: list[str] = []
        self._by_key: dict[KeyDigest, ClientAccount] = {}
        for account in accounts:
            for digest in account.keys:
                holder = self._by_key.setdefault(digest, account)
                if holder.name != account.name:
                    self.shared_keys.append(account.name)

    def find(self, key: bytes | None) -> ClientAccount | None:
        """Returns the account that holds a key, None for no key or an unknown one."""
        return self._by_key.get(digest_of(key)) if key else None
