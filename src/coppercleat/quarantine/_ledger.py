"""Counts upstream crashes by request, and quarantines requests that may cause them.

A "query of death" crashes each upstream that processes it, and client retries spread it
over the fleet. A crash interrupts all requests in flight at the upstream; each of them
is suspect until an upstream answers it. Reads no clock and does no I/O.
"""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterable

from coppercleat.ids import UpstreamId
from coppercleat.quarantine._ends import SAME_CRASH_WINDOW_S, Crash, CrashReport
from coppercleat.quarantine._evidence import (
    QUARANTINE_WEIGHT,
    SOUND_PART_WEIGHT,
    WEIGHT,
    Evidence,
    Flap,
    PartEvidence,
)
from coppercleat.quarantine._fingerprint import (
    Fingerprint,
    SubjectKind,
    is_part,
    kind_of,
)
from coppercleat.quarantine._policy import QuarantinePolicy, policy_of
from coppercleat.quarantine._verdict import FREE, HELD_RETRY_S, Verdict, VerdictKind

_STEADY_ONLY_CRASHES = 2
"""After so many crashes a request is sent to steady upstreams only for a time, since
one that has just started may crash by itself."""

TRIAL_STAGGER_S = 2.0
"""Delay after which the next instance in line may run a trial, as the one before it may
not receive the request. Long enough for a failed trial to be reported."""

SUSPECT_RETENTION_S = 600.0
"""Time after its last crash for which a suspect is remembered. Longer than clients
retry, but short: each request is fingerprinted while any is remembered."""

MAX_REQUESTS = 2048
"""Limit of remembered requests and parts; those with the lightest and oldest evidence
are evicted first. A crash of an upstream adds up to as many as it has slots, and their
parts."""

SUSPECT_PART_CRASHES = 2
SUSPECT_PART_SPACING_S = 0.3
"""After so many crashes, requests with a part that was not lately answered on begin so
far apart at an instance: all at once, they would end all upstreams at one moment."""

MAX_SOUND_PARTS = 4096
"""Limit of remembered parts on which answers were made; the oldest go first."""

SOUND_S = 60.0
"""Time after an answer for which a part counts as lately answered on."""

FLAP_SETTLE_S = 0.5
"""Time after which all suspects of a flapping upstream's crash are known."""

_MAX_FLAPS = 64
"""Limit of remembered crashes of flapping upstreams."""

_MAX_DISCOUNTED = 8
"""Limit of remembered crashes of one request that were retracted or voided."""

MAX_REMINDED_REQUESTS = 24
"""Limit of requests in one periodic message, by weight of the evidence. New crashes are
reported at once and without a limit."""


