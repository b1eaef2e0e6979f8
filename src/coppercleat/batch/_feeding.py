"""Dispatches items of held segments to the upstreams assigned to this instance."""

from __future__ import annotations

import contextlib
from collections.abc import Callable

import attrs
import trio

from coppercleat.batch._feed import (
    DISPATCH_POLICIES,
    DispatchPolicy,
    UpstreamUsage,
)
from coppercleat.batch._items import ItemResult
from coppercleat.batch._segment_work import ItemWork, SegmentWork
from coppercleat.batch._state import BatchState
from coppercleat.configuration import Deployment
from coppercleat.errors import (
    Outcome,
    UpstreamFailedError,
    UpstreamRefusedError,
    UpstreamUnavailableError,
)
from coppercleat.ids import UpstreamId
from coppercleat.routing import CircuitState, UpstreamRecord
from coppercleat.upstreams import Attempt, EngineRequest

_SCHEDULE_INTERVAL_S = 0.05
_IDLE_SCHEDULE_INTERVAL_S = 0.5
_UPSTREAM_RETRY_DELAY_S = 0.25


@attrs.define(eq=False)
class _RunningItem:
    """An item running on an upstream."""

    work: ItemWork
    segment: SegmentWork
    scope: trio.CancelScope
    preempted: bool = False


@attrs.define(eq=False)
class _UpstreamDispatch:
    """Items dispatched to one upstream.

    Attributes:
      record: Routing record of the upstream.
      policy: Limits the items running at once.
      running: Items running, the latest last.
      retry_at: Time before which no item is started, on trio's clock.
      retired: Whether the upstream is draining, unavailable or assigned to another
        instance; running items may finish, but none is started.
    """

    record: UpstreamRecord
    policy: DispatchPolicy
    running: list[_RunningItem] = attrs.field(factory=list)
    retry_at: float = 0.0
    retired: bool = False


