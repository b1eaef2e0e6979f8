"""Slots that client accounts hold, here and as other instances report them.

Load: an account that sends many times its share while slots are short. Its requests
reach any instance, so that no instance knows by itself how many slots it holds.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import Any

import msgspec

from coppercleat.ids import InstanceId, TenantId, ZoneId

MAX_REPORTED_ACCOUNTS = 32
"""Accounts that are reported one by one; the others are summed. Few accounts of a
fleet hold many slots, and only these can be beyond their share."""


MAX_REPORTED_SLOTS = 10_000_000
"""Largest figure of a report: beyond the slots and accounts of any supported fleet
(10,000 upstreams, 3,100 accounts), and small enough for sums of all reports."""


class AccountSlots(msgspec.Struct, frozen=True, array_like=True):
    """Slots that one account holds.

    Attributes:
      account: Name of the account; empty for requests without one.
      online: Slots held by online requests.
    """

    account: TenantId
    online: int


class AccountLoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Slots that accounts hold at an instance, or in a whole zone.

    Attributes:
      accounts: The accounts with most slots.
      other_accounts: Number of the other accounts that hold slots.
      other_slots: Slots that those hold together.
    """

    accounts: tuple[AccountSlots, ...] = ()
    other_accounts: int = 0
    other_slots: int = 0

    def shortened(self, most: int) -> AccountLoadReport:
        """Returns the report with so many named accounts at most, the rest summed."""
        if len(self.accounts) <= most:
            return self
        rest = self.accounts[most:]
        return AccountLoadReport(
            self.accounts[:most],
            self.other_accounts + len(rest),
            self.other_slots + sum(one.online for one in rest),
        )


class RejectedReport(msgspec.Struct, frozen=True):
    """Result for a report that must not be used.

    Attributes:
      reason: Cause in words.
    """

    reason: str


def read_report(data: Any) -> AccountLoadReport | RejectedReport:
    """Returns the report that a peer has sent, if all of its figures are possible.

    Args:
      data: The report, or what was decoded without a type.
    """
    if isinstance(data, AccountLoadReport):
        report = data
    else:
        try:
            report = msgspec.convert(data, AccountLoadReport)
        except msgspec.ValidationError as malformed:
            return RejectedReport(str(malformed))
    if len(report.accounts) > MAX_REPORTED_ACCOUNTS:
        return RejectedReport(f"{len(report.accounts)} accounts")
    if len({one.account for one in report.accounts}) < len(report.accounts):
        return RejectedReport("an account is listed twice")
    for one in report.accounts:
        if not 1 <= one.online <= MAX_REPORTED_SLOTS:
            return RejectedReport(f"{one.online} slots of an account")
    for what, figure in (
        ("other accounts", report.other_accounts),
        ("slots of other accounts", report.other_slots),
    ):
        if not 0 <= figure <= MAX_REPORTED_SLOTS:
            return RejectedReport(f"{figure} {what}")
    return report


class AccountLoad:
    """Counts the slots of accounts over all instances; each report replaces the last.

    Sums over all reporters are kept up to date, since each dispatch reads many.
    """

    def __init__(self) -> None:
        self._own: collections.Counter[TenantId] = collections.Counter()
        self._reports: dict[InstanceId | ZoneId, AccountLoadReport] = {}
        self._reported: collections.Counter[TenantId] = collections.Counter()

    def started(self, account: TenantId) -> None:
        """Counts a request that has got a slot here."""
        self._own[account] += 1

    def ended(self, account: TenantId) -> None:
        """Counts a request that has released its slot here."""
        self._own[account] -= 1
        if not self._own[account]:
            del self._own[account]

    def held(self, account: TenantId) -> int:
        """Returns the slots that an account holds in the fleet, as far as is known."""
        return self._own[account] + self._reported[account]

    def active(self) -> set[TenantId]:
        """Returns the accounts that are known by name to hold slots."""
        return {*self._own, *self._reported}

    def most_held(self, count: int) -> list[AccountSlots]:
        """Returns the named accounts that hold most slots in the fleet, most first."""
        slots = self._reported + self._own
        del slots[TenantId("")]
        return list(_report(slots, 0, 0).accounts[:count])

    def other_accounts(self) -> int:
        """Returns how many accounts hold slots elsewhere without being named.

        One that two reporters do not name is counted twice.
        """
        return sum(report.other_accounts for report in self._reports.values())

    def own_report(self) -> AccountLoadReport:
        """Returns what to report of this instance."""
        return _report(self._own, 0, 0)

    def combined_report(self, reporters: Iterable[InstanceId]) -> AccountLoadReport:
        """Returns what to report of this instance and some others of its zone."""
        slots = collections.Counter(self._own)
        other_accounts = other_slots = 0
        for reporter in reporters:
            report = self._reports.get(reporter, AccountLoadReport())
            for one in report.accounts:
                slots[one.account] += one.online
            other_accounts += report.other_accounts
            other_slots += report.other_slots
        return _report(slots, other_accounts, other_slots)

    def observe(self, reporter: InstanceId | ZoneId, report: AccountLoadReport) -> None:
        """Replaces what an instance, or a whole zone, has reported."""
        self.forget(reporter)
        self._reports[reporter] = report
        for one in report.accounts:
            self._reported[one.account] += one.online

    def forget(self, reporter: InstanceId | ZoneId) -> None:
        """Drops what an instance or a zone has reported."""
        for one in self._reports.pop(reporter, AccountLoadReport()).accounts:
            self._reported[one.account] -= one.online
            if not self._reported[one.account]:
                del self._reported[one.account]


def _report(
    slots: collections.Counter[TenantId], other_accounts: int, other_slots: int
) -> AccountLoadReport:
    """Returns a report that names the accounts with most slots."""
    ordered = sorted(slots.items(), key=lambda item: (-item[1], item[0]))
    named, others = ordered[:MAX_REPORTED_ACCOUNTS], ordered[MAX_REPORTED_ACCOUNTS:]
    return AccountLoadReport(
        tuple(AccountSlots(account, count) for account, count in named),
        other_accounts + len(others),
        other_slots + sum(count for _, count in others),
    )
