"""Lease with a fencing token, stored as one row.

The holder renews the row. Another instance may acquire the lease, with the next
fencing token, once the row's version has not changed for the lease's duration on
its own clock; clocks of different instances are not compared.
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
    """Stored row of a lease.

    Attributes:
      holder: The instance that acquired the lease last.
      incarnation: Incarnation of that instance.
      fence: Fencing token; increases with each acquisition.
      renewal: Number of renewals; changes the row at each.
    """

    holder: InstanceId
    incarnation: int
    fence: int
    renewal: int = 0


@attrs.define(kw_only=True)
class Lease:
    """A lease held by this instance.

    Attributes:
      row: The row as last written.
      version: Storage version of the row; the next renewal requires it unchanged.
      valid_until: Monotonic time of expiry, counted from before the last renewal
        was sent, so that no other instance sees it expire earlier.
      orders_allowed_at: Monotonic time before which no order may be sent, since one
        of the previous holder may be in flight.
    """

    row: LeaseRow
    version: int
    valid_until: float
    orders_allowed_at: float

    def may_order(self, now: float, *, max_order_s: float) -> bool:
        """Returns whether an order sent now ends while the lease is valid.

        Args:
          now: Monotonic time in seconds.
          max_order_s: Timeout of an order in seconds.
        """
        return self.orders_allowed_at <= now and now + max_order_s < self.valid_until


class LeaseExpiryMonitor:
    """Detects that the lease of another holder has expired.

    Attributes:
      duration_s: The lease's duration in seconds.
    """

    def __init__(self, *, duration_s: float) -> None:
        self.duration_s = duration_s
        self._version = -1
        self._version_seen_at = 0.0

    def expired(self, version: int, now: float) -> bool:
        """Returns whether the row kept this version for the duration of the lease."""
        if version != self._version:
            self._version = version
            self._version_seen_at = now
            return False
        return now - self._version_seen_at >= self.duration_s


class LeaseStore:
    """Acquires and renews leases in platform storage."""

    def __init__(self, platform: Platform, *, duration_s: float) -> None:
        self.platform = platform
        self.duration_s = duration_s

    async def read(self, name: str) -> tuple[LeaseRow | None, int]:
        """Returns a lease's row and version; None and 0 if it does not exist."""
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
        """Acquires a lease that is free or has expired.

        Args:
          name: Name of the lease.
          found: Its row and storage version as read.
          holder: The acquiring instance.
          incarnation: Incarnation of that instance.
          now: Monotonic time in seconds, from before this call.
          orders_wait_s: Seconds for which an order of the previous holder may still
            be in flight.

        Returns:
          The lease, or None after a concurrent change or a lost response.
        """
        previous, version = found
        row = LeaseRow(
            holder=holder,
            incarnation=incarnation,
            fence=previous.fence + 1 if previous else 1,
        )
        new_version = await self._write(name, row, version)
        if new_version is None:
            return None
        orders_allowed_at = now + orders_wait_s if previous else now
        return Lease(
            row=row,
            version=new_version,
            valid_until=now + self.duration_s,
            orders_allowed_at=orders_allowed_at,
        )

    async def renew(self, name: str, lease: Lease, *, now: float) -> bool:
        """Renews a lease; returns False if it is lost or the response was lost."""
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
