"""Fleet-wide allowances of client accounts, by counts that instances tell each other.

Pattern: an account's requests reach any instance, so that no instance sees all of them,
and what it is told by others is some tenths of a second old. While an account is well
below its allowance, all of it is admitted anywhere. Once what others may have admitted
unheard of could use up the rest, each instance admits a part of that rest, by its part
of the account's requests: the parts add up to one, so that what is not known yet cannot
add up to more. What is left over is split again as reports come in.

An instance that does not hear a part of the fleet, which may go on by itself, uses the
share of the parts that it hears. An account's share is that of its requests which came
there before. What accounts close to their allowance have used is stored with the
instance's lease, so that a restart does not forget it; until it has been read, use that
may be forgotten is taken for used.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Mapping

import attrs

from coppercleat.accounts._account import ClientAccount
from coppercleat.accounts._reported_use import PeerUse, ReportedUse
from coppercleat.accounts._use import (
    RECENT_S,
    STORED_STEP_S,
    AccountUse,
    OwnUse,
    StoredUse,
    add_uses,
    sum_uses,
)
from coppercleat.accounts._zone_shares import AskedByZone, ZoneShares
from coppercleat.ids import InstanceId, ZoneId

_MARGIN = 0.4
"""Share of the tolerated excess up to which the known use of the fleet may go: what is
in doubt is then admitted rather than refused below the allowance."""

_QUOTA_MARGIN = 0.55
"""As ``_MARGIN``, for the sum of what instances admit beyond what is known. Many
instances get no request for their part, so the sum is seldom reached. Less refuses more
below the allowance; with 0.65 one of 20 seeds passed the bound by 0.001."""

_USUALLY_YOUNGER_S = 0.1
"""How much younger than the longest usual age reports are taken for. With 0 a window
held up to 1.02 of the bound, with 0.2 more was refused below the allowance."""

_UNSEEN_HERE_S = 0.2
"""Time for which requests at other instances of the own zone may be unheard of: the
interval of a relay and the way."""

_CLOSE = 0.6
"""Share of an allowance from which an account's use is stored: usual use is below."""

_FEW = 2
"""So many requests at an instance within ``_UNSEEN_HERE_S`` are no sign of a rise."""

_LEAST_SIDE = 0.25
"""Least part of the slack that a part of the fleet uses which does not hear the rest:
there are four such parts at most."""

_STORED_EARLIER_S = 0.7
"""What is stored is up to a second old when an instance ends: stored use counts for so
much longer."""

MIN_RETRY_AFTER_S = 0.2
"""Shortest time after which a rejected request is told to come back, in seconds."""


@attrs.frozen(kw_only=True)
class AllowanceRule:
    """How strictly allowances are enforced.

    Attributes:
      window_s: Length of the sliding window, in seconds.
      tolerance: Fraction by which a window may exceed the allowance.
      slack: Requests by which a window may exceed that.
    """

    window_s: float = 5.0
    tolerance: float = 0.1
    slack: float = 20.0

    def excess(self, limit: float) -> float:
        """Returns the requests by which a limit may be exceeded."""
        return limit * self.tolerance + self.slack


@attrs.frozen
class OverAllowance:
    """A request is beyond its account's allowance.

    Attributes:
      retry_after_s: Seconds until the account may ask again.
    """

    retry_after_s: float


def _come_back(wait_s: float, longest_s: float) -> OverAllowance:
    """Returns a rejection whose time to come back is within a window."""
    return OverAllowance(min(max(MIN_RETRY_AFTER_S, wait_s), longest_s))


