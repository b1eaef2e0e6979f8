"""Whether an upstream still lives, by its own report."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from coppercleat.observability import part_logger
from coppercleat.quarantine import ProbeResult
from coppercleat.serving._upstream_call import (
    NothingListensError,
    UpstreamBrokeError,
    UpstreamCaller,
)
from coppercleat.serving._upstream_state import UpstreamState

_FINDINGS = {
    None: ProbeResult.SOMETHING_LISTENS,
    False: ProbeResult.OTHER_INCARNATION,
    True: ProbeResult.SAME_INCARNATION,
}

_log = part_logger("quarantine")


def life_question(
    caller: UpstreamCaller,
) -> Callable[[UpstreamState], Awaitable[ProbeResult]]:
    """Returns the question that ``CrashDetector`` puts to upstreams."""

    async def ask(state: UpstreamState) -> ProbeResult:
        try:
            report = await caller.report(state.upstream)
        except NothingListensError:
            return ProbeResult.NOTHING_LISTENS
        except UpstreamBrokeError as error:
            _log.debug("An upstream did not report.", reason=str(error))
            return ProbeResult.NO_ANSWER
        _log.debug(
            "An upstream reports.",
            upstream=state.id,
            born_ms=report.born_ms,
            listed_born_ms=state.upstream.born_ms,
        )
        return _FINDINGS[state.upstream.is_same_life(report.born_ms)]

    return ask
