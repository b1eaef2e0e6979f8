"""Asks silent holders for a sign of life before their work is taken over.

A holder renews nothing while all is well. Only when peers no longer hear it
is a challenge row written; a holder that lives and reaches the platform
removes it at its next poll. One that does not answer within the bound loses
its segments. Writes therefore grow with failures, not with the fleet.
"""

from __future__ import annotations

import attrs

from coppercleat.ids import InstanceId

_FIRST_PAUSE_S = 2.0
_LONGEST_PAUSE_S = 60.0


@attrs.define
class _Asked:
    """What is known of one holder's challenge row."""

    version: int = 0
    since: float = 0.0
    pause_s: float = _FIRST_PAUSE_S
    not_before: float = float("-inf")


class Challenges:
    """Challenges as one instance sees them; the clock is passed in.

    Attributes:
      wait_s: How long a holder has for its answer, in seconds.
    """

    def __init__(self, *, wait_s: float) -> None:
        self.wait_s = wait_s
        self._asked: dict[InstanceId, _Asked] = {}

    def may_ask(self, holder: InstanceId, now: float) -> bool:
        """Returns whether to challenge a holder that has no challenge open.

        A holder that answers although no peer hears it is cut off from some
        of them; asking it again is put off for longer each time.
        """
        asked = self._asked.get(holder)
        return asked is None or now >= asked.not_before

    def observe(self, holder: InstanceId, version: int, now: float) -> bool:
        """Takes the version of a holder's challenge row, 0 for none.

        Args:
          holder: Who was asked.
          version: The row's version, as just read.
          now: Seconds on this instance's clock.

        Returns:
          Whether the same challenge has stood unanswered for long enough.
        """
        asked = self._asked.setdefault(holder, _Asked())
        if not version:
            if asked.version:
                self._put_off(asked, now)
            asked.version = 0
            return False
        if asked.version != version:
            asked.version = version
            asked.since = now
            return False
        return now - asked.since >= self.wait_s

    def interrupted(self) -> None:
        """Notes that the platform was away: nobody could have answered."""
        for asked in self._asked.values():
            asked.version = 0

    def heard(self, holder: InstanceId) -> None:
        """Notes that peers hear a holder again."""
        self._asked.pop(holder, None)

    @staticmethod
    def _put_off(asked: _Asked, now: float) -> None:
        asked.not_before = now + asked.pause_s
        asked.pause_s = min(_LONGEST_PAUSE_S, 2 * asked.pause_s)
