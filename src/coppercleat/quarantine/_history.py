"""Counts the upstreams that ended under a request, and says when it may run again.

Answers the load of a request that ends each upstream that runs it (a "query of death")
and that its client sends again and again, to any instance: each end cuts the runs of
all others at that upstream. Whose runs were cut beside it is as suspect at first; a run
that its upstream answers clears a request. Holds no clock and does no I/O.
"""

from __future__ import annotations

import enum
import itertools
from collections.abc import Callable, Iterable, Sequence

import attrs

from coppercleat.ids import UpstreamId
from coppercleat.quarantine._crashes import SAME_END_S, End, ToldEnd
from coppercleat.quarantine._fingerprint import Fingerprint

QUARANTINE_CRASHES = 3
"""Ends after which a request runs no more. One or two come about by chance: a request
whose upstream ends under another's is sent again, and may meet the other again. Among
nine upstreams that is one request of 80 that were cut with it."""

_STEADY_ONLY_CRASHES = 2
STEADY_ONLY_S = 8.0
"""After so many ends a request is sent to steady upstreams only, for so long after the
last: what has just started may end by itself, and a proper request would be held to
account for that. No longer, since upstreams may end again and again for hours, and
serve others in between; a further end there counts half."""

_WEIGHT, _WEAK_WEIGHT = 2, 1
_QUARANTINE_WEIGHT = QUARANTINE_CRASHES * _WEIGHT
"""A weak end counts half, not nothing: the request may be the cause all the same, and
meets six before it is kept from running."""

PAUSES_S = (60.0, 600.0, 3600.0)
"""How long it is kept from running after the ends that say enough, and after each that
follows. Then one trial is let through, so that a proper request is not refused for
ever; a deadly one costs three upstreams more within two hours."""

ITEM_PAUSES_S = (5.0, 10.0, 60.0, 600.0, 3600.0)
"""The same for items. They are run again without anybody asking, so that a proper one
meets the ends of others more often, and they are due in seconds: two trials fit into
15 s. A job may be kept for hours, so that there are more."""

WEAK_EVIDENCE_PERIOD_S = 5.0
"""The first pause at most if any end was weak: the request may well be a proper one."""

TRIAL_STAGGER_S = 2.0
"""The next in line lets a trial through so much later than the one before, as not every
instance is asked for each request. A trial that ends its upstream is told by then."""

QUARANTINED_RETENTION_S = 24 * 3600.0
"""A request that is quarantined is forgotten so long after its last end."""

SUSPECT_RETENTION_S = 600.0
"""One with fewer ends is forgotten after this time: a client gives up much sooner, and
while any is remembered each request has its fingerprint worked out."""

HELD_RETRY_S = 1.0
"""When to come back while it is not known whether upstreams have ended: they are asked,
and most are found dead or alive in 0.1 s."""

MAX_REQUESTS = 1024
"""Requests that are remembered, 0.7 MB with three ends each. When an upstream ends, up
to as many as its slots are added; those with the fewest and oldest ends go first."""

_MAX_DISCOUNTED = 8
"""Ends of one request that are remembered as taken back, or voided by an answer: the
last ones."""

MAX_REMINDED_REQUESTS = 24
"""Requests of which others are reminded in one message, 3 kB with three ends each, by
the number of ends. What is found is told at once, and whole: 50 bytes an end."""


class Standing(enum.Enum):
    """What may be done with a request.

    Attributes:
      FREE: It may run.
      TRIAL: It may run once, after a pause.
      HELD: It waits until it is known whether upstreams have ended under it.
      UNSTEADY: It waits for an upstream that is steady, and open to it.
      QUARANTINED: It waits its pause out.
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
      retry_after_s: When it may, from now; 0 if it may.
      ends: Upstreams that have ended under it.
      wary: Whether it may go to steady upstreams only.
      overdue_s: For how long a trial of it has been due.
    """

    standing: Standing
    retry_after_s: float = 0.0
    ends: int = 0
    wary: bool = False
    overdue_s: float = 0.0

    @property
    def may_run(self) -> bool:
        """Whether it may be sent to an upstream."""
        return self.standing in (Standing.FREE, Standing.TRIAL)


