"""Attempts that this instance abandoned and the upstream may still run."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Protocol

import trio

from coppercleat.observability import part_logger
from coppercleat.serving._unknown_runs import ASSUME_RUNNING_AFTER_S
from coppercleat.serving._upstream_state import UpstreamState

_log = part_logger("silence")


class AttemptKind(enum.Enum):
    """What was sent to the upstream."""

    ONLINE = "online"
    ITEM = "item"


class OnAbandoned(Protocol):
    """Called for an attempt that may still hold its slot."""

    def __call__(self, state: UpstreamState, *, stalled: bool) -> None: ...


class AbandonedAttempts:
    """Reports abandoned attempts, and decides which stalls count as failures.

    Attributes:
      on_abandoned: Called for each abandoned attempt.
      on_count: Called with the kind of each and how it ended, for metrics.
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
        """Records an attempt that was ended before its upstream had finished it.

        An attempt that received something a moment ago is left out: its upstream sees
        the closed connection and stops.

        Args:
          state: The upstream.
          kind: What was sent.
          last_received_at: When the attempt began or its last event arrived, in trio's
            time.
          stalled: Whether it was ended because it had stalled.
        """
        silent_s = trio.current_time() - last_received_at
        if not stalled and silent_s < ASSUME_RUNNING_AFTER_S:
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
        """Returns whether a stall counts as a failure of its upstream; records it.

        Stalls of one upstream that began together count once.
        """
        return state.stall_onsets.is_new(last_received_at)
