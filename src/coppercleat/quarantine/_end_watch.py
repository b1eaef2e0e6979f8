"""Finds out whether an upstream ended under the requests whose runs broke off there.

A broken connection alone proves nothing: links are cut, answers garbled, upstreams
stopped as planned. The upstream is asked: if its host says that nothing listens, or it
tells of another start, it has ended; if it tells of the same start, it lives.
"""

from __future__ import annotations

import collections
import enum
from collections.abc import Awaitable, Callable
from typing import Generic, Protocol, TypeVar

import attrs
import trio

from coppercleat.ids import UpstreamId
from coppercleat.observability import part_logger
from coppercleat.quarantine._ends import SAME_END_S, End, ToldEnd
from coppercleat.quarantine._fingerprint import Fingerprint, shown
from coppercleat.quarantine._ledger import (
    FREE,
    HELD_RETRY_S,
    ITEM_PAUSES_S,
    PAUSES_S,
    EndLedger,
    Standing,
    Verdict,
)

PROBE_DELAYS_S = (0.0, 0.05, 0.1, 0.2, 0.4, 0.8, 1.0, 1.0, 1.0)
"""Pauses before each question. The first finds most; the later ones tell a link that
refuses for a moment from an upstream that has ended. A question takes 2 ms of network
and 1 ms of processor time, and comes with a broken connection only."""

PROGRESS_EVIDENCE_S = 0.3
"""A run that made something for so long speaks for the request: most that end their
upstreams do so at once."""

IMMEDIATE_S = 0.05
"""A run that broke off so soon was hardly begun by its upstream."""

ABANDONED_WINDOW_S = 1.0
"""A run that its client left is as suspect if its upstream ends within this time: most
upstreams end such a run at once, and what it had begun may end them all the same."""

UPDATE_REPEAT_S = 0.5
UPDATE_REPEATS = 2
"""Ends are told again so often, since a link may be silent; a silent one is opened anew
within a second. Who could not be reached for longer gets all when it is heard again."""

_MAX_LOGGED_CRASHES = 6
"""Ends that one line tells, the last ones."""

_MAX_ABANDONED = 256
"""Runs that were left and are remembered for a second."""

_log = part_logger("quarantine")


class Finding(enum.Enum):
    """What a question to an upstream has shown."""

    NOTHING_LISTENS = "nothing listens at its address"
    OTHER_LIFE = "it tells of another start"
    SAME_LIFE = "it tells of the same start"
    SOMETHING_LISTENS = "something answers at its address"
    NO_ANSWER = "it does not answer"


class Watched(Protocol):
    """One life of an upstream."""

    @property
    def id(self) -> UpstreamId:
        """Its id."""
        ...

    @property
    def born_ms(self) -> int:
        """Tells this life from others of the same id; 0 if unknown."""
        ...

    @property
    def unlisted(self) -> bool:
        """Whether it is no longer listed, and has not said that it leaves."""
        ...

    @property
    def stopping(self) -> bool:
        """Whether it leaves, or has left, as planned."""
        ...

    @property
    def restarted(self) -> bool:
        """Whether it is known to have started again, which is another life."""
        ...

    def was_steady(self, *, began: float, at: float) -> bool:
        """Returns whether it had lived for a while when it ended under a run.

        Args:
          began: When the run began, in trio's time.
          at: When it broke off.
        """
        ...


class Asking(Protocol):
    """A request that wants to be sent to an upstream."""

    @property
    def request_id(self) -> str:
        """Its id, for the log."""
        ...

    @property
    def fingerprint(self) -> Fingerprint:
        """What it asks."""
        ...


_W = TypeVar("_W", bound=Watched)

_CRASH_PROOFS = frozenset({Finding.NOTHING_LISTENS, Finding.OTHER_LIFE})
_FINAL_RESULTS = frozenset(
    {Finding.OTHER_LIFE, Finding.SAME_LIFE, Finding.SOMETHING_LISTENS}
)
"""Nothing listens also where a link refuses for a moment: it is asked again."""


