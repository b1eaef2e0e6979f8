"""Follows routes, upstreams and instances on the platform, and through peers."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable
from typing import Protocol

import attrs
import msgspec
import trio

from coppercleat.errors import CoppercleatError, PlatformUnavailableError
from coppercleat.ids import InstanceId, UpstreamId, ZoneId
from coppercleat.observability import part_logger
from coppercleat.quarantine import KeptEnds
from coppercleat.serving._model import RouteConfig, RouteTable, Upstream
from coppercleat.serving._node import GatewaySettings
from coppercleat.serving._pauses import (
    lease_s,
    renewal_pause_s,
    routes_pause_s,
    upstreams_pause_s,
)
from coppercleat.serving._peers import RoutesSnapshot
from coppercleat.serving._placement import Placement
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
STARTUP_PACE = 0.3
"""For so long after its start an instance polls at this share of the pauses: after all
have stopped at once, jobs wait until the others' new rows are seen."""

LEAVE_WITHIN_S = 1.0
"""For telling the others that this instance stops; then they find out by its lease."""

_DOUBT_S = 1.8
"""Upstreams missing right after an outage of the store may come back for so long;
the platform says about two seconds."""

_MANY_GONE = 0.5
_SHORT_DOUBT_S = 1.0
"""When more than this share of the list is missing at once, it is in doubt too, but for
less: it may be true, and leaving upstreams must get nothing new after 2 s."""

_STARVED_S = 1.0

_RENEW_TRIES = 3

_LOST_EARLY_S = 1.0
"""A renewal whose answer is lost sooner met a dead connection and is made again at
once; later, the store is away or slow, and is asked no more often."""

_INSTANCE_PREFIX = "instance/"

_log = part_logger("watch")


class Catalogue(Protocol):
    """What the operator and the upstreams have written on the platform."""

    async def read_routes(self) -> RouteConfig | None:
        """Returns the newest routes, None if there are none yet."""
        ...

    async def read_upstreams(self) -> list[Upstream]:
        """Returns all listed upstreams."""
        ...


class InstanceRow(msgspec.Struct, frozen=True, kw_only=True):
    """An instance's own row; its version grows with each renewal.

    Attributes:
      boot: Names one start of the instance.
      quarantined: Requests under which upstreams ended, as far as it keeps them.
    """

    boot: str
    peers: str
    zone: ZoneId
    leaving: bool = False
    quarantined: tuple[KeptEnds, ...] = ()


class UpstreamList:
    """Decides which upstreams to keep when some are missing from the list."""

    def __init__(self) -> None:
        self._known: dict[UpstreamId, Upstream] = {}
        self._doubted_until: dict[UpstreamId, float] = {}

    def observe(
        self, listed: list[Upstream], *, after_outage: bool, now: float
    ) -> list[Upstream]:
        """Takes the list as just read and returns the upstreams to use.

        Args:
          listed: What the platform lists.
          after_outage: Whether reads before this one failed.
          now: Seconds on this instance's clock.
        """
        current = {upstream.id: upstream for upstream in listed}
        addresses = {upstream.address for upstream in listed}
        missing = [u for i, u in self._known.items() if i not in current]
        many = len(missing) > _MANY_GONE * max(1, len(self._known))
        for upstream in missing:
            if (after_outage or many) and upstream.id not in self._doubted_until:
                doubt_s = _DOUBT_S if after_outage else _SHORT_DOUBT_S
                self._doubted_until[upstream.id] = now + doubt_s
            in_doubt = now < self._doubted_until.get(upstream.id, now)
            if in_doubt and upstream.address not in addresses:
                current[upstream.id] = upstream
        for known in list(self._doubted_until):
            if known not in current or any(u.id == known for u in listed):
                del self._doubted_until[known]
        self._known = current
        return list(current.values())


@attrs.define
class _Sight:
    """When another instance's row was last seen to change."""

    row: InstanceRow
    version: int
    changed_at: float


