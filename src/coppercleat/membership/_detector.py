"""Gossip-style failure detector (van Renesse, Minsky and Hayden, 1998).

Each member increments its own heartbeat counter and relays the highest counters it has
received. A member is suspected when its counter has not increased for too long.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import attrs

from coppercleat.ids import InstanceId, Revision, ZoneId
from coppercleat.membership._messages import Heartbeat, MemberLine

_MAX_RELAYED_MEMBERS = 42
"""Most members in one heartbeat."""

_REMOVAL_FACTOR = 20
"""Members are removed after this many times the suspicion timeout."""

_MAX_FULL_BROADCAST = 16
"""Up to this many members, an update goes to all of them."""

_CROSS_ZONE_TARGETS = 1
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


class Detector:
    """Membership as one instance sees it; all times are seconds on its clock.

    Attributes:
      own: This instance's own state.
      members: All other known instances, by id.
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
        self.paused = False
        self._suspect_after_s = suspect_after_s
        self._fanout = fanout
        self._rng = rng
        self._ticked_at: float | None = None

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
                self.members[instance] = member
            member.listed = address

    def observe(self, heartbeat: Heartbeat, now: float) -> None:
        """Records the sender's state and the relayed states in a heartbeat."""
        self._observe_line(heartbeat.own, now)
        for line in heartbeat.heard:
            self._observe_line(line, now)

    def observe_message(self, sender: InstanceId, now: float) -> None:
        """Records a message of any type as evidence that its sender is alive."""
        member = self.members.get(sender)
        if member is not None and member.line is not None:
            member.advanced_at = now

    def _observe_line(self, line: MemberLine, now: float) -> None:
        if line.instance == self.own.instance:
            self._refute(line)
            return
        member = self.members.get(line.instance)
        if member is None:
            member = Member(zone=line.zone)
            self.members[line.instance] = member
        known = member.line
        if known is not None and (line.incarnation, line.beat) <= (
            known.incarnation,
            known.beat,
        ):
            return
        member.line = line
        member.zone = line.zone
        member.advanced_at = now

    def _refute(self, line: MemberLine) -> None:
        """Raises the own incarnation above one that other members remember."""
        if line.incarnation > self.own.incarnation:
            self.own = _replace(self.own, incarnation=line.incarnation + 1)

    def tick(
        self, now: float, *, revision: Revision
    ) -> tuple[Heartbeat, list[InstanceId]]:
        """Returns the next heartbeat and the members to send it to."""
        last_tick_at = self._ticked_at
        elapsed_s = now - last_tick_at if last_tick_at is not None else 0.0
        self.paused = elapsed_s > self._suspect_after_s
        if elapsed_s > self._suspect_after_s * _PAUSE_FRACTION:
            self._exclude_pause(elapsed_s, now)
        self._ticked_at = now
        self.own = _replace(self.own, beat=self.own.beat + 1, revision=revision)
        self._remove_stale(now)
        return Heartbeat(
            self.own, self._relayed_members(now)
        ), self._heartbeat_targets()

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
        others = [
            i
            for i, member in self.members.items()
            if self._is_member_alive(member, now)
        ]
        return [self.own.instance, *others]

    def is_alive(self, instance: InstanceId, now: float) -> bool:
        """Returns whether a member's state is known and it is not suspected."""
        if instance == self.own.instance:
            return True
        member = self.members.get(instance)
        return member is not None and self._is_member_alive(member, now)

    def has_died(self, instance: InstanceId, now: float) -> bool:
        """Returns whether a member's state is known and it is suspected."""
        member = self.members.get(instance)
        if member is None or member.line is None:
            return False
        return not self._is_member_alive(member, now)

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

    def _is_member_alive(self, member: Member, now: float) -> bool:
        return (
            member.line is not None
            and now - member.advanced_at <= self._suspect_after_s
        )

    def _exclude_pause(self, pause_s: float, now: float) -> None:
        """Extends all suspicion timeouts by the duration of a suspension."""
        for member in self.members.values():
            if member.line is not None:
                member.advanced_at = min(now, member.advanced_at + pause_s)

    def _remove_stale(self, now: float) -> None:
        limit = self._suspect_after_s * _REMOVAL_FACTOR
        stale = [i for i, m in self.members.items() if now - m.advanced_at > limit]
        for instance in stale:
            del self.members[instance]

    def _relayed_members(self, now: float) -> tuple[MemberLine, ...]:
        """Returns states of members that are alive, those of the own zone first."""
        lines = [
            member.line
            for member in self.members.values()
            if member.line is not None and self._is_member_alive(member, now)
        ]
        self._rng.shuffle(lines)
        lines.sort(key=lambda line: line.zone != self.own.zone)
        return tuple(lines[:_MAX_RELAYED_MEMBERS])

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


def _replace(line: MemberLine, **changes: int) -> MemberLine:
    values = {name: getattr(line, name) for name in line.__struct_fields__}
    return MemberLine(**(values | changes))
