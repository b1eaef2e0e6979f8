"""All metrics of an instance, with histograms for each tenant and class."""

from __future__ import annotations

import aioprometheus
from aioprometheus.collectors import Registry

_SECONDS = [
    0.001, 0.0025, 0.005, 0.01, 0.02, 0.035, 0.05, 0.075, 0.1, 0.15, 0.25, 0.5,
    1.0, 2.5, 5.0, 10.0, 30.0, 60.0,
]  # fmt: skip


class Metrics:
    """The instance's collectors; each name begins with ``coppercleat_``.

    Attributes:
      registry: What the metrics page renders.
    """

    def __init__(self) -> None:
        self.registry = Registry()
        self.first_token = self._histogram("first_token_seconds", "Time to first token")
        self.between_tokens = self._histogram(
            "between_tokens_seconds", "Mean time between tokens of a request"
        )
        self.total = self._histogram("total_seconds", "Time from arrival to the end")
        self.queueing = self._histogram(
            "queueing_seconds", "Time from arrival until sent to an upstream"
        )
        self.requests = self._counter("requests_total", "Requests by how they ended")
        self.retries = self._counter("retries_total", "Attempts after the first")
        self.barred = self._counter(
            "barred_requests_total",
            "Requests not sent to an upstream, since upstreams ended under them",
        )
        self.items = self._counter("batch_items_total", "Batch items by how they ended")
        self.commits = self._counter("batch_commits_total", "Chunk commits by outcome")
        self.claims = self._counter("batch_claims_total", "Segment claims by outcome")
        self.yields = self._counter(
            "batch_yields_total", "Batch items cancelled for online requests"
        )
        self.late_jobs = self._gauge("batch_late_jobs", "Open jobs forecast to be late")
        self.garbage = self._counter(
            "peer_garbage_total", "Peer messages dropped, by reason"
        )
        self.peer_bytes = self._gauge("peer_bytes", "Bytes to and from peers so far")
        self.members = self._gauge("members_alive", "Instances thought alive")
        self.revision = self._gauge("configuration_revision", "Revision in force")
        self.platform = self._counter(
            "platform_calls_total", "Platform calls, answered or not"
        )
        self.platform_drops = self._counter(
            "platform_connections_dropped_total",
            "Connections to the platform closed before their time, by reason",
        )
        self.in_flight = self._gauge("in_flight", "Requests in flight")
        self.drift = self._gauge(
            "deployment_drift", "Runners whose versions differ from what is wanted"
        )

    def _histogram(self, name: str, doc: str) -> aioprometheus.Histogram:
        return aioprometheus.Histogram(
            f"coppercleat_{name}", doc, registry=self.registry, buckets=_SECONDS
        )

    def _counter(self, name: str, doc: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(f"coppercleat_{name}", doc, registry=self.registry)

    def _gauge(self, name: str, doc: str) -> aioprometheus.Gauge:
        return aioprometheus.Gauge(f"coppercleat_{name}", doc, registry=self.registry)
