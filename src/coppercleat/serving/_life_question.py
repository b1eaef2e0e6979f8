"""Whether an upstream still lives, by its own report."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from coppercleat.observability import part_logger
from coppercleat.quarantine import Finding
from coppercleat.serving._upstream_call import (
    UpstreamCaller,
    UpstreamCallError,
    UpstreamNotListeningError,
)
from coppercleat.serving._upstream_state import UpstreamState

_FINDINGS = {
    None: Finding.SOMETHING_LISTENS,
    False: Finding.OTHER_LIFE,
    True: Finding.SAME_LIFE,
}

_log = part_logger("quarantine")


def life_question(
    caller: UpstreamCaller,
) -> Callable[[UpstreamState], Awaitable[Finding]]:
    """Returns the question that ``EndWatch`` puts to upstreams."""

    async def ask(state: UpstreamState) -> Finding:
        try:
            report = await caller.report(state.upstream)
        except UpstreamNotListeningError:
            return Finding.NOTHING_LISTENS
        except UpstreamCallError as error:
            _log.debug("An upstream did not report.", reason=str(error))
            return Finding.NO_ANSWER
        _log.debug(
            "An upstream reports.",
            upstream=state.id,
            born_ms=report.born_ms,
            listed_born_ms=state.upstream.born_ms,
        )
        return _FINDINGS[state.upstream.is_same_life(report.born_ms)]

    return ask
