"""Evidence against one request: the crashes recorded against it, and their weight."""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Sequence

import attrs

from coppercleat.ids import UpstreamId
from coppercleat.quarantine._ends import Crash

QUARANTINE_CRASHES = 3
"""Crashes after which a request is quarantined. An innocent request may meet a few:
retries of it and of the culprit can reach the same upstream. Among nine upstreams, one
of 80 requests that were cut with the culprit meets it again."""

WEIGHT, WEAK_WEIGHT = 2, 1
QUARANTINE_WEIGHT = QUARANTINE_CRASHES * WEIGHT
"""Weight of a crash as evidence, and the sum from which a request is quarantined."""

SAME_MOMENT_S = 0.2
"""Crashes of several upstreams this close in time count once against a part."""

SOUND_PART_WEIGHT = 2 * QUARANTINE_WEIGHT
"""Weight from which a part is quarantined that was lately answered on. A part beside it
that never was is found first."""

FLAPS_TO_WEAKEN = 2
"""Crashes of an upstream soon after its start, without a request, that make an earlier
crash of it weak evidence against the request."""

_SAME_FLAP_WINDOW_S = 3.0
"""A crash this close to a recorded one of the same upstream may be that one: the list
shows crashes late."""


@attrs.frozen
class Flap:
    """A crash of an upstream soon after its start.

    Attributes:
      upstream: The upstream that crashed.
      at: Time of the crash on the local clock, in seconds.
    """

    upstream: UpstreamId
    at: float

    def may_be(self, crash: Crash) -> bool:
        """Returns whether it may be a recorded crash."""
        near = abs(crash.at - self.at) < _SAME_FLAP_WINDOW_S
        return near and crash.upstream == self.upstream


@attrs.frozen
class Moment:
    """A moment at which upstreams crashed.

    Attributes:
      at: Its begin on the local clock, in seconds.
      weight: Its weight as evidence.
    """

    at: float
    weight: int


@attrs.define
class Evidence:
    """The crashes recorded against one request.

    Attributes:
      crashes: In the order in which they were recorded.
      pending: Upstreams that may have crashed and are being probed.
      trial_at: When the last trial began.
      observed_here: Whether this instance observed any of the crashes itself.
      quarantine_weight: Weight from which it is quarantined.
      begun_at: When a request with a suspect part last began here.
    """

    crashes: list[Crash] = attrs.field(factory=list)
    pending: list[UpstreamId] = attrs.field(factory=list)
    trial_at: float = float("-inf")
    observed_here: bool = False
    quarantine_weight: int = QUARANTINE_WEIGHT
    begun_at: float = float("-inf")

    def add(self, crash: Crash) -> None:
        """Adds a crash."""
        self.crashes.append(crash)

    def reweigh(self, flaps: Iterable[Flap]) -> bool:
        """Weakens crashes of upstreams that have flapped since without the request.

        Returns:
          Whether any crash became weak evidence.
        """
        others = [f for f in flaps if not any(map(f.may_be, self.crashes))]
        before = self.weight
        self.crashes = [self._reweighed(crash, others) for crash in self.crashes]
        return self.weight < before

    @staticmethod
    def _reweighed(crash: Crash, flaps: Iterable[Flap]) -> Crash:
        since = [f for f in flaps if f.upstream == crash.upstream and f.at > crash.at]
        if crash.weak or len(since) < FLAPS_TO_WEAKEN:
            return crash
        return attrs.evolve(crash, weak=True)

    @property
    def moments(self) -> list[Moment]:
        """The moments that count, in the order in which they happened."""
        in_order = sorted(self.crashes, key=lambda crash: crash.at)
        return [Moment(crash.at, _weight_of(crash)) for crash in in_order]

    @property
    def weight(self) -> int:
        """Sum of the weights."""
        return sum(moment.weight for moment in self.moments)

    @property
    def quarantined(self) -> bool:
        """Whether the evidence is heavy enough for a quarantine."""
        return self.weight >= self.quarantine_weight

    def weight_with(self, crashes: list[Crash]) -> int:
        """Returns what the weight would be with these crashes alone."""
        return attrs.evolve(self, crashes=crashes).weight

    @property
    def moments_in_quarantine(self) -> list[Moment]:
        """The moment that began the quarantine, and those after it."""
        moments = self.moments
        reached = itertools.accumulate(moment.weight for moment in moments)
        before = sum(weight < self.quarantine_weight for weight in reached)
        return moments[before:]

    @property
    def last_at(self) -> float:
        return max((crash.at for crash in self.crashes), default=float("-inf"))

    def find_reported(self, crash: Crash) -> Crash | None:
        """Returns the recorded duplicate of a reported crash; None if it is new."""
        return next(
            (known for known in self.crashes if crash.is_duplicate_report(known)), None
        )

    def find_observed(self, crash: Crash, *, attempt_began: float) -> Crash | None:
        """Returns the recorded duplicate of an observed crash; None if it is new."""
        duplicates = (
            known
            for known in self.crashes
            if crash.is_duplicate_observation(known, attempt_began=attempt_began)
        )
        return next(duplicates, None)

    def with_known_weight(self, crash: Crash) -> Crash:
        """Returns a reported crash, weak if it is known to be."""
        known = self.find_reported(crash)
        return attrs.evolve(crash, weak=True) if known and known.weak else crash

    def with_number(self, crash: Crash, *, before: Sequence[Crash] = ()) -> Crash:
        """Returns a new crash with its number assigned.

        Args:
          crash: The crash.
          before: Earlier crashes that were retracted or voided.
        """
        if crash.number:
            return crash
        earlier = (*before, *self.crashes)
        numbers = [c.number for c in earlier if c.upstream == crash.upstream]
        return attrs.evolve(crash, number=max(numbers, default=0) + 1)


@attrs.define
class PartEvidence(Evidence):
    """The crashes recorded against a part of prompts.

    A part that crashes upstreams does so under each run that begins to answer on it, so
    that one whole answer clears it. Many upstreams that crash at one moment have one
    cause, such as a rack, which is no part of a prompt.
    """

    @property
    def moments(self) -> list[Moment]:
        """The moments at which upstreams crashed, in the order of their begin."""
        merged: list[Moment] = []
        for moment in super().moments:
            if merged and moment.at - merged[-1].at < SAME_MOMENT_S:
                begun = merged.pop()
                merged.append(Moment(begun.at, max(begun.weight, moment.weight)))
            else:
                merged.append(moment)
        return merged


def _weight_of(crash: Crash) -> int:
    return WEAK_WEIGHT if crash.weak else WEIGHT
