"""Asks silent holders for a sign of life before their work is taken over.

A holder renews nothing while all is well. Only when peers no longer hear it
is a challenge row written; a holder that lives and reaches the platform
removes it at its next poll. One that does not answer within the bound loses
its segments. Writes therefore grow with failures, not with the fleet.
"""

from __future__ import annotations

import attrs

from coppercleat.ids import InstanceId

_INITIAL_RETRY_DELAY_S = 2.0
_MAX_RETRY_DELAY_S = 60.0


@attrs.define
class _HolderChallenge:
    """What is known of one holder's challenge row."""

    version: int = 0
    first_seen_at: float = 0.0
    retry_delay_s: float = _INITIAL_RETRY_DELAY_S
    retry_not_before: float = float("-inf")


class ChallengeTracker:
    """Challenges as one instance sees them; the clock is passed in.

    Attributes:
      response_timeout_s: How long a holder has for its answer, in seconds.
    """

    def __init__(self, *, response_timeout_s: float) -> None:
        self.response_timeout_s = response_timeout_s
        self._challenges_by_holder: dict[InstanceId, _HolderChallenge] = {}

    def may_challenge(self, holder: InstanceId, now: float) -> bool:
        """Returns whether to challenge a holder that has no challenge open.

        A holder that answers although no peer hears it is cut off from some
        of them; asking it again is put off for longer each time.
        """
        challenge = self._challenges_by_holder.get(holder)
        return challenge is None or now >= challenge.retry_not_before

    def observe(self, holder: InstanceId, version: int, now: float) -> bool:
        """Takes the version of a holder's challenge row, 0 for none.

        Args:
          holder: Who was asked.
          version: The row's version, as just read.
          now: Seconds on this instance's clock.

        Returns:
          Whether the same challenge has stood unanswered for long enough.
        """
        challenge = self._challenges_by_holder.setdefault(holder, _HolderChallenge())
        if not version:
            if challenge.version:
                self._delay_retry(challenge, now)
            challenge.version = 0
            return False
        if challenge.version != version:
            challenge.version = version
            challenge.first_seen_at = now
            return False
        return now - challenge.first_seen_at >= self.response_timeout_s

    def record_outage(self) -> None:
        """Notes that the platform was away: nobody could have answered."""
        for challenge in self._challenges_by_holder.values():
            challenge.version = 0

    def record_alive(self, holder: InstanceId) -> None:
        """Notes that peers hear a holder again."""
        self._challenges_by_holder.pop(holder, None)

    @staticmethod
    def _delay_retry(challenge: _HolderChallenge, now: float) -> None:
        challenge.retry_not_before = now + challenge.retry_delay_s
        challenge.retry_delay_s = min(_MAX_RETRY_DELAY_S, 2 * challenge.retry_delay_s)
