"""What is explored: actors that meet on the same rows, and invariants."""

from __future__ import annotations

import random

import msgspec

from coppercleat.batch import (
    ClaimRefusal,
    CommitOutcome,
    Division,
    ItemResult,
    JobRow,
    JobState,
    JobStore,
    SegmentRow,
)
from coppercleat.configuration import (
    Change,
    ConfigurationStore,
    Document,
    Kind,
    Operation,
)
from coppercleat.errors import CoppercleatError
from coppercleat.online import IdempotencyStore
from coppercleat.storage import Put, Transaction

_JOB = "job/j"
_SEGMENT = "segment/j/000000"


class _JobModel:
    """One segment of two chunks: a holder, one who takes it over, a canceller."""

    cancels = False

    def __init__(self, memory):
        self.memory = memory
        self.pointers = ("", "")
        self.ended = ""
        self.cancel_returned = False
        self.frozen = None
        self.committed = {}

    def start(self, platform):
        row = JobRow(
            job="j",
            tenant="t",
            deployment="d",
            job_key="",
            content_hash="",
            due_at=0,
            max_tokens=1,
            division=Division(items=2, segment_items=2, chunk_items=1),
            accepted_at=0,
        )
        puts = [Put(_JOB, msgspec.json.encode(row)), Put("open/j", b"{}")]
        self.memory.transact_now(Transaction(puts=puts))
        actors = [self._holder(platform, "a", 1), self._holder(platform, "b", 2)]
        if self.cancels:
            actors.append(self._canceller(platform))
        return actors

    async def _holder(self, platform, name, seed):
        store = JobStore(platform, clock=lambda: 1.0, rng=random.Random(seed))
        job, version = await store.reader.get("j")
        known = (await store.reader.segments(job)).get(0)
        held = await store.segments.claim(
            job, version, 0, instance=name, incarnation=1, known=known
        )
        if isinstance(held, ClaimRefusal):
            return held
        for chunk, done in enumerate(held.row.results):
            if done:
                continue
            results = [ItemResult(index=chunk, text=f"by {name}")]
            outcome = await store.segments.commit(held, chunk, results)
            if outcome is not CommitOutcome.DONE:
                return outcome
            self.committed[chunk] = name
        return await store.finisher.complete_if_done("j")

    async def _canceller(self, platform):
        store = JobStore(platform, clock=lambda: 2.0, rng=random.Random(3))
        row = await store.finisher.cancel("j")
        self.cancel_returned = True
        return row

    def check(self, actors, ended):
        pointers = self._pointers()
        for before, now in zip(self.pointers, pointers, strict=True):
            assert before in ("", now), f"a result changed from {before} to {now}"
        self.pointers = pointers
        for name in filter(None, pointers):
            assert name in self.memory.objects, f"{name} is pointed at and missing"
        job = msgspec.json.decode(self.memory.rows[_JOB].value, type=JobRow)
        if job.state is JobState.COMPLETED:
            assert all(pointers), "completed with results missing"
        assert self.ended in ("", job.state.value), "an ended job changed its state"
        if job.state is not JobState.OPEN:
            self.ended = job.state.value
        if self.cancel_returned:
            self.frozen = self.frozen if self.frozen is not None else pointers
            assert pointers == self.frozen, "a result appeared after the cancellation"
            assert job.state is JobState.CANCELLED
        for chunk, name in self.committed.items():
            body = self.memory.objects[pointers[chunk]] if pointers[chunk] else b""
            assert f"by {name}".encode() in body, f"{name}'s commit is not readable"
        if ended:
            self._check_end(actors, job)

    def _check_end(self, actors, job):
        finished = [a for a in actors[:2] if a.result is True]
        if finished:
            assert job.state is not JobState.OPEN, "said to be ended and open"

    def _pointers(self):
        row = self.memory.rows.get(_SEGMENT)
        if row is None:
            return ("", "")
        return msgspec.json.decode(row.value, type=SegmentRow).results


class _CancelModel(_JobModel):
    """The same with a cancellation at any moment."""

    cancels = True


class _OperatorsModel:
    """Two operators who saw the same revision."""

    def __init__(self, memory):
        self.memory = memory

    def start(self, platform):
        return [self._operator(platform, name) for name in ("x", "y")]

    async def _operator(self, platform, name):
        store = ConfigurationStore(platform, clock=lambda: 1.0)
        operation = Operation(kind=Kind.MODEL, name=name, body=b"{}")
        return await store.apply(
            Document(), [operation], seen=0, change_id=name, author=name
        )

    def check(self, actors, ended):
        changes = {
            key: msgspec.json.decode(row.value, type=Change)
            for key, row in self.memory.rows.items()
            if key.startswith("config/change/")
        }
        ids = [change.change_id for change in changes.values()]
        assert len(ids) == len(set(ids)) <= 1, f"both were accepted: {ids}"
        for name, actor in zip(("x", "y"), actors, strict=True):
            if actor.result is None:
                continue
            if isinstance(actor.result, CoppercleatError):
                refused = actor.result.kind == "conflict"
                assert not (refused and name in ids), f"{name} refused and applied"
            else:
                assert ids == [name], f"{name} was told yes, applied is {ids}"


class _ClaimsModel:
    """Two instances that get the same keyed request."""

    def __init__(self, memory):
        self.memory = memory

    def start(self, platform):
        return [self._caller(platform, name) for name in ("r1", "r2")]

    async def _caller(self, platform, name):
        found = await IdempotencyStore(platform).claim("t", "k", name, b"same")
        return "runs" if found is None else "waits"

    def check(self, actors, ended):
        runs = [actor for actor in actors if actor.result == "runs"]
        assert len(runs) <= 1, "both run"


MODELS = {
    "takeover": _JobModel,
    "takeover and cancellation": _CancelModel,
    "racing operators": _OperatorsModel,
    "keyed requests": _ClaimsModel,
}


def without(prefix):
    """Returns a plant that removes the checks of keys with a prefix."""

    def plant(transaction):
        checks = [c for c in transaction.checks if not c.key.startswith(prefix)]
        return msgspec.structs.replace(transaction, checks=checks)

    return plant
