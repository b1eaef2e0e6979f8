"""Upstreams that a request has tried, and from when it may try them again."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator

from coppercleat.ids import UpstreamId

RETRY_UPSTREAM_AFTER_S = 1.2
"""Seconds after a failed attempt from which its upstream may be tried again: longer
than an ejection for one refused connection."""


class TriedUpstreams(Collection[UpstreamId]):
    """The upstreams that a request must not try now.

    Attributes:
      clock: Returns the time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self._barred_until: dict[UpstreamId, float] = {}

    def __contains__(self, upstream: object) -> bool:
        return upstream in self._barred()

    def __iter__(self) -> Iterator[UpstreamId]:
        return iter(self._barred())

    def __len__(self) -> int:
        return len(self._barred())

    def _barred(self) -> list[UpstreamId]:
        now = self.clock()
        return [u for u, until in self._barred_until.items() if now < until]

    def begin(self, upstream: UpstreamId) -> None:
        """Records that an attempt at an upstream begins."""
        self._barred_until[upstream] = float("inf")

    def end(self, upstream: UpstreamId) -> None:
        """Records that the attempt failed, unless another one is allowed already."""
        if upstream in self._barred_until:
            self._barred_until[upstream] = self.clock() + RETRY_UPSTREAM_AFTER_S

    def discard(self, upstream: UpstreamId) -> None:
        """Allows another attempt at an upstream at once."""
        self._barred_until.pop(upstream, None)

    @property
    def allowed_at(self) -> float:
        """When all of them may be tried again, in seconds; minus infinity for none."""
        return max(self._barred_until.values(), default=float("-inf"))
