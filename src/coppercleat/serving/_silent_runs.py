"""Runs of this instance that were left while their upstream was unheard."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Protocol

import trio

from coppercleat.observability import part_logger
from coppercleat.serving._unknown_runs import ASSUME_RUNNING_AFTER_S
from coppercleat.serving._upstream_state import UpstreamState

_log = part_logger("silence")


class RunKind(enum.Enum):
    """What was run."""

    ONLINE = "online"
    ITEM = "item"


class OnLeft(Protocol):
    """Told of a run that may still hold its slot."""

    def __call__(self, state: UpstreamState, *, silent: bool) -> None: ...


class SilentRuns:
    """Tells the instance's other parts of such runs, and what they say of an upstream.

    Attributes:
      on_left: Told of each.
      on_count: Told the kind of each, and how it was left.
    """

    def __init__(self) -> None:
        self.on_left: OnLeft = lambda state, *, silent: None
        self.on_count: Callable[[str, str], None] = lambda kind, ended: None

    def left(
        self, state: UpstreamState, kind: RunKind, *, heard_at: float, silent: bool
    ) -> None:
        """Notes a run that was left before its upstream had ended it.

        Args:
          state: The upstream.
          kind: What was run.
          heard_at: When it began or its last event came, in trio's time.
          silent: Whether it was given up since nothing came.
        """
        silent_s = trio.current_time() - heard_at
        if not silent and silent_s < ASSUME_RUNNING_AFTER_S:
            return
        ended = "given_up" if silent else "left"
        _log.info(
            "A run was left unheard.",
            upstream=state.id,
            kind=kind.value,
            ended=ended,
            silent_ms=round(silent_s * 1000),
        )
        self.on_count(kind.value, ended)
        self.on_left(state, silent=silent)

    def blames(self, state: UpstreamState, heard_at: float) -> bool:
        """Returns whether a silence is held against its upstream, once a moment."""
        return state.stall_onsets.is_new(heard_at)
