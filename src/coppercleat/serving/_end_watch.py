"""Finds out whether an upstream ended under the requests whose runs broke off there.

A broken connection alone proves nothing: links are cut, answers garbled, upstreams
stopped as planned. The upstream is asked: if its host says that nothing listens, or it
tells of another start, it has ended; if it tells of the same start, it lives.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs
import trio

from coppercleat.observability import part_logger
from coppercleat.quarantine import (
    FREE,
    HELD_RETRY_S,
    EndLedger,
    Fingerprint,
    Standing,
    ToldEnd,
    Verdict,
    shown,
)
from coppercleat.serving._model import OnlineRequest
from coppercleat.serving._placement import UpstreamState
from coppercleat.serving._upstream_call import (
    NothingListensError,
    UpstreamBrokeError,
    UpstreamCaller,
)

LOOK_PAUSES_S = (0.0, 0.05, 0.1, 0.2, 0.4, 0.8, 1.0, 1.0, 1.0)
"""Pauses before each question. The first finds most; the later ones tell a link that
refuses for a moment from an upstream that has ended. A question takes 2 ms of network
and 1 ms of processor time, and comes with a broken connection only."""

REPEAT_S = 0.5
REPEATS = 2
"""Ends are told again so often, since a link may be silent; a silent one is opened anew
within a second. Who could not be reached for longer gets all when it is heard again."""

_log = part_logger("quarantine")


@attrs.define(eq=False)
class _Inquiry:
    """What is asked of one life of an upstream.

    Attributes:
      suspects: When whose run broke off there.
      found_ended: Whether it is taken to have ended.
    """

    state: UpstreamState
    suspects: dict[Fingerprint, float] = attrs.field(factory=dict)
    found_ended: bool = False


class EndWatch:
    """Keeps the ledger of ends up to date, and tells others of what is found.

    Attributes:
      ledger: Ends by request.
      on_news: Told of ends, and of requests that were cleared, for other instances.
      may_try: Returns whether this instance is the one to let a trial through.
      on_barred: Told the standing of each request that was not let through.
    """

    def __init__(self, caller: UpstreamCaller) -> None:
        self.caller = caller
        self.ledger = EndLedger()
        self.on_news: Callable[[tuple[ToldEnd, ...], tuple[Fingerprint, ...]], None] = (
            lambda ends, cleared: None
        )
        self.may_try: Callable[[Fingerprint], bool] = lambda fingerprint: True
        self.on_barred: Callable[[str], None] = lambda standing: None
        self._inquiries: dict[UpstreamState, _Inquiry] = {}
        self._opened: list[_Inquiry] = []
        self._untold: list[tuple[Fingerprint, UpstreamState, float, bool]] = []
        self._cleared: list[Fingerprint] = []
        self._wake = trio.Event()

    async def run(self) -> None:
        """Asks and tells until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._wake.wait()
                self._wake = trio.Event()
                while self._opened:
                    nursery.start_soon(self._inquire, self._opened.pop())
                if self._untold or self._cleared:
                    nursery.start_soon(self._tell)

    # What the serving path tells.

    def broke_off(
        self, fingerprint: Fingerprint, state: UpstreamState, *, silent: bool = False
    ) -> None:
        """Notes a run that broke off, or fell silent, at an upstream.

        One that was leaving ends as planned. Silence is less than a broken connection:
        it holds no request up before the end is proved.
        """
        if state.upstream.draining or (state.gone and not state.restarted):
            return
        inquiry = self._inquiries.get(state)
        if inquiry is None:
            inquiry = self._inquiries[state] = _Inquiry(state)
            self._opened.append(inquiry)
            self._wake.set()
        if fingerprint in inquiry.suspects:
            return
        inquiry.suspects[fingerprint] = trio.current_time()
        if inquiry.found_ended:
            self._note_end(inquiry, fingerprint)
        elif not silent:
            self.ledger.broke_off(fingerprint, state.id)

    def answered(self, fingerprint: Fingerprint) -> None:
        """Notes a run that its upstream has answered: it did not end under it."""
        if self.ledger.clear(fingerprint, now=trio.current_time()):
            _log.info("A request was cleared.", fingerprint=shown(fingerprint))
            self._cleared.append(fingerprint)
            self._wake.set()

    def verdict(self, request: OnlineRequest) -> Verdict:
        """Returns whether a request may be sent to an upstream now."""
        if not len(self.ledger):
            return FREE
        fingerprint = request.fingerprint
        verdict = self.ledger.verdict(fingerprint, now=trio.current_time())
        if verdict.standing is Standing.QUARANTINED and not verdict.retry_after_s:
            if self.may_try(fingerprint):
                return Verdict(Standing.TRIAL, ends=verdict.ends)
            return Verdict(Standing.QUARANTINED, HELD_RETRY_S, verdict.ends)
        return verdict

    def admit(self, request: OnlineRequest) -> Verdict:
        """Does the same for one that is sent at once if it may be; counts a trial."""
        verdict = self.verdict(request)
        if verdict.standing is Standing.TRIAL:
            self.ledger.begin_trial(request.fingerprint, now=trio.current_time())
            _log.warning(
                "A trial of a quarantined request.",
                request=request.request_id,
                fingerprint=shown(request.fingerprint),
                ends=verdict.ends,
            )
        return verdict

    # Asking.

    async def _inquire(self, inquiry: _Inquiry) -> None:
        state = inquiry.state
        try:
            for pause_s in LOOK_PAUSES_S:
                await trio.sleep(pause_s)
                if await self._settled(inquiry):
                    return
        finally:
            self._inquiries.pop(state, None)
            for fingerprint in inquiry.suspects:
                self.ledger.settled(fingerprint, state.id)

    async def _settled(self, inquiry: _Inquiry) -> bool:
        """Looks once; returns whether nothing more can be learnt."""
        state = inquiry.state
        if state.restarted:
            self._found_ended(inquiry, "it has started again")
            return True
        try:
            report = await self.caller.report(state.upstream)
        except NothingListensError:
            self._found_ended(inquiry, "nothing listens at its address")
            return False
        except UpstreamBrokeError as error:
            _log.debug("An upstream did not report.", reason=str(error))
            return False
        born_ms = state.upstream.born_ms
        if 0 not in (report.born_ms, born_ms) and report.born_ms != born_ms:
            self._found_ended(inquiry, "it tells of another start")
        elif inquiry.found_ended:
            self._withdraw(inquiry)
        return True

    def _found_ended(self, inquiry: _Inquiry, proof: str) -> None:
        if inquiry.found_ended:
            return
        inquiry.found_ended = True
        _log.warning(
            "An upstream ended under requests.",
            upstream=inquiry.state.id,
            born_ms=inquiry.state.upstream.born_ms,
            proof=proof,
            requests=len(inquiry.suspects),
        )
        for fingerprint in inquiry.suspects:
            self._note_end(inquiry, fingerprint)

    def _note_end(self, inquiry: _Inquiry, fingerprint: Fingerprint) -> None:
        state, at = inquiry.state, inquiry.suspects[fingerprint]
        self.ledger.settled(fingerprint, state.id)
        if self.ledger.ended(fingerprint, state.id, at):
            self._log_verdict(fingerprint, teller="")
        self._untold.append((fingerprint, state, at, False))
        self._wake.set()

    def _withdraw(self, inquiry: _Inquiry) -> None:
        """Takes an end back: the link to the upstream had refused for a moment."""
        state = inquiry.state
        _log.warning("An upstream lives after all.", upstream=state.id)
        for fingerprint, at in inquiry.suspects.items():
            self.ledger.withdraw(fingerprint, state.id, at)
            self._untold.append((fingerprint, state, at, True))
        self._wake.set()

    # Telling and hearing.

    async def _tell(self) -> None:
        untold, self._untold = self._untold, []
        cleared, self._cleared = tuple(self._cleared), []
        for repeat in range(REPEATS + 1):
            if repeat:
                await trio.sleep(REPEAT_S)
            now = trio.current_time()
            ends = tuple(
                ToldEnd(fingerprint, state.id, now - at, withdrawn)
                for fingerprint, state, at, withdrawn in untold
            )
            # What was cleared is not told again: it may have become suspect since.
            self.on_news(ends, () if repeat else cleared)

    def take_news(
        self, teller: str, ends: tuple[ToldEnd, ...], cleared: tuple[Fingerprint, ...]
    ) -> None:
        """Takes what another instance has found."""
        now = trio.current_time()
        before = self.ledger.quarantined(now=now)
        self.ledger.take_told(ends, cleared, now=now)
        for fingerprint in self.ledger.quarantined(now=now).keys() - before.keys():
            self._log_verdict(fingerprint, teller=teller)

    def _log_verdict(self, fingerprint: Fingerprint, *, teller: str) -> None:
        verdict = self.ledger.verdict(fingerprint, now=trio.current_time())
        if verdict.standing is not Standing.QUARANTINED:
            return
        _log.warning(
            "A request is quarantined.",
            fingerprint=shown(fingerprint),
            ends=verdict.ends,
            upstreams=self.ledger.upstreams_of(fingerprint),
            teller=teller,
            retry_after_s=round(verdict.retry_after_s, 1),
        )
