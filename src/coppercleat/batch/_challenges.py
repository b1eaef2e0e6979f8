"""Liveness challenges to segment holders before a takeover.

Holders renew no lease. Once peers receive no heartbeats of a holder, one of them
writes a challenge row, which a live holder deletes at its next poll. A holder that
does not respond in time loses its segments.
"""

from __future__ import annotations

import attrs

from coppercleat.ids import InstanceId

_INITIAL_RETRY_DELAY_S = 2.0
_MAX_RETRY_DELAY_S = 60.0


@attrs.define
class _HolderChallenge:
    """State of the challenges to one holder.

    Attributes:
      version: Storage version of the pending challenge row, 0 for none.
      first_seen_at: When that version was first read.
      retry_delay_s: Delay of the next challenge after a response.
      retry_not_before: Time before which the holder is not challenged again.
    """

    version: int = 0
    first_seen_at: float = 0.0
    retry_delay_s: float = _INITIAL_RETRY_DELAY_S
    retry_not_before: float = float("-inf")


class ChallengeTracker:
    """Tracks pending challenges and how long they have had no response.

    Attributes:
      response_timeout_s: Seconds after which a missing response permits a takeover.
    """

    def __init__(self, *, response_timeout_s: float) -> None:
        self.response_timeout_s = response_timeout_s
        self._challenges_by_holder: dict[InstanceId, _HolderChallenge] = {}

    def may_challenge(self, holder: InstanceId, now: float) -> bool:
        """Returns whether to challenge a holder that has no pending challenge.

        A holder that responds without being heard is partitioned from its peers; it
        is challenged again after an exponential delay.
        """
        challenge = self._challenges_by_holder.get(holder)
        return challenge is None or now >= challenge.retry_not_before

    def observe(self, holder: InstanceId, version: int, now: float) -> bool:
        """Updates the state of a holder's challenge.

        Args:
          holder: The challenged instance.
          version: Storage version of its challenge row as just read, 0 for none.
          now: Monotonic time in seconds.

        Returns:
          Whether the holder has not responded within ``response_timeout_s``.
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
        """Restarts all timeouts, since no holder could respond during the outage."""
        for challenge in self._challenges_by_holder.values():
            challenge.version = 0

    def record_alive(self, holder: InstanceId) -> None:
        """Discards the state of a holder whose heartbeats are received again."""
        self._challenges_by_holder.pop(holder, None)

    @staticmethod
    def _delay_retry(challenge: _HolderChallenge, now: float) -> None:
        challenge.retry_not_before = now + challenge.retry_delay_s
        challenge.retry_delay_s = min(_MAX_RETRY_DELAY_S, 2 * challenge.retry_delay_s)