FREE = Verdict(Standing.FREE)
"""Nothing speaks against the request."""


@attrs.define
class _Record:
    """What is held against one request.

    Attributes:
      ends: In the order they were learnt of.
      pending: Upstreams at which a run broke off and that may have ended.
      trial_at: When a trial was last let through.
    """

    ends: list[End] = attrs.field(factory=list)
    pending: list[UpstreamId] = attrs.field(factory=list)
    trial_at: float = float("-inf")

    @property
    def weight(self) -> int:
        """How much the ends say against the request."""
        return sum(_WEAK_WEIGHT if end.weak else _WEIGHT for end in self.ends)

    @property
    def quarantined(self) -> bool:
        """Whether they say enough to keep it from running."""
        return self.weight >= _QUARANTINE_WEIGHT

    @property
    def trials_failed(self) -> int:
        """How many ends it met after it was kept from running for the first time."""
        weights = [_WEAK_WEIGHT if end.weak else _WEIGHT for end in self.ends]
        reached = itertools.accumulate(weights)
        return sum(weight >= _QUARANTINE_WEIGHT for weight in reached) - 1

    @property
    def last_at(self) -> float:
        return max((end.at for end in self.ends), default=float("-inf"))

    def find_reported(self, end: End) -> End | None:
        """Returns the end already known that a told one is; None if it is new."""
        return next(
            (known for known in self.ends if end.is_duplicate_report(known)), None
        )

    def find_observed(self, end: End, *, run_began: float) -> End | None:
        """Returns the end already known that a seen one is; None if it is new."""
        same = (
            e for e in self.ends if end.is_duplicate_observation(e, run_began=run_began)
        )
        return next(same, None)

    def with_number(self, end: End, *, before: Sequence[End] = ()) -> End:
        """Returns a new end with its number.

        Args:
          end: The end.
          before: Ends that were known earlier and count no more.
        """
        if end.number:
            return end
        earlier = (*before, *self.ends)
        same = [known.number for known in earlier if known.upstream == end.upstream]
        return attrs.evolve(end, number=max(same, default=0) + 1)


