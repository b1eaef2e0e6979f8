"""What clients ask of jobs, answered from the repository and the job_index."""

from __future__ import annotations

import enum
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec
import trio

from coppercleat.errors import CoppercleatError, PlatformUnavailableError
from coppercleat.ids import JobId, JobRef, TenantId
from coppercleat.jobs import (
    NO_OWNER,
    JobIndex,
    JobRepository,
    JobRow,
    JobWorker,
    OthersJob,
    OverQuota,
    ResultsPage,
    StoredJob,
    Submission,
)
from coppercleat.observability import part_logger
from coppercleat.serving import Route
from coppercleat.storage import AnswerLostError

ACCEPT_WITHIN_S = 3.0
"""A client resends a job that is not answered; it waits at least this long."""

ANSWER_WITHIN_S = 2.0
"""Reads that take longer are answered with an error that asks to come again."""

QUOTA_RETRY_S = 1.0
"""When to come back with a job that did not fit; items finish in some seconds."""

UNAVAILABLE_RETRY_S = 0.3

_SETTLE_PAUSE_S = 0.1

_SHOWN_POLL_S = 0.02
"""Pause between looks at what the changes have shown of a job whose client waits."""

_T = TypeVar("_T")

_log = part_logger("jobs")


class JobAnswer(enum.Enum):
    """How a call about a job ends.

    Attributes:
      TAKEN_ID: Another account has a job of that id; nothing of this one runs.
    """

    ACCEPTED = "accepted"
    OVER_QUOTA = "over_quota"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FOUND = "found"
    ENDED = "ended"
    ABSENT = "absent"
    TAKEN_ID = "taken_id"
    UNSURE = "unsure"


class JobReply(msgspec.Struct, kw_only=True):
    """An answer about a job.

    Attributes:
      page: Results, where they were asked for and found.
      body: An item's body, where it was asked for and found.
    """

    answer: JobAnswer
    page: ResultsPage | None = None
    body: bytes = b""
    retry_after_s: float = 0.0


