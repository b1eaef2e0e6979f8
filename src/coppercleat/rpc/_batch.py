"""The batch service: submit, look at, cancel, and read results."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator
from typing import Any

from coppercleat.batch import (
    Item,
    ItemLineDecoder,
    JobRow,
    JobState,
    Progress,
    Submission,
    forecast,
)
from coppercleat.configuration import Deployment, Kind
from coppercleat.errors import InvalidRequestError, NotFoundError
from coppercleat.ids import DeploymentId, JobId, TenantId
from coppercleat.instance import Instance
from coppercleat.rpc._call import caller, require_running
from coppercleat.rpc._errors import typed_errors
from coppercleat.v1 import batch_pb
from coppercleat.v1.batch_connect import BatchService

_MAX_PAGE = 500
_MAX_KEY_CHARS = 200

_UNKNOWN_PROGRESS = Progress(
    items_completed=0, items_claimed=0, segments_done=0, unclaimed=[], held={}
)

_STATES = {
    JobState.OPEN: batch_pb.JobState.OPEN,
    JobState.COMPLETED: batch_pb.JobState.COMPLETED,
    JobState.CANCELLED: batch_pb.JobState.CANCELLED,
}


class BatchRpc(BatchService):
    """Serves ``coppercleat.v1.BatchService``."""

    def __init__(self, instance: Instance) -> None:
        self.instance = instance

    async def submit(
        self, requests: AsyncIterator[batch_pb.SubmitRequest], ctx: Any
    ) -> batch_pb.SubmitResponse:
        """Accepts a job durably or refuses it whole."""
        with typed_errors():
            require_running(self.instance)
            tenant = caller(self.instance, ctx)
            spec = await _read_spec(requests)
            deployment = self._deployment(spec.deployment)
            submission = Submission(
                tenant=tenant,
                deployment=DeploymentId(spec.deployment),
                job_key=spec.job_key,
                due_at=spec.due_at,
                max_tokens=spec.max_tokens,
            )
            batch = self.instance.settings.batch
            items = (
                self._stored_items(spec.input_object)
                if spec.input_object
                else _sent_items(requests)
            )
            submitted = await self.instance.jobs.acceptance.submit(
                submission,
                items,
                upstream_count=self._runners(deployment),
                max_items=batch.max_job_items,
                chunk_items=batch.chunk_items,
                segment_chunks=batch.segment_chunks,
            )
            if not submitted.resent:
                self.instance.batch.poll_now()
                self.instance.peers.hint_job(submitted.row.job)
            return batch_pb.SubmitResponse(
                job_id=submitted.row.job,
                items=submitted.row.division.items,
                resent=submitted.resent,
            )

    async def get_job(self, request: batch_pb.GetJobRequest, ctx: Any) -> batch_pb.Job:
        """Returns a job with its progress and forecast."""
        with typed_errors():
            row = await self._own_job(request.job_id, caller(self.instance, ctx))
            return await self._with_progress(row)

    async def list_jobs(
        self, request: batch_pb.ListJobsRequest, ctx: Any
    ) -> batch_pb.ListJobsResponse:
        """Returns a page of the caller's jobs, without progress."""
        with typed_errors():
            tenant = caller(self.instance, ctx)
            limit = min(request.page_size or _MAX_PAGE, _MAX_PAGE)
            rows, token = await self.instance.jobs.reader.list_page(
                after=request.page_token, limit=limit
            )
            jobs = [
                _job(row, _UNKNOWN_PROGRESS)
                for row in rows
                if row.tenant == tenant
                and (row.state is JobState.OPEN or not request.open_only)
            ]
            return batch_pb.ListJobsResponse(jobs=jobs, next_page_token=token)

    async def cancel(self, request: batch_pb.CancelRequest, ctx: Any) -> batch_pb.Job:
        """Cancels a job; no result appears once this has returned."""
        with typed_errors():
            row = await self._own_job(request.job_id, caller(self.instance, ctx))
            row = await self.instance.jobs.finisher.cancel(row.job)
            self.instance.batch.poll_now()
            self.instance.peers.hint_job(row.job)
            return await self._with_progress(row)

    async def read_results(
        self, request: batch_pb.ReadResultsRequest, ctx: Any
    ) -> batch_pb.ReadResultsResponse:
        """Returns one chunk of results; the token names the next chunk."""
        with typed_errors():
            row = await self._own_job(request.job_id, caller(self.instance, ctx))
            segment, chunk = _parse_token(request.page_token, row)
            results = await self.instance.jobs.reader.read_results(row, segment, chunk)
            following = _next_token(row, segment, chunk)
            if results is None:
                if row.state is not JobState.OPEN:
                    return batch_pb.ReadResultsResponse(next_page_token=following)
                return batch_pb.ReadResultsResponse(
                    next_page_token=f"{segment}.{chunk}", pending=True
                )
            return batch_pb.ReadResultsResponse(
                results=[
                    batch_pb.ItemResult(
                        index=result.index,
                        item_id=result.id,
                        ok=result.ok,
                        text=result.text,
                        error_kind=result.error_kind,
                        error_message=result.error_message,
                        attempts=result.attempts,
                    )
                    for result in results
                ],
                next_page_token=following,
            )

    def _deployment(self, name: str) -> Deployment:
        deployment = self.instance.keeper.document.get(Kind.DEPLOYMENT, name)
        if deployment is None:
            raise NotFoundError(f"There is no deployment {name!r}")
        return deployment

    def _runners(self, deployment: Deployment) -> int:
        nodes = self.instance.fleet.nodes
        return sum(node.service == deployment.service for node in nodes)

    async def _own_job(self, job: str, tenant: TenantId) -> JobRow:
        """Returns a job of the caller; another tenant's is not found."""
        row, _ = await self.instance.jobs.reader.get(JobId(job))
        if row.tenant != tenant:
            raise NotFoundError(f"There is no job {job}")
        return row

    async def _with_progress(self, row: JobRow) -> batch_pb.Job:
        progress = await self.instance.jobs.reader.progress(row)
        return _job(row, progress)

    async def _stored_items(self, name: str) -> AsyncIterator[list[Item]]:
        """Yields the items of an input that lies in the object store."""
        body = await self.instance.platform.get_object(name)
        if body is None:
            raise NotFoundError(f"There is no object {name!r}")
        lines = ItemLineDecoder()
        yield lines.feed(body)
        yield lines.finish()


