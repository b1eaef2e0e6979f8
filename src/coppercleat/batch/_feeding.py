"""Feeds the items of held segments to the runners that fall to this instance."""

from __future__ import annotations

import contextlib
from collections.abc import Callable

import attrs
import trio

from coppercleat.batch._feed import FEED_POLICIES, FeedPolicy, RunnerView
from coppercleat.batch._items import ItemResult
from coppercleat.batch._state import BatchState
from coppercleat.batch._work import ItemWork, SegmentWork
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

_TICK_S = 0.05
_IDLE_TICK_S = 0.5
_UPSTREAM_PAUSE_S = 0.25


@attrs.define(eq=False)
class _Running:
    """An item that runs on a runner."""

    work: ItemWork
    segment: SegmentWork
    scope: trio.CancelScope
    yielded: bool = False


@attrs.define(eq=False)
class _Feed:
    """What this instance feeds to one runner.

    Attributes:
      retired: Whether another instance feeds it now, or it is leaving; what
        runs may end, and nothing new is begun.
    """

    record: UpstreamRecord
    policy: FeedPolicy
    running: list[_Running] = attrs.field(factory=list)
    paused_until: float = 0.0
    retired: bool = False


class Feeding:
    """Starts items on runners, lets go of them, and gathers what they give."""

    def __init__(
        self, state: BatchState, *, on_chunk: Callable[[SegmentWork, int], None]
    ) -> None:
        """Prepares the feeding.

        Args:
          state: What the parts of the batch path share.
          on_chunk: Told of each chunk whose results are complete.
        """
        self.state = state
        self._on_chunk = on_chunk
        self._feeds: dict[UpstreamId, _Feed] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Feeds until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._schedule_forever)

    def online_changed(self, upstream: UpstreamId) -> None:
        """Lets go of a runner at once if online requests have come to it."""
        feed = self._feeds.get(upstream)
        if feed is not None:
            self._let_go(feed, trio.current_time())

    def limits(self) -> dict[UpstreamId, tuple[int, int]]:
        """Returns items running and the limit, for each runner fed."""
        now = trio.current_time()
        return {
            upstream: (len(feed.running), self._limit(feed, now))
            for upstream, feed in self._feeds.items()
        }

    def runners(self) -> int:
        """Returns how many runners are fed from here."""
        return sum(not feed.retired for feed in self._feeds.values())

    def running_segments(self) -> set[SegmentWork]:
        """Returns the segments of which any item runs."""
        return {r.segment for feed in self._feeds.values() for r in feed.running}

    def stop(self, segment: SegmentWork | None = None) -> None:
        """Cancels the items of a segment; of all, if none is named."""
        for feed in self._feeds.values():
            for running in feed.running:
                if segment is None or running.segment is segment:
                    self._yield(running)

    async def _schedule_forever(self) -> None:
        while True:
            self.state.wake = trio.Event()
            self._schedule(trio.current_time())
            active = self.state.held or any(f.running for f in self._feeds.values())
            with trio.move_on_after(_TICK_S if active else _IDLE_TICK_S):
                await self.state.wake.wait()

    def _schedule(self, now: float) -> None:
        self._refresh_feeds()
        for feed in self._feeds.values():
            self._let_go(feed, now)
            if feed.retired or now < feed.paused_until or self.state.results_full:
                continue
            limit = self._limit(feed, now)
            breaker = feed.record.breaker
            if breaker.state is CircuitState.HALF_OPEN:
                limit = min(limit, 1)
            while len(feed.running) < limit and self._start_next(feed):
                breaker.started()

    def _refresh_feeds(self) -> None:
        records = {record.upstream: record for record in self.state.fleet.fed()}
        for upstream, feed in list(self._feeds.items()):
            feed.retired = records.get(upstream) is not feed.record
            if feed.retired and not feed.running:
                del self._feeds[upstream]
        for upstream, record in records.items():
            if upstream not in self._feeds:
                policy = FEED_POLICIES[self.state.settings.policy]()
                self._feeds[upstream] = _Feed(record, policy)

    def services(self) -> set[str]:
        """Returns the services whose runners this instance feeds."""
        return {
            feed.record.node.service
            for feed in self._feeds.values()
            if not feed.retired
        }

    def _limit(self, feed: _Feed, now: float) -> int:
        view = RunnerView(
            online=self.state.fleet.online_total(feed.record.upstream),
            batch=len(feed.running),
            max_concurrency=self.state.settings.max_concurrency,
        )
        return feed.policy.limit(view, now)

    def _let_go(self, feed: _Feed, now: float) -> None:
        """Cancels the items that exceed the limit, the latest begun first."""
        excess = len(feed.running) - self._limit(feed, now)
        for running in reversed(feed.running):
            if excess <= 0:
                return
            if not running.yielded:
                self._yield(running)
                self.state.metrics.yields.inc({"upstream": feed.record.upstream})
            excess -= 1

    @staticmethod
    def _yield(running: _Running) -> None:
        running.yielded = True
        running.scope.cancel()

    def _start_next(self, feed: _Feed) -> bool:
        for segment in self.state.held:
            deployment = self.state.deployment_of(segment)
            if deployment is None or deployment.service != feed.record.node.service:
                continue
            work = segment.take()
            if work is None:
                continue
            running = _Running(work, segment, trio.CancelScope())
            feed.running.append(running)
            feed.record.batch += 1
            assert self._nursery is not None
            self._nursery.start_soon(self._run_item, feed, running, deployment)
            return True
        return False

    async def _run_item(
        self, feed: _Feed, running: _Running, deployment: Deployment
    ) -> None:
        work, segment = running.work, running.segment
        result: ItemResult | None = None
        try:
            with (
                running.scope,
                trio.move_on_after(self.state.settings.item_timeout_s) as limit,
            ):
                result = await self._execute(feed, work, segment, deployment)
            if limit.cancelled_caught and not running.yielded:
                why = f"no answer within {self.state.settings.item_timeout_s} s"
                self._lost(feed, work, ("timeout", why))
        finally:
            feed.running.remove(running)
            feed.record.batch -= 1
            self.state.wake.set()
        if result is None and work.given_up(self.state.settings.max_attempts):
            result = _gave_up(work)
        if result is None:
            segment.put_back(work)
            return
        self._finish(segment, work, result)

    def _lost(self, feed: _Feed, work: ItemWork, error: tuple[str, str]) -> None:
        """Notes an attempt without an answer, and lets the upstream rest."""
        now = trio.current_time()
        work.lost(feed.record.breaker, error)
        feed.record.breaker.failed(now)
        feed.paused_until = now + _UPSTREAM_PAUSE_S

    async def _execute(
        self,
        feed: _Feed,
        work: ItemWork,
        segment: SegmentWork,
        deployment: Deployment,
    ) -> ItemResult | None:
        """Runs an item; None means that it must run again."""
        job = segment.held.job
        tokens = work.item.max_tokens or job.max_tokens or deployment.default_max_tokens
        if len(work.made) >= tokens:
            return _answered(work)
        work.attempts += 1
        request = EngineRequest(
            request_id=f"{job.job}-{work.index}.{work.attempts}",
            model=self.state.pick_version(deployment),
            prompt=work.item.prompt,
            max_tokens=tokens,
            resume_tokens=len(work.made),
        )
        attempt = Attempt()
        client = self.state.fleet.batch_client(feed.record.upstream)
        try:
            answer = client.generate(request, attempt)
            async with contextlib.aclosing(answer) as parts:
                async for texts in parts:
                    work.made += texts
        except UpstreamFailedError as error:
            if error.outcome is Outcome.RUN:
                work.refused((error.kind, error.message))
            else:
                self._lost(feed, work, (error.kind, error.message))
            return None
        except UpstreamUnavailableError:
            work.attempts -= 1
            feed.record.breaker.failed(trio.current_time())
            return None
        except UpstreamRefusedError:
            work.attempts -= 1
            feed.paused_until = trio.current_time() + _UPSTREAM_PAUSE_S
            return None
        feed.record.breaker.succeeded()
        return _answered(work)

    def _finish(self, segment: SegmentWork, work: ItemWork, result: ItemResult) -> None:
        self.state.metrics.items.inc({"ended": "answered" if result.ok else "failed"})
        chunk = segment.finish(work, result)
        if chunk is not None and not segment.lost:
            self._on_chunk(segment, chunk)


def _gave_up(work: ItemWork) -> ItemResult:
    kind, message = work.last_error
    return ItemResult(
        index=work.index,
        id=work.item.id,
        ok=False,
        error_kind=kind,
        error_message=message,
        attempts=work.attempts,
    )


def _answered(work: ItemWork) -> ItemResult:
    return ItemResult(
        index=work.index,
        id=work.item.id,
        text="".join(work.made),
        attempts=work.attempts,
    )
