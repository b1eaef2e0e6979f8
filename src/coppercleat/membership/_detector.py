"""Tells which members live, from heartbeats heard directly and through others.

Each member counts its own beats and passes on the highest counts it has
heard; a member whose count stands still for too long is suspected. This is
the gossip-style detector of van Renesse, Minsky and Hayden (1998).
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import attrs

from coppercleat.ids import InstanceId, Revision, ZoneId
from coppercleat.membership._messages import Heartbeat, MemberLine

_PASSED_ON = 42
_FORGET_FACTOR = 20
_TELL_ALL = 16
_CROSS_ZONE_TARGETS = 1
_STOOD_STILL = 0.5
"""Beats come four times within the time to suspect: a pause of this part of it between
two of them says that this instance stood still, and has not read what others said."""


@attrs.define(kw_only=True)
class Member:
    """One other instance as this one sees it.

    Attributes:
      listed: Its address by the platform's list; empty if it is not listed.
      line: The newest line heard of it; None if only its address is known.
      advanced_at: When its count last grew or anything came from it, on this
        instance's clock.
    """

    zone: ZoneId
    listed: str = ""
    line: MemberLine | None = None
    advanced_at: float = 0.0

    @property
    def address(self) -> str:
        """Where to send to: as listed, else as it says itself."""
        return self.listed or (self.line.address if self.line else "")


class Detector:
    """The view of one instance; the clock and randomness are passed in.

    Attributes:
      own: This instance's own line.
      members: All others known, by id.
      paused: Whether this instance has just found that it was stopped for
        longer than others take to suspect it.
    """

    def __init__(
        self,
        own: MemberLine,
        *,
        suspect_after_s: float,
        fanout: int,
        rng: random.Random,
    ) -> None:
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
        """Takes ids, addresses and zones from the platform's list, as a seed.

        A listed member counts as alive only once it has been heard of.
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
        """Takes a heartbeat and all that it passes on."""
        self._observe_line(heartbeat.own, now)
        for line in heartbeat.heard:
            self._observe_line(line, now)

    def observe_message(self, sender: InstanceId, now: float) -> None:
        """Takes any message as a sign of life; beats may be lost alone."""
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
        """Outdoes an earlier start of this instance that others remember."""
        if line.incarnation > self.own.incarnation:
            self.own = _replace(self.own, incarnation=line.incarnation + 1)

    def tick(
        self, now: float, *, revision: Revision
    ) -> tuple[Heartbeat, list[InstanceId]]:
        """Makes the next heartbeat and says whom to send it to."""
        last = self._ticked_at
        passed_s = now - last if last is not None else 0.0
        self.paused = passed_s > self._suspect_after_s
        if passed_s > self._suspect_after_s * _STOOD_STILL:
            self._forgive(passed_s, now)
        self._ticked_at = now
        self.own = _replace(self.own, beat=self.own.beat + 1, revision=revision)
        self._forget(now)
        return Heartbeat(self.own, self._pass_on(now)), self._targets()

    def audience(self) -> list[InstanceId]:
        """Returns whom to tell news that each passes on once.

        All members while they are few; else a random few, which reaches all
        in a number of rounds that grows with the logarithm of their number.
        """
        ids = list(self.members)
        if len(ids) <= _TELL_ALL:
            return ids
        return self._rng.sample(ids, 2 * self._fanout)

    def alive(self, now: float) -> list[InstanceId]:
        """Returns the members thought alive, this instance included."""
        others = [i for i, member in self.members.items() if self._lives(member, now)]
        return [self.own.instance, *others]

    def is_alive(self, instance: InstanceId, now: float) -> bool:
        """Returns whether a member is thought alive."""
        if instance == self.own.instance:
            return True
        member = self.members.get(instance)
        return member is not None and self._lives(member, now)

    def has_died(self, instance: InstanceId, now: float) -> bool:
        """Returns whether a member was heard of and is no longer thought alive."""
        member = self.members.get(instance)
        if member is None or member.line is None:
            return False
        return not self._lives(member, now)

    def zone_of(self, instance: InstanceId) -> ZoneId | None:
        """Returns a member's availability zone, if it is known."""
        if instance == self.own.instance:
            return self.own.zone
        member = self.members.get(instance)
        return member.zone if member else None

    def highest_revision(self) -> tuple[Revision, InstanceId | None]:
        """Returns the highest revision heard of, and who has it."""
        best: tuple[Revision, InstanceId | None] = (self.own.revision, None)
        for instance, member in self.members.items():
            if member.line is not None and member.line.revision > best[0]:
                best = (member.line.revision, instance)
        return best

    def _lives(self, member: Member, now: float) -> bool:
        return (
            member.line is not None
            and now - member.advanced_at <= self._suspect_after_s
        )

    def _forgive(self, pause_s: float, now: float) -> None:
        """After a pause, silence proves nothing: the time of the pause is left out."""
        for member in self.members.values():
            if member.line is not None:
                member.advanced_at = min(now, member.advanced_at + pause_s)

    def _forget(self, now: float) -> None:
        limit = self._suspect_after_s * _FORGET_FACTOR
        gone = [i for i, m in self.members.items() if now - m.advanced_at > limit]
        for instance in gone:
            del self.members[instance]

    def _pass_on(self, now: float) -> tuple[MemberLine, ...]:
        """Returns lines of living members, those of the own zone first."""
        lines = [
            member.line
            for member in self.members.values()
            if member.line is not None and self._lives(member, now)
        ]
        self._rng.shuffle(lines)
        lines.sort(key=lambda line: line.zone != self.own.zone)
        return tuple(lines[:_PASSED_ON])

    def _targets(self) -> list[InstanceId]:
        """Returns random members: most of the own zone, one of another."""
        ids = list(self.members)
        if len(ids) <= self._fanout:
            return ids
        local = [i for i in ids if self.members[i].zone == self.own.zone]
        remote = [i for i in ids if self.members[i].zone != self.own.zone]
        far = min(_CROSS_ZONE_TARGETS, len(remote))
        near = min(self._fanout - far, len(local))
        far = min(self._fanout - near, len(remote))
        return self._rng.sample(local, near) + self._rng.sample(remote, far)


def _replace(line: MemberLine, **changes: int) -> MemberLine:
    values = {name: getattr(line, name) for name in line.__struct_fields__}
    return MemberLine(**(values | changes))
