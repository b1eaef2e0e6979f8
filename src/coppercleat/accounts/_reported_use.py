"""What other instances and zones have reported of accounts' use."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from coppercleat.accounts._use import (
    AccountUse,
    add_uses,
    estimate_recent,
    subtract_use,
)
from coppercleat.ids import InstanceId, ZoneId

TOLD_AGE_S = 0.2
"""Longest usual age of another zone's counts when they come, in seconds: they pass two
relays, which collect for 0.1 s."""

_HERE_AGE_S = 0.12
"""Longest usual age of counts of the own zone, in seconds: one relay."""


class PeerUse(msgspec.Struct, frozen=True, array_like=True):
    """What accounts have used at an instance, or in a whole zone.

    Attributes:
      uses: By account; those without requests in the window are left out.
      forgotten: Fraction of the window whose use the reporter may have forgotten by a
        restart; the mean over the instances of a zone.
      counts_recent: Whether the uses have ``asked_recently`` and ``expiring``; those of
        the version before do not.
    """

    uses: tuple[AccountUse, ...] = ()
    forgotten: float = 0.0
    counts_recent: bool = False

    def with_recent(self) -> PeerUse:
        """Returns the report with recent requests estimated if it has none."""
        if self.counts_recent:
            return self
        uses = tuple(estimate_recent(use) for use in self.uses)
        return PeerUse(uses, self.forgotten, counts_recent=True)


class ReportedUse:
    """Sums of the newest reports, for the own zone and for all others.

    Attributes:
      heard: Fraction of each zone's known instances that are heard. A zone that has
        not reported since it was unheard counts as unheard, since its use is not in
        the sums; one that has counts as heard, since its use is.
      all_heard: Whether all of all zones are heard.
      by_reporter: Newest report of each reporter.
      zone_of: Zone of each reporter.
      forgotten: Sum of what the reporters may have forgotten.
    """

    def __init__(self, zone: ZoneId) -> None:
        """Prepares for an instance of a zone that has heard nothing."""
        self.heard: dict[ZoneId, float] = {}
        self.all_heard = True
        self.by_reporter: dict[InstanceId | ZoneId, PeerUse] = {}
        self.zone_of: dict[InstanceId | ZoneId, ZoneId] = {}
        self.forgotten = 0.0
        self._zone = zone
        self._found: Mapping[ZoneId, float] = {}
        self._here: dict[str, AccountUse] = {}
        self._elsewhere: dict[str, AccountUse] = {}
        self._told_at: dict[ZoneId, float] = {}

    def here(self, account: str) -> AccountUse:
        """Returns what other instances of the own zone report of an account."""
        return self._here.get(account) or AccountUse(account)

    def elsewhere(self, account: str) -> AccountUse:
        """Returns what other zones report of an account."""
        return self._elsewhere.get(account) or AccountUse(account)

    def known_at(self, now: float) -> float:
        """Returns until when the use of all the zones that are heard is known."""
        oldest = now - _HERE_AGE_S
        for at in self._told_at.values():
            oldest = min(oldest, at - TOLD_AGE_S)
        return oldest

    def have_all_reported(self, since: float) -> bool:
        """Whether each other zone that is heard has reported since a time."""
        return all(at >= since for at in self._told_at.values())

    def observe(
        self, reporter: InstanceId | ZoneId, use: PeerUse, *, zone: ZoneId, at: float
    ) -> None:
        """Replaces what a reporter has told."""
        self._drop(reporter)
        use = use.with_recent()
        self.by_reporter[reporter] = use
        self.zone_of[reporter] = zone
        self.forgotten += use.forgotten
        sums = self._sums(zone)
        for one in use.uses:
            known = sums.get(one.account)
            sums[one.account] = one if known is None else add_uses(known, one)
        if zone == self._zone:
            return
        is_new = zone not in self._told_at
        self._told_at[zone] = at
        if is_new:
            self._update_heard()

    def forget(self, reporter: InstanceId | ZoneId) -> None:
        """Drops what a reporter has told."""
        self._drop(reporter)
        zone = self.zone_of.pop(reporter, None)
        if zone in self._told_at and zone not in self.zone_of.values():
            del self._told_at[zone]
            self._update_heard()

    def refresh(self, found: Mapping[ZoneId, float]) -> None:
        """Takes over which fraction of each zone is heard.

        What unheard zones have told is dropped at once: they go on by themselves with
        their share of the allowances, so that their use no longer counts here.
        """
        self._found = found
        for reporter, zone in list(self.zone_of.items()):
            if zone != self._zone and found.get(zone, 1.0) <= 0:
                self.forget(reporter)
        self._update_heard()

    def _sums(self, zone: ZoneId) -> dict[str, AccountUse]:
        return self._here if zone == self._zone else self._elsewhere

    def _update_heard(self) -> None:
        self.heard = dict(self._found)
        for zone, fraction in self._found.items():
            if zone == self._zone:
                continue
            if zone not in self._told_at:
                self.heard[zone] = 0.0
            elif fraction <= 0:
                self.heard[zone] = 1.0
        self.all_heard = all(fraction >= 1.0 for fraction in self.heard.values())

    def _drop(self, reporter: InstanceId | ZoneId) -> None:
        use = self.by_reporter.pop(reporter, None)
        if use is None:
            return
        self.forgotten -= use.forgotten
        sums = self._sums(self.zone_of[reporter])
        for one in use.uses:
            left = subtract_use(sums[one.account], one)
            if left.asked or left.admitted:
                sums[one.account] = left
            else:
                del sums[one.account]
