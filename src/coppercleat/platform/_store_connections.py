"""Connections to the store: kept for the next call, given up once they are dead.

A connection may go silent for good, without a reset, while new ones work. Two things
tell that from a store that is slow or away. The kernel gives a connection up whose
bytes stay unacknowledged: the host of a slow store acknowledges them. And a read is
given up when reads that began later have long been answered; where there are none, a
probe on a new connection is asked. Changes may take far longer than reads, so what
reads take says nothing of them: those on kept connections are given up once a read has
shown that kept connections are dead.
"""

from __future__ import annotations

import enum
import socket
from collections.abc import Callable
from typing import Any

import attrs
import httpcore
import trio

from coppercleat.observability import part_logger

_MAX_CONNECTIONS = 16
_KEEPALIVE_S = 30.0

UNACKNOWLEDGED_MS = 750
"""The kernel gives a connection up whose bytes stay unacknowledged, or whose receiver
takes none, for so long: a lost packet is sent again after some 200 ms, and a slow store
may take 500 ms before it reads on."""

ROWS_OPTIONS = [(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)]
"""Keep-alive probes of the kernel would find an idle connection after 2 s, their unit
being a second: no sooner than the next poll does. Calls for objects go without: a slow
store may leave them unread for as long as a call may take."""

DOUBT_S = 0.3
"""A call that is not answered for so long is in doubt; answers take some 10 ms."""

DOUBT_TIMES = 4
"""And it is not before so many times of what answers took lately: a slow store's
answers differ by a factor of two."""

_DECAY = 0.2
"""Weight of a new answer in what answers took lately; longer ones count at once."""

_LOOK_AGAIN_S = 0.05
"""Pause between looks at a call that is in doubt while another's probe runs."""

_BROKEN = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)

_log = part_logger("store")


class Drop(enum.Enum):
    """Why a connection was closed before its time."""

    SILENT = "silent"
    BROKEN = "broken"
    UNANSWERED = "unanswered"
    SUSPECT = "suspect"


class CallKind(enum.Enum):
    """What a call is."""

    READ = "read"
    OBJECT_READ = "object read"
    CHANGE = "change"


_WEIGHTS = {CallKind.READ: 1.0, CallKind.OBJECT_READ: 3.0}
"""How many times longer than rows an answer takes: 1.5 s where rows take 0.5 s."""


class NoAnswerError(Exception):
    """A call got no answer.

    Attributes:
      why: In words.
      sent: Whether any of it may have reached the store.
    """

    def __init__(self, why: str, *, sent: bool) -> None:
        super().__init__(why)
        self.why = why
        self.sent = sent


class Evidence:
    """What answers show of calls that have none; times in seconds.

    Attributes:
      usual_s: What the answer to a read takes: the longest of late, decaying.
    """

    def __init__(self) -> None:
        self.usual_s = 0.0
        self._newest_answered = float("-inf")
        self._found_dead_at = float("-inf")

    def note_answer(self, *, began: float, now: float) -> None:
        """Takes note of a read that was answered."""
        took_s = now - began
        mean_s = self.usual_s + (took_s - self.usual_s) * _DECAY
        self.usual_s = max(took_s, mean_s)
        self._newest_answered = max(self._newest_answered, began)

    def note_dead(self, now: float) -> None:
        """Takes note of a connection that was found dead."""
        self._found_dead_at = now

    def doubt_s(self, kind: CallKind) -> float:
        """Returns how long a call goes unanswered before it is in doubt."""
        if kind is CallKind.CHANGE:
            return DOUBT_S
        return _WEIGHTS[kind] * max(DOUBT_S, DOUBT_TIMES * self.usual_s)

    def shows_dead(self, kind: CallKind, *, began: float, now: float) -> bool:
        """Returns whether a call in flight waits on a connection that is dead."""
        if now - began < self.doubt_s(kind):
            return False
        if kind is CallKind.CHANGE:
            return self._found_dead_at > began
        return self._newest_answered > began


@attrs.frozen
class StoreCall:
    """What to ask the store."""

    method: str
    path: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    kind: CallKind
    of_object: bool

    @property
    def repeatable(self) -> bool:
        """Whether it may be made again though it may have been performed."""
        return self.kind is not CallKind.CHANGE


@attrs.define(eq=False)
class _Attempt:
    """A call on one connection.

    Attributes:
      opened: Whether the connection was opened for it.
      sent: Whether any of it may have been sent.
      heard: Whether its answer has begun.
    """

    began: float
    opened: bool = False
    sent: bool = False
    heard: bool = False

    async def trace(self, event: str, info: dict[str, Any]) -> None:
        """Follows the call; see httpcore's extension of this name."""
        if event == "connection.connect_tcp.started":
            self.opened = True
        elif event == "http11.send_request_headers.started":
            self.sent = True
        elif event == "http11.receive_response_headers.complete":
            self.heard = True


