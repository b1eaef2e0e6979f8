"""``infer`` and ``call``: single requests."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from typing import Any

from absl import flags

from coppercleat.cli._client import define_client_flags, print_answer, with_client
from coppercleat.cli._registry import ExitCode, command
from coppercleat.rpc import RpcClient

_SERVICE = "OnlineService"


def _define(values: flags.FlagValues) -> None:
    define_client_flags(values)
    flags.DEFINE_string(
        "deployment", None, "Deployment to ask.", flag_values=values, required=False
    )
    flags.DEFINE_integer(
        "max_tokens", 0, "Tokens at most; 0 for the default.", flag_values=values
    )
    flags.DEFINE_integer(
        "deadline_ms", 0, "Milliseconds allowed; 0 for the default.", flag_values=values
    )
    flags.DEFINE_bool("at_most_once", False, "Never run it twice.", flag_values=values)
    flags.DEFINE_string(
        "key", "", "With --at_most_once: key that resends share.", flag_values=values
    )
    flags.DEFINE_bool("stream", True, "Show tokens as they come.", flag_values=values)


@command("infer", "Asks a deployment one question.", arguments="PROMPT", define=_define)
def infer(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Runs ``infer``."""
    if len(arguments) != 1 or not values.deployment:
        print("infer: needs --deployment and one PROMPT", file=sys.stderr)
        return ExitCode.USAGE
    body = {
        "deployment": values.deployment,
        "prompt": arguments[0],
        "maxTokens": values.max_tokens,
        "deadlineMs": values.deadline_ms,
        "atMostOnce": values.at_most_once,
        "idempotencyKey": values.key,
    }

    async def run(client: RpcClient) -> int:
        if not values.stream or values.json:
            answer = await client.call(_SERVICE, "Infer", body)
            print_answer(values, answer, answer.get("text", ""))
            return ExitCode.OK
        await _show_stream(client, body)
        return ExitCode.OK

    return with_client(values, run)


async def _show_stream(client: RpcClient, body: dict[str, Any]) -> None:
    async for chunk in client.stream(_SERVICE, "InferStream", [body]):
        print(chunk.get("text", ""), end="", flush=True)
    print()
