"""Upstreams in memory that end and start again, and the caller that reaches them."""

from __future__ import annotations

import collections
import contextlib
from collections.abc import AsyncIterator, Callable, Sequence
from typing import Any

import attrs
import trio

from coppercleat.ids import SoftwareVersion, UpstreamId, ZoneId
from coppercleat.serving import (
    OnlineRequest,
    Upstream,
    UpstreamCallError,
    UpstreamNotListeningError,
    UpstreamReport,
    UpstreamResponse,
)
from coppercleat.upstreams import AttemptState

BORN = 1_796_260_943_655
SLOTS = 8
DEADLY_AFTER_S = 0.06
EVENT_S = 0.1


@attrs.define(eq=False)
class Life:
    """One life of an upstream.

    Attributes:
      cut: Set when all connections to it break; another one follows if it lives on.
    """

    entry: Upstream
    running: int = 0
    cut: trio.Event = attrs.field(factory=trio.Event)


class MemoryUpstream:
    """An upstream at one address.

    Attributes:
      life: The life that it has now; None while nothing listens.
      refuses_until: Until when its host refuses connections, though it lives.
    """

    def __init__(
        self, number: int, *, births: bool, renamed: bool, lag_s: float
    ) -> None:
        """Starts it.

        Args:
          number: Names it.
          births: Whether it tells its births.
          renamed: Whether each life has an id of its own.
          lag_s: How late the list shows an end; a start it shows sooner.
        """
        self.number = number
        self.births = births
        self.renamed = renamed
        self.lag_s = lag_s
        self.lives = 0
        self.life: Life | None = None
        self.refuses_until = float("-inf")
        self._shown: list[tuple[float, Upstream | None]] = []
        self.start()

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"10.0.0.{self.number + 1}:1"

    def start(self) -> None:
        """Begins a life, if it has none."""
        if self.life is not None:
            return
        now = trio.current_time()
        self.lives += 1
        life = f"-{self.lives}" if self.renamed else ""
        entry = Upstream(
            id=UpstreamId(f"u{self.number}{life}"),
            service="menus",
            address=self.address,
            zone=ZoneId("a"),
            slots=SLOTS,
            born_ms=BORN + int(1000 * now) if self.births else 0,
            version=SoftwareVersion("v1"),
        )
        self.life = Life(entry)
        shown_at = now if self.lives == 1 else now + min(0.3, self.lag_s)
        self._shown.append((shown_at, entry))

    def end(self) -> bool:
        """Ends its life; returns whether it had one."""
        if self.life is None:
            return False
        self.life.cut.set()
        self.life = None
        self._shown.append((trio.current_time() + self.lag_s, None))
        return True

    def refuse(self, for_s: float) -> None:
        """Breaks all connections, and refuses others for a moment."""
        self.refuses_until = trio.current_time() + for_s
        if self.life is not None:
            self.life.cut.set()
            self.life.cut = trio.Event()

    def reached(self) -> Life | None:
        """Returns the life that a connection reaches now."""
        return self.life if trio.current_time() >= self.refuses_until else None

    def listed(self) -> Upstream | None:
        """Returns it as the list shows it now."""
        now = trio.current_time()
        shown = [entry for at, entry in self._shown if at <= now]
        return shown[-1] if shown else None


@attrs.frozen
class Work:
    """What an item asks of its upstreams.

    Attributes:
      events: How many events it has.
      first_s: How long a run is silent before its first one.
      deadly: Whether it ends each upstream that runs it.
      prompt: Its body, which other items may have too; empty for one of its own.
    """

    events: int
    first_s: float
    deadly: bool
    prompt: str = ""

    @property
    def run_s(self) -> float:
        """How long a whole run takes."""
        return self.first_s + self.events * EVENT_S


class MemoryCaller:
    """Reaches upstreams; what they do with an item its work says.

    Attributes:
      on_begun: Told the item and the upstream of each run that begins.
      on_deadly: Told the item and the upstream that it is about to end.
      running: How many runs of each item are at upstreams now.
      finished: Items of which a run came to its end.
    """

    def __init__(
        self,
        upstreams: Sequence[MemoryUpstream],
        works: dict[str, Work],
        *,
        on_begun: Callable[[str, MemoryUpstream], None],
        on_deadly: Callable[[str, MemoryUpstream], None],
    ) -> None:
        self.by_address = {upstream.address: upstream for upstream in upstreams}
        self.works = works
        self.on_begun = on_begun
        self.on_deadly = on_deadly
        self.running: collections.Counter[str] = collections.Counter()
        self.finished: set[str] = set()

    async def report(self, asked: Upstream) -> UpstreamReport:
        """See ``UpstreamCaller.report``."""
        await trio.sleep(0.002)
        life = self.by_address[asked.address].reached()
        if life is None:
            raise UpstreamNotListeningError("no report: refused")
        return UpstreamReport(
            running=life.running, waiting=0, born_ms=life.entry.born_ms
        )

    @contextlib.asynccontextmanager
    async def exchange(
        self, upstream: Upstream, request: OnlineRequest, **options: Any
    ) -> AsyncIterator[UpstreamResponse]:
        """See ``UpstreamCaller.exchange``."""
        await trio.sleep(0.001)
        reached = self.by_address[upstream.address]
        life = reached.reached()
        if life is None:
            raise UpstreamNotListeningError("refused")
        other = life.entry.id != upstream.id
        full = life.running >= SLOTS
        attempt = options["attempt"]
        attempt.move(AttemptState.SENT)
        if other or full:
            attempt.move(AttemptState.REFUSED)
            yield _answer(_nothing(), wrong_upstream=other, refused=full)
            return
        item = request.request_id
        life.running += 1
        self.running[item] += 1
        self.on_begun(item, reached)
        try:
            yield _answer(self._events(item, reached, life, options["resume_after"]))
        finally:
            life.running -= 1
            self.running[item] -= 1

    async def _events(
        self, item: str, reached: MemoryUpstream, life: Life, after: int | None
    ) -> AsyncIterator[bytes]:
        work, cut = self.works[item], life.cut
        if work.deadly:
            await _unbroken(cut, DEADLY_AFTER_S)
            self.on_deadly(item, reached)
        await _unbroken(cut, work.first_s)
        for number in range((after or 0) + 1, work.events + 1):
            await _unbroken(cut, EVENT_S)
            yield f"id: {number}\ndata: w\n\n".encode()
        self.finished.add(item)


async def _unbroken(cut: trio.Event, for_s: float) -> None:
    """Waits, unless the connection breaks before."""
    with trio.move_on_after(for_s):
        await cut.wait()
    if cut.is_set():
        raise UpstreamCallError("the connection broke", disconnected=True)


async def _nothing() -> AsyncIterator[bytes]:
    return
    yield b""


def _answer(
    body: AsyncIterator[bytes], *, wrong_upstream: bool = False, refused: bool = False
) -> UpstreamResponse:
    return UpstreamResponse(
        status=200,
        headers=[(b"content-type", b"text/event-stream")],
        refused=refused,
        wrong_upstream=wrong_upstream,
        authenticated=True,
        body=body,
    )