class ItemDispatcher:
    """Starts and preempts items on upstreams, and collects their results."""

    def __init__(
        self, state: BatchState, *, on_chunk: Callable[[SegmentWork, int], None]
    ) -> None:
        """Initializes the dispatcher.

        Args:
          state: Shared batch state of this instance.
          on_chunk: Called with each segment and chunk whose results are complete.
        """
        self.state = state
        self._on_chunk = on_chunk
        self._upstreams: dict[UpstreamId, _UpstreamDispatch] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Dispatches items until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._schedule_forever)

    def online_changed(self, upstream: UpstreamId) -> None:
        """Preempts items over the limit after a change of an upstream's online load."""
        dispatch = self._upstreams.get(upstream)
        if dispatch is not None:
            self._preempt_excess(dispatch, trio.current_time())

    def limits(self) -> dict[UpstreamId, tuple[int, int]]:
        """Returns the number of running items and their limit, by upstream."""
        now = trio.current_time()
        return {
            upstream: (len(dispatch.running), self._limit(dispatch, now))
            for upstream, dispatch in self._upstreams.items()
        }

    def upstream_count(self) -> int:
        """Returns the number of upstreams that this instance dispatches to."""
        return sum(not dispatch.retired for dispatch in self._upstreams.values())

    def running_segments(self) -> set[SegmentWork]:
        """Returns the segments with running items."""
        return {
            r.segment for dispatch in self._upstreams.values() for r in dispatch.running
        }

    def stop(self, segment: SegmentWork | None = None) -> None:
        """Cancels the running items of a segment, or of all segments if None."""
        for dispatch in self._upstreams.values():
            for running in dispatch.running:
                if segment is None or running.segment is segment:
                    self._preempt(running)

    async def _schedule_forever(self) -> None:
        while True:
            self.state.wake = trio.Event()
            self._schedule(trio.current_time())
            active = self.state.held or any(d.running for d in self._upstreams.values())
            with trio.move_on_after(
                _SCHEDULE_INTERVAL_S if active else _IDLE_SCHEDULE_INTERVAL_S
            ):
                await self.state.wake.wait()

    def _schedule(self, now: float) -> None:
        self._refresh_upstreams()
        for dispatch in self._upstreams.values():
            self._preempt_excess(dispatch, now)
            if (
                dispatch.retired
                or now < dispatch.retry_at
                or self.state.at_uncommitted_limit
            ):
                continue
            limit = self._limit(dispatch, now)
            breaker = dispatch.record.breaker
            if breaker.state is CircuitState.HALF_OPEN:
                limit = min(limit, 1)
            while len(dispatch.running) < limit and self._start_next(dispatch):
                breaker.started()

    def _refresh_upstreams(self) -> None:
        records = {
            record.upstream: record
            for record in self.state.fleet.dispatched_upstreams()
        }
        for upstream, dispatch in list(self._upstreams.items()):
            dispatch.retired = records.get(upstream) is not dispatch.record
            if dispatch.retired and not dispatch.running:
                del self._upstreams[upstream]
        for upstream, record in records.items():
            if upstream not in self._upstreams:
                policy = DISPATCH_POLICIES[self.state.settings.policy]()
                self._upstreams[upstream] = _UpstreamDispatch(record, policy)

    def services(self) -> set[str]:
        """Returns the services whose upstreams this instance dispatches to."""
        return {
            dispatch.record.node.service
            for dispatch in self._upstreams.values()
            if not dispatch.retired
        }

    def _limit(self, dispatch: _UpstreamDispatch, now: float) -> int:
        usage = UpstreamUsage(
            online=self.state.fleet.online_total(dispatch.record.upstream),
            batch=len(dispatch.running),
            max_concurrency=self.state.settings.max_concurrency,
        )
        return dispatch.policy.limit(usage, now)

    def _preempt_excess(self, dispatch: _UpstreamDispatch, now: float) -> None:
        """Cancels items over the limit, the latest started first."""
        excess = len(dispatch.running) - self._limit(dispatch, now)
        for running in reversed(dispatch.running):
            if excess <= 0:
                return
            if not running.preempted:
                self._preempt(running)
                self.state.metrics.yields.inc({"upstream": dispatch.record.upstream})
            excess -= 1

    @staticmethod
    def _preempt(running: _RunningItem) -> None:
        running.preempted = True
        running.scope.cancel()

    def _start_next(self, dispatch: _UpstreamDispatch) -> bool:
        for segment in self.state.held:
            deployment = self.state.deployment_of(segment)
            if deployment is None or deployment.service != dispatch.record.node.service:
                continue
            work = segment.next_item()
            if work is None:
                continue
            running = _RunningItem(work, segment, trio.CancelScope())
            dispatch.running.append(running)
            dispatch.record.batch += 1
            assert self._nursery is not None
            self._nursery.start_soon(self._run_item, dispatch, running, deployment)
            return True
        return False

    async def _run_item(
        self, dispatch: _UpstreamDispatch, running: _RunningItem, deployment: Deployment
    ) -> None:
        work, segment = running.work, running.segment
        result: ItemResult | None = None
        try:
            with (
                running.scope,
                trio.move_on_after(self.state.settings.item_timeout_s) as limit,
            ):
                result = await self._execute(dispatch, work, segment, deployment)
            if limit.cancelled_caught and not running.preempted:
                message = f"no answer within {self.state.settings.item_timeout_s} s"
                self._handle_lost_attempt(dispatch, work, ("timeout", message))
        finally:
            dispatch.running.remove(running)
            dispatch.record.batch -= 1
            self.state.wake.set()
        if result is None and work.has_failed(self.state.settings.max_attempts):
            result = _failed_result(work)
        if result is None:
            segment.requeue(work)
            return
        self._finish(segment, work, result)

    def _handle_lost_attempt(
        self, dispatch: _UpstreamDispatch, work: ItemWork, error: tuple[str, str]
    ) -> None:
        """Records an attempt without a response, and delays the next one."""
        now = trio.current_time()
        work.record_lost_attempt(dispatch.record.breaker, error)
        dispatch.record.breaker.failed(now)
        dispatch.retry_at = now + _UPSTREAM_RETRY_DELAY_S

    async def _execute(
        self,
        dispatch: _UpstreamDispatch,
        work: ItemWork,
        segment: SegmentWork,
        deployment: Deployment,
    ) -> ItemResult | None:
        """Runs one attempt of an item; returns None if the item must run again."""
        job = segment.held.job
        tokens = work.item.max_tokens or job.max_tokens or deployment.default_max_tokens
        if len(work.generated) >= tokens:
            return _successful_result(work)
        work.attempts += 1
        request = EngineRequest(
            request_id=f"{job.job}-{work.index}.{work.attempts}",
            model=self.state.pick_version(deployment),
            prompt=work.item.prompt,
            max_tokens=tokens,
            resume_tokens=len(work.generated),
        )
        attempt = Attempt()
        client = self.state.fleet.batch_client(dispatch.record.upstream)
        try:
            stream = client.generate(request, attempt)
            async with contextlib.aclosing(stream) as parts:
                async for texts in parts:
                    work.generated += texts
        except UpstreamFailedError as error:
            if error.outcome is Outcome.RUN:
                work.record_refusal((error.kind, error.message))
            else:
                self._handle_lost_attempt(dispatch, work, (error.kind, error.message))
            return None
        except UpstreamUnavailableError:
            work.attempts -= 1
            dispatch.record.breaker.failed(trio.current_time())
            return None
        except UpstreamRefusedError:
            work.attempts -= 1
            dispatch.retry_at = trio.current_time() + _UPSTREAM_RETRY_DELAY_S
            return None
        dispatch.record.breaker.succeeded()
        return _successful_result(work)

    def _finish(self, segment: SegmentWork, work: ItemWork, result: ItemResult) -> None:
        self.state.metrics.items.inc({"ended": "answered" if result.ok else "failed"})
        chunk = segment.record_result(work, result)
        if chunk is not None and not segment.lost:
            self._on_chunk(segment, chunk)


def _failed_result(work: ItemWork) -> ItemResult:
    kind, message = work.last_error
    return ItemResult(
        index=work.index,
        id=work.item.id,
        ok=False,
        error_kind=kind,
        error_message=message,
        attempts=work.attempts,
    )


def _successful_result(work: ItemWork) -> ItemResult:
    return ItemResult(
        index=work.index,
        id=work.item.id,
        text="".join(work.generated),
        attempts=work.attempts,
    )
