"""Operations and changes as they are stored and sent."""

from __future__ import annotations

import msgspec

from coppercleat.configuration._kinds import Kind
from coppercleat.ids import Revision


class Operation(msgspec.Struct, frozen=True, kw_only=True):
    """Puts or deletes one entity.

    Attributes:
      body: JSON of the entity's body; empty when deleting.
    """

    kind: Kind
    name: str
    body: bytes = b""
    delete: bool = False

    def __str__(self) -> str:
        """Returns the operation in words."""
        verb = "delete" if self.delete else "put"
        return f"{verb} {self.kind.value} {self.name}"


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted change: the step from a revision to the next.

    Attributes:
      accepted_at: Unix time in seconds, for people only.
    """

    revision: Revision
    change_id: str
    author: str
    accepted_at: float
    operations: tuple[Operation, ...]
