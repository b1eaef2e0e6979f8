"""Clients' calls about jobs, translated for the gateway."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Awaitable, Callable

import msgspec

from coppercleat.gateway import Gateway, JobAnswer
from coppercleat.ids import NO_ACCOUNT, JobId, TenantId
from coppercleat.jobs import ItemSpec, ItemState, ResultsPage, Submission
from coppercleat.platform._names import ACCOUNT_HEADERS, Path
from coppercleat.platform._reply import JSON, HttpReply, bad_call, retry_after
from coppercleat.serving import Header, Route

MAX_ITEMS = 200
"""Items of one job, by the platform."""

_JOB_STATUS = {
    JobAnswer.ACCEPTED: 202,
    JobAnswer.OVER_QUOTA: 429,
    JobAnswer.NOT_RUN: 503,
    # Neither 429 nor 503: the job may have been accepted.
    JobAnswer.UNKNOWN: 504,
    JobAnswer.FOUND: 200,
    JobAnswer.ENDED: 200,
    JobAnswer.ABSENT: 404,
    JobAnswer.TAKEN_ID: 400,
    JobAnswer.UNSURE: 503,
}

_ITEM_WORD = {
    ItemState.COMPLETED: "completed",
    ItemState.FAILED: "dead_letter",
    ItemState.CANCELLED: "dead_letter",
}


class _WireItem(msgspec.Struct):
    id: str
    path: str
    headers: dict[str, str] = {}
    body: str = ""
    tokens: int = 0


class _WireJob(msgspec.Struct):
    items: list[_WireItem]


class _WireResult(msgspec.Struct):
    id: str
    state: str
    text: str


class _WirePage(msgspec.Struct):
    total: int
    next: int
    results: list[_WireResult]


class JobCaller(msgspec.Struct, frozen=True):
    """Who calls about a job.

    Attributes:
      host: Host of the call.
      account: See ``JobService``.
    """

    host: str
    account: TenantId | None


async def submit_job(
    gateway: Gateway, reply: HttpReply, submission: Submission, route: Route
) -> None:
    """Answers a submission."""
    answer = await gateway.jobs.submit(submission, route)
    await _send_job_answer(reply, answer.answer, b"", [], answer.retry_after_s)


def decode_submission(
    job: str, host: str, path: str, body: bytes, *, account: TenantId | None
) -> Submission:
    """Translates a job; an item that does not fit spoils the whole.

    Args:
      job: Id of the job.
      host: Host that it was submitted to.
      path: Path that it was submitted to.
      body: The job.
      account: The client account, empty if none is known; None where there are none.
    """
    try:
        wire = msgspec.json.decode(body, type=_WireJob)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise bad_call(f"the job does not fit: {error}") from error
    if not 1 <= len(wire.items) <= MAX_ITEMS:
        raise bad_call(f"a job has 1 to {MAX_ITEMS} items")
    if len({item.id for item in wire.items}) < len(wire.items):
        raise bad_call("two items have the same id")
    return Submission(
        job=JobId(job),
        host=host,
        path=path,
        items=[_item(i, has_accounts=account is not None) for i in wire.items],
        account=account or NO_ACCOUNT,
    )


def without_account(headers: list[Header]) -> list[Header]:
    """Returns headers without a key, and without an account that a client names."""
    return [h for h in headers if h[0].lower() not in ACCOUNT_HEADERS]


def _item(wire: _WireItem, *, has_accounts: bool) -> ItemSpec:
    try:
        body = base64.b64decode(wire.body, validate=True)
    except binascii.Error as error:
        raise bad_call(f"the body of item {wire.id} is no base64") from error
    if not wire.path.startswith("/") or wire.tokens < 0 or not wire.id:
        raise bad_call(f"item {wire.id!r} has no valid path, id or tokens")
    headers = [(name.encode(), value.encode()) for name, value in wire.headers.items()]
    if has_accounts:
        headers = without_account(headers)
    return ItemSpec(wire.id, wire.path, headers, body, wire.tokens)


async def _send_results(
    gateway: Gateway, reply: HttpReply, caller: JobCaller, job: JobId, query: dict
) -> None:
    after = query.get("after", ["0"])[0]
    if not after.isdigit():
        raise bad_call("after is no whole number")
    answer = await gateway.jobs.results(
        caller.host, job, after=int(after), account=caller.account
    )
    body = _encode_page(answer.page) if answer.page else b""
    await _send_job_answer(reply, answer.answer, body, [JSON], answer.retry_after_s)


async def _send_item_body(
    gateway: Gateway, reply: HttpReply, caller: JobCaller, job: JobId, query: dict
) -> None:
    item = query.get("id", [""])[0]
    answer = await gateway.jobs.item_body(
        caller.host, job, item, account=caller.account
    )
    await _send_job_answer(reply, answer.answer, answer.body, [], answer.retry_after_s)


async def _end_job(
    gateway: Gateway, reply: HttpReply, caller: JobCaller, job: JobId, query: dict
) -> None:
    answer = await gateway.jobs.end(caller.host, job, account=caller.account)
    await _send_job_answer(reply, answer.answer, b"", [], answer.retry_after_s)


async def _send_job_answer(
    reply: HttpReply,
    answer: JobAnswer,
    body: bytes,
    headers: list[Header],
    retry_after_s: float,
) -> None:
    if retry_after_s:
        headers = [*headers, retry_after(retry_after_s)]
    await reply.whole(_JOB_STATUS[answer], headers, body)


def _encode_page(page: ResultsPage) -> bytes:
    results = [
        _WireResult(r.item, _ITEM_WORD[r.state], r.text.decode("utf-8", "replace"))
        for r in page.results
    ]
    return msgspec.json.encode(_WirePage(page.total, page.next, results))


JobCall = Callable[[Gateway, HttpReply, JobCaller, JobId, dict], Awaitable[None]]

JOB_CALLS: tuple[tuple[str, str, JobCall], ...] = (
    (Path.JOB, "GET", _send_results),
    (Path.JOB_ITEM, "GET", _send_item_body),
    (Path.JOB, "DELETE", _end_job),
)
"""Paths and methods of calls about a job, and what answers them."""
