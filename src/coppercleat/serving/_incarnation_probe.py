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


_MAY_GO_ON = frozenset({ProbeResult.SAME_INCARNATION, ProbeResult.SOMETHING_LISTENS})


async def may_go_on(caller: UpstreamCaller, state: UpstreamState) -> bool:
    """Returns whether an upstream may go on with what its version has begun.

    One that has started again under its id may have another version, which the list
    does not show yet. One that never tells its start gets a new id with each.
    """
    if not state.born_ms:
        return True
    return await incarnation_probe(caller)(state) in _MAY_GO_ON


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
