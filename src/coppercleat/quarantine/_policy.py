"""How long requests, items of batch jobs and parts of prompts are quarantined."""

from __future__ import annotations

import itertools

import attrs

from coppercleat.quarantine._evidence import Evidence
from coppercleat.quarantine._fingerprint import Fingerprint, SubjectKind, kind_of

WEAK_EVIDENCE_PERIOD_S = 5.0
"""Upper limit of the first quarantine period if any of the evidence is weak."""

_TRIAL_DUE_SHARE = 0.5
"""Share of a longer period after which a crash counts as a failed trial. Instances date
one crash some seconds apart; attempts from before the quarantine have ended by then."""

_SHORT_PERIOD_S = 5.0
"""Periods up to this length may end before attempts from before the quarantine, so that
each crash counts as a failed trial."""

ITEM_TRIAL_SPACING_S = 2.0
"""Time from the last crash under an item to its next trial. It doesn't grow with the
number of crashes, since an item is owed to its client whatever crashed under it."""

ITEM_APART_S = 2.0
"""Longest time for which an item that may run waits for an upstream without other
suspects. With the spacing it stays below the 5 s of calm after which an item that does
not run counts as lost."""


@attrs.frozen
class QuarantinePolicy:
    """How long a subject of one kind is quarantined, and what it may use afterwards.

    Attributes:
      periods_s: Seconds of quarantine, at first and after each failed trial.
      last_period_repeats: Whether trials go on at the last period. Otherwise there is
        none after it.
      steady_only_s: Seconds for which it may use steady upstreams only, from the last
        crash or the end of its quarantine. Items use others if no steady one is free,
        but none with other suspects.
      retention_s: Time after its last crash for which it is remembered if quarantined.
    """

    periods_s: tuple[float, ...]
    last_period_repeats: bool
    steady_only_s: float
    retention_s: float

    def current_period_s(self, record: Evidence) -> float:
        """Returns the length of the quarantine that is in force; infinity for no end.

        A crash long before the next trial was due interrupted an attempt from before
        the quarantine, such as a copy of the request. It is no failed trial.

        Args:
          record: Evidence that is heavy enough for a quarantine.
        """
        weak_evidence = any(crash.weak for crash in record.crashes)
        trials_failed = 0
        period_s = self.period_s(0, weak_evidence=weak_evidence)
        for before, moment in itertools.pairwise(record.moments_in_quarantine):
            due_s = 0.0 if period_s <= _SHORT_PERIOD_S else period_s * _TRIAL_DUE_SHARE
            if moment.at - before.at >= due_s:
                trials_failed += 1
                period_s = self.period_s(trials_failed, weak_evidence=weak_evidence)
        return period_s

    def period_s(self, trials_failed: int, *, weak_evidence: bool) -> float:
        """Returns the length of a quarantine in seconds; infinity if it has no end.

        Args:
          trials_failed: Number of trials that failed.
          weak_evidence: Whether any of the evidence is weak.
        """
        last = len(self.periods_s) - 1
        if trials_failed > last and not self.last_period_repeats:
            return float("inf")
        period_s = self.periods_s[min(trials_failed, last)]
        if weak_evidence and not trials_failed:
            return min(period_s, WEAK_EVIDENCE_PERIOD_S)
        return period_s


REQUEST_POLICY = QuarantinePolicy(
    periods_s=(60.0, 600.0, 3600.0),
    last_period_repeats=False,
    steady_only_s=8.0,
    retention_s=24 * 3600.0,
)
"""After a period one trial is allowed, so that an innocent request is not refused for
good; a deadly one costs three upstreams more within two hours."""

ITEM_POLICY = QuarantinePolicy(
    periods_s=(ITEM_TRIAL_SPACING_S,),
    last_period_repeats=True,
    steady_only_s=ITEM_APART_S,
    retention_s=600.0,
)
"""Items are never given up for crashes; they run at a distance from their last one."""

PART_POLICY = QuarantinePolicy(
    periods_s=(5.0, 60.0, 600.0, 3600.0),
    last_period_repeats=False,
    steady_only_s=8.0,
    retention_s=24 * 3600.0,
)
"""The first period is short, since many callers may use a part that met crashes of
another cause."""

_POLICIES = {
    SubjectKind.REQUEST: REQUEST_POLICY,
    SubjectKind.ITEM: ITEM_POLICY,
    SubjectKind.PART: PART_POLICY,
}


def policy_of(fingerprint: Fingerprint) -> QuarantinePolicy:
    """Returns the policy for what a fingerprint is of."""
    return _POLICIES[kind_of(fingerprint)]
