"""Gossip-style failure detector (van Renesse, Minsky and Hayden, 1998).

Each member increments its own heartbeat counter and relays the highest counters it has
received. A member is suspected when its counter has not increased for too long.

In a fleet with more members than a heartbeat carries, counters are relayed within the
own availability zone only; see ``_zone_reports`` for the members of other zones.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Iterable

import attrs

from coppercleat.ids import InstanceId, Revision, ZoneId
from coppercleat.membership._messages import Heartbeat, MemberLine, ZoneReport
from coppercleat.membership._zone_reports import ZoneReports, own_report

_MAX_RELAYED_MEMBERS = 42
"""Most members in one heartbeat."""

_MAX_SPEAKER_LINES = 64
"""Most members in a speaker's heartbeat, by which the others of its zone live."""

_REMOVAL_FACTOR = 20
"""Members are removed after this many times the suspicion timeout."""

_MAX_FULL_BROADCAST = 16
"""Up to this many members, an update goes to all of them."""

_CROSS_ZONE_TARGETS = 1

_RANDOM_ZONE_TARGETS = 1
"""Members of the own zone that get a heartbeat besides the speakers."""

SPEAKERS = 2
"""Members that exchange a zone's sums with other zones: one may die unnoticed."""

_MAX_ZONE_TURN = 1 << 16
"""Turns begin at random, so that the members of a zone send to different ones."""

_PAUSE_FRACTION = 0.5
"""Ticks further apart than this fraction of the suspicion timeout mean that this
process was suspended: four ticks are expected within the timeout."""


@attrs.define(kw_only=True)
class Member:
    """Local view of another instance.

    Attributes:
      zone: Its availability zone.
      listed: Its address in the platform's list; empty if it is not listed.
      line: Its newest state received; None if only its address is known.
      advanced_at: Seconds on the local clock at which its counter last increased or a
        message last arrived from it.
    """

    zone: ZoneId
    listed: str = ""
    line: MemberLine | None = None
    advanced_at: float = 0.0

    @property
    def address(self) -> str:
        """The address from the platform's list, else the one in its heartbeats."""
        return self.listed or (self.line.address if self.line else "")


@attrs.frozen
class _Alive:
    """The members of a zone that are alive, until one of them is suspected.

    Attributes:
      members: The other members of the zone that are alive.
      ids: The same, as a set.
      speakers: See ``Detector.speakers_of``.
      until: Time of the next suspicion, in seconds of this instance's clock.
    """

    members: list[InstanceId]
    ids: frozenset[InstanceId]
    speakers: tuple[InstanceId, ...]
    until: float