class Allowances:
    """Decides which requests are within their accounts' allowances.

    Attributes:
      rule: How strictly allowances are enforced.
      zone: The instance's zone.
      zones: Zones of the deployment.
      heard: Fraction of each zone's known instances that are heard; a zone that is
        missing is heard whole.
    """

    def __init__(
        self,
        rule: AllowanceRule,
        *,
        zone: ZoneId,
        zones: Iterable[ZoneId] = (),
        started_at: float,
        rng: random.Random,
    ) -> None:
        """Prepares for an instance that has just started.

        Args:
          rule: See ``AllowanceRule``.
          zone: The instance's zone.
          zones: Zones of the deployment; others are added when they are heard.
          started_at: When the instance began to count, in seconds of its clock.
          rng: Draws how this instance rounds its shares.
        """
        self.rule = rule
        self.zone = zone
        self.zones = {zone, *zones}
        self.heard: Mapping[ZoneId, float] = {}
        self._started_at = started_at
        self._now = started_at
        self._rounding = rng.random()
        self._restored = False
        self._close: dict[str, float] = {}
        self._own: dict[str, OwnUse] = {}
        self._peers = ReportedUse(zone)
        self._shares = ZoneShares(self.zones)
        self._counted: tuple[float, AskedByZone] | None = None

    def admit(self, account: ClientAccount, *, now: float) -> OverAllowance | None:
        """Admits a request of an account, or returns why not."""
        if account.rate_per_s <= 0:
            return None
        self._now = now
        own = self._own_of(account.name)
        own.ask(now)
        over = self._over(account, own, now)
        if over is None:
            own.admit(now)
        return over

    def stored_use(self, *, now: float) -> StoredUse:
        """Returns use that no restart may forget: of accounts close to the limit."""
        horizon = now - self.rule.window_s
        self._close = {a: at for a, at in self._close.items() if at > horizon}
        found = [(a, self._own[a]) for a in self._close if a in self._own]
        return StoredUse(
            tuple(own.summary(account, now) for account, own in found),
            now,
            tuple(own.admitted.by_age(STORED_STEP_S, now) for _, own in found),
        )

    def restore(self, stored: StoredUse, *, now: float) -> None:
        """Takes over what an earlier start of the instance had stored.

        Requests in a row of the version before are taken to have come evenly within the
        window. Those of a machine that has been started anew are taken to have just
        been counted.
        """
        if self._restored:
            return
        self._restored = True
        counted_at = now
        if stored.counted_at <= now:
            counted_at = min(now, stored.counted_at + _STORED_EARLIER_S)
        ages = stored.ages()
        for use in stored.uses:
            own = self._own_of(use.account)
            for age_s in ages.get(use.account) or self._even_ages(use.admitted):
                own.ask(counted_at - age_s)
                own.admit(counted_at - age_s)

    def _even_ages(self, count: int) -> list[float]:
        """Returns ages of requests that came evenly within the window."""
        return [self.rule.window_s * (1 - (n + 1) / count) for n in range(count)]

    def withdraw(self, account: str, *, admitted_at: float) -> None:
        """Takes back an admission of a request that has not run."""
        own = self._own.get(account)
        if own is not None:
            own.withdraw(admitted_at)

    # What others use.

    def refresh(self, heard: Mapping[ZoneId, float], *, now: float) -> None:
        """Takes note of who is heard; called regularly.

        Args:
          heard: See the attribute.
          now: Seconds on the instance's clock.
        """
        self._now = now
        self.heard = heard
        self._peers.refresh(heard)
        self._follow_shares(now)

    def observe(
        self, reporter: InstanceId | ZoneId, use: PeerUse, *, zone: ZoneId
    ) -> None:
        """Replaces what an instance, or a whole zone, has told."""
        self.zones.add(zone)
        # The last moment at which this instance looked at the clock: a report that
        # seems older than it is makes the decision more careful.
        self._peers.observe(reporter, use, zone=zone, at=self._now)

    def forget(self, reporter: InstanceId | ZoneId) -> None:
        """Drops what an instance or a zone has told."""
        self._peers.forget(reporter)

    def own_use(self, *, now: float) -> PeerUse:
        """Returns what to tell others of this instance."""
        self._now = now
        uses = [own.summary(account, now) for account, own in self._own.items()]
        used = tuple(use for use in uses if use.asked or use.admitted)
        for use in uses:
            if not (use.asked or use.admitted):
                del self._own[use.account]
        return PeerUse(used, round(self._own_forgotten(now), 3), counts_recent=True)

    def fleet_use(self, account: str, *, now: float) -> AccountUse:
        """Returns what an account uses in the fleet, as far as it is heard."""
        told = add_uses(self._peers.here(account), self._peers.elsewhere(account))
        own = self._own.get(account)
        return told if own is None else add_uses(told, own.summary(account, now))

    def zone_use(self, reporters: Iterable[InstanceId], *, now: float) -> PeerUse:
        """Returns what this instance and some others of its zone use together."""
        reports = self._peers.by_reporter
        told = [reports[r] for r in reporters if r in reports]
        parts = [self.own_use(now=now), *told]
        uses = sum_uses([use for part in parts for use in part.uses])
        forgotten = sum(part.forgotten for part in parts) / len(parts)
        return PeerUse(tuple(uses), round(forgotten, 3), counts_recent=True)

    # Decisions.

    def _own_of(self, account: str) -> OwnUse:
        own = self._own.get(account)
        if own is None:
            own = OwnUse(window_s=self.rule.window_s)
            self._own[account] = own
        return own

    def _over(
        self, account: ClientAccount, own: OwnUse, now: float
    ) -> OverAllowance | None:
        name = account.name
        here, elsewhere = self._peers.here(name), self._peers.elsewhere(name)
        known_at = self._peers.known_at(now)
        own_admitted = own.admitted.count(now)
        expired = elsewhere.expiring * self._expired_part(known_at, now)
        told = here.admitted + elsewhere.admitted - expired
        used = own_admitted + told

        rate = account.rate_per_s
        limit = rate * self.rule.window_s + account.burst
        limit *= 1.0 - self._forgotten(now)
        share = self._heard_share(name)
        most = self._usable(limit, share, _MARGIN)
        if used >= _CLOSE * limit:
            self._close[name] = now
        if used + self._unheard(own, here, elsewhere, now) < most:
            return None
        # As of when the use of all was known: with newer counts of its own an instance
        # would take its part for too large, and the parts would add up to more than 1.
        own_known = own.admitted.count_until(known_at, now)
        own_asked = own.asked.count_until(known_at, now)
        asked = own_asked + here.asked + elsewhere.asked
        part = own_asked / asked if here.asked or elsewhere.asked else 1.0
        left = self._usable(limit, share, _QUOTA_MARGIN) - told - own_known
        if used < most and own_admitted - own_known < self._whole(part * left):
            return None
        return _come_back((used + 1 - most) / rate, self.rule.window_s)

    def _expired_part(self, known_at: float, now: float) -> float:
        """Returns how much of what was about to expire elsewhere has expired.

        Reports are taken for younger than they may be, since they would make room too
        early otherwise.
        """
        age_s = now - known_at - _USUALLY_YOUNGER_S
        return min(1.0, max(0.0, age_s) / RECENT_S)

    def _unheard(
        self, own: OwnUse, here: AccountUse, elsewhere: AccountUse, now: float
    ) -> float:
        """Returns how many requests others may have admitted unheard of.

        The newer counts of the own zone show a sudden rise first. Other zones are taken
        to have got their usual share of it. An own zone below the average is taken for
        an average one, since an account may have moved there. Within the zone the same
        is done with the newest requests of this instance, if they are not a few only.
        """
        recent = here.asked_recently + own.asked.count_since(now - RECENT_S, now)
        usual = self._shares.of_zone(here.account, self.zone)
        usual = max(usual, 1.0 / len(self.zones))
        others = max(elsewhere.asked_recently, recent * (1.0 - usual) / usual)
        unheard_s = now - self._peers.known_at(now)
        newest = own.asked.count_since(now - _UNSEEN_HERE_S, now) - _FEW
        risen = max(0, newest) * here.asked / max(1, own.asked.count(now))
        unseen_here = max(recent * _UNSEEN_HERE_S / RECENT_S, risen)
        return others * unheard_s / RECENT_S + unseen_here

    def _usable(self, limit: float, share: float, margin: float) -> float:
        """Returns how many requests the heard instances admit of so many allowed ones.

        Args:
          limit: What the fleet allows in a window.
          share: Their share of it.
          margin: Share of the tolerated excess that is used.
        """
        slack = margin * self.rule.slack
        if not self._peers.all_heard:
            slack *= max(share, _LEAST_SIDE)
        return share * (1.0 + margin * self.rule.tolerance) * limit + slack

    def _whole(self, value: float) -> int:
        """Rounds up or down, so that the sum over all instances is kept.

        The threshold stays the same: were it drawn for each request, an instance with
        many of them would always round up.
        """
        whole = math.floor(value)
        return whole + (self._rounding < value - whole)

    def _heard_share(self, account: str) -> float:
        """Returns the share of an account's allowance that the heard instances have."""
        if self._peers.all_heard:
            return 1.0
        return self._shares.of_heard(account, self._peers.heard)

    def _own_forgotten(self, now: float) -> float:
        if self._restored:
            return 0.0
        counted_s = min(max(0.0, now - self._started_at), self.rule.window_s)
        return 1.0 - counted_s / self.rule.window_s

    def _forgotten(self, now: float) -> float:
        """Returns the fraction of the fleet's use that restarts made unknown."""
        own = self._own_forgotten(now)
        return (own + self._peers.forgotten) / (1 + len(self._peers.by_reporter))

    def _follow_shares(self, now: float) -> None:
        """Follows where the requests of accounts come in, while all zones are heard.

        Counts are used only once every zone has reported again after them: those of a
        zone that has just been cut off stand still while those of the own zone grow,
        and both sides of the cut would take their shares for too large.
        """
        if not self._peers.all_heard:
            self._counted = None
            return
        if self._counted is not None:
            counted_at, asked = self._counted
            if not self._peers.have_all_reported(counted_at):
                return
            self._shares.update(asked)
        self._counted = now, self._asked_by_zone(now)

    def _asked_by_zone(self, now: float) -> AskedByZone:
        asked: AskedByZone = {}
        parts = [(self.zone, self.own_use(now=now))]
        reports = self._peers.by_reporter.items()
        parts += [(self._peers.zone_of[r], use) for r, use in reports]
        for zone, part in parts:
            for use in part.uses:
                by_zone = asked.setdefault(use.account, {})
                by_zone[zone] = by_zone.get(zone, 0) + use.asked
        return asked
