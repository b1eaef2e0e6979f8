"""Orders the copies of a batch item's progress.

The owner of a job, its checkpoints in the store and previous owners may each hold a
copy of an item's progress. Copies of different runs do not continue each other: the run
that began last replaces the others, however few events it has.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from coppercleat.serving._stream_origins import StreamOrigin


class Generation(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Identifies one beginning of an item; a later beginning compares greater.

    Attributes:
      ownership: Version of the job's row when the owner that began the run loaded it.
        Each takeover changes the row, so that a later owner has a greater one.
      number: Counts the beginnings of the item.
    """

    ownership: int = 0
    number: int = 0


NO_GENERATION = Generation()
"""Of an item that has not begun, and of progress of instances that did not tell it."""

Precedence = tuple[bool, bool, Generation, int]


def precedence(
    events: Sequence[bytes],
    origin: StreamOrigin | None,
    generation: Generation,
    *,
    complete: bool = False,
) -> Precedence:
    """Returns which of two copies of an item's progress is to be used: the greater.

    A complete output comes first. Events of an unknown origin come last, since no
    upstream can go on after them. Of two copies of one run the longer one is newer.

    Args:
      events: Data of the events of the copy.
      origin: What wrote them; None if that is not known.
      generation: The run that they belong to.
      complete: Whether they are the item's whole output.
    """
    can_go_on = origin is not None if events else generation != NO_GENERATION
    return complete, can_go_on, generation, len(events)
