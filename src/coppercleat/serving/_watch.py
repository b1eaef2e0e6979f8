"""Keeps routes, upstreams and live instances up to date, by polling and from peers."""

from __future__ import annotations

import collections
import contextlib
import random
from collections.abc import Callable
from typing import Protocol

import attrs
import msgspec
import trio

from coppercleat.accounts import StoredUse
from coppercleat.errors import CoppercleatError, PlatformUnavailableError
from coppercleat.ids import InstanceId, UpstreamId, ZoneId
from coppercleat.observability import part_logger
from coppercleat.quarantine import QuarantineRecord
from coppercleat.serving._model import RouteConfig, RouteTable, Upstream
from coppercleat.serving._pauses import (
    FEW_INSTANCES,
    POLL_JITTER,
    full_read_interval_s,
    instances_read_interval_s,
    lease_s,
    outage_s,
    renewal_interval_s,
    retry_interval_s,
    routes_poll_interval_s,
    upstreams_poll_interval_s,
)
from coppercleat.serving._peer_messages import RoutesSnapshot
from coppercleat.serving._placement import Placement
from coppercleat.serving._settings import GatewaySettings
from coppercleat.storage import (
    ABSENT,
    AnswerLostError,
    Check,
    Platform,
    Put,
    Row,
    Transaction,
    TransactionRefused,
    decode_row,
)

STARTUP_S = 3.0
"""Seconds after its start for which an instance polls more often."""

STARTUP_INTERVAL_SCALE = 0.3
"""Factor on the poll intervals meanwhile: after a restart of the whole fleet, jobs have
no owner until the other instances' new rows are seen."""

LEASE_MARGIN_S = 0.5
"""Seconds before the end of its lease at which an instance stops relying on it."""

LEAVE_TIMEOUT_S = 1.0
"""Time limit for announcing the shutdown, in seconds; without it the lease expires."""

_OUTAGE_GRACE_S = 1.8
"""Seconds for which an upstream that is missing from the list after an outage of the
store is kept; the platform relists upstreams within about two seconds."""

_MASS_LOSS_SHARE = 0.5
"""Share of the upstreams that must be missing at once for the list to be doubted."""

_MASS_LOSS_GRACE_S = 1.0
"""Seconds for which they are kept; shorter than the time after which an upstream that
has really left must get no new requests."""

_STALE_S = 1.0
"""Age in seconds from which routes and upstreams count as stale."""

_MAX_RENEWAL_ATTEMPTS = 3

_RETRY_LOST_WITHIN_S = 1.0
"""A renewal whose reply is lost within this time, in seconds, failed by a dead
connection and is retried at once; otherwise the store is slow or unreachable."""

_INSTANCE_PREFIX = "instance/"
_KEPT_RENEWALS = 64
"""Own renewals whose times are kept: more than fit between two reads of the rows."""

_INSTANCES = "instances"
"""Name of the poll of the instances' rows."""

_log = part_logger("watch")


class Catalogue(Protocol):
    """Reads what the operator and the upstreams have written to the platform."""

    async def read_routes(self, *, full: bool = True) -> RouteConfig | None:
        """Returns the newest version of the routes, None if there is none yet.

        Args:
          full: Whether to read them even if no change of them is shown.
        """
        ...

    async def read_upstreams(self, *, full: bool = True) -> list[Upstream]:
        """Returns all listed upstreams.

        Args:
          full: Whether to read all of them instead of those that have changed.
        """
        ...


class InstanceRow(msgspec.Struct, frozen=True, kw_only=True):
    """Row by which an instance holds its lease; each renewal increments its version.

    Attributes:
      boot: Identifies one start of the instance.
      peers: ``IP:PORT`` that receives messages of other instances.
      zone: Availability zone of the instance.
      leaving: Whether the instance is shutting down.
      quarantined: Quarantined requests that this instance stores.
      accounts: What a restart must not forget of accounts' allowances.
    """

    boot: str
    peers: str
    zone: ZoneId
    leaving: bool = False
    quarantined: tuple[QuarantineRecord, ...] = ()
    accounts: StoredUse = StoredUse()


