"""Writes log lines within a budget and without ever waiting for the reader."""

from __future__ import annotations

import collections
import os
import stat
from collections.abc import Callable, MutableMapping
from typing import Any

import msgspec
import structlog

LINES_PER_S = 100
"""Lines that one part may write in a second at each level; a busy instance answers
some 25 requests a second, with one line each."""

_PENDING_BYTES = 262_144
"""Kept for a reader that is slow; what comes after it is left out and counted."""

_WINDOW_S = 1.0


class LineBudget:
    """Lets a bounded number of lines through, for each part and level apart.

    Failures have a budget of their own, so that ordinary successes never use it up.
    A ``structlog`` processor.
    """

    def __init__(self, clock: Callable[[], float], *, lines: int = LINES_PER_S) -> None:
        """Prepares the budget.

        Args:
          clock: Seconds, never going back.
          lines: Lines a second, for each part and level.
        """
        self._clock = clock
        self._lines = lines
        self._window = float("-inf")
        self._used: collections.Counter[tuple[str, str]] = collections.Counter()
        self._left_out: collections.Counter[tuple[str, str]] = collections.Counter()

    def __call__(
        self, logger: Any, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Passes an event on, or drops and counts it."""
        now = self._clock()
        if now - self._window >= _WINDOW_S:
            self._window = now
            self._used.clear()
        key = (event.get("part", ""), method)
        self._used[key] += 1
        if self._used[key] > self._lines:
            self._left_out[key] += 1
            raise structlog.DropEvent
        left_out = self._left_out.pop(key, 0)
        if left_out:
            event["left_out_before"] = left_out
        return event


class LineOutput:
    """A ``structlog`` logger that writes to a descriptor and never waits.

    Attributes:
      left_out: Lines dropped so far because the reader is slow or gone.
    """

    def __init__(self, descriptor: int) -> None:
        self.left_out = 0
        self._descriptor = descriptor
        self._pending = bytearray()
        mode = os.fstat(descriptor).st_mode
        # A file or a terminal does not make a writer wait for long, and the flag
        # would outlive this process on a terminal.
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(descriptor, False)

    def msg(self, message: str) -> None:
        """Writes a line, with what is left of those before."""
        line = message.encode("utf-8", "replace") + b"\n"
        if len(self._pending) + len(line) > _PENDING_BYTES:
            self._flush()
        if len(self._pending) + len(line) > _PENDING_BYTES:
            self.left_out += 1
            return
        if self.left_out and not self._pending:
            note = {"event": "Log lines were left out.", "lines": self.left_out}
            self._pending += msgspec.json.encode(note) + b"\n"
            self.left_out = 0
        self._pending += line
        self._flush()

    log = debug = info = warning = error = critical = exception = msg

    def _flush(self) -> None:
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone; serving goes on without logs.
                self._pending.clear()
                return
            del self._pending[:written]
