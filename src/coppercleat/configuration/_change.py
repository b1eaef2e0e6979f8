"""Changes of the configuration, and whether one may be applied."""

from __future__ import annotations

import re
from collections.abc import Sequence

import msgspec

from coppercleat.configuration._document import Document
from coppercleat.configuration._kinds import Kind, decode_body
from coppercleat.configuration._operations import Change, Operation
from coppercleat.errors import ConflictError, InvalidRequestError
from coppercleat.ids import Revision

__all__ = ["Change", "Operation", "Plan", "plan_change"]

_NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")
_MAX_OPERATIONS = 100
_REFERENCES: dict[Kind, tuple[Kind, str]] = {
    Kind.ADAPTER: (Kind.MODEL, "model"),
    Kind.VERSION: (Kind.MODEL, "model"),
}


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """A change that has passed its checks.

    Attributes:
      base: The revision it was checked against.
      change: The change under its new revision.
    """

    base: Revision
    change: Change


def plan_change(
    document: Document,
    operations: Sequence[Operation],
    *,
    seen: Revision,
    change_id: str,
    author: str,
    now: float,
) -> Plan:
    """Checks a change whole against the current document.

    Args:
      document: The configuration as committed.
      operations: What to put and delete.
      seen: The revision the operator saw.
      change_id: Unique per change, chosen by the operator.
      author: Who made it.
      now: Unix time in seconds.

    Raises:
      ConflictError: Another revision is in force; names what changed since.
      InvalidRequestError: Names each operation and field that is wrong.
    """
    if not change_id:
        raise InvalidRequestError(
            "The change has no change_id", remedy="Send a unique one."
        )
    if seen != document.revision:
        raise _conflict(document, seen)
    if not 1 <= len(operations) <= _MAX_OPERATIONS:
        raise InvalidRequestError(
            f"The change has {len(operations)} operations",
            remedy=f"Send 1 to {_MAX_OPERATIONS} operations in one change.",
        )
    problems = [
        f"operations[{index}]: {problem}"
        for index, operation in enumerate(operations)
        for problem in _problems(document, operations, operation)
    ]
    if problems:
        raise InvalidRequestError(
            "The change is invalid: " + "; ".join(problems), problems=problems
        )
    change = Change(
        revision=Revision(document.revision + 1),
        change_id=change_id,
        author=author,
        accepted_at=now,
        operations=tuple(operations),
    )
    return Plan(base=document.revision, change=change)


def _conflict(document: Document, seen: Revision) -> ConflictError:
    since = [
        f"revision {change.revision} by {change.author or 'unknown'}: {operation}"
        for change in document.changes_after(seen) or ()
        for operation in change.operations
    ]
    return ConflictError(
        f"Revision {document.revision} is in force, not {seen}",
        remedy="Read the configuration, decide again, and send its revision.",
        problems=since,
    )


def _problems(
    document: Document, operations: Sequence[Operation], operation: Operation
) -> list[str]:
    if not _NAME.match(operation.name):
        return [f"'{operation.name}' is not a name"]
    if operation.delete:
        if document.get(operation.kind, operation.name) is None:
            return [f"{operation} does not exist"]
        return []
    try:
        body = decode_body(operation.kind, operation.name, operation.body)
    except InvalidRequestError as error:
        return error.problems
    reference = _REFERENCES.get(operation.kind)
    if reference is None:
        return []
    kind, field = reference
    wanted = getattr(body, field)
    put = {(o.kind, o.name) for o in operations if not o.delete}
    if (kind, wanted) in put or document.get(kind, wanted) is not None:
        return []
    return [f"{operation}: $.{field} names {kind.value} {wanted}, which is missing"]
