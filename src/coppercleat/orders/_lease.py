"""A lease with a fencing number, kept as one row of the table.

The row is renewed by its holder; others see that its version stands still and
take it, with the next fencing number, once it has stood still for the lease's
duration on their own clock. Clocks are never compared.
"""

from __future__ import annotations

import attrs
import msgspec

from coppercleat.ids import InstanceId
from coppercleat.storage import (
    ABSENT,
    AnswerLostError,
    Check,
    Platform,
    Put,
    Transaction,
    TransactionRefused,
    decode_row,
)


class LeaseRow(msgspec.Struct, frozen=True, kw_only=True):
    """Who holds a lease, and under which fencing number.

    Attributes:
      renewal: Grows with each renewal, so that the row changes.
    """

    holder: InstanceId
    incarnation: int
    fence: int
    renewal: int = 0


@attrs.define(kw_only=True)
class Lease:
    """A lease as its holder sees it.

    Attributes:
      version: The row's version, which the next renewal checks.
      valid_until: On the holder's clock, counted from before the last renewal
        was sent, so that others cannot have counted less.
      orders_allowed_at: On the holder's clock; before it no order may be given, for
        an earlier holder's order may still be under way.
    """

    row: LeaseRow
    version: int
    valid_until: float
    orders_allowed_at: float

    def may_order(self, now: float, *, max_order_s: float) -> bool:
        """Returns whether an order given now ends while the lease is valid."""
        return self.orders_allowed_at <= now and now + max_order_s < self.valid_until


class LeaseExpiryMonitor:
    """Tells when a row of another holder has stood still for long enough.

    Attributes:
      duration_s: The lease's duration in seconds.
    """

    def __init__(self, *, duration_s: float) -> None:
        self.duration_s = duration_s
        self._version = -1
        self._version_seen_at = 0.0

    def expired(self, version: int, now: float) -> bool:
        """Takes the row's version as just read; returns whether it lapsed."""
        if version != self._version:
            self._version = version
            self._version_seen_at = now
            return False
        return now - self._version_seen_at >= self.duration_s


class LeaseStore:
    """Takes and renews leases through the platform."""

    def __init__(self, platform: Platform, *, duration_s: float) -> None:
        self.platform = platform
        self.duration_s = duration_s

    async def read(self, name: str) -> tuple[LeaseRow | None, int]:
        """Returns a lease's row and version; None and 0 if nobody took it yet."""
        key = _key(name)
        row = (await self.platform.read([key])).get(key)
        if row is None:
            return None, ABSENT
        return decode_row(row, LeaseRow), row.version

    async def acquire(
        self,
        name: str,
        found: tuple[LeaseRow | None, int],
        *,
        holder: InstanceId,
        incarnation: int,
        now: float,
        orders_wait_s: float,
    ) -> Lease | None:
        """Takes a lease that is free or has lapsed.

        Args:
          name: The lease.
          found: Its row and version as read.
          holder: Who takes it.
          incarnation: Which start of that instance.
          now: The holder's clock before this call.
          orders_wait_s: Seconds in which an earlier holder's order may still come.

        Returns:
          The lease, or None if another was faster or no answer came.
        """
        before, version = found
        row = LeaseRow(
            holder=holder,
            incarnation=incarnation,
            fence=before.fence + 1 if before else 1,
        )
        taken = await self._write(name, row, version)
        if taken is None:
            return None
        orders_allowed_at = now + orders_wait_s if before else now
        return Lease(
            row=row,
            version=taken,
            valid_until=now + self.duration_s,
            orders_allowed_at=orders_allowed_at,
        )

    async def renew(self, name: str, lease: Lease, *, now: float) -> bool:
        """Renews a lease; returns False if it is lost or no answer came."""
        row = msgspec.structs.replace(lease.row, renewal=lease.row.renewal + 1)
        version = await self._write(name, row, lease.version)
        if version is None:
            return False
        lease.row, lease.version = row, version
        lease.valid_until = now + self.duration_s
        return True

    async def _write(self, name: str, row: LeaseRow, version: int) -> int | None:
        key = _key(name)
        transaction = Transaction(
            checks=[Check(key, version)], puts=[Put(key, msgspec.json.encode(row))]
        )
        try:
            result = await self.platform.transact(transaction)
        except AnswerLostError:
            found, version = await self.read(name)
            return version if found == row else None
        return None if isinstance(result, TransactionRefused) else result[key]


def _key(name: str) -> str:
    return f"lease/{name}"
