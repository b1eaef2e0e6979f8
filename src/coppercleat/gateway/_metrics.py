"""Counters and latency histograms of a gateway instance."""

from __future__ import annotations

from collections.abc import Iterable

import aioprometheus
from aioprometheus.collectors import Registry

from coppercleat.serving import AccountSlots, RequestSummary

_SECONDS = [
    0.01, 0.02, 0.035, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1.0, 2.0, 5.0, 10.0,
]  # fmt: skip

EXPORTED_ACCOUNTS = 8
"""Accounts whose slots are exported: each is a time series of its own, and only those
with most slots can be beyond their share."""


class GatewayMetrics:
    """The instance's collectors; each name begins with ``coppercleat_``.

    Attributes:
      registry: What the metrics page renders.
    """

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = self._counter("requests_total", "Requests by how they ended")
        self.rejected = self._counter(
            "rejected_total", "Requests rejected for their key or allowance, by reason"
        )
        self.tries = self._counter("tries_total", "Upstreams asked for requests")
        self.taken_up = self._counter(
            "streams_taken_up_total",
            "Streams that clients take up, by whether it is known what began them",
        )
        self.first_event = self._seconds(
            "first_event_seconds", "Time from arrival to the first part of the answer"
        )
        self.waited = self._seconds(
            "waited_seconds", "Time for which a request waited for a slot"
        )
        self.total = self._seconds("total_seconds", "Time from arrival to the end")
        self.items = self._counter("item_runs_total", "Runs of items by how they ended")
        self.silent_runs = self._counter(
            "silent_runs_total", "Runs that were given up or left while unheard"
        )
        self.commits = self._counter("commits_total", "Commits of jobs by outcome")
        self.jobs = self._counter("jobs_total", "Submitted jobs by answer")
        self.store_calls = self._counter(
            "store_calls_total", "Calls to the platform's store, answered or not"
        )
        self.store_seconds = self._seconds(
            "store_call_seconds",
            "Time of a call to the platform's store, answered or not",
        )
        self.store_drops = self._counter(
            "store_connections_dropped_total",
            "Connections to the store closed before their time, by reason",
        )
        self.links_reopened = self._counter(
            "links_reopened_total", "Links to other instances that were opened anew"
        )
        self.links_mended = self._counter(
            "links_mended_total", "Links opened anew that were answered again"
        )
        self.links_silent = self._gauge(
            "links_silent", "Links to other instances that are not answered"
        )
        self.peers_silent = self._counter(
            "peers_silent_total", "Times that a peer's work in flight was dropped"
        )
        self.garbage = self._counter(
            "peer_garbage_total", "Peer messages dropped, by reason"
        )
        self.unknown_runs = self._gauge(
            "unknown_runs", "Runs that upstreams report and no instance has told of"
        )
        self.barred = self._counter(
            "barred_requests_total",
            "Requests not sent to an upstream, since upstreams ended under them",
        )
        self.quarantined = self._gauge(
            "quarantined_requests", "Requests that are kept from running"
        )
        self.in_flight = self._gauge("in_flight", "Clients' calls in flight")
        self.standstill = self._gauge(
            "standstill_seconds", "Longest time for which this process stood still"
        )
        self.startup_objects = self._gauge(
            "startup_objects", "Objects that garbage collection leaves out"
        )
        self.waiting = self._gauge("waiting", "Online requests that wait for a slot")
        self.account_slots = self._gauge(
            "account_slots",
            "Slots that an account's online requests hold in the fleet, as far as told "
            "here; the accounts with most",
        )
        self.over_share = self._counter(
            "over_share_total", "Requests queued beyond their account's share of slots"
        )
        self.shed = self._counter(
            "shed_total", "Requests refused since slots are short, by where"
        )
        self.retry_after = self._seconds(
            "retry_after_seconds", "Time after which shed requests may be sent again"
        )
        self.late_items = self._gauge(
            "late_items", "Waiting items that cannot be done by their job's due time"
        )
        self.route_version = self._gauge("route_version", "Version of the routes")
        self.peers = self._gauge("peers_heard", "Other instances that are heard of")
        self.barred_items = self._gauge(
            "items_kept_from_running",
            "Items kept back, since upstreams ended under them",
        )
        self.barred_item_seconds = self._gauge(
            "items_kept_from_running_seconds",
            "Longest time that one has been kept back",
        )
        self.owned_jobs = self._gauge("owned_jobs", "Jobs that this instance runs")
        self.late_jobs = self._gauge("late_jobs", "Owned jobs past their due time")

    def request_ended(self, end: RequestSummary) -> None:
        """Counts a request that has ended."""
        route = {"route": end.route}
        self.requests.inc({**route, "outcome": end.outcome})
        self.tries.add(route, end.tries)
        self.waited.observe(route, end.waited_s)
        self.total.observe(route, end.total_s)
        if end.first_s is not None:
            self.first_event.observe(route, end.first_s)

    def set_account_slots(self, found: Iterable[AccountSlots]) -> None:
        """Replaces the accounts with most slots; the others' series end."""
        self.account_slots.values.clear()
        for one in list(found)[:EXPORTED_ACCOUNTS]:
            self.account_slots.set({"account": one.account}, one.online)

    def request_over_share(self) -> None:
        """Counts a request that was queued beyond its account's share."""
        self.over_share.inc({})

    def request_shed(self, at: str) -> None:
        """Counts a request that was refused since slots are short.

        Args:
          at: ``entry``, or ``queue`` for one that had been queued.
        """
        self.shed.inc({"at": at})

    def retry_told(self, retry_after_s: float) -> None:
        """Records the seconds after which a shed request may be sent again."""
        self.retry_after.observe({}, retry_after_s)

    def stream_taken_up(self, origin: str) -> None:
        """Counts a stream that a client takes up here."""
        self.taken_up.inc({"origin": origin})

    def request_barred(self, standing: str) -> None:
        """Counts a request or item that was not sent to an upstream."""
        self.barred.inc({"standing": standing})

    def item_run_ended(self, outcome: str) -> None:
        """Counts a run of an item."""
        self.items.inc({"outcome": outcome})

    def run_silent(self, kind: str, ended: str) -> None:
        """Counts a run that was given up as silent, or left while unheard."""
        self.silent_runs.inc({"kind": kind, "ended": ended})

    def committed(self, outcome: str) -> None:
        """Counts a commit."""
        self.commits.inc({"outcome": outcome})

    def store_called(self, answered: bool, seconds: float) -> None:
        """Counts a call to the store, and how long it took."""
        labels = {"answered": str(answered).lower()}
        self.store_calls.inc(labels)
        self.store_seconds.observe(labels, seconds)

    def store_dropped(self, reason: str, count: int) -> None:
        """Counts connections to the store that were closed before their time."""
        if count:
            self.store_drops.add({"reason": reason}, count)

    def _counter(self, name: str, doc: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(f"coppercleat_{name}", doc, registry=self.registry)

    def _seconds(self, name: str, doc: str) -> aioprometheus.Histogram:
        return aioprometheus.Histogram(
            f"coppercleat_{name}", doc, registry=self.registry, buckets=_SECONDS
        )

    def _gauge(self, name: str, doc: str) -> aioprometheus.Gauge:
        return aioprometheus.Gauge(f"coppercleat_{name}", doc, registry=self.registry)
