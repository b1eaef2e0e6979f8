"""The platform in memory, for one process: standalone and the stand-ins."""

from __future__ import annotations

import bisect
from collections.abc import Sequence

import trio

from coppercleat.storage._port import (
    ABSENT,
    ChangedRow,
    Changes,
    Listing,
    Node,
    Row,
    Transaction,
    TransactionRefused,
)

_PART_MARK = "\x1f"
"""Stands between part and key in the dictionary; sorts before any key."""


class MemoryPlatform:
    """Keeps rows and objects in dictionaries; nothing survives the process.

    Attributes:
      rows: By key; by part and key for rows of a named part.
      writes: Transactions committed or refused, and objects put, so far.
      reads: Reads, scans and object reads so far.
    """

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.keys: list[str] = []
        self.objects: dict[str, bytes] = {}
        self.nodes: dict[str, Node] = {}
        self.last_version = ABSENT
        self.log: list[tuple[int, str]] = []
        self.writes = 0
        self.reads = 0

    async def read(self, keys: Sequence[str], *, part: str = "") -> dict[str, Row]:
        """See ``Platform.read``."""
        await trio.lowlevel.checkpoint()
        found = self.read_now([_stored(part, key) for key in keys])
        return {_split(key)[1]: row for key, row in found.items()}

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 1000, part: str = ""
    ) -> list[tuple[str, Row]]:
        """See ``Platform.scan``."""
        await trio.lowlevel.checkpoint()
        past = _stored(part, after) if after else ""
        found = self.scan_now(_stored(part, prefix), after=past, limit=limit)
        return [(_split(key)[1], row) for key, row in found]

    async def changes(self, space: str, *, after: int) -> Changes:
        """See ``Platform.changes``."""
        await trio.lowlevel.checkpoint()
        self.reads += 1
        newest = {key: version for version, key in self.log if version > after}
        rows = []
        for stored in newest:
            part, key = _split(stored)
            if key.startswith(f"{space}/"):
                rows.append(ChangedRow(part, key, self.rows.get(stored)))
        return Changes(tuple(rows), self.last_version)

    async def parts(self, space: str) -> list[str]:
        """See ``Platform.parts``."""
        await trio.lowlevel.checkpoint()
        self.reads += 1
        split = [_split(key) for key in self.rows]
        return sorted({part for part, key in split if key.startswith(f"{space}/")})

    async def newest_version(self) -> int:
        """See ``Platform.newest_version``."""
        await trio.lowlevel.checkpoint()
        self.reads += 1
        return self.last_version

    async def transact(
        self, transaction: Transaction
    ) -> dict[str, int] | TransactionRefused:
        """See ``Platform.transact``."""
        await trio.lowlevel.checkpoint()
        return self.transact_now(transaction)

    async def put_object(self, name: str, body: bytes) -> None:
        """See ``Platform.put_object``."""
        await trio.lowlevel.checkpoint()
        self.writes += 1
        self.objects[name] = body

    async def get_object(self, name: str) -> bytes | None:
        """See ``Platform.get_object``."""
        await trio.lowlevel.checkpoint()
        self.reads += 1
        return self.objects.get(name)

    async def delete_object(self, name: str) -> None:
        """See ``Platform.delete_object``."""
        await trio.lowlevel.checkpoint()
        self.writes += 1
        self.objects.pop(name, None)

    async def list_objects(self, prefix: str, *, limit: int = 1000) -> list[str]:
        """See ``Platform.list_objects``."""
        await trio.lowlevel.checkpoint()
        self.reads += 1
        names = sorted(name for name in self.objects if name.startswith(prefix))
        return names[:limit]

    async def list_nodes(self) -> Listing:
        """See ``Platform.list_nodes``."""
        await trio.lowlevel.checkpoint()
        return Listing(tuple(self.nodes.values()))

    def read_now(self, keys: Sequence[str]) -> dict[str, Row]:
        """Reads without waiting."""
        self.reads += 1
        return {key: self.rows[key] for key in keys if key in self.rows}

    def scan_now(self, prefix: str, *, after: str, limit: int) -> list[tuple[str, Row]]:
        """Scans without waiting."""
        self.reads += 1
        found: list[tuple[str, Row]] = []
        index = bisect.bisect_left(self.keys, prefix)
        if after:
            index = max(index, bisect.bisect_right(self.keys, after))
        while index < len(self.keys) and len(found) < limit:
            key = self.keys[index]
            if not key.startswith(prefix):
                break
            found.append((key, self.rows[key]))
            index += 1
        return found

    def transact_now(
        self, transaction: Transaction
    ) -> dict[str, int] | TransactionRefused:
        """Checks and changes without waiting."""
        self.writes += 1
        part = transaction.part
        failed = tuple(
            check.key
            for check in transaction.checks
            if self._version(_stored(part, check.key)) != check.version
        )
        if failed:
            return TransactionRefused(failed)
        versions = {}
        self.last_version += 1
        for put in transaction.puts:
            self._insert(_stored(part, put.key), Row(put.value, self.last_version))
            versions[put.key] = self.last_version
        for key in transaction.deletes:
            self._remove(_stored(part, key))
        return versions

    def _version(self, key: str) -> int:
        row = self.rows.get(key)
        return row.version if row else ABSENT

    def _insert(self, key: str, row: Row) -> None:
        if key not in self.rows:
            bisect.insort(self.keys, key)
        self.rows[key] = row
        self.log.append((row.version, key))

    def _remove(self, key: str) -> None:
        self.log.append((self.last_version, key))
        if self.rows.pop(key, None) is not None:
            del self.keys[bisect.bisect_left(self.keys, key)]


def _stored(part: str, key: str) -> str:
    return f"{part}{_PART_MARK}{key}" if part else key


def _split(stored: str) -> tuple[str, str]:
    part, mark, key = stored.partition(_PART_MARK)
    return (part, key) if mark else ("", stored)
