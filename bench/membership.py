"""Detection time, false suspicions and bytes of the heartbeats, as a pure model.

``python -m bench.membership`` drives the real detectors of one zone, round by
round, with messages lost at random; there is no network model. A quarter of the
rounds in, one member dies.
"""

from __future__ import annotations

import random

import attrs

from bench._report import figure
from coppercleat.ids import InstanceId, Revision, ZoneId
from coppercleat.membership import Detector, EnvelopeWriter, MemberLine

_HEARTBEAT_S = 0.5
_SUSPECT_S = 3.0
_KEY = "a key for measuring only"


@attrs.define
class Outcome:
    """What one run showed; times in seconds, bytes a second of one member."""

    first_s: float
    last_s: float
    false_suspicions: int
    bytes_per_s: float


def run(members: int, *, loss: float, fanout: int, seed: int, rounds: int) -> Outcome:
    """Runs a zone of members and kills one."""
    rng = random.Random(seed)
    names = [InstanceId(f"entry-{index:04d}") for index in range(members)]
    detectors = {name: _detector(name, fanout, rng) for name in names}
    for detector in detectors.values():
        detector.observe_list([(n, "10.0.0.1:7402", ZoneId("z")) for n in names], 0.0)
    dead, dies_at = names[0], _HEARTBEAT_S * (rounds // 4)
    noticed: dict[InstanceId, float] = {}
    false = sent = 0
    writer = EnvelopeWriter(names[0], 1, key=_KEY)
    for number in range(rounds):
        now = _HEARTBEAT_S * number
        living = [n for n in names if n != dead or now < dies_at]
        for name in rng.sample(living, len(living)):
            at = now + rng.uniform(0, _HEARTBEAT_S * 0.9)
            heartbeat, targets = detectors[name].tick(at, revision=Revision(1))
            size = len(writer.seal(heartbeat)) if name == living[-1] else 0
            sent += size * len(targets)
            for target in targets:
                if target in living and rng.random() >= loss:
                    detectors[target].observe(heartbeat, at)
        if now < _SUSPECT_S:
            continue
        for name in living:
            for other in names:
                if detectors[name].is_alive(other, now):
                    continue
                if other != dead or now < dies_at:
                    false += 1
                elif name not in noticed:
                    noticed[name] = now - dies_at
    times = sorted(noticed.values()) or [float("nan")]
    lasted = rounds * _HEARTBEAT_S
    return Outcome(times[0], times[-1], false, sent / lasted)


def _detector(name: InstanceId, fanout: int, rng: random.Random) -> Detector:
    line = MemberLine(name, "10.0.0.1:7402", ZoneId("z"), 1, 0, Revision(1))
    return Detector(line, suspect_after_s=_SUSPECT_S, fanout=fanout, rng=rng)


if __name__ == "__main__":
    for size in (12, 42):
        for lost in (0.0, 0.1, 0.3):
            found = run(size, loss=lost, fanout=4, seed=1, rounds=80)
            figure(
                "membership_detection_s",
                found.last_s,
                members=size,
                loss=lost,
                first_s=found.first_s,
                false_suspicions=found.false_suspicions,
                bytes_per_s=found.bytes_per_s,
            )
