"""What clients ask of jobs, answered from the ledger and the board."""

from __future__ import annotations

import enum
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec
import trio

from coppercleat.errors import CoppercleatError, PlatformUnavailableError
from coppercleat.ids import JobId
from coppercleat.jobs import (
    NOBODY,
    Held,
    JobBoard,
    JobRow,
    JobWorker,
    Ledger,
    OverQuota,
    ResultsPage,
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

_T = TypeVar("_T")

_log = part_logger("jobs")


class JobAnswer(enum.Enum):
    """How a call about a job ends."""

    ACCEPTED = "accepted"
    OVER_QUOTA = "over_quota"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FOUND = "found"
    ENDED = "ended"
    ABSENT = "absent"
    UNSURE = "unsure"


class DeskReply(msgspec.Struct, kw_only=True):
    """An answer about a job.

    Attributes:
      page: Results, where they were asked for and found.
      body: An item's body, where it was asked for and found.
    """

    answer: JobAnswer
    page: ResultsPage | None = None
    body: bytes = b""
    retry_after_s: float = 0.0


class JobsDesk:
    """Accepts, shows and ends jobs at any instance."""

    def __init__(
        self,
        ledger: Ledger,
        board: JobBoard,
        worker: JobWorker,
        *,
        quota_tolerance: float,
        on_submit: Callable[[str], None],
    ) -> None:
        """Prepares the desk.

        Args:
          ledger: Where jobs lie.
          board: What is known of them here.
          worker: Runs the jobs accepted here.
          quota_tolerance: Share by which waiting tokens may exceed their limit;
            half of it is used, the rest covers what was not seen in time.
          on_submit: Told how each submission was answered.
        """
        self.ledger = ledger
        self.board = board
        self.worker = worker
        self.quota_tolerance = quota_tolerance / 2
        self.on_submit = on_submit

    async def submit(self, submission: Submission, route: Route) -> DeskReply:
        """Accepts a job once, or says truthfully that nothing of it will run."""
        began = trio.current_time()
        reply = DeskReply(answer=JobAnswer.UNKNOWN)
        with trio.move_on_after(ACCEPT_WITHIN_S):
            reply = await self._accept(submission, route)
        self.on_submit(reply.answer.value)
        _log.info(
            "Job submitted.",
            job=submission.job,
            items=len(submission.items),
            outcome=reply.answer.value,
            ms=round((trio.current_time() - began) * 1000),
        )
        return reply

    async def _accept(self, submission: Submission, route: Route) -> DeskReply:
        if not self.board.loaded:
            return _not_run()
        uncertain = False
        while True:
            try:
                accepted = await self.ledger.accept(
                    submission,
                    route,
                    owner=self.worker.owner if self.worker.may_own else NOBODY,
                    finished_tokens=self.board.finished_tokens,
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
            if isinstance(accepted, OverQuota):
                return _over_quota(uncertain=uncertain)
            self.worker.own(accepted)
            return DeskReply(answer=JobAnswer.ACCEPTED)

    async def results(self, host: str, job: JobId, *, after: int) -> DeskReply:
        """Returns results from a position on."""

        async def read() -> DeskReply:
            row = await self._row(host, job)
            if row is None:
                return DeskReply(answer=JobAnswer.ABSENT)
            page = await self.ledger.results(host, job, row.total, after=after)
            return DeskReply(answer=JobAnswer.FOUND, page=page)

        return await _bounded(read)

    async def item_body(self, host: str, job: JobId, item: str) -> DeskReply:
        """Returns the body of an item that is not listed yet."""

        async def read() -> DeskReply:
            held = await self.ledger.find(host, job)
            if held is None or held.row.ended:
                return DeskReply(answer=JobAnswer.ABSENT)
            specs = await self.ledger.items(held.row)
            listed = set(held.row.listed)
            for index, spec in enumerate(specs):
                if spec.id == item and index not in listed:
                    return DeskReply(answer=JobAnswer.FOUND, body=spec.body)
            return DeskReply(answer=JobAnswer.ABSENT)

        return await _bounded(read)

    async def end(self, host: str, job: JobId) -> DeskReply:
        """Ends a job; ending it again is no error."""

        async def write() -> DeskReply:
            found = await self.ledger.end(host, job)
            held = await self.ledger.find(host, job)
            if held is not None:
                self.board.observe(held)
            answer = JobAnswer.ENDED if found else JobAnswer.ABSENT
            return DeskReply(answer=answer)

        return await _bounded(write)

    async def _row(self, host: str, job: JobId) -> JobRow | None:
        """Returns a job's row; what never changes may come from the board."""
        known: Held | None = self.board.get(job)
        if known is not None and known.row.host == host:
            return known.row
        held = await self.ledger.find(host, job)
        if held is not None:
            self.board.observe(held)
        return held.row if held else None


async def _bounded(call: Callable[[], Awaitable[DeskReply]]) -> DeskReply:
    """Answers in time, or says that the answer is not known."""
    with trio.move_on_after(ANSWER_WITHIN_S):
        try:
            return await call()
        except CoppercleatError as error:
            _log.debug("A job could not be read.", reason=str(error))
    return DeskReply(answer=JobAnswer.UNSURE, retry_after_s=UNAVAILABLE_RETRY_S)


def _not_run() -> DeskReply:
    return DeskReply(answer=JobAnswer.NOT_RUN, retry_after_s=UNAVAILABLE_RETRY_S)


def _over_quota(*, uncertain: bool) -> DeskReply:
    if uncertain:
        return DeskReply(answer=JobAnswer.UNKNOWN)
    return DeskReply(answer=JobAnswer.OVER_QUOTA, retry_after_s=QUOTA_RETRY_S)
