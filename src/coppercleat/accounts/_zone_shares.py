"""Shares of an account's requests that come in at each zone."""

from __future__ import annotations

from collections.abc import Mapping

from coppercleat.ids import ZoneId

_FLOOR_SHARE = 0.1
"""Part of an allowance that is split evenly over the zones, the rest by use: an account
that never asked in a zone may begin there while it is cut off."""

_SHARE_SMOOTHING = 0.2
"""Weight of the newest counts in a zone's share, at two looks a second."""

AskedByZone = dict[str, dict[ZoneId, int]]
"""Requests by account and zone."""


class ZoneShares:
    """Follows where the requests of accounts come in.

    Attributes:
      zones: Zones of the deployment.
    """

    def __init__(self, zones: set[ZoneId]) -> None:
        """Prepares without any requests."""
        self.zones = zones
        self._shares: dict[str, dict[ZoneId, float]] = {}

    def update(self, asked: AskedByZone) -> None:
        """Takes over the newest counts of requests."""
        for account, by_zone in asked.items():
            shares = self._shares.setdefault(account, dict(by_zone))
            for zone in self.zones:
                known = shares.get(zone, 0.0)
                change = by_zone.get(zone, 0) - known
                shares[zone] = known + _SHARE_SMOOTHING * change

    def of_zone(self, account: str, zone: ZoneId) -> float:
        """Returns the share of an account's requests that come in at a zone."""
        shares = self._shares.get(account, {})
        total = sum(shares.values())
        return shares.get(zone, 0.0) / total if total > 0 else 1.0 / len(self.zones)

    def of_heard(self, account: str, heard: Mapping[ZoneId, float]) -> float:
        """Returns the share of an account's allowance that heard instances have.

        Args:
          account: Name of the account.
          heard: Fraction of each zone's instances that are heard; a zone that is
            missing is heard whole.
        """
        share = 0.0
        for zone in self.zones:
            part = _FLOOR_SHARE / len(self.zones)
            part += (1.0 - _FLOOR_SHARE) * self.of_zone(account, zone)
            share += part * heard.get(zone, 1.0)
        return share