class Watch:
    """Keeps routes, upstreams and instances as new as can be had.

    Attributes:
      table: The routes in force; None while none are known.
      upstreams_known: Whether a list of upstreams has come from anywhere.
      on_upstreams_gone: Told of upstreams that are no longer used.
      kept_ends: Returns the quarantined requests that the own row should tell.
      on_kept_ends: Told those of any row, the own one of an earlier start included.
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
        self.upstreams_known = False
        self.on_members: Callable[[list[tuple[InstanceId, str, ZoneId]]], None] = (
            lambda members: None
        )
        self.kept_ends: Callable[[], tuple[KeptEnds, ...]] = tuple
        self.on_kept_ends: Callable[[tuple[KeptEnds, ...]], None] = lambda kept: None
        self._list = UpstreamList()
        self._upstreams: tuple[Upstream, ...] = ()
        self._upstreams_at = float("-inf")
        self._routes_read_at = float("-inf")
        self._renewed_at = float("-inf")
        self._instances_read_at = float("-inf")
        self._own_version = ABSENT
        self._sights: dict[InstanceId, _Sight] = {}
        self._misfits: dict[InstanceId, int] = {}
        self._leaving = False
        self._away = False
        self._reached_at = float("-inf")
        self._failing: set[str] = set()

    # What others ask.

    @property
    def version(self) -> int:
        """The version of the routes in force, 0 for none."""
        return self.table.config.version if self.table else 0

    @property
    def ready(self) -> bool:
        """Whether requests can be served."""
        return self.table is not None and self.upstreams_known

    def holds_lease(self) -> bool:
        """Returns whether others must still take this instance as alive."""
        pause_s = renewal_pause_s(self.settings, self.instances)
        lasts_s = lease_s(self.settings, self.instances) - pause_s / 2
        return trio.current_time() - self._renewed_at < lasts_s

    @property
    def instances(self) -> int:
        """How many instances were alive when they were last looked for."""
        return len(self._sights) + 1

    @property
    def others_known(self) -> bool:
        """Whether other instances were alive when they were last looked for."""
        return any(not sight.row.leaving for sight in self._sights.values())

    def needs_routes(self) -> bool:
        """Returns whether the store has not been read for a while."""
        now = trio.current_time()
        return now - min(self._upstreams_at, self._routes_read_at) > _STARVED_S

    def owner_lives(self, owner: str, *, since: float) -> bool:
        """Returns whether the start of an instance named ``owner`` is alive.

        An owner writes its row before it takes a job, so one that is not among
        the rows is gone, if they were read after its name was first met.

        Args:
          owner: As ``owner_name`` gives it.
          since: When the name was first met, in trio's time.
        """
        if owner == self.owner_name:
            return True
        instance, _, boot = owner.rpartition("/")
        sight = self._sights.get(InstanceId(instance))
        if sight is None or sight.row.boot != boot:
            return self._instances_read_at <= since
        if sight.row.leaving:
            return False
        # By the last read, not by now: while nothing is read nothing is known to die.
        still_s = self._instances_read_at - sight.changed_at
        return still_s < lease_s(self.settings, self.instances)

    @property
    def owner_name(self) -> str:
        """Names this start of this instance."""
        return f"{self.settings.instance}/{self.boot}"

    def living(self) -> list[str]:
        """Returns the names of all living instances, this one included."""
        now = trio.current_time()
        names = [f"{i}/{s.row.boot}" for i, s in self._sights.items()]
        return [self.owner_name, *(n for n in names if self.owner_lives(n, since=now))]

    def routes_snapshot(self, after: int) -> RoutesSnapshot | None:
        """Returns what a peer that asks should be told."""
        if self.table is None:
            return None
        config = self.table.config if self.version > after else None
        age = trio.current_time() - self._upstreams_at
        return RoutesSnapshot(config, self._upstreams, min(age, 1e9))

    def adopt_routes_snapshot(self, routes_snapshot: RoutesSnapshot) -> None:
        """Takes what a peer knows, where it is newer."""
        if routes_snapshot.config is not None:
            self._adopt(routes_snapshot.config, source="a peer")
        read_at = trio.current_time() - routes_snapshot.upstreams_age_s
        if routes_snapshot.upstreams and read_at > self._upstreams_at + _STARVED_S:
            self._use(list(routes_snapshot.upstreams), after_outage=False)
            self._upstreams_at = read_at

    # What is polled.

    async def run(self) -> None:
        """Polls until cancelled."""
        async with trio.open_nursery() as nursery:
            for name, poll, pause_of in (
                ("routes", self._poll_routes, routes_pause_s),
                ("upstreams", self._poll_upstreams, upstreams_pause_s),
                ("renewal", self._renew, renewal_pause_s),
                ("instances", self._poll_instances, renewal_pause_s),
            ):
                nursery.start_soon(self._forever, name, poll, pause_of)

    async def _forever(
        self, name: str, poll: Callable, pause_of: Callable[..., float]
    ) -> None:
        began = trio.current_time()
        while True:
            asked_at = trio.current_time()
            try:
                await poll()
                self._note_answered(name)
            except CoppercleatError as error:
                self._note_failed(name, asked_at=asked_at, reason=str(error))
            starting = trio.current_time() - began < STARTUP_S
            hurry = STARTUP_PACE if starting else 1.0
            pause_s = pause_of(self.settings, self.instances, hurry=hurry)
            await trio.sleep(pause_s * self.rng.uniform(0.8, 1.1))

    def _note_answered(self, poll: str) -> None:
        self._reached_at = trio.current_time()
        if poll in self._failing:
            self._failing.remove(poll)
            _log.info("A poll is answered again.", poll=poll)
        if self._away:
            self._away = False
            _log.info("The store is back.")

    def _note_failed(self, poll: str, *, asked_at: float, reason: str) -> None:
        """Takes note of a poll that failed, though the store may answer others."""
        if poll not in self._failing:
            self._failing.add(poll)
            _log.info("A poll failed.", poll=poll, reason=reason)
        if not self._away and self._reached_at < asked_at:
            self._away = True
            _log.warning("The store is away.", reason=reason)

    async def _poll_routes(self) -> None:
        config = await self.catalogue.read_routes()
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
        now = trio.current_time()
        after_outage = now - self._upstreams_at > 2 * _STARVED_S
        listed = await self.catalogue.read_upstreams()
        self._use(listed, after_outage=after_outage)
        self._upstreams_at = trio.current_time()

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
                )
        for upstream_id in gone:
            _log.info("Upstream gone.", upstream=upstream_id)
        self._upstreams = tuple(used)
        self.upstreams_known = True

    async def _renew(self) -> None:
        """Renews this instance's own row, under its last version."""
        key = _INSTANCE_PREFIX + self.settings.instance
        lost = False
        for _ in range(_RENEW_TRIES):
            began = trio.current_time()
            renewal = Transaction(
                checks=[Check(key, self._own_version)],
                puts=[Put(key, msgspec.json.encode(self._own_row()))],
            )
            try:
                answer = await self.platform.transact(renewal)
            except AnswerLostError:
                if lost or trio.current_time() - began > _LOST_EARLY_S:
                    raise
                # Under the same condition: at most one of the two takes effect.
                lost = True
                continue
            if not isinstance(answer, TransactionRefused):
                self._own_version = answer[key]
                self._renewed_at = began
                return
            # An earlier start of this instance, or a renewal whose answer was lost.
            rows = await self.platform.read([key])
            self._own_version = rows[key].version if key in rows else ABSENT
            if key in rows:
                self._take_kept(rows[key])
        raise PlatformUnavailableError("The own row changes under this instance")

    def _own_row(self) -> InstanceRow:
        return InstanceRow(
            boot=self.boot,
            peers=self.settings.peers,
            zone=self.settings.zone,
            leaving=self._leaving,
            quarantined=self.kept_ends(),
        )

    def _take_kept(self, row: Row) -> None:
        """Takes what an earlier start of this instance kept, if it still fits."""
        with contextlib.suppress(PlatformUnavailableError):
            self.on_kept_ends(decode_row(row, InstanceRow).quarantined)

    def _take_row(self, instance: InstanceId, row: Row, now: float) -> None:
        """Takes another instance's row; one that does not fit must not hide others."""
        try:
            decoded = decode_row(row, InstanceRow)
        except PlatformUnavailableError as error:
            if self._misfits.get(instance) != row.version:
                self._misfits[instance] = row.version
                _log.error(
                    "An instance's row does not fit.",
                    instance=instance,
                    version=row.version,
                    reason=str(error),
                )
            return
        self._sights[instance] = _Sight(decoded, row.version, now)
        if decoded.quarantined:
            self.on_kept_ends(decoded.quarantined)

    async def leave(self) -> None:
        """Tells the others that this instance stops; they need not wait."""
        self._leaving = True
        try:
            with trio.move_on_after(LEAVE_WITHIN_S):
                await self._renew()
        except CoppercleatError as error:
            _log.warning("Leaving could not be told.", reason=str(error))

    async def _poll_instances(self) -> None:
        began = trio.current_time()
        rows = await self.platform.scan(_INSTANCE_PREFIX)
        now = trio.current_time()
        if began - self._instances_read_at > lease_s(self.settings, self.instances) / 2:
            # Nobody could renew, or this instance could not look: what stood still
            # meanwhile proves nothing.
            for known in self._sights.values():
                known.changed_at = now
        self._instances_read_at = began
        seen: set[InstanceId] = set()
        for key, row in rows:
            instance = InstanceId(key.removeprefix(_INSTANCE_PREFIX))
            seen.add(instance)
            if instance == self.settings.instance:
                continue
            sight = self._sights.get(instance)
            if sight is None or sight.version != row.version:
                self._take_row(instance, row, now)
        for instance in set(self._sights) - seen:
            del self._sights[instance]
        for instance in set(self._misfits) - seen:
            del self._misfits[instance]
        self.on_members([(i, s.row.peers, s.row.zone) for i, s in self._sights.items()])