class Detector:
    """Membership as one instance sees it; all times are seconds on its clock.

    Attributes:
      own: This instance's own state.
      members: All other known instances, by id.
      reports: The latest reports of other availability zones.
      paused: Whether this process was suspended before the last tick for longer than
        the suspicion timeout.
    """

    def __init__(
        self,
        own: MemberLine,
        *,
        suspect_after_s: float,
        fanout: int,
        rng: random.Random,
    ) -> None:
        """Initializes the detector without other members.

        Args:
          own: This instance's own state.
          suspect_after_s: Suspicion timeout: a member is suspected after this time
            without an increase of its counter.
          fanout: Members that each heartbeat is sent to.
          rng: Source of randomness.
        """
        self.own = own
        self.members: dict[InstanceId, Member] = {}
        self.reports = ZoneReports(own.zone)
        self.paused = False
        self._suspect_after_s = suspect_after_s
        self._fanout = fanout
        self._rng = rng
        self._ticked_at: float | None = None
        self._reports_from = float("inf")
        self._remove_from = float("-inf")
        self._zone_turn = rng.randrange(_MAX_ZONE_TURN)
        self._alive: dict[ZoneId, _Alive] = {}
        self._zones: dict[ZoneId, dict[InstanceId, Member]] = {}

    @property
    def is_large(self) -> bool:
        """Whether the fleet has more members than a heartbeat carries."""
        return len(self.members) > _MAX_RELAYED_MEMBERS

    def observe_list(
        self, listed: Iterable[tuple[InstanceId, str, ZoneId]], now: float
    ) -> None:
        """Adds the ids, addresses and zones in the platform's list.

        A listed member counts as alive only after its first heartbeat.
        """
        for instance, address, zone in listed:
            if instance == self.own.instance:
                continue
            member = self.members.get(instance)
            if member is None:
                member = Member(zone=zone, advanced_at=now)
                self._add(instance, member)
            member.listed = address

    def observe(self, heartbeat: Heartbeat, now: float) -> None:
        """Records the sender's state and the relayed states in a heartbeat."""
        self._observe_line(heartbeat.own, now)
        ages_ms = heartbeat.ages_ms or itertools.repeat(0)
        for line, age_ms in zip(heartbeat.heard, ages_ms, strict=False):
            self._observe_line(line, now - age_ms / 1000)
        for zone in self.reports.observe(heartbeat.zones, now):
            self._alive.pop(zone, None)

    def observe_message(self, sender: InstanceId, now: float) -> None:
        """Records a message of any type as evidence that its sender is alive."""
        member = self.members.get(sender)
        if member is not None and member.line is not None:
            self._record_advance(sender, member, now)

    def _observe_line(self, line: MemberLine, sign_at: float) -> None:
        """Records a state of a member that gave a sign of life at that time."""
        if line.instance == self.own.instance:
            self._refute(line)
            return
        member = self.members.get(line.instance)
        if member is None:
            member = Member(zone=line.zone)
            self._add(line.instance, member)
        known = member.line
        if known is not None and (line.incarnation, line.beat) <= (
            known.incarnation,
            known.beat,
        ):
            return
        if known is None or known.speed != line.speed:
            self._alive.pop(member.zone, None)
        member.line = line
        if member.zone != line.zone:
            self._remove(line.instance)
            member.zone = line.zone
            self._add(line.instance, member)
        self._record_advance(line.instance, member, sign_at)

    def _add(self, instance: InstanceId, member: Member) -> None:
        was_large = self.is_large
        self.members[instance] = member
        self._zones.setdefault(member.zone, {})[instance] = member
        self._forget_alive(member.zone, resized=was_large != self.is_large)

    def _remove(self, instance: InstanceId) -> None:
        was_large = self.is_large
        member = self.members.pop(instance)
        del self._zones[member.zone][instance]
        self._forget_alive(member.zone, resized=was_large != self.is_large)

    def _forget_alive(self, zone: ZoneId, *, resized: bool) -> None:
        if resized:
            self._alive.clear()
        self._alive.pop(zone, None)

    def _record_advance(
        self, instance: InstanceId, member: Member, sign_at: float
    ) -> None:
        member.advanced_at = max(member.advanced_at, sign_at)
        alive = self._alive.get(member.zone)
        if alive is not None and instance not in alive.ids:
            del self._alive[member.zone]

    def _refute(self, line: MemberLine) -> None:
        """Raises the own incarnation above one that other members remember."""
        if line.incarnation > self.own.incarnation:
            self.own = _replace(self.own, incarnation=line.incarnation + 1)

    def tick(
        self, now: float, *, revision: Revision
    ) -> tuple[Heartbeat, list[InstanceId]]:
        """Returns the next heartbeat and the members to send it to.

        In a large fleet these are of the own zone; see ``zone_heartbeat``.
        """
        last_tick_at = self._ticked_at
        elapsed_s = now - last_tick_at if last_tick_at is not None else 0.0
        self.paused = elapsed_s > self._suspect_after_s
        if elapsed_s > self._suspect_after_s * _PAUSE_FRACTION:
            self._exclude_pause(elapsed_s, now)
        if last_tick_at is None or self.paused:
            # Until then it has not heard of all members of its zone.
            self._reports_from = now + self._suspect_after_s
        self._ticked_at = now
        self.own = _replace(self.own, beat=self.own.beat + 1, revision=revision)
        self._remove_stale(now)
        if not self.is_large:
            lines = self._relayed_members(now)
            return Heartbeat(self.own, lines), self._heartbeat_targets()
        lines, ages_ms = self._relayed_zone_members(now)
        heartbeat = Heartbeat(self.own, lines, self.reports.outgoing(now), ages_ms)
        return heartbeat, self._zone_targets(now)

    def zone_heartbeat(self, now: float) -> tuple[Heartbeat, list[InstanceId]]:
        """Returns the heartbeat for other zones and the members to send it to.

        In a small fleet there are none, since ``tick`` chooses members of all zones.
        """
        if not self.is_large:
            return Heartbeat(self.own, ()), []
        reports: tuple[ZoneReport, ...] = ()
        if now >= self._reports_from:
            zone = self.own.zone
            reports = (own_report(zone, self._down_here(now), self.speakers(now)),)
        return Heartbeat(self.own, (), reports), self._partners(now)

    def reminder(self, instance: InstanceId, now: float) -> Heartbeat | None:
        """Returns the heartbeat for a suspected member; None for any other member.

        It bears the member's own last state. A restarted member whose clock was set
        back outdoes that incarnation, since its messages are taken for old ones.
        """
        member = self.members.get(instance)
        if member is None or member.line is None or self.is_alive(instance, now):
            return None
        return Heartbeat(self.own, (member.line,))

    def gossip_targets(self) -> list[InstanceId]:
        """Returns the members to send an update to that each receiver forwards once.

        These are all members of a small fleet, else a random sample. Forwarding then
        reaches all in a number of rounds logarithmic in the size of the fleet.
        """
        ids = list(self.members)
        if len(ids) <= _MAX_FULL_BROADCAST:
            return ids
        return self._rng.sample(ids, 2 * self._fanout)

    def alive(self, now: float) -> list[InstanceId]:
        """Returns this instance and the known members that are not suspected."""
        found = [self.own.instance]
        for zone in self._zones:
            found += self._alive_in(zone, now).members
        return found

    def alive_in(self, zone: ZoneId, now: float) -> list[InstanceId]:
        """Returns the other members of a zone that are known and not suspected."""
        return list(self._alive_in(zone, now).members)

    def speakers(self, now: float) -> tuple[InstanceId, ...]:
        """Returns the members of the own zone that exchange its sums with others.

        These are the members whose machines carry most, which all of the zone agree on.
        """
        return self._alive_in(self.own.zone, now).speakers

    def speakers_of(self, zone: ZoneId, now: float) -> tuple[InstanceId, ...]:
        """Returns the speakers of any zone, as far as this instance knows."""
        alive = self._alive_in(zone, now)
        reported = self.reports.speakers(zone)
        found = tuple(instance for instance in reported if instance in alive.ids)
        return found or alive.speakers

    def zones(self) -> list[ZoneId]:
        """Returns the zones of which other members are known."""
        return [zone for zone, members in self._zones.items() if members]

    def known_in(self, zone: ZoneId) -> int:
        """Returns how many other members of a zone are known, suspected ones too."""
        return len(self._zones.get(zone, ()))

    def last_sign_in(self, zone: ZoneId) -> float:
        """Returns when a member of a zone last gave a sign of life, -inf for never."""
        members = self._zones.get(zone, {}).values()
        signs = (member.advanced_at for member in members if member.line is not None)
        return max(signs, default=float("-inf"))

    def is_alive(self, instance: InstanceId, now: float) -> bool:
        """Returns whether a member's state is known and it is not suspected."""
        if instance == self.own.instance:
            return True
        member = self.members.get(instance)
        return member is not None and self._is_member_alive(instance, member, now)

    def has_died(self, instance: InstanceId, now: float) -> bool:
        """Returns whether a member's state is known and it is suspected."""
        member = self.members.get(instance)
        if member is None or member.line is None:
            return False
        return not self._is_member_alive(instance, member, now)

    def zone_of(self, instance: InstanceId) -> ZoneId | None:
        """Returns a member's availability zone; None if it is not known."""
        if instance == self.own.instance:
            return self.own.zone
        member = self.members.get(instance)
        return member.zone if member else None

    def highest_revision(self) -> tuple[Revision, InstanceId | None]:
        """Returns the highest known revision and the member with it.

        The member is None if no other has a higher revision than this instance.
        """
        best: tuple[Revision, InstanceId | None] = (self.own.revision, None)
        for instance, member in self.members.items():
            if member.line is not None and member.line.revision > best[0]:
                best = (member.line.revision, instance)
        return best

    # Who is alive.

    def _alive_in(self, zone: ZoneId, now: float) -> _Alive:
        """Returns who is alive; computed anew only when that can have changed."""
        alive = self._alive.get(zone)
        if alive is None or now > alive.until:
            alive = self._alive[zone] = self._compute_alive(zone, now)
        return alive

    def _compute_alive(self, zone: ZoneId, now: float) -> _Alive:
        known = self._members_of(zone)
        members = [i for i, m in known.items() if self._is_member_alive(i, m, now)]
        if self._judged_by_report(zone, now):
            until = self.reports.expires_at(zone)
        else:
            signs = (known[instance].advanced_at for instance in members)
            until = min(signs, default=float("inf")) + self._suspect_after_s
        speakers = self._choose_speakers(zone, members)
        return _Alive(members, frozenset(members), speakers, until)

    def _choose_speakers(
        self, zone: ZoneId, alive: list[InstanceId]
    ) -> tuple[InstanceId, ...]:
        candidates = [self.own] if zone == self.own.zone else []
        candidates += self._lines_of(alive)
        candidates.sort(key=lambda line: (-line.speed, line.instance))
        return tuple(line.instance for line in candidates[:SPEAKERS])

    def _judged_by_report(self, zone: ZoneId, now: float) -> bool:
        return (
            self.is_large
            and zone != self.own.zone
            and self.reports.is_reported(zone, now)
        )

    def _is_member_alive(
        self, instance: InstanceId, member: Member, now: float
    ) -> bool:
        is_heard = (
            member.line is not None
            and now - member.advanced_at <= self._suspect_after_s
        )
        if not self._judged_by_report(member.zone, now):
            return is_heard
        down_since = self.reports.down_since(member.zone, instance)
        if down_since is None:
            return True
        return is_heard and member.advanced_at > down_since

    def _down_here(self, now: float) -> list[InstanceId]:
        """Returns the known members of the own zone that are not alive."""
        return [
            instance
            for instance, member in self._members_of(self.own.zone).items()
            if not self._is_member_alive(instance, member, now)
        ]

    def _members_of(self, zone: ZoneId) -> dict[InstanceId, Member]:
        return self._zones.get(zone, {})

    def _exclude_pause(self, pause_s: float, now: float) -> None:
        """Extends all suspicion timeouts by the duration of a suspension."""
        self._alive.clear()
        self.reports.exclude_pause(pause_s, now)
        for member in self.members.values():
            if member.line is not None:
                member.advanced_at = min(now, member.advanced_at + pause_s)

    def _remove_stale(self, now: float) -> None:
        if now < self._remove_from:
            return
        self._remove_from = now + self._suspect_after_s
        limit = self._suspect_after_s * _REMOVAL_FACTOR
        stale = [
            i
            for i, m in self.members.items()
            if now - m.advanced_at > limit and not self._is_member_alive(i, m, now)
        ]
        for instance in stale:
            self._remove(instance)

    # Who gets which heartbeat.

    def _relayed_members(self, now: float) -> tuple[MemberLine, ...]:
        """Returns states of members that are alive, those of the own zone first."""
        lines = self._lines_of(self.alive(now)[1:])
        self._rng.shuffle(lines)
        lines.sort(key=lambda line: line.zone != self.own.zone)
        return tuple(lines[:_MAX_RELAYED_MEMBERS])

    def _relayed_zone_members(
        self, now: float
    ) -> tuple[tuple[MemberLine, ...], tuple[int, ...]]:
        """Returns states of live members of the own zone, the newest ones, and ages."""
        here = [self.members[i] for i in self.alive_in(self.own.zone, now)]
        is_speaker = self.own.instance in self.speakers(now)
        most = _MAX_SPEAKER_LINES if is_speaker else _MAX_RELAYED_MEMBERS
        here = heapq.nlargest(most, here, key=lambda m: m.advanced_at)
        newest = [(m.line, m.advanced_at) for m in here if m.line is not None]
        ages_ms = (round(1000 * max(0.0, now - at)) for _, at in newest)
        return tuple(line for line, _ in newest), tuple(ages_ms)

    def _lines_of(self, instances: Iterable[InstanceId]) -> list[MemberLine]:
        lines = (self.members[instance].line for instance in instances)
        return [line for line in lines if line is not None]

    def _heartbeat_targets(self) -> list[InstanceId]:
        """Returns random members, most of them in the own zone."""
        ids = list(self.members)
        if len(ids) <= self._fanout:
            return ids
        local = [i for i in ids if self.members[i].zone == self.own.zone]
        remote = [i for i in ids if self.members[i].zone != self.own.zone]
        remote_count = min(_CROSS_ZONE_TARGETS, len(remote))
        local_count = min(self._fanout - remote_count, len(local))
        remote_count = min(self._fanout - local_count, len(remote))
        return self._rng.sample(local, local_count) + self._rng.sample(
            remote, remote_count
        )

    def _zone_targets(self, now: float) -> list[InstanceId]:
        """Returns the speakers of the own zone and random members of it.

        A speaker sends to all of the zone, so that each member's state reaches all
        others within two intervals; the random ones do where both speakers are gone.
        """
        local = list(self._members_of(self.own.zone))
        speakers = self.speakers(now)
        if self.own.instance in speakers:
            return local
        others = [i for i in local if i not in speakers]
        random_count = min(_RANDOM_ZONE_TARGETS, len(others))
        return [*speakers, *self._rng.sample(others, random_count)]

    def _partners(self, now: float) -> list[InstanceId]:
        """Returns the member of another zone whose turn it is.

        Zones take turns. Each member sends to its own two partners in a zone, so that
        the links of a member stay few and all members of the zone are reached.
        """
        zones = sorted(z for z, m in self._zones.items() if m and z != self.own.zone)
        if not zones:
            return []
        turn, self._zone_turn = self._zone_turn, self._zone_turn + 1
        zone = zones[turn % len(zones)]
        there = sorted(self._alive_in(zone, now).members)
        if not there:
            # A zone that was cut off is heard again only if somebody sends to it.
            return [self._rng.choice(list(self._members_of(zone)))]
        here = sorted([self.own.instance, *self.alive_in(self.own.zone, now)])
        place = here.index(self.own.instance) * len(there) // len(here)
        second = turn // len(zones) % 2
        return [there[(place + second) % len(there)]]


def _replace(line: MemberLine, **changes: int) -> MemberLine:
    values = {name: getattr(line, name) for name in line.__struct_fields__}
    return MemberLine(**(values | changes))
