"""Probes whether an upstream is still the same incarnation."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from coppercleat.observability import part_logger
from coppercleat.quarantine import ProbeResult
from coppercleat.serving._upstream_call import (
    UpstreamCaller,
    UpstreamCallError,
    UpstreamNotListeningError,
)
from coppercleat.serving._upstream_state import UpstreamState

_RESULTS = {
    None: ProbeResult.SOMETHING_LISTENS,
    False: ProbeResult.OTHER_INCARNATION,
    True: ProbeResult.SAME_INCARNATION,
}

_log = part_logger("quarantine")


def incarnation_probe(
    caller: UpstreamCaller,
) -> Callable[[UpstreamState], Awaitable[ProbeResult]]:
    """Returns the probe that asks an upstream for its start time."""

    async def probe(state: UpstreamState) -> ProbeResult:
        try:
            report = await caller.report(state.upstream)
        except UpstreamNotListeningError:
            return ProbeResult.NOTHING_LISTENS
        except UpstreamCallError as error:
            _log.debug("An upstream did not report.", reason=str(error))
            return ProbeResult.NO_ANSWER
        _log.debug(
            "An upstream answered a probe.",
            upstream=state.id,
            born_ms=report.born_ms,
            listed_born_ms=state.upstream.born_ms,
        )
        return _RESULTS[state.upstream.is_same_incarnation(report.born_ms)]

    return probe
