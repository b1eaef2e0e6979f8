"""What operators see of client accounts; keys are no part of it."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
import trio

from coppercleat.gateway._callers import Callers
from coppercleat.serving import AccountLoad, RouteTable


class AccountShare(msgspec.Struct, frozen=True):
    """An account's share of the slots.

    Attributes:
      share: Slots up to which the account's requests go first.
      weight: Its part of the slots, relative to those of other accounts.
    """

    share: float
    weight: float


class AccountStatus(msgspec.Struct):
    """A client account, as the endpoint lists it.

    Attributes:
      account: Its name.
      keys: Number of its keys.
      priority: Its priority; None for that of each route.
      rate_per_s: Allowed requests per second over the whole fleet; 0 for no limit.
      burst: Requests allowed beyond the rate.
      asked: Requests within the window over the fleet, as far as heard here.
      admitted: Those of them that were admitted.
      rejected_here: Requests beyond the allowance since this instance started.
      slots: Slots that its online requests hold in the fleet, as far as told here; None
        where fair shares are off, since instances do not report them then.
      share: Slots up to which its requests go first; None where it is not computed.
      weight: See ``AccountShare``; None where it is not computed.
    """

    account: str
    keys: int
    priority: int | None
    rate_per_s: float
    burst: float
    asked: int
    admitted: int
    rejected_here: int
    slots: int | None = None
    share: float | None = None
    weight: float | None = None


def list_accounts(
    callers: Callers,
    table: RouteTable | None,
    *,
    load: AccountLoad | None = None,
    shares: Mapping[str, AccountShare] | None = None,
) -> list[AccountStatus]:
    """Returns the accounts of the configuration, in its order; none without any.

    Args:
      callers: Admits the accounts' requests.
      table: Routes and accounts in force; None before any are known.
      load: Slots that accounts hold; None where instances do not report them.
      shares: The accounts' shares of the slots; None where they are not computed.
    """
    if table is None or table.config.accounts is None:
        return []
    now = trio.current_time()
    found = []
    for account in table.config.accounts:
        share = shares.get(account.name) if shares else None
        use = callers.allowances.fleet_use(account.name, now=now)
        found.append(
            AccountStatus(
                account=account.name,
                keys=len(account.keys),
                priority=account.priority,
                rate_per_s=account.rate_per_s,
                burst=account.burst,
                asked=use.asked,
                admitted=use.admitted,
                rejected_here=callers.over_allowance.get(account.name, 0),
                slots=load.held(account.name) if load else None,
                share=share.share if share else None,
                weight=share.weight if share else None,
            )
        )
    return found
