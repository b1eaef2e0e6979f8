"""Routing table: the state of each upstream that this instance tracks."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import attrs

from coppercleat.ids import UpstreamId, ZoneId
from coppercleat.routing._health import CircuitBreaker
from coppercleat.storage import Node, NodeRole, NodeState
from coppercleat.upstreams import LoadReport

_REPORTED_DRAINING = "leaving"

_MISSED_REPORTS_TO_FAIL = 3
"""Missed load reports in a row from which each counts as a failure."""

_SMOOTHING_FACTOR = 0.1
"""Weight of the newest response in the averages of times."""

_STALE_TIMES_S = 1.5
"""Seconds without a response after which a faster one replaces the averages: while slow
averages keep requests from being admitted, hardly any response corrects them."""


@attrs.define(kw_only=True, eq=False)
class UpstreamRecord:
    """State of one upstream.

    Times are monotonic seconds of this instance; counts are of its own requests
    unless stated otherwise.

    Attributes:
      node: Entry of the upstream in the platform's node list.
      first_seen: When the upstream was first listed; begins its slow start.
      report: Last load report of the upstream, None before the first.
      reported_at: When the last load report was received.
      missed_reports: Load reports missed since then.
      online: Online requests in flight.
      batch: Batch items in flight.
      peer_online: Online requests of peers in flight, as reported by them.
      last_online_at: When an online request of any instance was last in flight.
      sent_since_report: Online requests sent since the last load report.
      draining: Whether the upstream shuts down and must get no new requests; never
        reset while the upstream stays listed at its address.
      inter_token_s: Smoothed time between tokens in seconds.
      first_token_s: Smoothed time to the first token in seconds.
      responded_at: When the last response ended.
      breaker: Circuit breaker of the upstream.
    """

    node: Node
    first_seen: float
    report: LoadReport | None = None
    reported_at: float = 0.0
    missed_reports: int = 0
    online: int = 0
    batch: int = 0
    peer_online: int = 0
    last_online_at: float = float("-inf")
    sent_since_report: int = 0
    draining: bool = False
    inter_token_s: float = 0.0
    first_token_s: float = 0.0
    responded_at: float = float("-inf")
    breaker: CircuitBreaker = attrs.field(factory=CircuitBreaker)

    @property
    def id(self) -> UpstreamId:
        """Same as ``upstream``, under the name that the crash detector reads."""
        return UpstreamId(self.node.id)

    @property
    def born_ms(self) -> int:
        """Always 0: the node list does not tell when an upstream started."""
        return 0

    @property
    def unlisted(self) -> bool:
        """Always False: a removed record keeps its last list entry."""
        return False

    @property
    def stopping(self) -> bool:
        """Whether the upstream shuts down as planned."""
        return self.draining

    @property
    def restarted(self) -> bool:
        """Always False: the node list does not show restarts."""
        return False

    def was_steady(self, *, began: float, at: float) -> bool:
        """Returns True: the node list does not show the uptime of an upstream."""
        return True

    @property
    def upstream(self) -> UpstreamId:
        """Id of the upstream."""
        return UpstreamId(self.node.id)

    @property
    def zone(self) -> ZoneId:
        """Availability zone of the upstream."""
        return ZoneId(self.node.zone)

    def observe_report(self, report: LoadReport, now: float) -> None:
        """Records a load report of the upstream.

        One that ends a silence shows that the upstream is back, so that a request may
        try it. A report while others arrive says nothing about failed requests.
        """
        if self.report is None or self.missed_reports >= _MISSED_REPORTS_TO_FAIL:
            self.breaker.recovered()
        self.report = report
        self.reported_at = now
        self.missed_reports = 0
        self.sent_since_report = 0
        if report.state == _REPORTED_DRAINING:
            self.draining = True

    def record_missed_report(self, now: float) -> None:
        """Records that the upstream did not answer when asked for its load."""
        self.missed_reports += 1
        if self.missed_reports >= _MISSED_REPORTS_TO_FAIL:
            self.breaker.failed(now)

    def observe_response(
        self, now: float, *, first_token_s: float, inter_token_s: float | None
    ) -> None:
        """Records the times of a complete response.

        Args:
          now: Monotonic time in seconds.
          first_token_s: Time to the first token in seconds.
          inter_token_s: Time between tokens in seconds; None for a single token.
        """
        stale = now - self.responded_at > _STALE_TIMES_S
        self.responded_at = now
        self.first_token_s = _smoothed(self.first_token_s, first_token_s, stale=stale)
        if inter_token_s is not None:
            self.inter_token_s = _smoothed(
                self.inter_token_s, inter_token_s, stale=stale
            )

    def serves(self, version: str) -> bool:
        """Returns whether a version is loaded; True before the first load report."""
        return self.report is None or version in self.report.versions


class RoutingTable:
    """All upstreams that this instance tracks.

    Attributes:
      records: State of each upstream by its id.
    """

    def __init__(self) -> None:
        self.records: dict[UpstreamId, UpstreamRecord] = {}

    def __iter__(self) -> Iterator[UpstreamRecord]:
        return iter(self.records.values())

    def get(self, upstream: UpstreamId) -> UpstreamRecord | None:
        """Returns the record of an upstream, None if it is not tracked."""
        return self.records.get(upstream)

    def observe_list(
        self, nodes: Iterable[Node], now: float
    ) -> tuple[list[UpstreamRecord], list[UpstreamRecord]]:
        """Updates the table from the platform's node list.

        An upstream listed at another address gets a new record.

        Args:
          nodes: Entries of the list, which may be out of date.
          now: Monotonic time in seconds.

        Returns:
          The records that were added and those that were removed.
        """
        listed = {
            UpstreamId(node.id): node
            for node in nodes
            if node.role is not NodeRole.ENTRY
        }
        removed = [
            record
            for upstream, record in self.records.items()
            if listed.get(upstream) is None
            or listed[upstream].address != record.node.address
        ]
        for record in removed:
            del self.records[record.upstream]
        added: list[UpstreamRecord] = []
        for upstream, node in listed.items():
            if upstream not in self.records:
                added.append(UpstreamRecord(node=node, first_seen=now))
                self.records[upstream] = added[-1]
            record = self.records[upstream]
            record.node = node
            record.draining = record.draining or node.state is NodeState.LEAVING
        return added, removed

    def mark_draining(self, upstream: UpstreamId) -> bool:
        """Marks an upstream as draining.

        Returns:
          Whether the upstream is tracked and was not draining before.
        """
        record = self.records.get(upstream)
        if record is None or record.draining:
            return False
        record.draining = True
        return True


def _smoothed(average: float, sample: float, *, stale: bool) -> float:
    """Returns the new average; 0 stands for none so far."""
    if not average or (stale and sample < average):
        return sample
    return average + _SMOOTHING_FACTOR * (sample - average)
