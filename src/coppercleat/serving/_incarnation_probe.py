"""Probes whether an upstream is still the same incarnation."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from coppercleat.observability import part_logger
from coppercleat.quarantine import Finding
from coppercleat.serving._upstream_call import (
    NothingListensError,
    UpstreamBrokeError,
    UpstreamCaller,
)
from coppercleat.serving._upstream_state import UpstreamState

_RESULTS = {
    None: Finding.SOMETHING_LISTENS,
    False: Finding.OTHER_LIFE,
    True: Finding.SAME_LIFE,
}

_log = part_logger("quarantine")


def incarnation_probe(
    caller: UpstreamCaller,
) -> Callable[[UpstreamState], Awaitable[Finding]]:
    """Returns the probe by which ``EndWatch`` asks an upstream for its start time."""

    async def probe(state: UpstreamState) -> Finding:
        try:
            report = await caller.report(state.upstream)
        except NothingListensError:
            return Finding.NOTHING_LISTENS
        except UpstreamBrokeError as error:
            _log.debug("An upstream did not answer a probe.", reason=str(error))
            return Finding.NO_ANSWER
        _log.debug(
            "An upstream answered a probe.",
            upstream=state.id,
            born_ms=report.born_ms,
            listed_born_ms=state.upstream.born_ms,
        )
        return _RESULTS[state.upstream.is_same_incarnation(report.born_ms)]

    return probe