class CrashHistory:
    """Crashes by request; all times are in seconds on one clock of the caller.

    Attributes:
      on_reweighed: Called with each request whose crashes turn out to be weak evidence.
    """

    def __init__(self) -> None:
        self._records: dict[Fingerprint, Evidence] = {}
        self._voided_until: dict[tuple[Fingerprint, UpstreamId | None], float] = {}
        self._discounted: dict[Fingerprint, list[Crash]] = {}
        self._answered_at: collections.OrderedDict[Fingerprint, float] = (
            collections.OrderedDict()
        )
        self._flaps: collections.deque[Flap] = collections.deque(maxlen=_MAX_FLAPS)
        self.on_reweighed: Callable[[Fingerprint], None] = lambda fingerprint: None

    def __len__(self) -> int:
        return len(self._records)

    # Recording evidence.

    def record_interruption(
        self, fingerprint: Fingerprint, upstream: UpstreamId
    ) -> None:
        """Records an interrupted attempt at an upstream that may have crashed."""
        self._record(fingerprint, now=float("inf")).pending.append(upstream)

    def resolve_interruption(
        self, fingerprint: Fingerprint, upstream: UpstreamId
    ) -> None:
        """Removes an interrupted attempt whose upstream is no longer probed."""
        record = self._records.get(fingerprint)
        if record is None or upstream not in record.pending:
            return
        record.pending.remove(upstream)
        self._drop_if_empty(fingerprint, record)

    def identify_crash(
        self, fingerprint: Fingerprint, crash: Crash, *, attempt_began: float
    ) -> Crash:
        """Returns the recorded duplicate of a crash, or the crash with a number.

        Args:
          fingerprint: The request.
          crash: The crash as observed here.
          attempt_began: When the interrupted attempt began.
        """
        record = self._records.get(fingerprint) or Evidence()
        before = self._discounted.get(fingerprint, ())
        known = record.find_observed(crash, attempt_began=attempt_began)
        return known or record.with_number(crash, before=before)

    def record_crash(
        self, fingerprint: Fingerprint, crash: Crash, *, observed: bool = False
    ) -> bool:
        """Records a crash under a request; returns whether it is new.

        Args:
          fingerprint: The request.
          crash: The crash, with its number.
          observed: Whether this instance observed it itself.
        """
        record = self._record(fingerprint, now=crash.at)
        record.observed_here = record.observed_here or observed
        if record.find_reported(crash) is not None:
            return False
        if not self._counts(fingerprint, crash):
            self._drop_if_empty(fingerprint, record)
            return False
        record.add(crash)
        return True

    def record_flap(self, flap: Flap) -> None:
        """Records that an upstream crashed soon after its start.

        The requests that it interrupted may be recorded later.
        """
        self._flaps.append(flap)

    def _reweigh(self, fingerprint: Fingerprint, record: Evidence, now: float) -> None:
        settled = [flap for flap in self._flaps if now - flap.at >= FLAP_SETTLE_S]
        if record.reweigh(settled):
            self.on_reweighed(fingerprint)

    def adopt(self, fingerprint: Fingerprint, crashes: list[Crash]) -> None:
        """Replaces the recorded crashes of a request by those given, if heavier."""
        counted = [crash for crash in crashes if self._counts(fingerprint, crash)]
        last_at = max((crash.at for crash in counted), default=float("inf"))
        record = self._record(fingerprint, now=last_at)
        counted = [record.with_known_weight(crash) for crash in counted]
        if record.weight_with(counted) > record.weight:
            record.crashes = []
            for crash in counted:
                record.add(record.with_number(crash))
        self._drop_if_empty(fingerprint, record)

    def record_answer(self, part: Fingerprint, *, now: float) -> None:
        """Records that a whole answer was made on a part of prompts."""
        self._answered_at[part] = now
        self._answered_at.move_to_end(part)
        if len(self._answered_at) > MAX_SOUND_PARTS:
            self._answered_at.popitem(last=False)

    def is_suspect_part(self, part: Fingerprint) -> bool:
        """Returns whether requests with a part must begin apart."""
        record = self._records.get(part)
        if record is None or record.quarantine_weight == SOUND_PART_WEIGHT:
            return False
        return len(record.crashes) >= SUSPECT_PART_CRASHES

    def begin_apart(self, part: Fingerprint, *, now: float) -> None:
        """Records that a request with a suspect part begins here."""
        self._records[part].begun_at = now

    def begins_apart_in_s(self, part: Fingerprint, *, now: float) -> float:
        """Returns seconds until the next request with a suspect part may begin."""
        return max(0.0, self._records[part].begun_at + SUSPECT_PART_SPACING_S - now)

    def _new_evidence(self, fingerprint: Fingerprint, now: float) -> Evidence:
        if not is_part(fingerprint):
            return Evidence()
        answered_at = self._answered_at.get(fingerprint, float("-inf"))
        if now - answered_at <= SOUND_S:
            return PartEvidence(quarantine_weight=SOUND_PART_WEIGHT)
        return PartEvidence()

    def retract(self, fingerprint: Fingerprint, crash: Crash) -> bool:
        """Removes a false positive; returns whether it was recorded."""
        self._voided_until[fingerprint, crash.upstream] = crash.at + SAME_CRASH_WINDOW_S
        self._discount(fingerprint, [crash])
        record = self._records.get(fingerprint)
        if record is None:
            return False
        known = record.find_reported(crash)
        if known is not None:
            record.crashes.remove(known)
        self._drop_if_empty(fingerprint, record)
        return known is not None

    def clear(self, fingerprint: Fingerprint, *, now: float) -> bool:
        """Clears a request; returns whether there was any evidence against it.

        Crashes up to now are void, also if other instances report them later.
        """
        record = self._records.pop(fingerprint, None)
        if record is not None or is_part(fingerprint):
            # A part's crashes may be reported after a peer's answer that cleared it.
            self._voided_until[fingerprint, None] = now
        if record is None:
            return False
        self._discount(fingerprint, record.crashes)
        return True

    def was_cleared(self, fingerprint: Fingerprint, crash: Crash) -> bool:
        """Returns whether a response voided a crash, with no new evidence since."""
        if (
            fingerprint in self._records
            or (fingerprint, None) not in self._voided_until
        ):
            return False
        return not self._counts(fingerprint, crash)

    def merge_reports(
        self,
        reports: Iterable[CrashReport],
        cleared: Iterable[Fingerprint],
        *,
        now: float,
        sender: str = "",
        on_new: Callable[[Crash], None] = lambda crash: None,
    ) -> bool:
        """Merges the reports of another instance; returns whether any was new.

        Args:
          reports: Crashes that it reports.
          cleared: Requests that were answered.
          now: Seconds on the local clock.
          sender: The reporting instance, for the log.
          on_new: Called with each new crash.
        """
        changes = [self.clear(fingerprint, now=now) for fingerprint in cleared]
        for report in reports:
            crash = report.to_crash(now=now, sender=sender)
            apply = self.retract if report.retracted else self.record_crash
            changes.append(apply(report.fingerprint, crash))
            if changes[-1] and not report.retracted:
                on_new(crash)
        self.forget_old(now)
        return any(changes)

    # Verdicts and reports.

    def verdict(
        self,
        fingerprint: Fingerprint,
        *,
        now: float,
        policy: QuarantinePolicy | None = None,
    ) -> Verdict:
        """Returns whether a request may run, or when a trial of it is due.

        Args:
          fingerprint: The request.
          now: Seconds on the local clock.
          policy: How long it is quarantined; None for the policy of its kind.
        """
        policy = policy or policy_of(fingerprint)
        record = self._records.get(fingerprint)
        if record is None:
            return FREE
        if record.quarantined:
            self._reweigh(fingerprint, record, now)
        crashes = len(record.crashes)
        if record.quarantined:
            return _verdict_in_quarantine(record, now, policy)
        if record.weight + len(set(record.pending)) * WEIGHT >= QUARANTINE_WEIGHT:
            return Verdict(VerdictKind.HELD, HELD_RETRY_S, crashes)
        steady_only = (
            crashes >= _STEADY_ONLY_CRASHES
            and now - record.last_at < policy.steady_only_s
        )
        return Verdict(VerdictKind.FREE, crashes=crashes, steady_only=steady_only)

    def begin_trial(self, fingerprint: Fingerprint, *, now: float) -> None:
        """Records that a trial began; the quarantine period starts anew."""
        self._records[fingerprint].trial_at = now

    def cancel_trial(self, fingerprint: Fingerprint) -> None:
        """Records that the trial did not take place, so that another is allowed."""
        if fingerprint in self._records:
            self._records[fingerprint].trial_at = float("-inf")

    def crash_reports(self, *, now: float) -> tuple[CrashReport, ...]:
        """Returns reports of the known crashes, for a periodic message."""
        self.forget_old(now)
        heaviest_first = sorted(self._records, key=self._rank, reverse=True)
        return tuple(
            CrashReport.of(fingerprint, crash, now=now)
            for fingerprint in heaviest_first[:MAX_REMINDED_REQUESTS]
            for crash in self._records[fingerprint].crashes
        )

    def crashes_of(self, fingerprint: Fingerprint) -> list[Crash]:
        """Returns the crashes recorded against a request."""
        return list(self._records.get(fingerprint, Evidence()).crashes)

    def is_quarantined(self, fingerprint: Fingerprint) -> bool:
        """Returns whether a request is quarantined."""
        record = self._records.get(fingerprint)
        return record is not None and record.quarantined

    def was_observed_here(self, fingerprint: Fingerprint) -> bool:
        """Returns whether this instance observed any crash under a request itself."""
        record = self._records.get(fingerprint)
        return record is not None and record.observed_here

    def crashed_upstreams_of(self, fingerprint: Fingerprint) -> list[UpstreamId]:
        """Returns the upstreams of the recorded crashes, in the same order."""
        return [crash.upstream for crash in self.crashes_of(fingerprint)]

    def quarantined(self, *, now: float) -> dict[Fingerprint, int]:
        """Returns the quarantined requests, with the number of crashes of each."""
        return {
            fingerprint: len(record.crashes)
            for fingerprint, record in self._records.items()
            if record.quarantined
            and now - record.last_at <= policy_of(fingerprint).retention_s
        }

    # Expiry and eviction.

    def _record(self, fingerprint: Fingerprint, *, now: float) -> Evidence:
        record = self._records.get(fingerprint)
        if record is None:
            if len(self._records) >= MAX_REQUESTS:
                self._evict_lightest()
            record = self._new_evidence(fingerprint, now)
            self._records[fingerprint] = record
        return record

    def _is_voided(self, fingerprint: Fingerprint, crash: Crash) -> bool:
        """Returns whether a crash is older than a response or a retraction."""
        keys = (fingerprint, crash.upstream), (fingerprint, None)
        answered_at = self._answered_at.get(fingerprint, float("-inf"))
        return crash.at <= max(
            answered_at, *(self._voided_until.get(key, float("-inf")) for key in keys)
        )

    def _discount(self, fingerprint: Fingerprint, crashes: list[Crash]) -> None:
        """Remembers crashes that no longer count, since reports may arrive late."""
        before = self._discounted.pop(fingerprint, [])
        self._discounted[fingerprint] = [*before, *crashes][-_MAX_DISCOUNTED:]

    def _counts(self, fingerprint: Fingerprint, crash: Crash) -> bool:
        """Returns whether a crash is neither void nor retracted."""
        discounted = self._discounted.get(fingerprint, ())
        if self._is_voided(fingerprint, crash):
            return False
        return not (crash.number and any(map(crash.is_duplicate_report, discounted)))

    def _drop_if_empty(self, fingerprint: Fingerprint, record: Evidence) -> None:
        if not record.crashes and not record.pending:
            self._records.pop(fingerprint, None)

    def _rank(self, fingerprint: Fingerprint) -> tuple[bool, int, float]:
        """Sorts what matters least to other instances first.

        Items come before all else: they run on one instance only and are soon tried
        again.
        """
        record = self._records[fingerprint]
        is_item = kind_of(fingerprint) is SubjectKind.ITEM
        return not is_item, record.weight, record.last_at

    def _evict_lightest(self) -> None:
        del self._records[min(self._records, key=self._rank)]

    def forget_old(self, now: float) -> None:
        """Removes expired evidence and enforces the size limits."""
        for fingerprint, record in list(self._records.items()):
            retention_s = SUSPECT_RETENTION_S
            if record.quarantined:
                retention_s = policy_of(fingerprint).retention_s
            if record.crashes and now - record.last_at > retention_s:
                del self._records[fingerprint]
        while len(self._voided_until) > MAX_REQUESTS:
            del self._voided_until[next(iter(self._voided_until))]
        while len(self._discounted) > MAX_REQUESTS:
            del self._discounted[next(iter(self._discounted))]


def _verdict_in_quarantine(
    record: Evidence, now: float, policy: QuarantinePolicy
) -> Verdict:
    period_s = policy.current_period_s(record)
    remaining_s = max(record.last_at, record.trial_at) + period_s - now
    if period_s == float("inf"):
        remaining_s = max(0.1, record.last_at + policy.retention_s - now)
    return Verdict(
        VerdictKind.QUARANTINED,
        max(0.0, remaining_s),
        len(record.crashes),
        steady_only=-remaining_s < policy.steady_only_s,
        overdue_s=max(0.0, -remaining_s),
    )
