"""Detects upstream crashes and decides whether the requests involved may run again.

A broken connection alone proves no crash: it may be due to the network, a malformed
response or a planned stop. So the upstream is probed. It crashed if its host refuses
the connection or it reports another start time; it did not if it reports the same one.
"""

from __future__ import annotations

import collections
from collections.abc import Awaitable, Callable
from typing import Generic

import attrs
import trio

from coppercleat.ids import UpstreamId
from coppercleat.observability import part_logger
from coppercleat.quarantine._ends import Crash, CrashReport
from coppercleat.quarantine._fingerprint import (
    Fingerprint,
    format_fingerprint,
    is_part,
)
from coppercleat.quarantine._investigation import (
    CRASH_PROOFS,
    FINAL_RESULTS,
    FingerprintedRequest,
    InterruptedAttempt,
    Investigation,
    ProbeResult,
    UpstreamT,
)
from coppercleat.quarantine._ledger import CrashHistory
from coppercleat.quarantine._verdict import Verdict, VerdictKind
from coppercleat.quarantine._verdict_source import VerdictSource

PROBE_DELAYS_S = (0.0, 0.05, 0.1, 0.2, 0.4, 0.8, 1.0, 1.0, 1.0)
"""Delay before each probe. The later ones tell a crash from a brief refusal. A probe
takes 2 ms of network and 1 ms of processor time, and comes with a broken connection
only."""

PROGRESS_EVIDENCE_S = 0.3
"""A crash is weak evidence if the attempt made progress for this long, since a request
that crashes its upstream mostly does so at once."""

ABANDONED_WINDOW_S = 1.0
"""An abandoned attempt is suspect if its upstream crashes within this time, since the
upstream may not have stopped processing it at once."""

UPDATE_REPEAT_S = 0.5
UPDATE_REPEATS = 2
"""Interval and number of repetitions of an update, in case messages are lost until a
silent link is reopened. Later, the periodic message repeats them."""

_MAX_LOGGED_CRASHES = 6
"""Limit of crashes in one log line; the last ones are logged."""

_MAX_ABANDONED = 256
"""Limit of abandoned attempts that are remembered."""

_log = part_logger("quarantine")


