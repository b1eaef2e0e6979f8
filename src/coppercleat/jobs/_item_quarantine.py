"""Defers items under which upstreams have crashed, and logs it."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import trio

from coppercleat.ids import UpstreamId
from coppercleat.jobs._item_progress import ItemProgress, QuarantineState
from coppercleat.jobs._run import JobRun
from coppercleat.observability import part_logger
from coppercleat.quarantine import (
    ITEM_APART_S,
    CrashDetector,
    Verdict,
    VerdictKind,
    format_fingerprint,
)
from coppercleat.serving import Placement, Route, UpstreamState

_SLOT_RETRY_S = 0.25
"""Delay before an item that may go to few upstreams is tried there again."""

RECHECK_INTERVAL_S = 0.5
"""Interval at which the verdict on a quarantined item is requested again."""

_MIN_DEFER_S = 0.01
"""Shortest deferral: the time may not advance between two passes of the starter."""

_log = part_logger("jobs")


@attrs.frozen
class UpstreamLimits:
    """Upstreams that an item under which others crashed should keep away from.

    Attributes:
      ineligible: Those that it may not use.
      avoid: Sets of those that it uses only if there is no other, the worst first.
    """

    ineligible: set[UpstreamId] = attrs.field(factory=set)
    avoid: tuple[set[UpstreamId], ...] = ()


class ItemQuarantine:
    """Applies the verdicts on requests that crash upstreams to batch items."""

    def __init__(
        self, crash_detector: CrashDetector[UpstreamState], placement: Placement
    ) -> None:
        """Initializes the quarantine.

        Args:
          crash_detector: Holds the verdicts on requests under which upstreams crashed.
          placement: Knows which upstreams are steady, that is, have run for some time
            without a crash.
        """
        self.crash_detector = crash_detector
        self.placement = placement

    def verdict(self, run: JobRun, item: ItemProgress) -> Verdict:
        """Returns whether an item may run, given the upstream crashes under it."""
        return self.crash_detector.verdict(run.request_of(item))

    def limits(self, verdict: Verdict, service: str, *, now: float) -> UpstreamLimits:
        """Returns which upstreams an item may not use, and which it had better not.

        An item under which upstreams have crashed keeps away from others of that kind,
        so that a crash can be attributed to one of them; for ``ITEM_APART_S`` it waits
        for that. A trial avoids all other work, which its upstream's crash would
        interrupt.

        Args:
          verdict: Verdict on the item, given the upstream crashes under it.
          service: Service of the item.
          now: Seconds on this instance's clock.
        """
        if not verdict.crashes:
            return UpstreamLimits()
        beside_suspects = self.placement.upstreams_with_crash_suspects()
        unsteady = self.placement.upstreams_to_avoid(verdict, service, now=now)
        busy: set[UpstreamId] = set()
        if verdict.kind is VerdictKind.TRIAL:
            busy = self.placement.busy_upstreams()
        avoid = beside_suspects, busy, unsteady
        waits_apart = verdict.runs_apart and verdict.overdue_s < ITEM_APART_S
        return UpstreamLimits(beside_suspects if waits_apart else set(), avoid)

    def is_blocked(self, route: Route, verdict: Verdict) -> bool:
        """Returns whether an item without a slot waits for more than a free slot."""
        return not verdict.may_run or self.unsteady_verdict(route, verdict) is not None

    def unsteady_verdict(self, route: Route, verdict: Verdict) -> Verdict | None:
        """Returns the verdict on an item that may run but has found no slot.

        Returns:
          A verdict to wait for an upstream that the item may go to; None if it may go
          to any, so that it only waits for a free slot.
        """
        now, service = trio.current_time(), route.targets[0].service
        if not self.limits(verdict, service, now=now).ineligible:
            return None
        return Verdict(VerdictKind.UNSTEADY, _SLOT_RETRY_S, verdict.crashes)

    def defer_blocked(
        self,
        run: JobRun,
        route: Route,
        *,
        seconds_left: Callable[[ItemProgress], float],
        due_in_s: float,
    ) -> None:
        """Defers all items of a job that may not run or find no permitted upstream.

        Only the first item of a job is considered for a slot, so that each blocked
        item would otherwise delay those behind it by one scheduling pass.

        Args:
          run: The job.
          route: The job's route.
          seconds_left: Estimates how many seconds an item needs if it starts now.
          due_in_s: Seconds until the job is due.
        """
        now = trio.current_time()
        for item in [item for item in run.pending if item.not_before <= now]:
            verdict = self.verdict(run, item)
            if verdict.may_run:
                unsteady = self.unsteady_verdict(route, verdict)
                verdict = unsteady or verdict
            if not verdict.may_run:
                run_s = seconds_left(item)
                self.defer(run, item, verdict, run_s=run_s, due_in_s=due_in_s)

    def defer(
        self,
        run: JobRun,
        item: ItemProgress,
        verdict: Verdict,
        *,
        run_s: float,
        due_in_s: float,
    ) -> None:
        """Defers an item that may not run now.

        Upstream crashes are no failures of the item, so it stays pending until its job
        expires. It is rechecked often: a response, an operator or another instance may
        clear it, and upstreams may recover.

        Args:
          run: The item's job.
          item: The item.
          verdict: Why the item may not run, and for how long.
          run_s: Estimated seconds that the item needs once it starts.
          due_in_s: Seconds until the job is due.
        """
        now = trio.current_time()
        wait_s = min(verdict.retry_after_s, RECHECK_INTERVAL_S)
        item.not_before = now + max(wait_s, _MIN_DEFER_S)
        until = now + verdict.retry_after_s
        previous, since = item.quarantine, now
        if previous is not None:
            since = previous.since
        elif verdict.retry_after_s <= _SLOT_RETRY_S:
            return  # A short wait for a permitted slot is no quarantine.
        item.quarantine = QuarantineState(verdict=verdict, since=since, until=until)
        if previous is not None and not previous.differs_from(verdict):
            return
        self.crash_detector.on_blocked(verdict.standing)
        done_in_s = verdict.retry_after_s + run_s
        # The only log line about an item that may stay pending until its job expires.
        log = _log.warning if done_in_s > due_in_s else _log.info
        log(
            "Item quarantined.",
            host=run.stored.ref.host,
            job=run.stored.ref.id,
            item=item.spec.id,
            fingerprint=format_fingerprint(run.request_of(item).fingerprint),
            standing=verdict.standing,
            ends=verdict.crashes,
            retry_after_s=round(verdict.retry_after_s, 1),
            due_in_s=round(due_in_s, 1),
            late=done_in_s > due_in_s,
        )