class EndLedger:
    """Ends by request; the time is passed in, in seconds of one clock."""

    def __init__(self) -> None:
        self._records: dict[Fingerprint, _Record] = {}
        self._voided_until: dict[tuple[Fingerprint, UpstreamId | None], float] = {}
        self._discounted: dict[Fingerprint, list[End]] = {}

    def __len__(self) -> int:
        return len(self._records)

    # What is learnt.

    def broke_off(self, fingerprint: Fingerprint, upstream: UpstreamId) -> None:
        """Notes a run that broke off at an upstream that may have ended."""
        self._record(fingerprint).pending.append(upstream)

    def settled(self, fingerprint: Fingerprint, upstream: UpstreamId) -> None:
        """Notes that nothing more will be known of a run that broke off."""
        record = self._records.get(fingerprint)
        if record is None or upstream not in record.pending:
            return
        record.pending.remove(upstream)
        self._drop_if_empty(fingerprint, record)

    def identified(
        self, fingerprint: Fingerprint, end: End, *, run_began: float
    ) -> End:
        """Returns an end that was seen here as it is to be told: known, or numbered."""
        record = self._records.get(fingerprint, _Record())
        before = self._discounted.get(fingerprint, ())
        known = record.find_observed(end, run_began=run_began)
        return known or record.with_number(end, before=before)

    def ended(self, fingerprint: Fingerprint, end: End) -> bool:
        """Notes that an upstream ended under a request; returns whether that is new.

        Args:
          fingerprint: The request.
          end: Told, or identified here.
        """
        record = self._record(fingerprint)
        if record.find_reported(end) is not None:
            return False
        if not self._counts(fingerprint, end):
            self._drop_if_empty(fingerprint, record)
            return False
        record.ends.append(end)
        return True

    def adopt(self, fingerprint: Fingerprint, ends: list[End]) -> None:
        """Takes all ends that another knows in place of the own, if they say more."""
        counted = [end for end in ends if self._counts(fingerprint, end)]
        record = self._record(fingerprint)
        if _Record(ends=counted).weight > record.weight:
            record.ends = []
            for end in counted:
                record.ends.append(record.with_number(end))
        self._drop_if_empty(fingerprint, record)

    def withdraw(self, fingerprint: Fingerprint, end: End) -> bool:
        """Notes that an upstream that seemed to have ended then lives on.

        Returns:
          Whether its end was held against the request.
        """
        self._voided_until[fingerprint, end.upstream] = end.at + SAME_END_S
        self._discount(fingerprint, [end])
        record = self._records.get(fingerprint)
        if record is None:
            return False
        known = record.find_reported(end)
        if known is not None:
            record.ends.remove(known)
        self._drop_if_empty(fingerprint, record)
        return known is not None

    def clear(self, fingerprint: Fingerprint, *, now: float) -> bool:
        """Notes a run that was answered; returns whether anything was held against it.

        A request that ends its upstreams has none. Others may still tell of ends of
        before, which then count no more.
        """
        record = self._records.pop(fingerprint, None)
        if record is None:
            return False
        self._voided_until[fingerprint, None] = now
        self._discount(fingerprint, record.ends)
        return True

    def was_answered(self, fingerprint: Fingerprint, end: End) -> bool:
        """Returns whether an answer has voided an end, and nothing came after it."""
        if (
            fingerprint in self._records
            or (fingerprint, None) not in self._voided_until
        ):
            return False
        return not self._counts(fingerprint, end)

    def take_told(
        self,
        ends: Iterable[ToldEnd],
        cleared: Iterable[Fingerprint],
        *,
        now: float,
        sender: str = "",
        on_new: Callable[[End], None] = lambda end: None,
    ) -> bool:
        """Takes what another instance tells; returns whether any of it is new.

        Args:
          ends: What it has seen or heard of.
          cleared: Requests that were answered.
          now: Seconds on this instance's clock.
          sender: Who tells, for the log.
          on_new: Told of each end that is new.
        """
        news = [self.clear(fingerprint, now=now) for fingerprint in cleared]
        for told in ends:
            end = told.to_crash(now=now, sender=sender)
            note = self.withdraw if told.withdrawn else self.ended
            news.append(note(told.fingerprint, end))
            if news[-1] and not told.withdrawn:
                on_new(end)
        self.forget_old(now)
        return any(news)

    # What follows.

    def verdict(
        self,
        fingerprint: Fingerprint,
        *,
        now: float,
        pauses_s: Sequence[float] = PAUSES_S,
    ) -> Verdict:
        """Returns whether a request may run, or when one trial of it may."""
        record = self._records.get(fingerprint)
        if record is None:
            return FREE
        ends = len(record.ends)
        if record.quarantined:
            return self._verdict_after_pause(record, now, pauses_s)
        if record.weight + len(set(record.pending)) * _WEIGHT >= _QUARANTINE_WEIGHT:
            return Verdict(Standing.HELD, HELD_RETRY_S, ends)
        wary = ends >= _STEADY_ONLY_CRASHES and now - record.last_at < STEADY_ONLY_S
        return Verdict(Standing.FREE, ends=ends, wary=wary)

    def _verdict_after_pause(
        self, record: _Record, now: float, pauses_s: Sequence[float]
    ) -> Verdict:
        ends, trial = len(record.ends), record.trials_failed
        if trial < len(pauses_s):
            pause_s = pauses_s[trial]
            if not trial and any(end.weak for end in record.ends):
                pause_s = min(pause_s, WEAK_EVIDENCE_PERIOD_S)
            left_s = max(record.last_at, record.trial_at) + pause_s - now
        else:
            left_s = max(0.1, record.last_at + QUARANTINED_RETENTION_S - now)
        return Verdict(
            Standing.QUARANTINED,
            max(0.0, left_s),
            ends,
            wary=-left_s < STEADY_ONLY_S,
            overdue_s=max(0.0, -left_s),
        )

    def begin_trial(self, fingerprint: Fingerprint, *, now: float) -> None:
        """Notes that one run is let through; the next waits for a pause again."""
        self._records[fingerprint].trial_at = now

    def give_back_trial(self, fingerprint: Fingerprint) -> None:
        """Notes that the run that was let through has not come about, or was cut."""
        if fingerprint in self._records:
            self._records[fingerprint].trial_at = float("-inf")

    def told(self, *, now: float) -> tuple[ToldEnd, ...]:
        """Returns what to tell an instance that may know nothing of it."""
        self.forget_old(now)
        records = sorted(self._records.items(), key=lambda item: -item[1].weight)
        return tuple(
            ToldEnd.of(fingerprint, end, now=now)
            for fingerprint, record in records[:MAX_REMINDED_REQUESTS]
            for end in record.ends
        )

    def ends_of(self, fingerprint: Fingerprint) -> list[End]:
        """Returns the ends of upstreams under a request."""
        return list(self._records.get(fingerprint, _Record()).ends)

    def is_quarantined(self, fingerprint: Fingerprint) -> bool:
        """Returns whether the ends under a request keep it from running."""
        record = self._records.get(fingerprint)
        return record is not None and record.quarantined

    def upstreams_of(self, fingerprint: Fingerprint) -> list[UpstreamId]:
        """Returns the upstreams that have ended under a request, in order."""
        return [end.upstream for end in self.ends_of(fingerprint)]

    def quarantined(self, *, now: float) -> dict[Fingerprint, int]:
        """Returns requests that are kept from running, with the ends under each."""
        return {
            fingerprint: len(record.ends)
            for fingerprint, record in self._records.items()
            if record.quarantined and now - record.last_at <= QUARANTINED_RETENTION_S
        }

    # Bounds.

    def _record(self, fingerprint: Fingerprint) -> _Record:
        record = self._records.get(fingerprint)
        if record is None:
            if len(self._records) >= MAX_REQUESTS:
                self._evict_lightest()
            record = self._records[fingerprint] = _Record()
        return record

    def _is_voided(self, fingerprint: Fingerprint, end: End) -> bool:
        """Returns whether an end came before what has shown that it does not count."""
        keys = (fingerprint, end.upstream), (fingerprint, None)
        return end.at <= max(self._voided_until.get(key, float("-inf")) for key in keys)

    def _discount(self, fingerprint: Fingerprint, ends: list[End]) -> None:
        """Remembers ends that count no more, as word of them may be read late."""
        before = self._discounted.pop(fingerprint, [])
        self._discounted[fingerprint] = [*before, *ends][-_MAX_DISCOUNTED:]

    def _counts(self, fingerprint: Fingerprint, end: End) -> bool:
        """Returns whether nothing has shown that an end does not count."""
        discounted = self._discounted.get(fingerprint, ())
        if self._is_voided(fingerprint, end):
            return False
        return not (end.number and any(map(end.is_duplicate_report, discounted)))

    def _drop_if_empty(self, fingerprint: Fingerprint, record: _Record) -> None:
        if not record.ends and not record.pending:
            self._records.pop(fingerprint, None)

    def _evict_lightest(self) -> None:
        def weight(fingerprint: Fingerprint) -> tuple[int, float]:
            record = self._records[fingerprint]
            return record.weight, record.last_at

        del self._records[min(self._records, key=weight)]

    def forget_old(self, now: float) -> None:
        """Drops what is too old to count."""
        for fingerprint, record in list(self._records.items()):
            lasts_s = (
                QUARANTINED_RETENTION_S if record.quarantined else SUSPECT_RETENTION_S
            )
            if record.ends and now - record.last_at > lasts_s:
                del self._records[fingerprint]
        while len(self._voided_until) > MAX_REQUESTS:
            del self._voided_until[next(iter(self._voided_until))]
        while len(self._discounted) > MAX_REQUESTS:
            del self._discounted[next(iter(self._discounted))]