def _job(row: JobRow, progress: Progress) -> batch_pb.Job:
    expected = forecast(row, progress, now=time.time())
    return batch_pb.Job(
        job_id=row.job,
        state=_STATES[row.state],
        spec=batch_pb.JobSpec(
            deployment=row.deployment,
            job_key=row.job_key,
            due_at=row.due_at,
            max_tokens=row.max_tokens,
        ),
        items=row.division.items,
        items_completed=progress.items_completed,
        accepted_at=row.accepted_at,
        finished_at=row.finished_at,
        late=expected.late,
        forecast_at=expected.ends_at,
    )


async def _read_spec(
    requests: AsyncIterator[batch_pb.SubmitRequest],
) -> batch_pb.JobSpec:
    async for request in requests:
        part = request.part
        if part is not None and part.field == "spec":
            return _checked(part.value)
        break
    raise InvalidRequestError(
        "The first message carries no spec", remedy="Send the spec, then the lines."
    )


def _checked(spec: Any) -> batch_pb.JobSpec:
    if len(spec.job_key) > _MAX_KEY_CHARS:
        raise InvalidRequestError(f"job_key exceeds {_MAX_KEY_CHARS} characters")
    if spec.due_at < 0:
        raise InvalidRequestError("due_at is negative")
    return spec


async def _sent_items(
    requests: AsyncIterator[batch_pb.SubmitRequest],
) -> AsyncIterator[list[Item]]:
    """Yields the items of the lines that follow the spec."""
    lines = ItemLineDecoder()
    async for request in requests:
        part = request.part
        if part is None or part.field != "lines":
            raise InvalidRequestError("Only the first message carries the spec")
        yield lines.feed(bytes(part.value))
    yield lines.finish()


def _parse_token(token: str, row: JobRow) -> tuple[int, int]:
    if not token:
        return 0, 0
    segment, _, chunk = token.partition(".")
    try:
        numbers = int(segment), int(chunk)
    except ValueError:
        raise InvalidRequestError(f"page_token {token!r} is not one") from None
    division = row.division
    if not 0 <= numbers[0] < division.segments:
        raise InvalidRequestError(f"page_token {token!r} is past the end")
    if not 0 <= numbers[1] < division.chunks(numbers[0]):
        raise InvalidRequestError(f"page_token {token!r} is past the end")
    return numbers


def _next_token(row: JobRow, segment: int, chunk: int) -> str:
    if chunk + 1 < row.division.chunks(segment):
        return f"{segment}.{chunk + 1}"
    if segment + 1 < row.division.segments:
        return f"{segment + 1}.0"
    return ""
