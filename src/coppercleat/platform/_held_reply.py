"""Answers to clients of HTTP/1.0, to whom a connection's end is the body's end.

A body without a length that breaks off would look whole to them: they know no chunks,
and the server closes a connection the same way after a whole answer and a broken one.
"""

from __future__ import annotations

from collections.abc import Callable

from coppercleat.asgi import Scope, Send
from coppercleat.platform._reply import HttpReply
from coppercleat.serving import Header, Refusal, RefusalReason

MAX_HELD_BYTES = 1_000_000
"""As much as is held of any answer; longer ones without a length need HTTP/1.1."""

_BODILESS = frozenset({204, 304})


class HeldReply(HttpReply):
    """Holds an answer without a length back to its end, and gives it one."""

    def __init__(self, send: Send, *, closing: Callable[[], bool]) -> None:
        """See ``HttpReply``."""
        super().__init__(send, closing=closing)
        self._held: tuple[int, list[Header]] | None = None
        self._parts: list[bytes] = []
        self._size = 0

    async def start(self, status: int, headers: list[Header]) -> None:
        """See ``Reply.start``."""
        has_length = any(name.lower() == b"content-length" for name, _ in headers)
        if has_length or status in _BODILESS:
            await super().start(status, headers)
        else:
            self._held = status, headers

    async def send(self, data: bytes) -> None:
        """See ``Reply.send``."""
        if self._held is None:
            await super().send(data)
            return
        self._size += len(data)
        if self._size <= MAX_HELD_BYTES:
            self._parts.append(data)
        else:
            self._parts.clear()

    async def finish(self) -> None:
        """See ``Reply.finish``."""
        if self._held is None:
            await super().finish()
        elif self._size > MAX_HELD_BYTES:
            await self._refuse_held("an answer of this length needs HTTP/1.1")
        else:
            status, headers = self._held
            await self.whole(status, headers, b"".join(self._parts))

    async def abort(self) -> None:
        """See ``Reply.abort``: of what is held, nothing has been sent."""
        if self._held is None:
            await super().abort()
        else:
            await self._refuse_held("the answer broke off")

    async def _refuse_held(self, detail: str) -> None:
        await self.refuse(Refusal(reason=RefusalReason.BROKEN, detail=detail))


def reply_for(scope: Scope, send: Send, *, closing: Callable[[], bool]) -> HttpReply:
    """Returns the reply to a call, by what its client can tell apart."""
    knows_chunks = scope["http_version"] != "1.0" or scope["method"] == "HEAD"
    return (HttpReply if knows_chunks else HeldReply)(send, closing=closing)
