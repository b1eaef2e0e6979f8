"""Detectors of a fleet in several availability zones, on a clock of the model."""

from __future__ import annotations

import random

from coppercleat.ids import InstanceId, Revision, ZoneId
from coppercleat.membership import Detector, EnvelopeWriter, MemberLine

HEARTBEAT_S = 0.5
LIST_S = 1.0
SUSPECT_S = 2.0
FANOUT = 4
STARTED_AT_S = 10_000
"""Time of day of the first starts, and their incarnation."""


class ZonesModel:
    """Real detectors that exchange heartbeats, some of which are lost.

    Attributes:
      names: All members; those of a zone are neighbours.
      dead: Members that have stopped.
      cross_bytes: Bytes of heartbeats that each member has sent to other zones.
      links: Members of other zones that each member has sent heartbeats to.
    """

    def __init__(self, members: int, zones: int, *, loss: float, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.names = [InstanceId(f"front-{n:04d}") for n in range(members)]
        per_zone = -(-members // zones)
        self.zone_of = {
            name: ZoneId(f"zone-{n // per_zone}") for n, name in enumerate(self.names)
        }
        self.dead: set[InstanceId] = set()
        self.cross_bytes = dict.fromkeys(self.names, 0)
        self.links: dict[InstanceId, set[InstanceId]] = {n: set() for n in self.names}
        self.detectors = {name: self._detector(name) for name in self.names}
        self._writer = EnvelopeWriter(self.names[0], 1, key="a key for tests only")
        self._listed_at = float("-inf")

    def _detector(self, name: InstanceId, incarnation: int = STARTED_AT_S) -> Detector:
        own = MemberLine(
            name, "10.0.0.1:7402", self.zone_of[name], incarnation, 0, Revision(1)
        )
        return Detector(own, suspect_after_s=SUSPECT_S, fanout=FANOUT, rng=self.rng)

    def restart(self, name: InstanceId, *, clock_s: int) -> None:
        """Starts a member anew, without knowledge of the others.

        Args:
          name: The member.
          clock_s: By how much its time of day is later than at its first start.
        """
        self.dead.discard(name)
        self.detectors[name] = self._detector(name, STARTED_AT_S + clock_s)
        self._list_for(name)

    def _list_for(self, name: InstanceId) -> None:
        listed = [(n, "10.0.0.1:7402", self.zone_of[n]) for n in self.names]
        self.detectors[name].observe_list(listed, self.now)

    def run(self, seconds: float) -> None:
        """Lets all living members send heartbeats for a time."""
        for _ in range(round(seconds / HEARTBEAT_S)):
            if self.now - self._listed_at >= LIST_S:
                self._listed_at = self.now
                for name in self.names:
                    self._list_for(name)
            living = [n for n in self.names if n not in self.dead]
            offsets = sorted((self.rng.uniform(0, 0.45), name) for name in living)
            for offset, name in offsets:
                self._beat(name, self.now + offset)
            self.now += HEARTBEAT_S

    def _beat(self, name: InstanceId, at: float) -> None:
        detector = self.detectors[name]
        sent = [detector.tick(at, revision=Revision(1)), detector.zone_heartbeat(at)]
        for heartbeat, targets in sent:
            size = 0
            for target in targets:
                if self.zone_of[target] != self.zone_of[name]:
                    size = size or len(self._writer.seal(heartbeat))
                    self.cross_bytes[name] += size
                    self.links[name].add(target)
                if target not in self.dead and self.rng.random() >= self.loss:
                    reminder = detector.reminder(target, at)
                    self.detectors[target].observe(reminder or heartbeat, at)

    def observers(self, zone: ZoneId | None = None) -> list[InstanceId]:
        """Returns up to 24 living members, evenly drawn, of one zone or of all."""
        living = [
            n
            for n in self.names
            if n not in self.dead and zone in (None, self.zone_of[n])
        ]
        return living[:: max(1, len(living) // 24)]

    def alive_share(self) -> tuple[float, float]:
        """Returns the shares of living members taken as alive: own zone, and others."""
        found = {True: [0, 0], False: [0, 0]}
        for observer in self.observers():
            alive = set(self.detectors[observer].alive(self.now))
            for name in self.names:
                if name in self.dead:
                    continue
                counts = found[self.zone_of[name] == self.zone_of[observer]]
                counts[0] += name in alive
                counts[1] += 1
        own, others = found[True], found[False]
        return own[0] / own[1], others[0] / max(1, others[1])

    def believed(self, name: InstanceId) -> list[InstanceId]:
        """Returns the observers that take a member as alive."""
        return [
            observer
            for observer in self.observers()
            if self.detectors[observer].is_alive(name, self.now)
        ]
