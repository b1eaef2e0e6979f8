"""Upstream crashes, and the messages by which instances report them to each other."""

from __future__ import annotations

import attrs
import msgspec

from coppercleat.ids import UpstreamId
from coppercleat.quarantine._fingerprint import Fingerprint

SAME_CRASH_WINDOW_S = 0.5
"""Observations of one upstream this close in time are the same crash: connections break
within milliseconds, and a restart takes longer."""

MIN_UPTIME_S = 0.1
"""No upstream starts and crashes again within this time."""

IMMEDIATE_S = 0.05
"""An attempt that is interrupted this soon may have reached only a proxy, which accepts
connections and closes them."""


@attrs.frozen
class Crash:
    """One crash of an upstream while it processed a request.

    Attributes:
      upstream: The upstream that crashed.
      at: Time of the crash on the local clock, in seconds; too late by the delay of the
        report, if it was reported.
      born_ms: See ``Upstream.born_ms``; 0 if unknown. The upstream list may lag behind
        a restart, so two incarnations may have the same value here.
      number: Position of the crash among those of this upstream under this request,
        from 1, as far as the observing instance knew them; 0 while unassigned.
      weak: Whether the crash is weak evidence against the request, since the upstream
        was not steady or the attempt had made progress.
      source: The proof, or the reporting instance; for the log.
    """

    upstream: UpstreamId
    at: float
    born_ms: int = 0
    number: int = 0
    weak: bool = False
    source: str = attrs.field(default="", eq=False)

    def is_duplicate_observation(self, known: Crash, *, attempt_began: float) -> bool:
        """Returns whether this crash, observed locally, is the known one.

        Args:
          known: A crash that is already recorded.
          attempt_began: When the attempt began that this crash interrupted. An attempt
            that began before a known crash was interrupted by it, however late that
            was noticed.
        """
        if self._is_too_close(known):
            return True
        if attempt_began <= known.at:
            return self._may_be_same_incarnation(known)
        # Only an upstream that is back processes an attempt that began after its crash.
        immediate = self.at - attempt_began < IMMEDIATE_S
        return immediate and self.coincides_with(known)

    def coincides_with(self, other: Crash) -> bool:
        """Returns whether both are crashes of one upstream at the same time."""
        return (
            self._may_be_same_incarnation(other)
            and abs(self.at - other.at) < SAME_CRASH_WINDOW_S
        )

    def is_duplicate_report(self, known: Crash) -> bool:
        """Returns whether this crash, reported by another instance, is the known one.

        The time is not compared: reports state the age of a crash, so each delay on the
        way makes it look more recent.
        """
        return (
            self._may_be_same_incarnation(known) and self.number == known.number
        ) or self._is_too_close(known)

    def _is_too_close(self, known: Crash) -> bool:
        """Returns whether the upstream can't have restarted between the two crashes.

        Start times are ignored, since one instance may have an outdated upstream list.
        """
        near = abs(self.at - known.at) < MIN_UPTIME_S
        return near and self.upstream == known.upstream

    def _may_be_same_incarnation(self, known: Crash) -> bool:
        """Returns whether both are of one upstream, with no two known start times."""
        start_times = {self.born_ms, known.born_ms} - {0}
        return self.upstream == known.upstream and len(start_times) < 2


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """A crash of an upstream, as one instance reports it to another.

    Attributes:
      fingerprint: The request that the upstream was processing.
      upstream: The upstream that crashed.
      age_s: Seconds since the crash, so that clocks need not agree.
      retracted: Whether the crash turned out to be a false positive.
      born_ms: See ``Crash``.
      number: See ``Crash``; absent from instances of earlier versions.
      weak: See ``Crash``; absent from instances of earlier versions, which may have
        counted weak evidence in full.
    """

    fingerprint: Fingerprint
    upstream: UpstreamId
    age_s: float
    retracted: bool = False
    born_ms: int = 0
    number: int = 1
    weak: bool = True

    @classmethod
    def of(
        cls,
        fingerprint: Fingerprint,
        crash: Crash,
        *,
        now: float,
        retracted: bool = False,
    ) -> CrashReport:
        """Returns the report of a crash that this instance knows.

        Args:
          fingerprint: The request that the upstream was processing.
          crash: The crash.
          now: Seconds on the local clock.
          retracted: Whether to report the crash as a false positive.
        """
        return cls(
            fingerprint,
            crash.upstream,
            now - crash.at,
            retracted,
            crash.born_ms,
            crash.number,
            crash.weak,
        )

    def to_crash(self, *, now: float, sender: str = "") -> Crash:
        """Returns the reported crash, with its time on the local clock.

        Args:
          now: Seconds on the local clock.
          sender: The reporting instance, for the log.
        """
        return Crash(
            self.upstream,
            now - self.age_s,
            self.born_ms,
            self.number,
            self.weak,
            source=f"reported by {sender}",
        )


class CrashUpdate(msgspec.Struct, frozen=True, tag="ends", array_like=True):
    """Message that reports crashes and cleared requests to another instance.

    Attributes:
      reports: Crashes observed by the sender or reported to it.
      cleared: Requests that an upstream has answered since.
    """

    reports: tuple[CrashReport, ...]
    cleared: tuple[Fingerprint, ...] = ()