class CrashDetector(Generic[UpstreamT]):
    """Records crashes found by probes or reported by other instances; gives verdicts.

    Attributes:
      probe: Probes an upstream once.
      history: The crash history.
      verdicts: Derives verdicts from the history.
      on_update: Called with crash reports and cleared requests for other instances.
      on_blocked: Called with the kind of the verdict on each request that was blocked.
      on_crash: Called with each new crash and the time at which the interrupted attempt
        began, or that of the crash if it is unknown.
      on_crash_retracted: Called with each crash that was a false positive.
    """

    def __init__(self, probe: Callable[[UpstreamT], Awaitable[ProbeResult]]) -> None:
        """Initialises the detector.

        Args:
          probe: Probes an upstream once.
        """
        self.probe = probe
        self.history = CrashHistory()
        self.history.on_reweighed = self._log_reweighed
        self.on_update: Callable[
            [tuple[CrashReport, ...], tuple[Fingerprint, ...]], None
        ] = lambda reports, cleared: None
        self.on_blocked: Callable[[str], None] = lambda kind: None
        self.on_crash: Callable[[Crash, float], None] = lambda crash, attempt_began: (
            None
        )
        self.on_crash_retracted: Callable[[Crash], None] = lambda crash: None
        self.verdicts = VerdictSource(self.history)
        self._investigations: dict[UpstreamT, Investigation[UpstreamT]] = {}
        self._new_investigations: list[Investigation[UpstreamT]] = []
        self._unsent_reports: list[tuple[Fingerprint, Crash, bool]] = []
        self._unsent_clears: list[Fingerprint] = []
        self._abandoned: collections.deque[tuple[Fingerprint, UpstreamT, float]] = (
            collections.deque(maxlen=_MAX_ABANDONED)
        )
        self._wake = trio.Event()

    async def run(self) -> None:
        """Probes upstreams and sends updates until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._wake.wait()
                self._wake = trio.Event()
                while self._new_investigations:
                    nursery.start_soon(
                        self._investigate, self._new_investigations.pop()
                    )
                if self._unsent_reports or self._unsent_clears:
                    nursery.start_soon(self._send_update)

    # Outcomes of attempts, and verdicts.

    def record_interruption(
        self,
        fingerprint: Fingerprint,
        incarnation: UpstreamT,
        *,
        began: float | None = None,
        stalled: bool = False,
        progress_s: float = 0.0,
        parts: tuple[Fingerprint, ...] = (),
    ) -> None:
        """Records an attempt that was interrupted, and probes its upstream.

        Upstreams that are stopping as planned are ignored.

        Args:
          fingerprint: The request.
          incarnation: The upstream.
          began: Trio time, in seconds, at which the attempt began; None if unknown.
          stalled: Whether the attempt stalled with its connection intact. Then the
            request is not held before a crash is proved.
          progress_s: Seconds from the beginning of the attempt to its last progress.
          parts: Parts of its prompt that other requests may share.
        """
        now = trio.current_time()
        began = now if began is None else began
        made_progress = progress_s >= PROGRESS_EVIDENCE_S
        attempt = InterruptedAttempt(began, now, made_progress, parts)
        self._add_suspect(fingerprint, incarnation, attempt, stalled=stalled)

    def _add_suspect(
        self,
        fingerprint: Fingerprint,
        incarnation: UpstreamT,
        attempt: InterruptedAttempt,
        *,
        stalled: bool,
    ) -> None:
        if incarnation.stopping:
            return
        investigation = self._investigations.get(incarnation)
        if investigation is not None and investigation.began_after_crash(attempt):
            self._add_late_suspect(investigation, fingerprint, stalled=stalled)
            return
        if investigation is None:
            investigation = self._investigations[incarnation] = Investigation(
                incarnation
            )
            self._new_investigations.append(investigation)
            self._wake.set()
        if fingerprint in investigation.suspects:
            return
        investigation.suspects[fingerprint] = attempt
        if investigation.crashed:
            self._record_crash(investigation, fingerprint)
        elif not stalled:
            self.history.record_interruption(fingerprint, incarnation.id)

    def _add_late_suspect(
        self,
        investigation: Investigation[UpstreamT],
        fingerprint: Fingerprint,
        *,
        stalled: bool,
    ) -> None:
        """Holds a request that was interrupted after others while probing goes on."""
        if not stalled and fingerprint not in investigation.late_suspects:
            investigation.late_suspects.add(fingerprint)
            self.history.record_interruption(fingerprint, investigation.incarnation.id)

    def record_abandonment(
        self, fingerprint: Fingerprint, incarnation: UpstreamT
    ) -> None:
        """Records an attempt that its client abandoned before the response."""
        self._abandoned.append((fingerprint, incarnation, trio.current_time()))

    def record_connect_failure(self, incarnation: UpstreamT) -> None:
        """Records a failed connection: attempts abandoned there become suspect."""
        for fingerprint, abandoned_at in self._abandoned_before(
            incarnation.id, trio.current_time()
        ):
            self._add_suspect(
                fingerprint, incarnation, _abandoned_attempt(abandoned_at), stalled=True
            )

    def _abandoned_before(
        self, upstream: UpstreamId, crash_at: float
    ) -> list[tuple[Fingerprint, float]]:
        """Returns the attempts that were abandoned shortly before a crash."""
        return [
            (fingerprint, abandoned_at)
            for fingerprint, incarnation, abandoned_at in self._abandoned
            if incarnation.id == upstream
            and 0 <= crash_at - abandoned_at <= ABANDONED_WINDOW_S
        ]

    def record_response(
        self, request: FingerprintedRequest, *, whole_answer: bool = False
    ) -> None:
        """Clears a request that was answered, if there is any evidence at all.

        Args:
          request: The request.
          whole_answer: Whether an answer was made to its end, and not a failure: that
            clears the parts of its prompt, too.
        """
        if whole_answer:
            self._record_sound_parts(request)
        if len(self.history):
            self.clear(request.fingerprint)

    def record_progress(self, request: FingerprintedRequest) -> None:
        """Clears the parts of a request whose answer goes on for some time.

        A part that crashes upstreams does so as soon as an answer on it begins, while
        whole answers may be rare where upstreams crash by themselves.

        Args:
          request: A request whose answer has gone on for ``PROGRESS_EVIDENCE_S``.
        """
        if len(self.history):
            self._record_sound_parts(request)

    def _record_sound_parts(self, request: FingerprintedRequest) -> None:
        for part in self.verdicts.parts_of(request):
            if self.history.crashes_of(part):
                self.clear(part)
            self.history.record_answer(part, now=trio.current_time())

    def clear(self, fingerprint: Fingerprint) -> bool:
        """Clears a request; returns whether there was any evidence against it."""
        had_evidence = self.history.clear(fingerprint, now=trio.current_time())
        if had_evidence:
            write, what = _log.info, "A request was cleared."
            if is_part(fingerprint):
                # Each crash makes suspects of parts that the next answer clears.
                write, what = _log.debug, "A part of prompts was cleared."
            write(what, fingerprint=format_fingerprint(fingerprint))
            self._unsent_clears.append(fingerprint)
            self._wake.set()
        return had_evidence

    def verdict(self, request: FingerprintedRequest) -> Verdict:
        """Returns whether a request may be sent to an upstream now."""
        return self.verdicts.verdict(request)

    def begin_attempt(self, request: FingerprintedRequest) -> None:
        """Records that a request is sent to an upstream."""
        if not len(self.history):
            return
        for part in self.verdicts.parts_of(request):
            if self.history.is_suspect_part(part):
                self.history.begin_apart(part, now=trio.current_time())

    def standing(self, fingerprint: Fingerprint) -> Verdict:
        """Returns the verdict on a request or a part by its own crashes alone."""
        return self.history.verdict(fingerprint, now=trio.current_time())

    def admit(self, request: FingerprintedRequest) -> Verdict:
        """Returns the verdict on a request, and begins a trial if that is due."""
        verdict = self.verdict(request)
        if verdict.kind is VerdictKind.TRIAL:
            self.begin_trial(request)
        if verdict.may_run:
            self.begin_attempt(request)
        return verdict

    def begin_trial(self, request: FingerprintedRequest) -> None:
        """Records that a trial of a quarantined request is sent to an upstream."""
        now = trio.current_time()
        for fingerprint in self._subjects(request):
            if not self.history.is_quarantined(fingerprint):
                continue
            self.history.begin_trial(fingerprint, now=now)
            _log.warning(
                "Running a trial of a quarantined request.",
                request=request.request_id,
                fingerprint=format_fingerprint(fingerprint),
                ends=len(self.history.crashes_of(fingerprint)),
                part=is_part(fingerprint),
            )

    def _subjects(self, request: FingerprintedRequest) -> tuple[Fingerprint, ...]:
        """Returns what may be quarantined of a request: itself, and its parts."""
        return (request.fingerprint, *self.verdicts.parts_of(request))

    def cancel_trial(self, request: FingerprintedRequest) -> None:
        """Records that an upstream did not process a request: there was no trial."""
        if len(self.history):
            for fingerprint in self._subjects(request):
                self.history.cancel_trial(fingerprint)

    # Probing.

    async def _investigate(self, investigation: Investigation[UpstreamT]) -> None:
        incarnation = investigation.incarnation
        try:
            for delay_s in PROBE_DELAYS_S:
                await trio.sleep(delay_s)
                if await self._probe_once(investigation):
                    return
            if incarnation.unlisted:
                self._record_proof(
                    investigation, "it does not respond and is no longer listed"
                )
        finally:
            self._investigations.pop(incarnation, None)
            for fingerprint in (*investigation.suspects, *investigation.late_suspects):
                self.history.resolve_interruption(fingerprint, incarnation.id)
            self.history.forget_old(trio.current_time())

    async def _probe_once(self, investigation: Investigation[UpstreamT]) -> bool:
        """Probes the upstream once; returns whether the result is final."""
        incarnation = investigation.incarnation
        if incarnation.restarted:
            self._record_proof(investigation, "it was restarted")
            return True
        result = await self.probe(incarnation)
        if result in CRASH_PROOFS:
            self._record_proof(investigation, result.value)
        elif result is ProbeResult.SAME_INCARNATION and investigation.crashed:
            # Only the same start time disproves a crash: another process may have the
            # address by now.
            self._retract(investigation)
        return result in FINAL_RESULTS

    def _record_proof(
        self, investigation: Investigation[UpstreamT], proof: str
    ) -> None:
        """Marks the crash as proved and records it against all suspects."""
        if investigation.crashed:
            return
        investigation.crashed = True
        investigation.proof = proof
        investigation.proved_at = trio.current_time()
        first_at = min(attempt.at for attempt in investigation.suspects.values())
        for fingerprint, abandoned_at in self._abandoned_before(
            investigation.incarnation.id, first_at
        ):
            investigation.suspects.setdefault(
                fingerprint, _abandoned_attempt(abandoned_at)
            )
        _log.warning(
            "An upstream crashed while processing requests.",
            upstream=investigation.incarnation.id,
            proof=proof,
            requests=len(investigation.suspects),
        )
        first_began = min(attempt.began for attempt in investigation.suspects.values())
        crash = Crash(
            investigation.incarnation.id, first_at, investigation.incarnation.born_ms
        )
        self.on_crash(crash, first_began)
        for fingerprint in investigation.suspects:
            self._record_crash(investigation, fingerprint)

    def _record_crash(
        self, investigation: Investigation[UpstreamT], fingerprint: Fingerprint
    ) -> None:
        self.history.resolve_interruption(fingerprint, investigation.incarnation.id)
        attempt = investigation.suspects[fingerprint]
        # A run that goes on for so long shows that its parts let upstreams answer.
        parts = () if attempt.made_progress else attempt.parts
        for subject in (fingerprint, *parts):
            crash = self._crash_evidence(investigation, subject, attempt)
            if self.history.record_crash(subject, crash, observed=True):
                self._log_if_quarantined(subject, sender="")
            self._unsent_reports.append((subject, crash, False))
        self._wake.set()

    def _crash_evidence(
        self,
        investigation: Investigation[UpstreamT],
        subject: Fingerprint,
        attempt: InterruptedAttempt,
    ) -> Crash:
        """Returns the crash as evidence against a suspect, or a part of its prompt."""
        incarnation = investigation.incarnation
        steady = incarnation.was_steady(began=attempt.began, at=attempt.at)
        weak = (
            attempt.made_progress
            or not steady
            or investigation.is_weak_evidence(attempt)
        )
        crash = Crash(
            incarnation.id,
            attempt.at,
            incarnation.born_ms,
            weak=weak,
            source=investigation.proof,
        )
        return self.history.identify_crash(subject, crash, attempt_began=attempt.began)

    def _retract(self, investigation: Investigation[UpstreamT]) -> None:
        """Retracts the crash: the upstream had only refused connections briefly."""
        _log.warning(
            "An upstream crash was a false positive.",
            upstream=investigation.incarnation.id,
        )
        for fingerprint, attempt in investigation.suspects.items():
            for subject in (fingerprint, *attempt.parts):
                crash = self._crash_evidence(investigation, subject, attempt)
                self.history.retract(subject, crash)
                self.on_crash_retracted(crash)
                self._unsent_reports.append((subject, crash, True))
        self._wake.set()

    # Updates between instances.

    async def _send_update(self) -> None:
        unsent, self._unsent_reports = self._unsent_reports, []
        cleared, self._unsent_clears = tuple(self._unsent_clears), []
        for repeat in range(UPDATE_REPEATS + 1):
            if repeat:
                await trio.sleep(UPDATE_REPEAT_S)
            now = trio.current_time()
            reports = tuple(
                CrashReport.of(fingerprint, crash, now=now, retracted=retracted)
                for fingerprint, crash, retracted in unsent
            )
            # Clears are not repeated: the request may have become suspect again.
            self.on_update(reports, () if repeat else cleared)

    def apply_update(
        self,
        sender: str,
        reports: tuple[CrashReport, ...],
        cleared: tuple[Fingerprint, ...],
    ) -> bool:
        """Applies another instance's update; returns whether any of it was new.

        Args:
          sender: The other instance.
          reports: Crashes that it reports.
          cleared: Requests that were answered.
        """
        now = trio.current_time()
        before = self.history.quarantined(now=now)
        changed = self.history.merge_reports(
            reports,
            cleared,
            now=now,
            sender=sender,
            on_new=lambda crash: self.on_crash(crash, crash.at),
        )
        for report in reports:
            crash = report.to_crash(now=now)
            if report.retracted:
                self.on_crash_retracted(crash)
            elif is_part(report.fingerprint):
                pass  # Each answer clears it again; all would send that to all.
            elif self.history.was_cleared(report.fingerprint, crash):
                # The sender missed that the request was cleared.
                self._resend_clear(report.fingerprint)
            else:
                self._record_against_abandoned(crash)
        for fingerprint in self.history.quarantined(now=now).keys() - before.keys():
            self._log_if_quarantined(fingerprint, sender=sender)
        return changed

    def _resend_clear(self, fingerprint: Fingerprint) -> None:
        if fingerprint not in self._unsent_clears:
            self._unsent_clears.append(fingerprint)
            self._wake.set()

    def _record_against_abandoned(self, crash: Crash) -> None:
        """Records a reported crash against attempts abandoned there shortly before."""
        unnumbered = attrs.evolve(crash, number=0)
        for fingerprint, abandoned_at in self._abandoned_before(
            crash.upstream, crash.at
        ):
            own = self.history.identify_crash(
                fingerprint, unnumbered, attempt_began=abandoned_at
            )
            if self.history.record_crash(fingerprint, own):
                self._log_if_quarantined(fingerprint, sender="")
                self._unsent_reports.append((fingerprint, own, False))
                self._wake.set()

    def _log_reweighed(self, fingerprint: Fingerprint) -> None:
        _log.info(
            "Upstreams that crash by themselves weaken the evidence against a request.",
            fingerprint=format_fingerprint(fingerprint),
            ends=len(self.history.crashes_of(fingerprint)),
        )

    def _log_if_quarantined(self, fingerprint: Fingerprint, *, sender: str) -> None:
        now, verdict = trio.current_time(), self.standing(fingerprint)
        if verdict.kind is not VerdictKind.QUARANTINED:
            return
        crashes = self.history.crashes_of(fingerprint)[-_MAX_LOGGED_CRASHES:]
        what = "A request is quarantined."
        if is_part(fingerprint):
            what = "A part of prompts is quarantined."
        _log.warning(
            what,
            fingerprint=format_fingerprint(fingerprint),
            ends=verdict.crashes,
            upstreams=self.history.crashed_upstreams_of(fingerprint)[
                -_MAX_LOGGED_CRASHES:
            ],
            met=[_crash_log_fields(crash, now=now) for crash in crashes],
            teller=sender,
            retry_after_s=round(verdict.retry_after_s, 1),
        )


def _crash_log_fields(crash: Crash, *, now: float) -> dict[str, object]:
    """Returns the log fields of a crash, by which duplicates can be recognised."""
    return {
        "upstream": crash.upstream,
        "number": crash.number,
        "born_ms": crash.born_ms,
        "age_s": round(now - crash.at, 2),
        "weak": crash.weak,
        "source": crash.source,
    }


def _abandoned_attempt(abandoned_at: float) -> InterruptedAttempt:
    """Returns an abandoned attempt; the time at which it began is not known."""
    return InterruptedAttempt(abandoned_at, abandoned_at)
