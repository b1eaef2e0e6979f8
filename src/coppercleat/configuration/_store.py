"""Commits changes to the platform, and reads them back.

Rows: ``config/head`` holds the latest revision; ``config/change/N`` each
change; ``config/id/ID`` the revision of a change id; ``config/entity/KIND/NAME``
each entity. One transaction writes them all and checks the head, so of two
racing changes one is refused.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from coppercleat.configuration._change import Plan, plan_change
from coppercleat.configuration._document import Document, Entity, Snapshot
from coppercleat.configuration._kinds import Kind
from coppercleat.configuration._operations import Change, Operation
from coppercleat.ids import Revision
from coppercleat.storage import (
    ABSENT,
    AnswerLostError,
    Check,
    Platform,
    Put,
    Transaction,
    TransactionRefused,
    decode_row,
)

_HEAD = "config/head"
_CHANGE = "config/change/"
_CHANGE_ID = "config/id/"
_ENTITY = "config/entity/"
_PAGE = 1000
_ATTEMPTS = 4


class _Head(msgspec.Struct):
    revision: Revision


class Applied(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted change.

    Attributes:
      revision: The revision it made.
      resent: Whether it had been accepted before.
    """

    revision: Revision
    resent: bool


def _change_key(revision: int) -> str:
    return f"{_CHANGE}{revision:012d}"


def _entity_key(kind: Kind, name: str) -> str:
    return f"{_ENTITY}{kind.value}/{name}"


class ConfigurationStore:
    """The configuration as the platform keeps it."""

    def __init__(self, platform: Platform, *, clock: Callable[[], float]) -> None:
        """Prepares the store.

        Args:
          platform: Where the rows are.
          clock: Gives Unix time in seconds.
        """
        self.platform = platform
        self._clock = clock

    async def head(self) -> Revision:
        """Returns the latest accepted revision."""
        return (await self._read_head())[0]

    async def changes_after(
        self, revision: Revision, *, limit: int = _PAGE
    ) -> list[Change]:
        """Returns accepted changes past a revision, in order."""
        rows = await self.platform.scan(
            _CHANGE, after=_change_key(revision), limit=limit
        )
        return [decode_row(row, Change) for _, row in rows]

    async def catch_up(self, document: Document) -> bool:
        """Brings a document up to the latest accepted revision.

        Returns:
          Whether anything changed.
        """
        before = document.revision
        if before == 0 and await self.head() > _PAGE:
            document.adopt_snapshot(await self.snapshot())
        while changes := await self.changes_after(document.revision):
            if not document.adopt_changes(changes):
                break
        return document.revision > before

    async def snapshot(self) -> Snapshot:
        """Returns all entities, each at least as new as the revision named.

        Entities read while a change is committed may be newer than the
        revision; applying the changes after it again sets that right.
        """
        revision = await self.head()
        entities: list[Entity] = []
        after = ""
        while True:
            rows = await self.platform.scan(_ENTITY, after=after, limit=_PAGE)
            entities += [decode_row(row, Entity) for _, row in rows]
            if len(rows) < _PAGE:
                return Snapshot(revision=revision, entities=tuple(entities))
            after = rows[-1][0]

    async def apply(
        self,
        document: Document,
        operations: Sequence[Operation],
        *,
        seen: Revision,
        change_id: str,
        author: str,
        dry_run: bool = False,
    ) -> Applied:
        """Accepts a change or refuses it whole.

        The document is brought up to date on the way.

        Raises:
          ConflictError: Another change came first.
          InvalidRequestError: The change is wrong.
          PlatformUnavailableError: Nothing was accepted.
          AnswerLostError: The platform never said; send the same change again.
        """
        for _ in range(_ATTEMPTS):
            earlier = await self._find(change_id)
            if earlier is not None:
                await self.catch_up(document)
                return Applied(revision=earlier, resent=True)
            head, version = await self._read_head()
            await self.catch_up(document)
            known = document.find_change(change_id)
            if known is not None:
                return Applied(revision=known, resent=True)
            plan = plan_change(
                document,
                operations,
                seen=seen,
                change_id=change_id,
                author=author,
                now=self._clock(),
            )
            if dry_run:
                return Applied(revision=plan.change.revision, resent=False)
            if plan.base != head:
                continue
            if await self._commit(plan, version):
                document.adopt_changes([plan.change])
                return Applied(revision=plan.change.revision, resent=False)
        raise AnswerLostError("The platform did not say whether it took the change")

    async def _commit(self, plan: Plan, head_version: int) -> bool:
        """Commits; returns False if it must be looked up or tried again."""
        change = plan.change
        puts = [
            Put(_HEAD, msgspec.json.encode(_Head(change.revision))),
            Put(_change_key(change.revision), msgspec.json.encode(change)),
            Put(
                _CHANGE_ID + change.change_id,
                msgspec.json.encode(_Head(change.revision)),
            ),
        ]
        deletes = []
        for operation in change.operations:
            key = _entity_key(operation.kind, operation.name)
            if operation.delete:
                deletes.append(key)
                continue
            entity = Entity(
                kind=operation.kind,
                name=operation.name,
                body=operation.body,
                revision=change.revision,
            )
            puts.append(Put(key, msgspec.json.encode(entity)))
        transaction = Transaction(
            checks=[
                Check(_HEAD, head_version),
                Check(_CHANGE_ID + change.change_id, ABSENT),
            ],
            puts=puts,
            deletes=deletes,
        )
        try:
            result = await self.platform.transact(transaction)
        except AnswerLostError:
            return False
        return not isinstance(result, TransactionRefused)

    async def _find(self, change_id: str) -> Revision | None:
        """Returns the revision that a change id made, if it was accepted."""
        key = _CHANGE_ID + change_id
        row = (await self.platform.read([key])).get(key)
        return decode_row(row, _Head).revision if row else None

    async def _read_head(self) -> tuple[Revision, int]:
        row = (await self.platform.read([_HEAD])).get(_HEAD)
        if row is None:
            return Revision(0), ABSENT
        return decode_row(row, _Head).revision, row.version