class UpstreamList:
    """Keeps upstreams for a while that a doubtful list does not show."""

    def __init__(self) -> None:
        self._known: dict[UpstreamId, Upstream] = {}
        self._kept_until: dict[UpstreamId, float] = {}

    def observe(
        self, listed: list[Upstream], *, after_outage: bool, now: float
    ) -> list[Upstream]:
        """Returns the upstreams to use, given a list that has just been read.

        Args:
          listed: Upstreams that the platform lists.
          after_outage: Whether this is the first read after an outage of the store.
          now: Seconds on this instance's clock.
        """
        current = {upstream.id: upstream for upstream in listed}
        addresses = {upstream.address for upstream in listed}
        missing = [u for i, u in self._known.items() if i not in current]
        many = len(missing) > _MASS_LOSS_SHARE * max(1, len(self._known))
        for upstream in missing:
            if (after_outage or many) and upstream.id not in self._kept_until:
                grace_s = _OUTAGE_GRACE_S if after_outage else _MASS_LOSS_GRACE_S
                self._kept_until[upstream.id] = now + grace_s
            kept = now < self._kept_until.get(upstream.id, now)
            if kept and upstream.address not in addresses:
                current[upstream.id] = upstream
        for known in list(self._kept_until):
            if known not in current or any(u.id == known for u in listed):
                del self._kept_until[known]
        self._known = current
        return list(current.values())


@attrs.define
class _SeenRow:
    """Another instance's row, and when it was last seen to change.

    Attributes:
      row: The row.
      version: Version of the row.
      changed_at: Time of the read that showed the change, in seconds of this
        instance's clock; later by the outages since that are excused.
      excused: Whether an outage has been excused since that change.
    """

    row: InstanceRow
    version: int
    changed_at: float
    excused: bool = False

    def excuse_outage(self, outage_s: float, now: float) -> None:
        """Excuses an outage, during which the instance could not renew either.

        After the first one since the row's last change, the instance has a whole lease
        to renew. Later ones excuse their own time only: a row that stands still between
        outages is that of a dead instance.

        Args:
          outage_s: Seconds between the reads before and after the outage.
          now: Seconds on this instance's clock.
        """
        self.changed_at = self.changed_at + outage_s if self.excused else now
        self.excused = True


