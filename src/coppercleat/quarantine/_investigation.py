"""Upstreams that may have crashed, and the attempts that were interrupted there."""

from __future__ import annotations

import enum
from typing import Generic, Protocol, TypeVar

import attrs

from coppercleat.ids import UpstreamId
from coppercleat.quarantine._ends import IMMEDIATE_S, SAME_CRASH_WINDOW_S
from coppercleat.quarantine._fingerprint import Fingerprint


class ProbeResult(enum.Enum):
    """Result of probing an upstream."""

    NOTHING_LISTENS = "nothing listens at its address"
    OTHER_INCARNATION = "it tells of another start"
    SAME_INCARNATION = "it tells of the same start"
    SOMETHING_LISTENS = "something answers at its address"
    NO_ANSWER = "it does not answer"


class UpstreamIncarnation(Protocol):
    """One incarnation of an upstream: the time from one start to the next."""

    @property
    def id(self) -> UpstreamId:
        """Id of the upstream."""
        ...

    @property
    def born_ms(self) -> int:
        """Start time, which tells it from other incarnations; 0 if unknown."""
        ...

    @property
    def unlisted(self) -> bool:
        """Whether it is no longer listed and did not announce that it would stop."""
        ...

    @property
    def stopping(self) -> bool:
        """Whether it is stopping or has stopped as planned."""
        ...

    @property
    def restarted(self) -> bool:
        """Whether a later incarnation is known."""
        ...

    def was_steady(self, *, began: float, at: float) -> bool:
        """Returns whether it was steady when it crashed during an attempt.

        Args:
          began: Trio time, in seconds, at which the attempt began.
          at: Trio time, in seconds, at which the attempt was interrupted.
        """
        ...


class FingerprintedRequest(Protocol):
    """A request that is to be sent to an upstream."""

    @property
    def request_id(self) -> str:
        """Id of the request, for the log."""
        ...

    @property
    def fingerprint(self) -> Fingerprint:
        """Fingerprint of its content."""
        ...


UpstreamT = TypeVar("UpstreamT", bound=UpstreamIncarnation)

CRASH_PROOFS = frozenset({ProbeResult.NOTHING_LISTENS, ProbeResult.OTHER_INCARNATION})
FINAL_RESULTS = frozenset(
    {
        ProbeResult.OTHER_INCARNATION,
        ProbeResult.SAME_INCARNATION,
        ProbeResult.SOMETHING_LISTENS,
    }
)
"""Results after which probing stops. A refused connection is not among them, since the
refusal may be brief."""


@attrs.frozen
class InterruptedAttempt:
    """An attempt that was interrupted, or abandoned by its client.

    Attributes:
      began: Trio time, in seconds, at which it was sent to the upstream.
      at: Trio time, in seconds, at which it was interrupted.
      made_progress: Whether it made progress for ``PROGRESS_EVIDENCE_S``.
      parts: Parts of the request's prompt that other requests may share.
    """

    began: float
    at: float
    made_progress: bool = False
    parts: tuple[Fingerprint, ...] = ()

    @property
    def is_immediate(self) -> bool:
        """Whether it was interrupted before the upstream had done much for it."""
        return self.at - self.began < IMMEDIATE_S


@attrs.define(eq=False)
class Investigation(Generic[UpstreamT]):
    """Probing of one incarnation of an upstream, and the requests it concerns.

    Attributes:
      incarnation: What is probed.
      suspects: Interrupted attempt of each request that may be the cause.
      late_suspects: Requests whose attempts began after the interruption of those, and
        were interrupted as well.
      crashed: Whether a crash is taken as proved.
      proof: What proved it, for the log.
      proved_at: Trio time of the proof, in seconds.
    """

    incarnation: UpstreamT
    suspects: dict[Fingerprint, InterruptedAttempt] = attrs.field(factory=dict)
    late_suspects: set[Fingerprint] = attrs.field(factory=set)
    crashed: bool = False
    proof: str = ""
    proved_at: float = 0.0

    def began_after_crash(self, attempt: InterruptedAttempt) -> bool:
        """Returns whether an attempt began after the crash and failed immediately.

        Such an attempt is not the cause. One that lasted longer may have crashed the
        next incarnation, and so may any once the crash is proved.
        """
        if self.crashed or not self.suspects or not attempt.is_immediate:
            return False
        return attempt.began > min(other.at for other in self.suspects.values())

    def is_weak_evidence(self, attempt: InterruptedAttempt) -> bool:
        """Returns whether an attempt may have reached only a proxy of the upstream.

        A proxy in front of a crashed upstream accepts connections and closes them in
        milliseconds, which hides the crash until the upstream is back.
        """
        late = self.proved_at - attempt.at >= SAME_CRASH_WINDOW_S
        return late and attempt.is_immediate
