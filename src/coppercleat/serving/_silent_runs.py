"""Runs of this instance that were left while their upstream was unheard."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Protocol

import trio

from coppercleat.observability import part_logger
from coppercleat.serving._unknown_runs import UNHEARD_S
from coppercleat.serving._upstream_state import UpstreamState

_log = part_logger("silence")


class AttemptKind(enum.Enum):
    """What was run."""

    ONLINE = "online"
    ITEM = "item"


class OnAbandoned(Protocol):
    """Told of a run that may still hold its slot."""

    def __call__(self, state: UpstreamState, *, stalled: bool) -> None: ...


class AbandonedAttempts:
    """Tells the instance's other parts of such runs, and what they say of an upstream.

    Attributes:
      on_abandoned: Told of each.
      on_count: Told the kind of each, and how it was left.
    """

    def __init__(self) -> None:
        self.on_abandoned: OnAbandoned = lambda state, *, stalled: None
        self.on_count: Callable[[str, str], None] = lambda kind, ended: None

    def record(
        self,
        state: UpstreamState,
        kind: AttemptKind,
        *,
        last_received_at: float,
        stalled: bool,
    ) -> None:
        """Notes a run that was left before its upstream had ended it.

        Args:
          state: The upstream.
          kind: What was run.
          last_received_at: When it began or its last event came, in trio's time.
          stalled: Whether it was given up since nothing came.
        """
        silent_s = trio.current_time() - last_received_at
        if not stalled and silent_s < UNHEARD_S:
            return
        ended = "given_up" if stalled else "left"
        _log.info(
            "A run was left unheard.",
            upstream=state.id,
            kind=kind.value,
            ended=ended,
            silent_ms=round(silent_s * 1000),
        )
        self.on_count(kind.value, ended)
        self.on_abandoned(state, stalled=stalled)

    def counts_against(self, state: UpstreamState, last_received_at: float) -> bool:
        """Returns whether a silence is held against its upstream, once a moment."""
        return state.silences.is_new(last_received_at)
