"""Work in flight that other instances report for each upstream, with running sums."""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from typing import Generic, TypeVar

import msgspec

from coppercleat.ids import UpstreamId


class InFlight(msgspec.Struct, frozen=True, array_like=True):
    """Work in flight of an instance, or of a whole zone, at one upstream.

    Attributes:
      upstream: The upstream.
      online: Number of online requests.
      batch: Number of batch items.
      crash_suspects: See ``UpstreamState``; absent from instances of earlier versions.
    """

    upstream: UpstreamId
    online: int
    batch: int
    crash_suspects: int = 0


_T = TypeVar("_T", bound=Hashable)


class WorkCounts(Generic[_T]):
    """Counts by reporter (an instance or a zone); each report replaces the last one.

    Sums over all reporters are kept up to date, since each placement reads many.
    """

    def __init__(self) -> None:
        self._reported: dict[_T, dict[UpstreamId, InFlight]] = {}
        self._online: dict[UpstreamId, int] = {}
        self._batch: dict[UpstreamId, int] = {}
        self._crash_suspects: dict[UpstreamId, int] = {}
        self._outdated: set[_T] = set()

    def observe(self, reporter: _T, counts: Iterable[InFlight]) -> None:
        """Replaces a reporter's counts."""
        self.forget(reporter)
        reported = {count.upstream: count for count in counts}
        self._reported[reporter] = reported
        for count in reported.values():
            self._add(count, 1)

    def forget(self, reporter: _T) -> None:
        """Drops a reporter's counts."""
        self._outdated.discard(reporter)
        for count in self._reported.pop(reporter, {}).values():
            self._add(count, -1)

    def mark_outdated(self, reporter: _T) -> None:
        """Records that a reporter's counts have not been refreshed for a while."""
        self._outdated.add(reporter)

    def outdated_online(self, upstream: UpstreamId) -> int:
        """Returns the online requests at an upstream by outdated counts."""
        return sum(
            self._reported[reporter][upstream].online
            for reporter in self._outdated
            if upstream in self._reported.get(reporter, {})
        )

    def reporters(self) -> list[_T]:
        """Returns the reporters whose counts are held."""
        return list(self._reported)

    def upstreams_of(self, reporter: _T) -> list[UpstreamId]:
        """Returns the upstreams at which a reporter has work in flight."""
        return list(self._reported.get(reporter, {}))

    def online(self, upstream: UpstreamId) -> int:
        """Returns the online requests of all reporters at an upstream."""
        return self._online.get(upstream, 0)

    def batch(self, upstream: UpstreamId) -> int:
        """Returns the batch items of all reporters at an upstream."""
        return self._batch.get(upstream, 0)

    def crash_suspects(self, upstream: UpstreamId) -> int:
        """Returns the items of all reporters there that may crash it."""
        return self._crash_suspects.get(upstream, 0)

    def load(self, upstream: UpstreamId) -> int:
        """Returns the requests and items of all reporters at an upstream."""
        return self.online(upstream) + self.batch(upstream)

    def batch_by_reporter(self, upstream: UpstreamId) -> dict[_T, int]:
        """Returns the batch items at an upstream by reporter, without zeros."""
        found = {}
        for reporter, counts in self._reported.items():
            count = counts.get(upstream)
            if count is not None and count.batch:
                found[reporter] = count.batch
        return found

    def summed(self) -> dict[UpstreamId, InFlight]:
        """Returns the sums over all reporters by upstream."""
        return {
            upstream: InFlight(
                upstream,
                self.online(upstream),
                self.batch(upstream),
                self.crash_suspects(upstream),
            )
            for upstream in {*self._online, *self._batch}
        }

    def _add(self, count: InFlight, sign: int) -> None:
        for sums, number in (
            (self._online, count.online),
            (self._batch, count.batch),
            (self._crash_suspects, count.crash_suspects),
        ):
            left = sums.get(count.upstream, 0) + sign * number
            if left:
                sums[count.upstream] = left
            else:
                sums.pop(count.upstream, None)