class JobService:
    """Accepts, shows and ends jobs at any instance.

    A job of another account is not found. Callers without an account see the jobs that
    were submitted without one; ``account`` is None where there are no accounts, and
    everybody sees all jobs.
    """

    def __init__(
        self,
        repository: JobRepository,
        job_index: JobIndex,
        worker: JobWorker,
        *,
        quota_tolerance: float,
        on_submit: Callable[[str], None],
    ) -> None:
        """Prepares the service.

        Args:
          repository: Where jobs lie.
          job_index: What is known of them here.
          worker: Runs the jobs accepted here.
          quota_tolerance: Share by which waiting tokens may exceed their limit;
            half of it is used, the rest covers what was not seen in time.
          on_submit: Told how each submission was answered.
        """
        self.repository = repository
        self.job_index = job_index
        self.worker = worker
        self.quota_tolerance = quota_tolerance / 2
        self.on_submit = on_submit

    async def submit(self, submission: Submission, route: Route) -> JobReply:
        """Accepts a job once, or says truthfully that nothing of it will run."""
        began = trio.current_time()
        reply = JobReply(answer=JobAnswer.UNKNOWN)
        with trio.move_on_after(ACCEPT_WITHIN_S):
            reply = await _first_of(
                lambda: self._accept(submission, route),
                lambda: self._shown(submission.ref, submission.account, _accepted),
            )
        self.on_submit(reply.answer.value)
        _log.info(
            "Job submitted.",
            host=submission.host,
            job=submission.job,
            items=len(submission.items),
            outcome=reply.answer.value,
            ms=round((trio.current_time() - began) * 1000),
        )
        return reply

    async def _accept(self, submission: Submission, route: Route) -> JobReply:
        if not self.job_index.loaded:
            return _not_run()
        uncertain = False
        while True:
            try:
                accepted = await self.repository.accept(
                    submission,
                    route,
                    owner=self.worker.owner if self.worker.accepts_jobs else NO_OWNER,
                    finished_tokens=self.job_index.finished_tokens,
                    tolerance=self.quota_tolerance,
                )
            except AnswerLostError:
                uncertain = True
                await trio.sleep(_SETTLE_PAUSE_S)
                continue
            except PlatformUnavailableError:
                if not uncertain:
                    return _not_run()
                await trio.sleep(_SETTLE_PAUSE_S)
                continue
            if isinstance(accepted, OthersJob):
                return JobReply(answer=JobAnswer.TAKEN_ID)
            if isinstance(accepted, OverQuota):
                return _over_quota(uncertain=uncertain)
            self.worker.start_accepted_job(accepted)
            return JobReply(answer=JobAnswer.ACCEPTED)

    async def results(
        self, host: str, job: JobId, *, after: int, account: TenantId | None = None
    ) -> JobReply:
        """Returns results from a position on."""

        async def read() -> JobReply:
            row = await self._row(JobRef(host, job))
            if row is None or not _may_see(row, account):
                return JobReply(answer=JobAnswer.ABSENT)
            page = await self.repository.results(host, job, row.total, after=after)
            return JobReply(answer=JobAnswer.FOUND, page=page)

        return await _bounded(read)

    async def item_body(
        self, host: str, job: JobId, item: str, *, account: TenantId | None = None
    ) -> JobReply:
        """Returns the body of an item that is not listed yet."""

        async def read() -> JobReply:
            stored = await self.repository.find(host, job)
            if stored is None or stored.row.ended:
                return JobReply(answer=JobAnswer.ABSENT)
            if not _may_see(stored.row, account):
                return JobReply(answer=JobAnswer.ABSENT)
            specs = await self.repository.items(stored.row)
            listed = set(stored.row.listed)
            for index, spec in enumerate(specs):
                if spec.id == item and index not in listed:
                    return JobReply(answer=JobAnswer.FOUND, body=spec.body)
            return JobReply(answer=JobAnswer.ABSENT)

        return await _bounded(read)

    async def end(
        self, host: str, job: JobId, *, account: TenantId | None = None
    ) -> JobReply:
        """Ends a job; ending it again is no error.

        The end is known as soon as the store answers or the changes show it.
        """

        async def write() -> JobReply:
            row = await self._row(JobRef(host, job))
            if row is not None and not _may_see(row, account):
                return JobReply(answer=JobAnswer.ABSENT)
            found = await self.repository.cancel(host, job)
            stored = await self.repository.find(host, job)
            if stored is not None:
                self.job_index.observe(stored)
            answer = JobAnswer.ENDED if found else JobAnswer.ABSENT
            return JobReply(answer=answer)

        began = trio.current_time()
        reply = await _first_of(
            lambda: _bounded(write),
            lambda: self._shown(JobRef(host, job), account, _ended),
        )
        # An end without an answer may have taken effect: then nobody runs the job.
        _log.info(
            "Job's end asked.",
            host=host,
            job=job,
            outcome=reply.answer.value,
            ms=round((trio.current_time() - began) * 1000),
        )
        return reply

    def _shown(
        self,
        ref: JobRef,
        account: TenantId | None,
        answer_of: Callable[[JobRow], JobReply | None],
    ) -> JobReply | None:
        """Returns what the changes tell a client of its job, None for nothing yet."""
        known = self.job_index.get(ref)
        if known is None or not _may_see(known.row, account):
            return None
        return answer_of(known.row)

    async def _row(self, ref: JobRef) -> JobRow | None:
        """Returns a job's row; what never changes may come from the job_index."""
        known: StoredJob | None = self.job_index.get(ref)
        if known is not None:
            return known.row
        stored = await self.repository.find(ref.host, ref.id)
        if stored is not None:
            self.job_index.observe(stored)
        return stored.row if stored else None


def _may_see(row: JobRow, account: TenantId | None) -> bool:
    """Returns whether a caller may know of a job."""
    return account is None or row.account in ("", account)


def _accepted(row: JobRow) -> JobReply:
    return JobReply(answer=JobAnswer.ACCEPTED)


def _ended(row: JobRow) -> JobReply | None:
    return JobReply(answer=JobAnswer.ENDED) if row.ended else None


async def _first_of(
    call: Callable[[], Awaitable[JobReply]], shown: Callable[[], JobReply | None]
) -> JobReply:
    """Returns a call's answer, or what the changes show before it comes.

    An answer of the store that is lost costs its whole wait, some 2 s, while the
    change it would have told of is shown after some 0.4 s.
    """
    replies: list[JobReply] = []

    async def ask() -> None:
        replies.append(await call())
        nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        while (reply := shown()) is None:
            await trio.sleep(_SHOWN_POLL_S)
        replies.append(reply)
        nursery.cancel_scope.cancel()
    return replies[0]


async def _bounded(call: Callable[[], Awaitable[JobReply]]) -> JobReply:
    """Answers in time, or says that the answer is not known."""
    with trio.move_on_after(ANSWER_WITHIN_S):
        try:
            return await call()
        except CoppercleatError as error:
            _log.debug("A job could not be read.", reason=str(error))
    return JobReply(answer=JobAnswer.UNSURE, retry_after_s=UNAVAILABLE_RETRY_S)


def _not_run() -> JobReply:
    return JobReply(answer=JobAnswer.NOT_RUN, retry_after_s=UNAVAILABLE_RETRY_S)


def _over_quota(*, uncertain: bool) -> JobReply:
    if uncertain:
        return JobReply(answer=JobAnswer.UNKNOWN)
    return JobReply(answer=JobAnswer.OVER_QUOTA, retry_after_s=QUOTA_RETRY_S)
