"""What answers of the store show of calls that have none yet, without any I/O.

A store may be slow, so that no fixed time tells a dead connection. A read is given up
when reads that began later have long been answered. Changes may take far longer than
reads, so what reads take says nothing of them: those on kept connections are given up
once a kept connection was found dead.
"""

from __future__ import annotations

import enum

DOUBT_S = 0.3
"""A call that is not answered for so long is in doubt; answers take some 10 ms."""

DOUBT_TIMES = 4
"""And it is not before so many times of what answers took lately: a slow store's
answers differ by a factor of two."""

_DECAY = 0.2
"""Weight of a new answer in what answers took lately; longer ones count at once."""


class CallKind(enum.Enum):
    """What a call is."""

    READ = "read"
    OBJECT_READ = "object read"
    CHANGE = "change"


_WEIGHTS = {CallKind.READ: 1.0, CallKind.OBJECT_READ: 3.0}
"""How many times longer than rows an answer takes: 1.5 s where rows take 0.5 s."""


class Evidence:
    """What answers show of calls that have none; times in seconds.

    Attributes:
      usual_s: What the answer to a read takes: the longest of late, decaying.
    """

    def __init__(self) -> None:
        self.usual_s = 0.0
        self._newest_answered = float("-inf")
        self._found_dead_at = float("-inf")

    def note_answer(self, *, began: float, now: float) -> None:
        """Takes note of a read that was answered."""
        took_s = now - began
        mean_s = self.usual_s + (took_s - self.usual_s) * _DECAY
        self.usual_s = max(took_s, mean_s)
        self._newest_answered = max(self._newest_answered, began)

    def note_dead(self, now: float) -> None:
        """Takes note of a connection that was found dead."""
        self._found_dead_at = now

    def doubt_s(self, kind: CallKind) -> float:
        """Returns how long a call goes unanswered before it is in doubt."""
        if kind is CallKind.CHANGE:
            return DOUBT_S
        return _WEIGHTS[kind] * max(DOUBT_S, DOUBT_TIMES * self.usual_s)

    def shows_dead(self, kind: CallKind, *, began: float, now: float) -> bool:
        """Returns whether a call in flight waits on a connection that is dead."""
        if now - began < self.doubt_s(kind):
            return False
        if kind is CallKind.CHANGE:
            return self._found_dead_at > began
        return self._newest_answered > began
