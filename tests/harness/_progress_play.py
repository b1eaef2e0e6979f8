"""Copies of a batch item's progress, drawn from a seed, without network or clock.

Owners follow each other; each loads the stored checkpoint and hears what previous
owners hand over: soon, late, twice, or not at all. The item runs at services whose
outputs have other lengths and words, and begins again where it is moved between them.
"""

from __future__ import annotations

import random

import attrs
import msgspec

from coppercleat.ids import JobId, SoftwareVersion, UpstreamId
from coppercleat.jobs import ItemSpec, JobRow, JobRun, StoredJob
from coppercleat.jobs._run import ItemAttemptOutcome
from coppercleat.serving import EVENT_STREAM, ItemEvents, StreamOrigin

ITEMS = 3
STEPS = 60
FINISH_STEPS = 100
ORIGINS = {
    StreamOrigin(service, SoftwareVersion(version)): length
    for service, version, length in (
        ("large", "v1", 12),
        ("large", "v1.1", 9),
        ("small", "v1", 4),
        ("small", "v1.1", 1),
    )
}
"""Events of a whole output, by what writes it."""


def output(origin: StreamOrigin) -> list[bytes]:
    """Returns the events of a whole output."""
    name = f"{origin.service} {origin.version}"
    return [f"{name} {n}".encode() for n in range(1, ORIGINS[origin] + 1)]


@attrs.define(eq=False)
class Owner:
    """An instance that owns the job or still believes so.

    Attributes:
      run: The job as it knows it.
      at: What each running item runs at, by the item's index.
    """

    run: JobRun
    at: dict[int, StreamOrigin] = attrs.field(factory=dict)


class ProgressPlay:
    """Plays one seed; ``problems`` has the listed texts that are no whole output."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.version = 1
        self.row = JobRow(
            job=JobId("job"),
            host="jobs.example",
            path="/",
            tokens=(20,) * ITEMS,
            accepted_at=0.0,
            due_at=60.0,
            expires_at=60.0,
        )
        self.specs = [ItemSpec(f"i-{n}", "/", [], b"", 20) for n in range(ITEMS)]
        self.checkpoints: dict = {}
        self.listed: dict[int, bytes] = {}
        self.owners = [self._load()]
        self.sent: list[list[ItemEvents]] = []
        self.steps: list[str] = []

    @property
    def problems(self) -> list[str]:
        wholes = [b"\n".join(output(origin)) for origin in ORIGINS]
        return [
            f"item {index}: {text!r}"
            for index, text in self.listed.items()
            if text not in wholes
        ]

    def play(self) -> None:
        """Draws and plays all steps, and lets the last owner finish the job."""
        for _ in range(STEPS):
            step = self.rng.choice(_STEPS)
            self.steps.append(step.__name__)
            step(self)
        last = self.owners[-1]
        for _ in range(FINISH_STEPS):
            _advance(self, last)
            self.commit(last)
        assert len(self.listed) == ITEMS, last.run.running

    def _load(self) -> Owner:
        row = msgspec.structs.replace(self.row, listed=tuple(self.listed_indexes()))
        return Owner(JobRun(StoredJob(row, self.version), self.specs, self.checkpoints))

    def listed_indexes(self) -> list[int]:
        return list(getattr(self, "listed", {}))

    def commit(self, owner: Owner, checkpoints: dict | None = None) -> None:
        """Commits as the store does: of the newest owner alone."""
        if owner is not self.owners[-1]:
            return
        self.version += 1
        for done in owner.run.finished:
            assert done.index not in self.listed, f"{done.index} is listed twice"
            self.listed[done.index] = done.text
        self.checkpoints.update(checkpoints or {})
        row = msgspec.structs.replace(self.row, listed=tuple(self.listed))
        owner.run.adopt(StoredJob(row, self.version))
        owner.run.record_checkpoints(checkpoints or {})


def _sent(items: list[ItemEvents]) -> list[ItemEvents]:
    """Returns progress as it is decoded at the receiver."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(items), type=list[ItemEvents])


