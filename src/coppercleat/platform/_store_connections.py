"""Connections to the store: kept for the next call, given up once they are dead.

A connection may go silent for good, without a reset, while new ones work. Two things
tell that from a store that is slow or away: the kernel gives a connection up whose
bytes stay unacknowledged, since the host of a slow store acknowledges them; and other
calls that are answered, a probe on a new connection where there are none.
"""

from __future__ import annotations

import enum
import socket
from collections.abc import Callable

import attrs
import httpcore
import trio

from coppercleat.observability import part_logger
from coppercleat.platform._store_evidence import DOUBT_S, CallKind, Evidence
from coppercleat.upstreams import TracedCall

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
        self._rows = _pool(_MAX_CONNECTIONS, ROWS_OPTIONS)
        self._objects = _pool(_MAX_CONNECTIONS, [])
        self._probing = False
        self._probe_after = float("-inf")
        self._dropped_at = float("-inf")

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._rows.aclose()
        await self._objects.aclose()

    async def call(self, call: StoreCall) -> httpcore.Response:
        """Makes a call; a read that met a dead connection is asked once more.

        Raises:
          NoAnswerError: No answer came in time.
        """
        attempt = TracedCall(trio.current_time())
        try:
            with trio.fail_after(self.timeout_s):
                response = await self._attempt(call, attempt)
                if response is None:
                    attempt = TracedCall(trio.current_time())
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
        self, call: StoreCall, attempt: TracedCall
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

    async def _send(self, call: StoreCall, attempt: TracedCall) -> httpcore.Response:
        pool = self._objects if call.of_object else self._rows
        response = await pool.request(
            call.method,
            self._url + call.path,
            headers=call.headers,
            content=call.body or None,
            extensions={"trace": attempt.trace},
        )
        if call.kind is CallKind.READ:
            self.evidence.note_answer(began=attempt.began, now=trio.current_time())
        return response

    async def _doubt(
        self, call: StoreCall, attempt: TracedCall, scope: trio.CancelScope
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
            elif not call.repeatable or self._probing or now < self._probe_after:
                await trio.sleep(_LOOK_AGAIN_S)
            else:
                await self._probe()

    def _shows_dead(self, call: StoreCall, attempt: TracedCall, now: float) -> bool:
        if attempt.opened and not call.repeatable:
            # It may be newer than what was found dead; the kernel decides.
            return False
        return self.evidence.shows_dead(call.kind, began=attempt.began, now=now)

    async def _probe(self) -> None:
        """Asks on a new connection, one at a time, since calls are limited.

        A probe speaks for all calls in doubt, but ends with the one that began it. If
        it is in doubt itself by then, the others would only ask the same again.
        """
        self._probing = True
        began = trio.current_time()
        unanswered = False
        try:
            async with _pool(1, ROWS_OPTIONS) as pool:
                await pool.request("GET", self._url + self._probe_path)
            self.evidence.note_answer(began=began, now=trio.current_time())
        except _BROKEN:
            unanswered = True
        except trio.Cancelled:
            unanswered = trio.current_time() - began >= DOUBT_S
            raise
        finally:
            self._probing = False
            if unanswered:
                self._probe_after = trio.current_time() + DOUBT_S

    async def _drop(self, why: Drop, call: StoreCall, attempt: TracedCall) -> None:
        """Closes the idle connections, which are as old as the one that was dead."""
        self._on_drop(why, 1)
        if attempt.began < self._dropped_at:
            # Those that are idle now were opened, or answered, since.
            return
        self._dropped_at = trio.current_time()
        waited_s = self._dropped_at - attempt.began
        # One that breaks sooner was closed by the store, which says nothing of others.
        given_up = why is Drop.BROKEN and waited_s >= UNACKNOWLEDGED_MS / 1000
        if why is Drop.SILENT or (given_up and not attempt.opened):
            self.evidence.note_dead(self._dropped_at)
        closed = 0
        for connection in [*self._rows.connections, *self._objects.connections]:
            if connection.is_idle():
                closed += 1
                await connection.aclose()
        self._on_drop(Drop.SUSPECT, closed)
        _log.info(
            "Connections to the store are dropped.",
            why=why.value,
            call=call.kind.value,
            idle=closed,
            after_ms=round(waited_s * 1000),
        )


def _pool(connections: int, options: list) -> httpcore.AsyncConnectionPool:
    return httpcore.AsyncConnectionPool(
        max_connections=connections,
        keepalive_expiry=_KEEPALIVE_S,
        socket_options=options,
    )
