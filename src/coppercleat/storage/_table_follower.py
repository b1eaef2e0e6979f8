"""Follows the rows of one table by their changes, with full reads in between."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from coppercleat.storage._port import HistoryLostError, Platform, Row


class TableFollower:
    """The rows of a space's empty part, as of the last read.

    The platform may omit changes for a moment, so callers need a full read from time to
    time.
    """

    def __init__(
        self,
        platform: Platform,
        space: str,
        *,
        read_all: Callable[[], Awaitable[dict[str, Row]]],
    ) -> None:
        """Initializes the follower; the first read is a full one.

        Args:
          platform: Where the table lies.
          space: The table.
          read_all: Reads all rows, by their keys in the table.
        """
        self.platform = platform
        self.space = space
        self._read_all = read_all
        self._rows: dict[str, Row] = {}
        self._version: int | None = None

    async def read(self, *, full: bool) -> dict[str, Row]:
        """Returns all rows by their keys in the table.

        Args:
          full: Whether to read all rows instead of those that have changed.

        Raises:
          CoppercleatError: The platform could not be read.
        """
        if full:
            # Changes go on from where they were: some are read again, none is missed.
            self._rows = await self._read_all()
        elif self._version is None:
            await self._begin()
        else:
            await self._apply_changes(self._version)
        return dict(self._rows)

    async def _begin(self) -> None:
        # The version is read first, so that changes made meanwhile are read again.
        version = await self.platform.newest_version()
        self._rows = await self._read_all()
        self._version = version

    async def _apply_changes(self, version: int) -> None:
        try:
            changes = await self.platform.changes(self.space, after=version)
        except HistoryLostError:
            await self._begin()
            return
        for changed in changes.rows:
            key = changed.key.removeprefix(f"{self.space}/")
            if changed.part:
                continue
            if changed.row is None:
                self._rows.pop(key, None)
            elif key not in self._rows or self._rows[key].version < changed.row.version:
                # A full read may have shown a newer row than the changes.
                self._rows[key] = changed.row
        self._version = max(version, changes.version)