class Watch:
    """Follows routes, upstreams and instances, and holds this instance's lease.

    Attributes:
      settings: Settings of this instance.
      catalogue: Source of routes and upstreams.
      platform: Store of the instances' rows.
      placement: Receives the list of upstreams.
      boot: Identifies this start of the instance.
      rng: Source of jitter for the poll intervals.
      table: The routes in force; None until some are known.
      upstreams_loaded: Whether a list of upstreams has come from the store or a peer.
      on_members: Called with id, peer address and zone of the other instances.
      quarantine_records: Returns the quarantined requests to store in the own row.
      is_settled: Returns whether the members that are heard are those whose rows are
        alive; then the rows are read less often in a large fleet.
      on_quarantine_records: Called with the quarantined requests in any row, that of
        an earlier start of this instance included.
      account_use: Returns the use of accounts to store in the own row.
      on_own_account_use: Called once with what an earlier start of this instance has
        stored, nothing if there was none.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        catalogue: Catalogue,
        platform: Platform,
        placement: Placement,
        *,
        boot: str,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.catalogue = catalogue
        self.platform = platform
        self.placement = placement
        self.boot = boot
        self.rng = rng
        self.table: RouteTable | None = None
        self.upstreams_loaded = False
        self.on_members: Callable[[list[tuple[InstanceId, str, ZoneId]]], None] = (
            lambda members: None
        )
        self.quarantine_records: Callable[[], tuple[QuarantineRecord, ...]] = tuple
        self.on_quarantine_records: Callable[[tuple[QuarantineRecord, ...]], None] = (
            lambda kept: None
        )
        self.account_use: Callable[[], StoredUse] = StoredUse
        self.on_own_account_use: Callable[[StoredUse], None] = lambda stored: None
        self.is_settled: Callable[[set[InstanceId]], bool] = lambda live: False
        self._list = UpstreamList()
        self._upstreams: tuple[Upstream, ...] = ()
        self._upstreams_at = float("-inf")
        self._upstreams_read_until = float("-inf")
        self._routes_read_at = float("-inf")
        self._renewed_at = float("-inf")
        self._instances_read_at = float("-inf")
        self._instances_read_until = float("-inf")
        self._rows_unneeded_at = float("-inf")
        self._reads_rarely = False
        self._seeks_owner = False
        self._own_renewals: collections.deque[tuple[int, float]] = collections.deque(
            maxlen=_KEPT_RENEWALS
        )
        self._full_reads: dict[str, float] = {}
        self._own_version = ABSENT
        self._instances: dict[InstanceId, _SeenRow] = {}
        self._undecodable: dict[InstanceId, int] = {}
        self._leaving = False
        self._unreachable = False
        self._reached_at = float("-inf")
        self._failing: set[str] = set()

    # Queries.

    @property
    def version(self) -> int:
        """The version of the routes in force, 0 for none."""
        return self.table.config.version if self.table else 0

    @property
    def ready(self) -> bool:
        """Whether requests can be served."""
        return self.table is not None and self.upstreams_loaded

    def holds_lease(self) -> bool:
        """Returns whether this instance's lease is valid, with a safety margin."""
        lasts_s = lease_s(self.settings, self.instances) - LEASE_MARGIN_S
        return trio.current_time() - self._renewed_at < lasts_s

    @property
    def instances(self) -> int:
        """Number of instances with a row at the last read, this one included."""
        return len(self._instances) + 1

    @property
    def has_live_peers(self) -> bool:
        """Whether other instances that are not leaving had a row at the last read."""
        return any(not seen.row.leaving for seen in self._instances.values())

    def routes_age_s(self) -> float:
        """Returns the seconds since the routes were last read from the store."""
        return trio.current_time() - self._routes_read_at

    def needs_routes(self) -> bool:
        """Returns whether routes or upstreams are stale."""
        now = trio.current_time()
        return now - min(self._upstreams_at, self._routes_read_at) > _STALE_S

    def is_owner_alive(self, owner: str, *, since: float) -> bool:
        """Returns whether the owner of a job is alive.

        An owner writes its row before it takes over a job. Hence one without a row is
        dead if the rows were read after its name was first seen.

        Args:
          owner: Name of the owner; see ``owner_name``.
          since: When the name was first seen, in seconds of this instance's clock.
        """
        if owner == self.owner_name:
            return True
        instance, _, boot = owner.rpartition("/")
        seen = self._instances.get(InstanceId(instance))
        if seen is None or seen.row.boot != boot:
            is_unread = self._instances_read_at <= since
            self._seeks_owner = self._seeks_owner or is_unread
            return is_unread
        if seen.row.leaving:
            return False
        # As of the last read: no lease expires while the store cannot be read.
        unchanged_s = self._instances_read_at - seen.changed_at
        return unchanged_s < lease_s(self.settings, self.instances)

    @property
    def owner_name(self) -> str:
        """Name of this start of the instance as an owner of jobs."""
        return f"{self.settings.instance}/{self.boot}"

    def live_instances(self) -> list[str]:
        """Returns the owner names of all live instances, this one included."""
        now = trio.current_time()
        names = [f"{i}/{s.row.boot}" for i, s in self._instances.items()]
        return [
            self.owner_name,
            *(n for n in names if self.is_owner_alive(n, since=now)),
        ]

    def routes_snapshot(self, after: int) -> RoutesSnapshot | None:
        """Returns the snapshot for a peer that asks, None if no routes are known.

        Args:
          after: Version of the routes that the peer has.
        """
        if self.table is None:
            return None
        config = self.table.config if self.version > after else None
        age = trio.current_time() - self._upstreams_at
        return RoutesSnapshot(config, self._upstreams, min(age, 1e9))

    def adopt_routes_snapshot(self, routes_snapshot: RoutesSnapshot) -> None:
        """Adopts a peer's routes and upstreams if they are newer."""
        if routes_snapshot.config is not None:
            self._adopt(routes_snapshot.config, source="a peer")
        read_at = trio.current_time() - routes_snapshot.upstreams_age_s
        if routes_snapshot.upstreams and read_at > self._upstreams_at + _STALE_S:
            self._use(list(routes_snapshot.upstreams), after_outage=False)
            self._upstreams_at = read_at
            self._upstreams_read_until = max(self._upstreams_read_until, read_at)

    # Polling.

    async def run(self) -> None:
        """Polls the store until cancelled."""
        async with trio.open_nursery() as nursery:
            for name, poll, interval_of in (
                ("routes", self._poll_routes, routes_poll_interval_s),
                ("upstreams", self._poll_upstreams, upstreams_poll_interval_s),
                ("renewal", self._renew, renewal_interval_s),
                (_INSTANCES, self._poll_instances, renewal_interval_s),
            ):
                nursery.start_soon(self._poll_forever, name, poll, interval_of)

    async def _poll_forever(
        self, name: str, poll: Callable, interval_of: Callable[..., float]
    ) -> None:
        began = trio.current_time()
        failures = 0
        while True:
            asked_at = trio.current_time()
            if name == _INSTANCES and not self._needs_rows(asked_at):
                self._rows_unneeded_at = asked_at
                await trio.sleep(self._interval_s(interval_of, began, 0))
                continue
            try:
                await poll()
                failures = 0
                self._record_success(name)
            except CoppercleatError as error:
                failures += 1
                self._record_failure(name, asked_at=asked_at, reason=str(error))
            await trio.sleep(self._interval_s(interval_of, began, failures))

    def _interval_s(
        self, interval_of: Callable[..., float], began: float, failures: int
    ) -> float:
        starting = trio.current_time() - began < STARTUP_S
        scale = STARTUP_INTERVAL_SCALE if starting else 1.0
        interval_s = interval_of(self.settings, self.instances, scale=scale)
        interval_s = retry_interval_s(interval_s, failures)
        return interval_s * self.rng.uniform(*POLL_JITTER)

    def _needs_rows(self, now: float) -> bool:
        """Returns whether the instances' rows must be read now.

        In a large fleet they need not while the members that are heard are those whose
        rows are alive. Other polls show meanwhile that the store is reached.
        """
        interval_s = instances_read_interval_s(self.settings, self.instances)
        is_recent = now - self._instances_read_at < interval_s
        is_reached = now - self._reached_at <= outage_s(self.settings, self.instances)
        if self._seeks_owner or _INSTANCES in self._failing:
            return True
        if not (is_recent and is_reached) or self.instances <= FEW_INSTANCES:
            return True
        live = {i for i in self._instances if self._is_row_alive(i)}
        return not self.is_settled(live)

    def _is_row_alive(self, instance: InstanceId) -> bool:
        boot = self._instances[instance].row.boot
        return self.is_owner_alive(f"{instance}/{boot}", since=float("-inf"))

    def _is_full_read(self, poll: str, bound_s: float) -> bool:
        """Returns whether a poll is to read everything, and notes that it does."""
        now = trio.current_time()
        interval_s = full_read_interval_s(bound_s, self.instances)
        is_due = now - self._full_reads.get(poll, float("-inf")) >= interval_s
        if is_due or poll in self._failing:
            self._full_reads[poll] = now
            return True
        return False

    def _record_success(self, poll: str) -> None:
        self._reached_at = trio.current_time()
        if poll in self._failing:
            self._failing.remove(poll)
            _log.info("Poll succeeded again.", poll=poll)
        if self._unreachable:
            self._unreachable = False
            _log.info("The store is back.")

    def _record_failure(self, poll: str, *, asked_at: float, reason: str) -> None:
        """Records a failed poll; the store may still answer polls of other kinds."""
        if poll not in self._failing:
            self._failing.add(poll)
            _log.info("Poll failed.", poll=poll, reason=reason)
        if not self._unreachable and self._reached_at < asked_at:
            self._unreachable = True
            _log.warning("The store is away.", reason=reason)

    async def _poll_routes(self) -> None:
        full = self._is_full_read("routes", self.settings.apply_s)
        config = await self.catalogue.read_routes(full=full)
        self._routes_read_at = trio.current_time()
        if config is not None:
            self._adopt(config, source="the store")

    def _adopt(self, config: RouteConfig, *, source: str) -> None:
        if config.version <= self.version:
            return
        self.table = RouteTable(config)
        _log.info(
            "Routes adopted.",
            version=config.version,
            routes=len(config.routes),
            source=source,
        )

    async def _poll_upstreams(self) -> None:
        began = trio.current_time()
        after_outage = began - self._upstreams_read_until > 2 * _STALE_S
        full = self._is_full_read("upstreams", self.settings.drain_s)
        listed = await self.catalogue.read_upstreams(full=full)
        self._use(listed, after_outage=after_outage)
        # The list is as old as the read's beginning, also for peers.
        self._upstreams_at = began
        self._upstreams_read_until = trio.current_time()

    def _use(self, listed: list[Upstream], *, after_outage: bool) -> None:
        now = trio.current_time()
        used = self._list.observe(listed, after_outage=after_outage, now=now)
        before = set(self.placement.states)
        gone = self.placement.replace(used, now=now)
        for upstream in used:
            if upstream.id not in before:
                _log.info(
                    "Upstream listed.",
                    upstream=upstream.id,
                    zone=upstream.zone,
                    born_ms=upstream.born_ms,
                    version=upstream.version,
                )
        for upstream_id in gone:
            _log.info("Upstream no longer listed.", upstream=upstream_id)
        self._upstreams = tuple(used)
        self.upstreams_loaded = True

    async def _renew(self) -> None:
        """Renews the own row, on condition that its version is the last known one."""
        key = _INSTANCE_PREFIX + self.settings.instance
        lost = False
        for _ in range(_MAX_RENEWAL_ATTEMPTS):
            began = trio.current_time()
            renewal = Transaction(
                checks=[Check(key, self._own_version)],
                puts=[Put(key, msgspec.json.encode(self._own_row()))],
            )
            try:
                reply = await self.platform.transact(renewal)
            except AnswerLostError:
                if lost or trio.current_time() - began > _RETRY_LOST_WITHIN_S:
                    raise
                # The retry has the same condition: at most one of the two succeeds.
                lost = True
                continue
            if not isinstance(reply, TransactionRefused):
                self._own_version = reply[key]
                self._renewed_at = began
                self._own_renewals.append((reply[key], trio.current_time()))
                self.on_own_account_use(StoredUse())
                return
            # Written by an earlier start, or by a renewal whose reply was lost.
            rows = await self.platform.read([key])
            self._own_version = rows[key].version if key in rows else ABSENT
            if key in rows:
                self._restore_own_row(rows[key])
        raise PlatformUnavailableError("The own row was changed concurrently")

    def _own_row(self) -> InstanceRow:
        return InstanceRow(
            boot=self.boot,
            peers=self.settings.peers,
            zone=self.settings.zone,
            leaving=self._leaving,
            quarantined=self.quarantine_records(),
            accounts=self.account_use(),
        )

    def _restore_own_row(self, row: Row) -> None:
        """Restores what an earlier start has stored, if it can be decoded."""
        with contextlib.suppress(PlatformUnavailableError):
            stored = decode_row(row, InstanceRow)
            self.on_quarantine_records(stored.quarantined)
            self.on_own_account_use(stored.accounts)

    def _observe_row(self, instance: InstanceId, row: Row, now: float) -> None:
        """Records another instance's row; one that cannot be decoded is logged once."""
        try:
            decoded = decode_row(row, InstanceRow)
        except PlatformUnavailableError as error:
            if self._undecodable.get(instance) != row.version:
                self._undecodable[instance] = row.version
                _log.error(
                    "Cannot decode an instance's row.",
                    instance=instance,
                    version=row.version,
                    reason=str(error),
                )
            return
        self._instances[instance] = _SeenRow(
            decoded, row.version, self._written_by(row.version, now)
        )
        if decoded.quarantined:
            self.on_quarantine_records(decoded.quarantined)

    def _written_by(self, version: int, now: float) -> float:
        """Returns a time by which a row that was just read had been written.

        Versions increase with each transaction, so that a row with a lower one than an
        own renewal was written before it. That matters where rows are read rarely.
        """
        if not self._reads_rarely:
            return now
        later = (at for renewed, at in self._own_renewals if renewed > version)
        return min(later, default=now)

    async def leave(self) -> None:
        """Announces the shutdown, so that the others need not await the lease's end."""
        self._leaving = True
        try:
            with trio.move_on_after(LEAVE_TIMEOUT_S):
                await self._renew()
        except CoppercleatError as error:
            _log.warning("Cannot announce the shutdown.", reason=str(error))

    async def _poll_instances(self) -> None:
        began = trio.current_time()
        rows = await self.platform.scan(_INSTANCE_PREFIX)
        now = trio.current_time()
        # Only the time between two reads: a slow read shows whether rows have changed.
        last_at = max(self._instances_read_until, self._rows_unneeded_at)
        unread_s = began - last_at
        self._reads_rarely = self._rows_unneeded_at > self._instances_read_until
        self._seeks_owner = False
        if unread_s > outage_s(self.settings, self.instances):
            # After an outage, of the store or of this instance only, rows that have
            # not changed meanwhile prove nothing.
            for known in self._instances.values():
                known.excuse_outage(unread_s, now)
        self._instances_read_at, self._instances_read_until = began, now
        listed: set[InstanceId] = set()
        for key, row in rows:
            instance = InstanceId(key.removeprefix(_INSTANCE_PREFIX))
            listed.add(instance)
            if instance == self.settings.instance:
                continue
            seen = self._instances.get(instance)
            if seen is None or seen.version != row.version:
                self._observe_row(instance, row, now)
        for instance in set(self._instances) - listed:
            del self._instances[instance]
        for instance in set(self._undecodable) - listed:
            del self._undecodable[instance]
        self.on_members(
            [(i, s.row.peers, s.row.zone) for i, s in self._instances.items()]
        )
