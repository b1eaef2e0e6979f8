"""Verdicts: whether a request may be sent to an upstream now, or when."""

from __future__ import annotations

import enum

import attrs

HELD_RETRY_S = 1.0
"""Retry delay for a request while upstreams are probed for a crash. Most are found dead
or alive in 0.1 s."""


class VerdictKind(enum.Enum):
    """Kind of a verdict on a request.

    Attributes:
      FREE: It may run.
      TRIAL: It may run once, since its quarantine period is over.
      HELD: It waits until probes show whether upstreams crashed under it.
      UNSTEADY: It waits until an upstream is available that is steady or, for an item,
        runs no other suspect.
      QUARANTINED: It may not run until its quarantine period is over.
    """

    FREE = "free"
    TRIAL = "trial"
    HELD = "held"
    UNSTEADY = "unsteady"
    QUARANTINED = "quarantined"


@attrs.define(frozen=True)
class Verdict:
    """Whether a request may run now.

    Attributes:
      kind: What the request may do.
      retry_after_s: Seconds until it may run; 0 if it may run now.
      crashes: Number of crashes recorded against it.
      by_part: Whether it is for a part of its prompt, which other requests share.
      steady_only: Whether it may be sent to steady upstreams only.
      overdue_s: Seconds since a trial became due.
      stagger_s: Seconds for which it leaves an upstream that has become steady to
        others, so that each sees where the one before it runs.
    """

    kind: VerdictKind
    retry_after_s: float = 0.0
    crashes: int = 0
    by_part: bool = False
    steady_only: bool = False
    overdue_s: float = 0.0
    stagger_s: float = 0.0

    @property
    def runs_apart(self) -> bool:
        """Whether it may not run beside other requests that have met crashes."""
        return self.kind is VerdictKind.TRIAL or self.steady_only

    @property
    def standing(self) -> str:
        """Its kind, as metrics and lines name it."""
        return f"{self.kind.value}_by_part" if self.by_part else self.kind.value

    @property
    def may_run(self) -> bool:
        """Whether it may be sent to an upstream."""
        return self.kind in (VerdictKind.FREE, VerdictKind.TRIAL)


FREE = Verdict(VerdictKind.FREE)
"""Verdict on a request without recorded crashes."""