@attrs.frozen
class _InterruptedAttempt:
    """A run that broke off, or was left.

    Attributes:
      began: When it was sent to the upstream.
      at: When it broke off.
      made_progress: Whether it made something for a while.
    """

    began: float
    at: float
    made_progress: bool = False

    @property
    def is_immediate(self) -> bool:
        """Whether it was hardly begun by its upstream."""
        return self.at - self.began < IMMEDIATE_S


@attrs.define(eq=False)
class _Investigation(Generic[_W]):
    """What is asked of one life of an upstream.

    Attributes:
      suspects: Whose run broke off there.
      late_suspects: Whose run began after those had broken off, and broke off, too.
      crashed: Whether it is taken to have ended.
      proof: What has shown that.
      proved_at: When that was, in trio's time.
    """

    state: _W
    suspects: dict[Fingerprint, _InterruptedAttempt] = attrs.field(factory=dict)
    late_suspects: set[Fingerprint] = attrs.field(factory=set)
    crashed: bool = False
    proof: str = ""
    proved_at: float = 0.0

    def began_after_crash(self, run: _InterruptedAttempt) -> bool:
        """Returns whether a run began after others had broken off, and ended at once.

        Whatever ended the upstream began before. One that lasted may have met its next
        life, and all may once it is known to have ended.
        """
        if self.crashed or not self.suspects or not run.is_immediate:
            return False
        return run.began > min(other.at for other in self.suspects.values())

    def is_weak_evidence(self, run: _InterruptedAttempt) -> bool:
        """Returns whether a run may have met nothing but what stands before it.

        Something that takes connections for an upstream and closes them, since there is
        none, does so in milliseconds, and hides its end until it is back.
        """
        late = self.proved_at - run.at >= SAME_END_S
        return late and run.is_immediate


