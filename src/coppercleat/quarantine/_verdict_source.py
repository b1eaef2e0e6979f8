"""Gives verdicts on requests and items, by the crashes under them and their parts."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
import trio

from coppercleat.quarantine._fingerprint import Fingerprint, SubjectKind, kind_of
from coppercleat.quarantine._investigation import FingerprintedRequest
from coppercleat.quarantine._ledger import CrashHistory
from coppercleat.quarantine._policy import ITEM_POLICY, PART_POLICY
from coppercleat.quarantine._verdict import FREE, HELD_RETRY_S, Verdict, VerdictKind

ITEM_TRIAL_STAGGER_S = 0.15
ITEM_TRIAL_PLACES = 10
"""Items that met the same crash begin their trials this far apart, at places drawn by
their fingerprints: each sees at which upstream the one before it runs."""


class VerdictSource:
    """Derives verdicts from the crash history; changes nothing.

    Attributes:
      history: The crash history of this instance.
      parts_of: Returns the parts of a request's prompt that others may share.
      may_run_trial: Returns whether this instance may run a trial of a request or a
        part, given the seconds since it became due.
    """

    def __init__(self, history: CrashHistory) -> None:
        """Initialises the source.

        Args:
          history: The crash history of this instance.
        """
        self.history = history
        self.parts_of: Callable[[Any], tuple[Fingerprint, ...]] = lambda request: ()
        self.may_run_trial: Callable[[Fingerprint, float], bool] = (
            lambda subject, overdue_s: True
        )

    def verdict(self, request: FingerprintedRequest) -> Verdict:
        """Returns whether a request may be sent to an upstream now."""
        if not len(self.history):
            return FREE
        is_item = kind_of(request.fingerprint) is SubjectKind.ITEM
        by_part = self._verdict_by_parts(request, is_item=is_item)
        if not by_part.may_run:
            return by_part
        verdict = self._verdict_on_itself(request, is_item=is_item)
        is_trial = by_part.kind is VerdictKind.TRIAL and verdict.may_run
        return by_part if is_trial else verdict

    def _verdict_by_parts(
        self, request: FingerprintedRequest, *, is_item: bool
    ) -> Verdict:
        """Returns whether the parts of its prompt let a request run.

        A trial is of one part: a request with two that are quarantined would leave open
        which of them crashes the upstream. An item is owed all the same: it is tried as
        often as one that is quarantined itself.
        """
        now, parts = trio.current_time(), self.parts_of(request)
        barred = [part for part in parts if self.history.is_quarantined(part)]
        if not barred:
            return self._verdict_by_suspect_parts(parts, now)
        policy = ITEM_POLICY if is_item else PART_POLICY
        verdicts = [
            self.history.verdict(part, now=now, policy=policy) for part in barred
        ]
        verdict = max(verdicts, key=lambda verdict: verdict.retry_after_s)
        verdict = attrs.evolve(verdict, by_part=True, steady_only=False)
        if verdict.retry_after_s:
            return verdict
        if is_item:
            return _staggered_trial(verdict, item_trial_stagger_s(request.fingerprint))
        if len(barred) > 1 or not self.may_run_trial(barred[0], verdict.overdue_s):
            return attrs.evolve(verdict, retry_after_s=HELD_RETRY_S)
        return attrs.evolve(verdict, kind=VerdictKind.TRIAL)

    def _verdict_by_suspect_parts(
        self, parts: tuple[Fingerprint, ...], now: float
    ) -> Verdict:
        """Returns whether suspect parts let a request begin now, apart from others."""
        waits_s = [
            self.history.begins_apart_in_s(part, now=now)
            for part in parts
            if self.history.is_suspect_part(part)
        ]
        wait_s = max(waits_s, default=0.0)
        if not wait_s:
            return FREE
        return Verdict(VerdictKind.HELD, wait_s, by_part=True)

    def _verdict_on_itself(
        self, request: FingerprintedRequest, *, is_item: bool
    ) -> Verdict:
        """Returns whether a request may run by the crashes under itself."""
        fingerprint = request.fingerprint
        verdict = self.history.verdict(fingerprint, now=trio.current_time())
        if is_item and verdict.crashes:
            stagger_s = item_trial_stagger_s(fingerprint)
            verdict = attrs.evolve(verdict, stagger_s=stagger_s)
        if verdict.kind is not VerdictKind.QUARANTINED or verdict.retry_after_s:
            return verdict
        if is_item:
            return _staggered_trial(verdict, verdict.stagger_s)
        if not self.may_run_trial(fingerprint, verdict.overdue_s):
            return Verdict(VerdictKind.QUARANTINED, HELD_RETRY_S, verdict.crashes)
        return attrs.evolve(verdict, kind=VerdictKind.TRIAL)


def _staggered_trial(verdict: Verdict, stagger_s: float) -> Verdict:
    """Returns the verdict on an item whose quarantine period is over.

    Args:
      verdict: The verdict by its quarantine.
      stagger_s: Delay of its trial after it became due, in seconds.
    """
    if verdict.overdue_s < stagger_s:
        return attrs.evolve(verdict, retry_after_s=stagger_s - verdict.overdue_s)
    return attrs.evolve(verdict, kind=VerdictKind.TRIAL)


def item_trial_stagger_s(fingerprint: Fingerprint) -> float:
    """Returns the delay of an item's trial after it became due, in seconds."""
    return ITEM_TRIAL_STAGGER_S * (fingerprint[0] % ITEM_TRIAL_PLACES)
