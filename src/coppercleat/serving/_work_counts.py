"""What other instances have in flight at each upstream, with sums kept up to date."""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from typing import Generic, TypeVar

import msgspec

from coppercleat.ids import UpstreamId


class InFlight(msgspec.Struct, frozen=True, array_like=True):
    """What an instance, or a whole availability zone, has in flight at an upstream."""

    upstream: UpstreamId
    online: int
    batch: int


_T = TypeVar("_T", bound=Hashable)


class WorkCounts(Generic[_T]):
    """Counts by who told them; what somebody tells replaces what it told before.

    Sums are kept, not computed: they are asked for many times with each placement.
    """

    def __init__(self) -> None:
        self._told: dict[_T, dict[UpstreamId, InFlight]] = {}
        self._online: dict[UpstreamId, int] = {}
        self._batch: dict[UpstreamId, int] = {}

    def observe(self, teller: _T, counts: Iterable[InFlight]) -> None:
        """Takes all that a teller has in flight."""
        self.forget(teller)
        told = {count.upstream: count for count in counts}
        self._told[teller] = told
        for count in told.values():
            self._add(count, 1)

    def forget(self, teller: _T) -> None:
        """Drops what a teller has told."""
        for count in self._told.pop(teller, {}).values():
            self._add(count, -1)

    def reporters(self) -> list[_T]:
        """Returns whose counts are held."""
        return list(self._told)

    def upstreams_of(self, teller: _T) -> list[UpstreamId]:
        """Returns the upstreams at which a teller has something in flight."""
        return list(self._told.get(teller, {}))

    def online(self, upstream: UpstreamId) -> int:
        """Returns online requests in flight at an upstream, of all tellers."""
        return self._online.get(upstream, 0)

    def batch(self, upstream: UpstreamId) -> int:
        """Returns batch items in flight at an upstream, of all tellers."""
        return self._batch.get(upstream, 0)

    def load(self, upstream: UpstreamId) -> int:
        """Returns all that is in flight at an upstream, of all tellers."""
        return self.online(upstream) + self.batch(upstream)

    def batch_by_teller(self, upstream: UpstreamId) -> dict[_T, int]:
        """Returns how many batch items each teller has at an upstream."""
        found = {}
        for teller, counts in self._told.items():
            count = counts.get(upstream)
            if count is not None and count.batch:
                found[teller] = count.batch
        return found

    def summed(self) -> dict[UpstreamId, InFlight]:
        """Returns what all tellers together have in flight, by upstream."""
        return {
            upstream: InFlight(upstream, self.online(upstream), self.batch(upstream))
            for upstream in {*self._online, *self._batch}
        }

    def _add(self, count: InFlight, sign: int) -> None:
        for sums, number in (
            (self._online, count.online),
            (self._batch, count.batch),
        ):
            left = sums.get(count.upstream, 0) + sign * number
            if left:
                sums[count.upstream] = left
            else:
                sums.pop(count.upstream, None)
