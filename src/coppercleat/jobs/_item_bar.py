"""Keeps items from running under which upstreams ended, and says so."""

from __future__ import annotations

from collections.abc import Callable

import trio

from coppercleat.jobs._run import Barred, ItemRun, JobRun
from coppercleat.observability import part_logger
from coppercleat.quarantine import EndWatch, Standing, Verdict, shown
from coppercleat.serving import Placement, Route, UpstreamState

_SLOT_RETRY_S = 0.25
"""When an item that may go to few upstreams looks again for a slot there."""

LOOK_AGAIN_S = 0.5
"""How often it is asked whether an item that is kept back may run."""

_log = part_logger("jobs")


class ItemBar:
    """Asks for the verdict on items, and has those wait that may not run."""

    def __init__(
        self, end_watch: EndWatch[UpstreamState], placement: Placement
    ) -> None:
        """Prepares the bar.

        Args:
          end_watch: Knows requests that end their upstreams.
          placement: Knows which upstreams are steady.
        """
        self.end_watch = end_watch
        self.placement = placement

    def verdict(self, run: JobRun, item: ItemRun) -> Verdict:
        """Returns whether an item may run, as far as upstreams ended under it."""
        return self.end_watch.verdict(run.request_of(item), item=True)

    def holds(self, route: Route, verdict: Verdict) -> bool:
        """Returns whether an item that has found no slot waits for more than a slot."""
        return not verdict.may_run or self.until_steady(route, verdict) is not None

    def until_steady(self, route: Route, verdict: Verdict) -> Verdict | None:
        """Returns the verdict on an item that has found no slot.

        Returns:
          None if it may go to all upstreams, and waits for a slot like any other.
        """
        now, service = trio.current_time(), route.targets[0].service
        avoid = self.placement.upstreams_to_avoid(verdict, service, now=now)
        if not avoid and verdict.standing is not Standing.TRIAL:
            return None
        wait_s = _SLOT_RETRY_S
        if not self.placement.serves(service, avoid=avoid):
            wait_s = max(wait_s, self.placement.steady_in_s(service, now=now))
        return Verdict(Standing.UNSTEADY, wait_s, verdict.ends)

    def pass_over(
        self,
        run: JobRun,
        route: Route,
        *,
        takes_s: Callable[[ItemRun], float],
        due_in_s: float,
    ) -> None:
        """Has all items of a job wait that may not run, or only where no slot is free.

        All at once: in their order they would hold up the others.

        Args:
          run: The job.
          route: Its route.
          takes_s: Returns the seconds that an item takes once it runs.
          due_in_s: Seconds until the job is due.
        """
        now = trio.current_time()
        for item in [item for item in run.pending if item.not_before <= now]:
            verdict = self.verdict(run, item)
            if verdict.may_run:
                held = self.until_steady(route, verdict)
                verdict = held or verdict
            if not verdict.may_run:
                takes = takes_s(item)
                self.keep(run, item, verdict, takes_s=takes, due_in_s=due_in_s)

    def keep(
        self,
        run: JobRun,
        item: ItemRun,
        verdict: Verdict,
        *,
        takes_s: float,
        due_in_s: float,
    ) -> None:
        """Keeps an item from running for now.

        It may not be listed as failed for what its upstreams do, so it stays open until
        its time is up. It is looked at again soon, since an answer, an operator or
        another instance may clear it, and its upstreams may come back.

        Args:
          run: Its job.
          item: The item.
          verdict: Why.
          takes_s: Seconds that it takes once it runs.
          due_in_s: Seconds until its job is due.
        """
        now = trio.current_time()
        item.not_before = now + min(verdict.retry_after_s, LOOK_AGAIN_S)
        until = now + verdict.retry_after_s
        before, since = item.barred, now
        if before is not None:
            since = before.since
        elif verdict.retry_after_s <= _SLOT_RETRY_S:
            return  # It waits for a slot, if not for any.
        item.barred = Barred(verdict=verdict, since=since, until=until)
        if before is not None and not before.is_news(verdict):
            return
        self.end_watch.on_barred(verdict.standing.value)
        done_in_s = verdict.retry_after_s + takes_s
        # It is the only word of an item that nothing may work on until its time is up.
        write = _log.warning if done_in_s > due_in_s else _log.info
        write(
            "An item is kept from running.",
            job=run.held.row.job,
            item=item.spec.id,
            fingerprint=shown(run.request_of(item).fingerprint),
            standing=verdict.standing.value,
            ends=verdict.ends,
            retry_after_s=round(verdict.retry_after_s, 1),
            due_in_s=round(due_in_s, 1),
            late=done_in_s > due_in_s,
        )
