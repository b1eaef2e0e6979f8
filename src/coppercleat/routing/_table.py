"""What this instance knows of each upstream."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import attrs

from coppercleat.ids import UpstreamId, ZoneId
from coppercleat.routing._health import Health
from coppercleat.storage import Node, NodeRole, NodeState
from coppercleat.upstreams import LoadReport

_LEAVING = "leaving"


@attrs.define(kw_only=True, eq=False)
class UpstreamRecord:
    """One upstream as this instance sees it.

    Attributes:
      node: Its line of the platform's list.
      report: Its own last report, None before the first.
      reported_at: When the report came, on this instance's clock.
      first_seen: When the upstream was first listed, for slow start.
      online: Online requests of this instance in flight.
      batch: Batch items of this instance in flight.
      peer_online: Online requests in flight that peers have told of.
      online_at: When an online request, of any instance, was last known there.
      sent_since_report: Online requests sent since the last report.
      leaving: Set by the first sign that it leaves; never taken back while
        the same upstream is listed.
      token_s: Smoothed seconds between tokens.
      first_token_s: Smoothed seconds to the first token.
    """

    node: Node
    first_seen: float
    report: LoadReport | None = None
    reported_at: float = 0.0
    online: int = 0
    batch: int = 0
    peer_online: int = 0
    online_at: float = float("-inf")
    sent_since_report: int = 0
    leaving: bool = False
    token_s: float = 0.0
    first_token_s: float = 0.0
    health: Health = attrs.field(factory=Health)

    @property
    def id(self) -> UpstreamId:
        """The upstream's id."""
        return UpstreamId(self.node.id)

    @property
    def born_ms(self) -> int:
        """Which life it is is unknown: the list does not tell."""
        return 0

    @property
    def unlisted(self) -> bool:
        """Whether it is no longer listed; its last record does not tell."""
        return False

    @property
    def stopping(self) -> bool:
        """Whether it leaves as planned."""
        return self.leaving

    @property
    def restarted(self) -> bool:
        """Whether it is another life than before: the list does not tell."""
        return False

    def was_steady(self, *, began: float, at: float) -> bool:
        """Whether it had lived for a while: it counts as steady, always."""
        return True

    @property
    def upstream(self) -> UpstreamId:
        """The upstream's id."""
        return UpstreamId(self.node.id)

    @property
    def zone(self) -> ZoneId:
        """The upstream's availability zone."""
        return ZoneId(self.node.zone)

    def observe_report(self, report: LoadReport, now: float) -> None:
        """Takes the upstream's own report."""
        self.report = report
        self.reported_at = now
        self.sent_since_report = 0
        if report.state == _LEAVING:
            self.leaving = True

    def serves(self, version: str) -> bool:
        """Whether the version is loaded, as far as is known."""
        return self.report is None or version in self.report.versions


class RoutingTable:
    """All upstreams that this instance follows.

    Attributes:
      records: By upstream id.
    """

    def __init__(self) -> None:
        self.records: dict[UpstreamId, UpstreamRecord] = {}

    def __iter__(self) -> Iterator[UpstreamRecord]:
        return iter(self.records.values())

    def get(self, upstream: UpstreamId) -> UpstreamRecord | None:
        """Returns the record of an upstream, if it is known."""
        return self.records.get(upstream)

    def observe_list(
        self, nodes: Iterable[Node], now: float
    ) -> tuple[list[UpstreamRecord], list[UpstreamRecord]]:
        """Takes the platform's list, which lags.

        Returns:
          The records that are new and those that are gone.
        """
        listed = {
            UpstreamId(node.id): node
            for node in nodes
            if node.role is not NodeRole.ENTRY
        }
        gone = [
            record
            for upstream, record in self.records.items()
            if listed.get(upstream) is None
            or listed[upstream].address != record.node.address
        ]
        for record in gone:
            del self.records[record.upstream]
        added: list[UpstreamRecord] = []
        for upstream, node in listed.items():
            if upstream not in self.records:
                added.append(UpstreamRecord(node=node, first_seen=now))
                self.records[upstream] = added[-1]
            record = self.records[upstream]
            record.node = node
            record.leaving = record.leaving or node.state is NodeState.LEAVING
        return added, gone

    def mark_leaving(self, upstream: UpstreamId) -> bool:
        """Takes a sign that an upstream leaves; returns whether it is news."""
        record = self.records.get(upstream)
        if record is None or record.leaving:
            return False
        record.leaving = True
        return True
