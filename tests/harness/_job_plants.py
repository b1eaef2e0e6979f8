"""Faults planted in the product, which plays of jobs must find."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

import msgspec

from coppercleat.ids import JobRef
from coppercleat.jobs import JobIndex, JobRepository, JobWorker, _index
from coppercleat.jobs._records import CancellationRow
from coppercleat.storage import Changes, HistoryLostError

Plant = Callable[[], contextlib.AbstractContextManager[Any]]

PLANTS: dict[str, Plant] = {}
"""By the words of a feature's row."""


def plant(words: str) -> Callable[[Callable[[], Iterator[None]]], Plant]:
    """Returns a decorator that registers a planted fault."""

    def register(make: Callable[[], Iterator[None]]) -> Plant:
        PLANTS[words] = contextlib.contextmanager(make)
        return PLANTS[words]

    return register


@contextlib.contextmanager
def _without_checks(prefix: str, method: str) -> Iterator[None]:
    """Drops the checks of keys with a prefix from a method's transactions."""
    original = getattr(JobRepository, method)

    async def call(self: JobRepository, *args: Any, **options: Any) -> Any:
        unchecked = JobRepository(
            _Unchecked(self.platform, prefix), clock=self.clock, rng=self.rng
        )
        return await original(unchecked, *args, **options)

    with mock.patch.object(JobRepository, method, call):
        yield


class _Unchecked:
    """A store whose transactions lose their checks of some keys."""

    def __init__(self, platform: Any, prefix: str) -> None:
        self.platform = platform
        self.prefix = prefix

    async def transact(self, transaction: Any) -> Any:
        checks = [c for c in transaction.checks if not c.key.startswith(self.prefix)]
        return await self.platform.transact(
            msgspec.structs.replace(transaction, checks=checks)
        )

    def __getattr__(self, name: str) -> Any:
        return getattr(self.platform, name)


@plant("takeovers without a check of the version")
def _unchecked_takeovers() -> Iterator[None]:
    with _without_checks("job/", "set_owner"):
        yield


@plant("commits without a check of the version")
def _unchecked_commits() -> Iterator[None]:
    with _without_checks("job/", "commit"):
        yield


@plant("acceptances without a check for an earlier one")
def _unchecked_acceptances() -> Iterator[None]:
    with _without_checks("job/", "accept"):
        yield


@plant("no full reads of jobs")
def _no_full_reads() -> Iterator[None]:
    with mock.patch.object(_index, "FULL_READ_INTERVAL_S", float("inf")):
        yield


@plant("a version taken as read before all was read, and no full reads")
def _version_first() -> Iterator[None]:
    original = JobIndex._read_all

    async def read_all(self: JobIndex) -> None:
        self._next_full_read_at = float("inf")
        self._version = await self.platform.newest_version()
        await original(self)

    with _no_full_reads(), mock.patch.object(JobIndex, "_read_all", read_all):
        yield


@plant("no row that a cancellation writes")
def _no_cancellation_row() -> Iterator[None]:
    empty = CancellationRow(unlisted=())
    with mock.patch(
        "coppercleat.jobs._repository._cancellation_row", lambda row: empty
    ):
        yield


@plant("no look for owned jobs that do not run")
def _no_look() -> Iterator[None]:
    original = JobWorker._start_job

    def start(self: JobWorker, stored: Any, why: str) -> None:
        if "not running" not in why:
            original(self, stored, why)

    with mock.patch.object(JobWorker, "_start_job", start):
        yield


@plant("a change that does not stop a job")
def _deaf_owner() -> Iterator[None]:
    with mock.patch.object(JobWorker, "_job_changed", lambda self, stored: None):
        yield


@plant("a lost history that is taken for no change")
def _lost_history() -> Iterator[None]:
    original = JobIndex.refresh

    async def refresh(self: JobIndex) -> None:
        platform = self.platform
        self.platform = _Deaf(platform)  # type: ignore[assignment]
        try:
            await original(self)
        finally:
            self.platform = platform

    with _no_full_reads(), mock.patch.object(JobIndex, "refresh", refresh):
        yield


class _Deaf:
    """A store that shows no change where it has lost its history."""

    def __init__(self, platform: Any) -> None:
        self.platform = platform

    async def changes(self, space: str, *, after: int) -> Any:
        try:
            return await self.platform.changes(space, after=after)
        except HistoryLostError:
            return Changes((), await self.platform.newest_version())

    def __getattr__(self, name: str) -> Any:
        return getattr(self.platform, name)


# Look-ups that tell jobs apart by their ids alone.


class _ById(dict[Any, Any]):
    """A mapping by host and id of jobs that goes by the id."""

    def __getitem__(self, ref: JobRef) -> Any:
        return super().__getitem__(ref.id)

    def __setitem__(self, ref: JobRef, value: Any) -> None:
        super().__setitem__(ref.id, value)

    def __delitem__(self, ref: JobRef) -> None:
        super().__delitem__(ref.id)

    def __contains__(self, ref: Any) -> bool:
        return super().__contains__(ref.id)

    def get(self, ref: JobRef, default: Any = None) -> Any:
        return super().get(ref.id, default)

    def pop(self, ref: JobRef, *default: Any) -> Any:
        return super().pop(ref.id, *default)

    def setdefault(self, ref: JobRef, default: Any = None) -> Any:
        return super().setdefault(ref.id, default)


class _IdsAlone(_ById):
    """A set of jobs that goes by the id."""

    def add(self, ref: JobRef) -> None:
        self[ref] = True

    def discard(self, ref: JobRef) -> None:
        self.pop(ref, None)


@contextlib.contextmanager
def _made_with(kind: type, change: Callable[[Any], None]) -> Iterator[None]:
    """Changes each object of a class right after it is made."""
    original = kind.__init__

    def make(self: Any, *args: Any, **options: Any) -> None:
        original(self, *args, **options)
        change(self)

    with mock.patch.object(kind, "__init__", make):
        yield


@plant("an index that goes by the id alone")
def _index_by_id() -> Iterator[None]:
    def change(index: JobIndex) -> None:
        index.jobs = _ById()

    with _made_with(JobIndex, change):
        yield


@plant("runs that are found by the id alone")
def _runs_by_id() -> Iterator[None]:
    def change(worker: JobWorker) -> None:
        worker.runs = worker._starter.runs = _ById()

    with _made_with(JobWorker, change):
        yield


@plant("jobs under way that are told by the id alone")
def _active_by_id() -> Iterator[None]:
    def change(worker: JobWorker) -> None:
        worker._active = _IdsAlone()  # type: ignore[assignment]

    with _made_with(JobWorker, change):
        yield


@plant("ownerless jobs that are told by the id alone")
def _orphans_by_id() -> Iterator[None]:
    def change(worker: JobWorker) -> None:
        worker._orphans = _ById()

    with _made_with(JobWorker, change):
        yield


@plant("progress that is taken by the id alone")
def _handovers_by_id() -> Iterator[None]:
    original = JobWorker.receive_handover

    def receive(self: JobWorker, ref: JobRef, items: Any) -> None:
        for active in list(self._active):
            if active.id == ref.id:
                original(self, active, items)

    with mock.patch.object(JobWorker, "receive_handover", receive):
        yield


@plant("a takeover that stops jobs by the id alone")
def _takeovers_by_id() -> Iterator[None]:
    original = JobWorker.stop_taken_job

    def stop(self: JobWorker, ref: JobRef) -> Any:
        found = [run for run in self.runs if run.id == ref.id]
        return [item for run in found for item in original(self, run)]

    with mock.patch.object(JobWorker, "stop_taken_job", stop):
        yield
