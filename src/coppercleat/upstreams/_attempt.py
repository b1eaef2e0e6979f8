"""What one attempt at an upstream proves about whether the work ran."""

from __future__ import annotations

import enum

from coppercleat.errors import Outcome


class AttemptState(enum.Enum):
    """How far an attempt has come.

    WITHHELD: it was not sent, for a reason that is no failure of the upstream.
    """

    QUEUED = "queued"
    WITHHELD = "withheld"
    SENT = "sent"
    ANSWERED = "answered"
    REFUSED = "refused"
    LOST = "lost"


_NEXT: dict[AttemptState, frozenset[AttemptState]] = {
    AttemptState.QUEUED: frozenset({AttemptState.SENT, AttemptState.WITHHELD}),
    AttemptState.WITHHELD: frozenset(),
    AttemptState.SENT: frozenset(
        {AttemptState.ANSWERED, AttemptState.REFUSED, AttemptState.LOST}
    ),
    AttemptState.ANSWERED: frozenset(),
    AttemptState.REFUSED: frozenset(),
    AttemptState.LOST: frozenset(),
}

_OUTCOME: dict[AttemptState, Outcome] = {
    AttemptState.QUEUED: Outcome.NOT_RUN,
    AttemptState.WITHHELD: Outcome.NOT_RUN,
    AttemptState.SENT: Outcome.UNKNOWN,
    AttemptState.ANSWERED: Outcome.RUN,
    AttemptState.REFUSED: Outcome.NOT_RUN,
    AttemptState.LOST: Outcome.UNKNOWN,
}


class Attempt:
    """One attempt; starts before the first byte is sent.

    Attributes:
      state: How far it has come.
    """

    __slots__ = ("state",)

    def __init__(self) -> None:
        self.state = AttemptState.QUEUED

    @property
    def outcome(self) -> Outcome:
        """Whether the work may have run."""
        return _OUTCOME[self.state]

    def move(self, state: AttemptState) -> None:
        """Moves on.

        Raises:
          ValueError: The state table has no such transition.
        """
        if state not in _NEXT[self.state]:
            raise ValueError(f"an attempt cannot go from {self.state} to {state}")
        self.state = state
