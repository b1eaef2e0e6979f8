"""Which parts of the fleet an instance hears, and which may go on by themselves."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from coppercleat.ids import InstanceId, ZoneId
from coppercleat.membership import Detector

UNHEARD_S = 1.0
"""Time without word of a zone after which it may have been cut off, and go on by itself
with its share of the accounts' allowances; its counts come every 0.3 s."""


class HeardZones:
    """Follows how much of each zone is heard.

    Attributes:
      counts_at: When the counts of a whole zone were last told, in seconds of this
        instance's clock.
    """

    def __init__(
        self, detector: Detector, zone: ZoneId, counts_at: Mapping[ZoneId, float]
    ) -> None:
        """Prepares for an instance of a zone.

        Args:
          detector: Knows the members and their signs of life.
          zone: The instance's zone.
          counts_at: See the attribute.
        """
        self.counts_at = counts_at
        self._detector = detector
        self._zone = zone

    def fractions(self, zones: Iterable[ZoneId], now: float) -> dict[ZoneId, float]:
        """Returns the fraction of each zone's known instances that are heard.

        Args:
          zones: Zones of the deployment; those of other known members are added.
          now: Seconds on this instance's clock.
        """
        found = {*zones, *self._detector.zones()}
        return {zone: self._fraction(zone, now) for zone in found}

    def _fraction(self, zone: ZoneId, now: float) -> float:
        own = zone == self._zone
        known = self._detector.known_in(zone) + own
        if not known or not (own or self._is_heard(zone, now)):
            return 0.0
        return (len(self._detector.alive_in(zone, now)) + own) / known

    def _is_heard(self, zone: ZoneId, now: float) -> bool:
        told_at = self.counts_at.get(zone, float("-inf"))
        heard_at = max(told_at, self._detector.last_sign_in(zone))
        return now - heard_at <= UNHEARD_S


def hears_others(fractions: Mapping[ZoneId, float], peers: list[InstanceId]) -> bool:
    """Returns whether others are heard, of all zones, who would tell of news."""
    return bool(peers) and all(fraction > 0 for fraction in fractions.values())
