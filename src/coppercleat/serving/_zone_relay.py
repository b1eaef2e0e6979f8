"""Passes on what the instances of a large availability zone tell each other.

Pattern: dozens of instances share the slots of a zone, and each of them starts and ends
a few requests a second. Were each told to all others, an instance would send and read
messages in proportion to the square of the zone's size. Instead each tells two relays,
which send what has changed to all of the zone several times a second. Both pass on
everything, so that one may be lost, and halve the time until a change is known.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

import attrs
import msgspec

from coppercleat.ids import InstanceId, ZoneId
from coppercleat.serving._fleet_order import QueuedWork
from coppercleat.serving._peer_messages import (
    RelayedResults,
    RelayedWork,
    RelayedZoneWork,
    WorkInFlight,
    ZoneRelayed,
    ZoneWorkInFlight,
)
from coppercleat.serving._placement import AttemptResults
from coppercleat.serving._stream_origins import BegunStreams, StreamBatch

RELAY_INTERVAL_S = 0.1
"""Interval between a relay's messages. With two relays a change is known in half of it,
in which the load of an upstream of eight slots changes by about one."""

REFRESH_INTERVAL_S = 0.5
"""The same while nothing has changed and is only to be kept from expiring."""

MAX_RELAYED_ENTRIES = 8
"""Most entries of queued work that are passed on for one instance."""

MAX_RELAYED_ACCOUNTS = 128
"""Most accounts that are named in a relay's message, over all instances: all of them
reach each instance of the zone ten times a second. At 28 instances each may name four,
more than the two slots that each of them holds there."""


@attrs.frozen
class _KnownWork:
    """The newest work in flight of an instance, and when it arrived."""

    incarnation: int
    work: WorkInFlight
    heard_at: float


class ZoneRelay:
    """Collects what one instance passes on; the clock is passed in.

    Attributes:
      on_pending: Called when something is to be passed on within a time in seconds.
    """

    def __init__(self) -> None:
        self.on_pending: Callable[[float], None] = lambda within_s: None
        self._known: dict[InstanceId, _KnownWork] = {}
        self._changed: set[InstanceId] = set()
        self._zones: dict[ZoneId, tuple[float, ZoneWorkInFlight]] = {}
        self._results: dict[InstanceId, list[AttemptResults]] = {}
        self._streams = StreamBatch()

    def is_newer(self, instance: InstanceId, incarnation: int, number: int) -> bool:
        """Returns whether a message is newer than the newest one known."""
        known = self._known.get(instance)
        return known is None or (incarnation, number) > (
            known.incarnation,
            known.work.number,
        )

    def observe(
        self, instance: InstanceId, incarnation: int, work: WorkInFlight, *, now: float
    ) -> None:
        """Records an instance's work, and passes it on if it asks for that."""
        known = self._known.get(instance)
        # Streams add to earlier ones, so that they are passed on apart.
        condensed = msgspec.structs.replace(
            work, waiting=condense(work.waiting), streams=()
        )
        self._known[instance] = _KnownWork(incarnation, condensed, now)
        if work.pass_on:
            self._changed.add(instance)
            is_same = known is not None and _same_state(known.work, condensed)
            self.on_pending(REFRESH_INTERVAL_S if is_same else RELAY_INTERVAL_S)

    def observe_zone(self, work: ZoneWorkInFlight, *, now: float) -> None:
        """Records another zone's work, to be passed on."""
        self._zones[work.zone] = now, msgspec.structs.replace(work, streams=())
        self.on_pending(RELAY_INTERVAL_S)

    def observe_results(
        self, instance: InstanceId, results: Iterable[AttemptResults]
    ) -> None:
        """Records results of an instance's attempts, to be passed on."""
        self._results.setdefault(instance, []).extend(results)
        self.on_pending(REFRESH_INTERVAL_S)

    def observe_streams(self, streams: tuple[BegunStreams, ...]) -> None:
        """Records streams that have begun, to be passed on."""
        if streams:
            self._streams.add(streams)
            self.on_pending(RELAY_INTERVAL_S)

    def forget(self, instance: InstanceId) -> None:
        """Drops what is known of an instance's work."""
        self._known.pop(instance, None)
        self._changed.discard(instance)

    def take(self, *, now: float) -> ZoneRelayed | None:
        """Returns what is to be passed on since the last call; None if nothing is."""
        most = max(1, MAX_RELAYED_ACCOUNTS // max(1, len(self._changed)))
        works = tuple(
            msgspec.structs.replace(one, work=_with_fewer_accounts(one.work, most))
            for one in self._relayed(self._changed, now)
        )
        zones = tuple(
            RelayedZoneWork(now - heard_at, work)
            for heard_at, work in self._zones.values()
        )
        results = tuple(
            RelayedResults(instance, tuple(found))
            for instance, found in self._results.items()
        )
        self._changed, self._zones, self._results = set(), {}, {}
        streams = self._streams.take()
        if not (works or zones or results or streams):
            return None
        return ZoneRelayed(works, zones, results, streams)

    def snapshot(self, *, now: float) -> ZoneRelayed:
        """Returns all known work, for an instance that knows none."""
        return ZoneRelayed(self._relayed(self._known, now), (), ())

    def _relayed(
        self, instances: Iterable[InstanceId], now: float
    ) -> tuple[RelayedWork, ...]:
        return tuple(
            RelayedWork(
                instance,
                self._known[instance].incarnation,
                now - self._known[instance].heard_at,
                self._known[instance].work,
            )
            for instance in instances
        )


def _with_fewer_accounts(work: WorkInFlight, most: int) -> WorkInFlight:
    shorter = work.account_load.shortened(most)
    if shorter is work.account_load:
        return work
    return msgspec.structs.replace(work, account_load=shorter)


def _same_state(one: WorkInFlight, other: WorkInFlight) -> bool:
    """Returns whether two messages differ in rates and due times at most."""
    return one.counts == other.counts and not one.waiting and not other.waiting


def condense(
    waiting: tuple[QueuedWork, ...], most: int = MAX_RELAYED_ENTRIES
) -> tuple[QueuedWork, ...]:
    """Merges neighbours in the queue, so that few entries are left.

    Entries of different ranks or services stay apart; a merged entry is due with the
    first of its parts, so that nothing is passed by.
    """
    groups: dict[tuple[str, int, int, bool], list[QueuedWork]] = {}
    for entry in sorted(waiting, key=lambda one: (one.level, one.due_in_s)):
        group = (entry.service, entry.rank, entry.priority, entry.level > 0)
        groups.setdefault(group, []).append(entry)
    found = []
    for entries in groups.values():
        size = math.ceil(len(entries) / max(1, most // len(groups)))
        for begin in range(0, len(entries), size):
            part = entries[begin : begin + size]
            count = sum(entry.count for entry in part)
            accounts = {entry.account for entry in part}
            account = accounts.pop() if len(accounts) == 1 else None
            found.append(msgspec.structs.replace(part[0], count=count, account=account))
    return tuple(found)