class StoreConnections:
    """Calls the store on kept connections, and finds those that are dead.

    Attributes:
      evidence: What answers show of calls that have none.
    """

    def __init__(
        self,
        url: str,
        *,
        timeout_s: float,
        probe_path: str,
        on_drop: Callable[[Drop, int], None],
    ) -> None:
        """Prepares the pool; connects on first use.

        Args:
          url: Base URL.
          timeout_s: Seconds for one call, connecting and a second attempt included.
          probe_path: Path of a cheap read.
          on_drop: Told why how many connections were closed before their time.
        """
        self.evidence = Evidence()
        self.timeout_s = timeout_s
        self._url = url
        self._probe_path = probe_path
        self._on_drop = on_drop
        self._pools = {
            False: _pool(_MAX_CONNECTIONS, ROWS_OPTIONS),
            True: _pool(_MAX_CONNECTIONS, []),
        }
        self._probing = False
        self._dropped_at = float("-inf")

    async def aclose(self) -> None:
        """Closes all connections."""
        for pool in self._pools.values():
            await pool.aclose()

    async def call(self, call: StoreCall) -> httpcore.Response:
        """Makes a call; a read that met a dead connection is asked once more.

        Raises:
          NoAnswerError: No answer came in time.
        """
        attempt = _Attempt(trio.current_time())
        try:
            with trio.fail_after(self.timeout_s):
                response = await self._attempt(call, attempt)
                if response is None:
                    attempt = _Attempt(trio.current_time())
                    response = await self._send(call, attempt)
                return response
        except trio.TooSlowError as error:
            await self._drop(Drop.UNANSWERED, call, attempt)
            why = f"no answer within {self.timeout_s} s"
            raise NoAnswerError(why, sent=attempt.sent) from error
        except _BROKEN as error:
            await self._drop(Drop.BROKEN, call, attempt)
            why = f"the call failed: {type(error).__name__}"
            raise NoAnswerError(why, sent=attempt.sent) from error

    async def _attempt(
        self, call: StoreCall, attempt: _Attempt
    ) -> httpcore.Response | None:
        """Makes a call; returns None if it met a dead connection and may be repeated.

        A change that may have been sent is never repeated here: only its caller knows
        how to learn whether it took effect.
        """
        response: httpcore.Response | None = None
        broken: Exception | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._doubt, call, attempt, nursery.cancel_scope)
            try:
                response = await self._send(call, attempt)
            except _BROKEN as error:
                broken = error
            nursery.cancel_scope.cancel()
        if response is not None:
            return response
        repeatable = call.repeatable or not attempt.sent
        if broken is not None and (attempt.opened or not repeatable):
            # A connection that was opened for the call shows the store's own state.
            raise broken
        why = Drop.SILENT if broken is None else Drop.BROKEN
        await self._drop(why, call, attempt)
        if not repeatable:
            raise NoAnswerError("a silent connection", sent=True)
        return None

    async def _send(self, call: StoreCall, attempt: _Attempt) -> httpcore.Response:
        response = await self._pools[call.of_object].request(
            call.method,
            self._url + call.path,
            headers=call.headers,
            content=call.body or None,
            extensions={"trace": attempt.trace},
        )
        if call.repeatable:
            self.evidence.note_answer(began=attempt.began, now=trio.current_time())
        return response

    async def _doubt(
        self, call: StoreCall, attempt: _Attempt, scope: trio.CancelScope
    ) -> None:
        """Gives a call up once it shows that its connection is dead."""
        while not attempt.heard:
            now = trio.current_time()
            if self._shows_dead(call, attempt, now):
                scope.cancel()
                return
            doubtful_at = attempt.began + self.evidence.doubt_s(call.kind)
            if now < doubtful_at:
                await trio.sleep_until(doubtful_at)
            elif self._probing or not call.repeatable:
                await trio.sleep(_LOOK_AGAIN_S)
            else:
                await self._probe()

    def _shows_dead(self, call: StoreCall, attempt: _Attempt, now: float) -> bool:
        if attempt.opened and not call.repeatable:
            # It may be newer than what was found dead; the kernel decides.
            return False
        return self.evidence.shows_dead(call.kind, began=attempt.began, now=now)

    async def _probe(self) -> None:
        """Asks on a new connection, one at a time, since calls are limited."""
        self._probing = True
        began = trio.current_time()
        try:
            async with _pool(1, ROWS_OPTIONS) as pool:
                await pool.request("GET", self._url + self._probe_path)
            self.evidence.note_answer(began=began, now=trio.current_time())
        except _BROKEN:
            # The store is away, for new connections too; the call ends by its timeout.
            await trio.sleep(DOUBT_S)
        finally:
            self._probing = False

    async def _drop(self, why: Drop, call: StoreCall, attempt: _Attempt) -> None:
        """Closes the idle connections, which are as old as the one that was dead."""
        self._on_drop(why, 1)
        if attempt.began < self._dropped_at:
            # Those that are idle now were opened, or answered, since.
            return
        self._dropped_at = trio.current_time()
        if why in (Drop.SILENT, Drop.BROKEN) and not attempt.opened:
            self.evidence.note_dead(self._dropped_at)
        closed = 0
        for pool in self._pools.values():
            for connection in pool.connections:
                if connection.is_idle():
                    closed += 1
                    await connection.aclose()
        self._on_drop(Drop.SUSPECT, closed)
        _log.info(
            "Connections to the store are dropped.",
            why=why.value,
            call=call.kind.value,
            idle=closed,
            after_ms=round((self._dropped_at - attempt.began) * 1000),
        )


def _pool(connections: int, options: list) -> httpcore.AsyncConnectionPool:
    return httpcore.AsyncConnectionPool(
        max_connections=connections,
        keepalive_expiry=_KEEPALIVE_S,
        socket_options=options,
    )
