"""The configuration in force in this instance; its revision only grows."""

from __future__ import annotations

import collections
from collections.abc import Iterator, Sequence
from typing import Any

import msgspec

from coppercleat.configuration._kinds import Kind, decode_body
from coppercleat.configuration._operations import Change
from coppercleat.ids import Revision

_LOG_CHANGES = 512


class Entity(msgspec.Struct, frozen=True, kw_only=True):
    """One configured thing.

    Attributes:
      body: JSON, already checked.
      revision: The revision that put it.
    """

    kind: Kind
    name: str
    body: bytes
    revision: Revision


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """All entities as of a revision."""

    revision: Revision
    entities: tuple[Entity, ...]


class Document:
    """Entities by kind and name, and the latest changes.

    Attributes:
      revision: The revision in force.
    """

    def __init__(self) -> None:
        self.revision = Revision(0)
        self._entities: dict[tuple[Kind, str], Entity] = {}
        self._bodies: dict[tuple[Kind, str], Any] = {}
        self._log: collections.deque[Change] = collections.deque(maxlen=_LOG_CHANGES)

    def get(self, kind: Kind, name: str) -> Any:
        """Returns the decoded body of an entity, or None."""
        return self._bodies.get((kind, name))

    def entities(self) -> Iterator[Entity]:
        """Iterates over all entities."""
        return iter(self._entities.values())

    def bodies(self, kind: Kind) -> list[tuple[str, Any]]:
        """Returns name and body of all entities of a kind."""
        return [(name, body) for (k, name), body in self._bodies.items() if k is kind]

    def snapshot(self) -> Snapshot:
        """Returns all entities as of the revision in force."""
        return Snapshot(revision=self.revision, entities=tuple(self._entities.values()))

    def changes_after(self, revision: Revision) -> list[Change] | None:
        """Returns the changes that lead on from a revision.

        Returns:
          None if the log no longer reaches back that far.
        """
        if revision >= self.revision:
            return []
        changes = [change for change in self._log if change.revision > revision]
        if not changes or changes[0].revision != revision + 1:
            return None
        return changes

    def find_change(self, change_id: str) -> Revision | None:
        """Returns the revision that a change made, if it is among the latest."""
        for change in self._log:
            if change.change_id == change_id:
                return change.revision
        return None

    def adopt_changes(self, changes: Sequence[Change]) -> int:
        """Applies the changes that follow the revision in force, in order.

        Older ones are passed over; a gap ends it.

        Returns:
          How many were applied.
        """
        applied = 0
        for change in changes:
            if change.revision != self.revision + 1:
                continue
            self._apply(change)
            applied += 1
        return applied

    def adopt_snapshot(self, snapshot: Snapshot) -> bool:
        """Takes a whole snapshot if it is newer; returns whether it was."""
        if snapshot.revision <= self.revision:
            return False
        self._entities = {(e.kind, e.name): e for e in snapshot.entities}
        self._bodies = {
            (e.kind, e.name): decode_body(e.kind, e.name, e.body)
            for e in snapshot.entities
        }
        self._log.clear()
        self.revision = snapshot.revision
        return True

    def _apply(self, change: Change) -> None:
        for operation in change.operations:
            key = (operation.kind, operation.name)
            if operation.delete:
                self._entities.pop(key, None)
                self._bodies.pop(key, None)
                continue
            self._bodies[key] = decode_body(
                operation.kind, operation.name, operation.body
            )
            self._entities[key] = Entity(
                kind=operation.kind,
                name=operation.name,
                body=operation.body,
                revision=change.revision,
            )
        self._log.append(change)
        self.revision = change.revision