def _start(play: ProgressPlay, owner: Owner) -> None:
    """Starts an item where it may go on, or from its beginning elsewhere."""
    if not owner.run.pending:
        return
    item = play.rng.choice(owner.run.pending)
    origin = play.rng.choice(list(ORIGINS))
    if item.events and item.origin != origin:
        item.begin_again()
    owner.run.start(item, UpstreamId("x"))
    owner.at[item.index] = origin


def _receive(owner: Owner, index: int, count: int) -> None:
    item, origin = owner.run.running[index], owner.at[index]
    events = output(origin)
    for number in range((item.last_event or 0) + 1, len(events) + 1)[:count]:
        item.record_event(
            number, events[number - 1], media_type=EVENT_STREAM, origin=origin
        )
    if len(item.events) == len(events):
        _stop(owner, index, ItemAttemptOutcome.COMPLETE)


def _stop(owner: Owner, index: int, outcome: ItemAttemptOutcome) -> None:
    owner.run.stop(owner.run.running[index], outcome, max_attempts=3, not_before=0.0)


def _advance(play: ProgressPlay, owner: Owner) -> None:
    _start(play, owner)
    for index in list(owner.run.running):
        _receive(owner, index, play.rng.randint(0, 12))


def _any_advances(play: ProgressPlay) -> None:
    _advance(play, play.rng.choice(play.owners[-2:]))


def _is_preempted(play: ProgressPlay) -> None:
    owner = play.rng.choice(play.owners[-2:])
    if owner.run.running:
        index = play.rng.choice(list(owner.run.running))
        _stop(owner, index, ItemAttemptOutcome.YIELDED)


def _commits(play: ProgressPlay) -> None:
    play.commit(play.owners[-1])


def _stores_checkpoints(play: ProgressPlay) -> None:
    owner = play.owners[-1]
    checkpoints = owner.run.new_checkpoints(play.rng.choice((1, 4)))
    if play.rng.random() < 0.3:
        # The item goes on, or begins again, while the store is at work.
        _is_preempted(play)
        _any_advances(play)
    play.commit(owner, checkpoints)


def _is_taken_over(play: ProgressPlay) -> None:
    """Another owner loads the job; previous ones may send what they have."""
    answers = [_sent(owner.run.progress()) for owner in play.owners[-2:]]
    play.rng.shuffle(answers)
    play.sent += [answer for answer in answers if play.rng.random() < 0.7]
    play.version += 1
    play.owners.append(play._load())
    for _ in range(play.rng.randint(0, 3)):
        if play.sent:
            # Late ones are of earlier takeovers, and some come twice.
            play.owners[-1].run.apply_handover(play.rng.choice(play.sent[-4:]))


def _is_discarded(play: ProgressPlay) -> None:
    """An answer turns out to be none, after its events may have been stored."""
    owner = play.owners[-1]
    if not owner.run.running:
        return
    index = play.rng.choice(list(owner.run.running))
    item, origin = owner.run.running[index], owner.at[index]
    keep, last_event = len(item.events), item.last_event
    for number in range((last_event or 0) + 1, (last_event or 0) + 20):
        item.record_event(number, b"poison", media_type=EVENT_STREAM, origin=origin)
    if play.rng.random() < 0.5:
        play.commit(owner, owner.run.new_checkpoints(1))
    if play.rng.random() < 0.3:
        play.sent.append(_sent(owner.run.progress()))
    item.discard_events(keep=keep, last_event=last_event)
    _stop(owner, index, ItemAttemptOutcome.BROKEN)
    play.commit(owner, owner.run.new_checkpoints(4))


_STEPS = (
    _is_discarded,
    _any_advances,
    _any_advances,
    _is_preempted,
    _commits,
    _stores_checkpoints,
    _is_taken_over,
)