class EndWatch(Generic[_W]):
    """Keeps the ledger of ends up to date, and tells others of what is found.

    Attributes:
      ledger: Ends by request.
      on_news: Told of ends, and of requests that were cleared, for other instances.
      may_try: Returns whether this instance is the one to let a trial through, given
        for how many seconds it has been due.
      on_barred: Told the standing of each request that was not let through.
      on_ended: Told of each end of an upstream that is found or heard of, and when the
        run began that met it, as far as is known.
      on_withdrawn: Told of each that is taken back.
    """

    def __init__(self, ask: Callable[[_W], Awaitable[Finding]]) -> None:
        """Prepares the watch.

        Args:
          ask: Puts one question to an upstream.
        """
        self.ask = ask
        self.ledger = EndLedger()
        self.on_news: Callable[[tuple[ToldEnd, ...], tuple[Fingerprint, ...]], None] = (
            lambda ends, cleared: None
        )
        self.may_try: Callable[[Fingerprint, float], bool] = (
            lambda fingerprint, overdue_s: True
        )
        self.on_barred: Callable[[str], None] = lambda standing: None
        self.on_ended: Callable[[End, float], None] = lambda end, run_began: None
        self.on_withdrawn: Callable[[End], None] = lambda end: None
        self._investigations: dict[_W, _Investigation[_W]] = {}
        self._new_investigations: list[_Investigation[_W]] = []
        self._unsent_reports: list[tuple[Fingerprint, End, bool]] = []
        self._unsent_clears: list[Fingerprint] = []
        self._abandoned: collections.deque[tuple[Fingerprint, _W, float]] = (
            collections.deque(maxlen=_MAX_ABANDONED)
        )
        self._wake = trio.Event()

    async def run(self) -> None:
        """Asks and tells until cancelled."""
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

    # What the serving path tells.

    def broke_off(
        self,
        fingerprint: Fingerprint,
        state: _W,
        *,
        began: float | None = None,
        silent: bool = False,
        moved_on_s: float = 0.0,
    ) -> None:
        """Notes a run that broke off, or fell silent, at an upstream.

        One that was leaving ends as planned. Silence is less than a broken connection:
        it holds no request up before the end is proved.

        Args:
          fingerprint: The request.
          state: The upstream.
          began: When the run began, in trio's time; None if unknown.
          silent: Whether it fell silent.
          moved_on_s: From its beginning to the last that it made, in seconds.
        """
        now = trio.current_time()
        began = now if began is None else began
        run = _InterruptedAttempt(began, now, moved_on_s >= PROGRESS_EVIDENCE_S)
        self._add_suspect(fingerprint, state, run, silent=silent)

    def _add_suspect(
        self,
        fingerprint: Fingerprint,
        state: _W,
        run: _InterruptedAttempt,
        *,
        silent: bool,
    ) -> None:
        if state.stopping:
            return
        investigation = self._investigations.get(state)
        if investigation is not None and investigation.began_after_crash(run):
            self._add_late_suspect(investigation, fingerprint, silent=silent)
            return
        if investigation is None:
            investigation = self._investigations[state] = _Investigation(state)
            self._new_investigations.append(investigation)
            self._wake.set()
        if fingerprint in investigation.suspects:
            return
        investigation.suspects[fingerprint] = run
        if investigation.crashed:
            self._record_crash(investigation, fingerprint)
        elif not silent:
            self.ledger.broke_off(fingerprint, state.id)

    def _add_late_suspect(
        self,
        investigation: _Investigation[_W],
        fingerprint: Fingerprint,
        *,
        silent: bool,
    ) -> None:
        """Holds a request up that broke off after others: it may be one more cause."""
        if not silent and fingerprint not in investigation.late_suspects:
            investigation.late_suspects.add(fingerprint)
            self.ledger.broke_off(fingerprint, investigation.state.id)

    def left(self, fingerprint: Fingerprint, state: _W) -> None:
        """Notes a run that was left before its upstream had answered it."""
        self._abandoned.append((fingerprint, state, trio.current_time()))

    def unreachable(self, state: _W) -> None:
        """Notes that no connection to an upstream could be made."""
        for fingerprint, abandoned_at in self._abandoned_before(
            state.id, trio.current_time()
        ):
            self._add_suspect(
                fingerprint, state, _abandoned_attempt(abandoned_at), silent=True
            )

    def _abandoned_before(
        self, upstream: UpstreamId, end_at: float
    ) -> list[tuple[Fingerprint, float]]:
        """Returns the runs that were left at an upstream shortly before its end."""
        return [
            (fingerprint, abandoned_at)
            for fingerprint, state, abandoned_at in self._abandoned
            if state.id == upstream and 0 <= end_at - abandoned_at <= ABANDONED_WINDOW_S
        ]

    def note_answer(self, request: Asking) -> None:
        """Does what ``answered`` does, if anything is held against any request."""
        if len(self.ledger):
            self.answered(request.fingerprint)

    def answered(self, fingerprint: Fingerprint) -> bool:
        """Notes a run that its upstream has answered: it did not end under it.

        Returns:
          Whether anything was held against the request.
        """
        held = self.ledger.clear(fingerprint, now=trio.current_time())
        if held:
            _log.info("A request was cleared.", fingerprint=shown(fingerprint))
            self._unsent_clears.append(fingerprint)
            self._wake.set()
        return held

    def verdict(self, request: Asking, *, item: bool = False) -> Verdict:
        """Returns whether a request may be sent to an upstream now.

        Args:
          request: The request.
          item: Whether it is one of a job, which one instance alone runs.
        """
        if not len(self.ledger):
            return FREE
        fingerprint = request.fingerprint
        verdict = self.ledger.verdict(
            fingerprint,
            now=trio.current_time(),
            pauses_s=ITEM_PAUSES_S if item else PAUSES_S,
        )
        if verdict.standing is Standing.QUARANTINED and not verdict.retry_after_s:
            if item or self.may_try(fingerprint, verdict.overdue_s):
                return attrs.evolve(verdict, standing=Standing.TRIAL)
            return Verdict(Standing.QUARANTINED, HELD_RETRY_S, verdict.ends)
        return verdict

    def admit(self, request: Asking) -> Verdict:
        """Does the same for one that is sent at once if it may be; counts a trial."""
        verdict = self.verdict(request)
        if verdict.standing is Standing.TRIAL:
            self.begin_trial(request)
        return verdict

    def begin_trial(self, request: Asking) -> None:
        """Notes that a request whose pause is over is sent to an upstream."""
        self.ledger.begin_trial(request.fingerprint, now=trio.current_time())
        _log.warning(
            "A trial of a quarantined request.",
            request=request.request_id,
            fingerprint=shown(request.fingerprint),
            ends=len(self.ledger.ends_of(request.fingerprint)),
        )

    def not_run(self, request: Asking) -> None:
        """Notes that a request was sent and not run, so that it had no trial."""
        if len(self.ledger):
            self.ledger.give_back_trial(request.fingerprint)

    # Asking.

    async def _investigate(self, investigation: _Investigation[_W]) -> None:
        state = investigation.state
        try:
            for pause_s in PROBE_DELAYS_S:
                await trio.sleep(pause_s)
                if await self._probe_once(investigation):
                    return
            if state.unlisted:
                self._record_proof(investigation, "it answers nothing and is unlisted")
        finally:
            self._investigations.pop(state, None)
            for fingerprint in (*investigation.suspects, *investigation.late_suspects):
                self.ledger.settled(fingerprint, state.id)
            self.ledger.forget_old(trio.current_time())

    async def _probe_once(self, investigation: _Investigation[_W]) -> bool:
        """Looks once; returns whether nothing more can be learnt."""
        state = investigation.state
        if state.restarted:
            self._record_proof(investigation, "it has started again")
            return True
        result = await self.ask(state)
        if result in _CRASH_PROOFS:
            self._record_proof(investigation, result.value)
        elif result is Finding.SAME_LIFE and investigation.crashed:
            # Whatever else answers there now may be what has come after it.
            self._retract(investigation)
        return result in _FINAL_RESULTS

    def _record_proof(self, investigation: _Investigation[_W], proof: str) -> None:
        if investigation.crashed:
            return
        investigation.crashed = True
        investigation.proof = proof
        investigation.proved_at = trio.current_time()
        first_at = min(run.at for run in investigation.suspects.values())
        for fingerprint, abandoned_at in self._abandoned_before(
            investigation.state.id, first_at
        ):
            investigation.suspects.setdefault(
                fingerprint, _abandoned_attempt(abandoned_at)
            )
        _log.warning(
            "An upstream ended under requests.",
            upstream=investigation.state.id,
            proof=proof,
            requests=len(investigation.suspects),
        )
        first_began = min(run.began for run in investigation.suspects.values())
        end = End(investigation.state.id, first_at, investigation.state.born_ms)
        self.on_ended(end, first_began)
        for fingerprint in investigation.suspects:
            self._record_crash(investigation, fingerprint)

    def _record_crash(
        self, investigation: _Investigation[_W], fingerprint: Fingerprint
    ) -> None:
        self.ledger.settled(fingerprint, investigation.state.id)
        end = self._crash_under(investigation, fingerprint)
        if self.ledger.ended(fingerprint, end):
            self._log_if_quarantined(fingerprint, sender="")
        self._unsent_reports.append((fingerprint, end, False))
        self._wake.set()

    def _crash_under(
        self, investigation: _Investigation[_W], fingerprint: Fingerprint
    ) -> End:
        """Returns the upstream's end, if it has ended, under one of the suspects."""
        state, run = investigation.state, investigation.suspects[fingerprint]
        steady = state.was_steady(began=run.began, at=run.at)
        weak = run.made_progress or not steady or investigation.is_weak_evidence(run)
        end = End(
            state.id, run.at, state.born_ms, weak=weak, source=investigation.proof
        )
        return self.ledger.identified(fingerprint, end, run_began=run.began)

    def _retract(self, investigation: _Investigation[_W]) -> None:
        """Takes an end back: the link to the upstream had refused for a moment."""
        _log.warning("An upstream lives after all.", upstream=investigation.state.id)
        for fingerprint in investigation.suspects:
            end = self._crash_under(investigation, fingerprint)
            self.ledger.withdraw(fingerprint, end)
            self.on_withdrawn(end)
            self._unsent_reports.append((fingerprint, end, True))
        self._wake.set()

    # Telling and hearing.

    async def _send_update(self) -> None:
        untold, self._unsent_reports = self._unsent_reports, []
        cleared, self._unsent_clears = tuple(self._unsent_clears), []
        for repeat in range(UPDATE_REPEATS + 1):
            if repeat:
                await trio.sleep(UPDATE_REPEAT_S)
            now = trio.current_time()
            ends = tuple(
                ToldEnd.of(fingerprint, end, now=now, withdrawn=withdrawn)
                for fingerprint, end, withdrawn in untold
            )
            # What was cleared is not told again: it may have become suspect since.
            self.on_news(ends, () if repeat else cleared)

    def take_news(
        self, sender: str, ends: tuple[ToldEnd, ...], cleared: tuple[Fingerprint, ...]
    ) -> bool:
        """Takes what another instance has found; returns whether it is news."""
        now = trio.current_time()
        before = self.ledger.quarantined(now=now)
        news = self.ledger.take_told(
            ends,
            cleared,
            now=now,
            sender=sender,
            on_new=lambda end: self.on_ended(end, end.at),
        )
        for told in ends:
            end = told.to_crash(now=now)
            if told.withdrawn:
                self.on_withdrawn(end)
            elif self.ledger.was_answered(told.fingerprint, end):
                # The teller has missed that.
                self._resend_clear(told.fingerprint)
            else:
                self._record_abandoned_crashes(end)
        for fingerprint in self.ledger.quarantined(now=now).keys() - before.keys():
            self._log_if_quarantined(fingerprint, sender=sender)
        return news

    def _resend_clear(self, fingerprint: Fingerprint) -> None:
        if fingerprint not in self._unsent_clears:
            self._unsent_clears.append(fingerprint)
            self._wake.set()

    def _record_abandoned_crashes(self, end: End) -> None:
        """Takes an end that another found as one of the runs that were left there."""
        seen = attrs.evolve(end, number=0)
        for fingerprint, abandoned_at in self._abandoned_before(end.upstream, end.at):
            left = self.ledger.identified(fingerprint, seen, run_began=abandoned_at)
            if self.ledger.ended(fingerprint, left):
                self._log_if_quarantined(fingerprint, sender="")
                self._unsent_reports.append((fingerprint, left, False))
                self._wake.set()

    def _log_if_quarantined(self, fingerprint: Fingerprint, *, sender: str) -> None:
        now = trio.current_time()
        verdict = self.ledger.verdict(fingerprint, now=now)
        if verdict.standing is not Standing.QUARANTINED:
            return
        ends = self.ledger.ends_of(fingerprint)[-_MAX_LOGGED_CRASHES:]
        _log.warning(
            "A request is quarantined.",
            fingerprint=shown(fingerprint),
            ends=verdict.ends,
            upstreams=self.ledger.upstreams_of(fingerprint)[-_MAX_LOGGED_CRASHES:],
            met=[_crash_log_fields(end, now=now) for end in ends],
            teller=sender,
            retry_after_s=round(verdict.retry_after_s, 1),
        )


def _crash_log_fields(end: End, *, now: float) -> dict[str, object]:
    """Returns an end as a line tells it, so that one told twice can be seen."""
    return {
        "upstream": end.upstream,
        "number": end.number,
        "born_ms": end.born_ms,
        "age_s": round(now - end.at, 2),
        "weak": end.weak,
        "source": end.source,
    }


def _abandoned_attempt(abandoned_at: float) -> _InterruptedAttempt:
    """Returns a run that was left, of whose beginning nothing is kept."""
    return _InterruptedAttempt(abandoned_at, abandoned_at)
