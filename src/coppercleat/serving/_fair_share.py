"""Shares of the slots that client accounts have, and how far a request is beyond them.

Load: an account that demands many times its share while slots are short. Pure
functions: slots held are counted elsewhere, and no state is kept from one decision to
the next.
"""

from __future__ import annotations

import math
import statistics
import sys
from collections.abc import Callable, Collection, Iterable, Mapping

import attrs

from coppercleat.accounts import ClientAccount
from coppercleat.ids import TenantId
from coppercleat.serving._account_load import AccountLoad

MIN_SHARE_SLOTS = 2.0
"""Smallest share of an account, in slots. Requests of a small account arrive unevenly;
two at the same moment are not a sign of overuse."""

DEFAULT_WEIGHT = 1.0
"""Weight of an account without an allowed rate, and of one that is not configured."""

MIN_WEIGHT = 0.01
MAX_WEIGHT = 100.0
"""Limits on weights, so that one mistyped rate neither takes all slots nor none."""


@attrs.frozen
class ShareStanding:
    """How a request's account stands to its share of the slots.

    Attributes:
      held_slots: Slots that the account holds in the fleet, as far as is known.
      level: How far the request is beyond the account's share, in slots per weight; 0
        within the share.
    """

    held_slots: int
    level: float


class ShareWeights:
    """Weights of the client accounts of one configuration.

    A weight is the allowed rate divided by the median of all allowed rates.

    Attributes:
      invalid: Accounts whose allowed rate is negative or not finite.
    """

    def __init__(self, accounts: Iterable[ClientAccount]) -> None:
        self.invalid: tuple[TenantId, ...] = ()
        rates: dict[TenantId, float] = {}
        unlimited = 0
        for account in accounts:
            rate = account.rate_per_s
            if not math.isfinite(rate) or rate < 0:
                self.invalid += (account.name,)
            if math.isfinite(rate) and rate > 0:
                # The median of two rates adds them, which must not overflow.
                rates[account.name] = min(rate, sys.float_info.max / 2)
            else:
                unlimited += 1
        median = statistics.median(rates.values()) if rates else 1.0
        self._weights = {
            name: min(MAX_WEIGHT, max(MIN_WEIGHT, rate / median))
            for name, rate in rates.items()
        }
        self._count = len(rates) + unlimited
        self._total = math.fsum(self._weights.values()) + unlimited * DEFAULT_WEIGHT

    def weight(self, account: TenantId) -> float:
        """Returns the weight of an account, also of one that is not configured."""
        return self._weights.get(account, DEFAULT_WEIGHT)

    def total(self, named: Collection[TenantId], *, others: int = 0) -> float:
        """Returns the weights of accounts together.

        Args:
          named: Accounts that are known by name.
          others: Further accounts whose names are not known. Several reporters may
            count the same one, so no more are taken than are configured; each gets the
            mean weight of those that are not named.
        """
        weights = self._weights
        known = math.fsum(weights.get(account, DEFAULT_WEIGHT) for account in named)
        left = self._count - len(named)
        if others <= 0 or left <= 0:
            return known
        return known + max(0.0, self._total - known) * min(1.0, others / left)


def share_slots(total_slots: int, *, weight: float, total_weight: float) -> float:
    """Returns the share that an account has of some slots.

    Args:
      total_slots: Slots that the active accounts compete for.
      weight: Weight of the account.
      total_weight: Weights of all active accounts.
    """
    return max(MIN_SHARE_SLOTS, total_slots * weight / max(weight, total_weight))


def share_level(slots: int, *, share: float, weight: float) -> float:
    """Returns how far a request is beyond its account's share, in slots per weight.

    Args:
      slots: Slots that its account would hold with it: those held, those of its
        requests that go first, and its own.
      share: The account's share of the slots.
      weight: Weight of the account.
    """
    return max(0.0, (slots - share) / weight)


@attrs.frozen
class FairShares:
    """Shares of all accounts at one moment; built for one dispatch.

    Attributes:
      weights: Weights of the configured accounts.
      load: Slots that accounts hold.
      total_weight: Weights of all active accounts: those that hold a slot in the fleet,
        or have a request queued at this instance.
      total_slots: Slots by service. Slots held are not counted by service, so that an
        account which holds many of one service yields at others too.
    """

    weights: ShareWeights
    load: AccountLoad
    total_weight: float
    total_slots: Mapping[str, int]
    _figures: dict[tuple[TenantId, str], tuple[int, float, float]] = attrs.field(
        factory=dict, init=False, eq=False, repr=False
    )

    @classmethod
    def at_present(
        cls,
        weights: ShareWeights,
        load: AccountLoad,
        *,
        queued: Iterable[TenantId],
        total_slots: Mapping[str, int],
    ) -> FairShares:
        """Returns the shares of accounts, some of which have requests queued here."""
        active = load.active().union(queued)
        total_weight = weights.total(active, others=load.other_accounts())
        return cls(weights, load, total_weight, total_slots)

    def share(self, account: TenantId, service: str) -> float:
        """Returns an account's share of a service's slots."""
        return share_slots(
            self.total_slots.get(service, 0),
            weight=self.weights.weight(account),
            total_weight=self.total_weight,
        )

    def standing(self, account: TenantId, *, ahead: int, service: str) -> ShareStanding:
        """Returns how a queued request's account stands to its share.

        Args:
          account: The account.
          ahead: Requests of the account that are queued at the same instance and go
            first.
          service: Service of the request.
        """
        held, share, weight = self._figures_of(account, service)
        level = share_level(held + ahead + 1, share=share, weight=weight)
        return ShareStanding(held, level)

    def level_of(self, service: str) -> Callable[[TenantId, int], float]:
        """Returns a function that returns levels of a service's queued requests."""

        def level(account: TenantId, ahead: int) -> float:
            held, share, weight = self._figures_of(account, service)
            return share_level(held + ahead + 1, share=share, weight=weight)

        return level

    def _figures_of(self, account: TenantId, service: str) -> tuple[int, float, float]:
        """Returns an account's slots, share and weight, computed once for each."""
        key = account, service
        found = self._figures.get(key)
        if found is None:
            found = (
                max(0, self.load.held(account)),
                self.share(account, service),
                self.weights.weight(account),
            )
            self._figures[key] = found
        return found
