"""What all client subcommands share: address, token and output."""

from __future__ import annotations

import json
import os
from collections.abc import Awaitable, Callable
from typing import Any

from absl import flags

from coppercleat import clock
from coppercleat.rpc import RpcClient

_DEFAULT_SERVER = "127.0.0.1:7400"
_TOKEN_VARIABLE = "COPPERCLEAT_TOKEN"


def define_client_flags(values: flags.FlagValues) -> None:
    """Defines the flags of every client subcommand."""
    flags.DEFINE_string(
        "server", _DEFAULT_SERVER, "IP:PORT of an instance.", flag_values=values
    )
    flags.DEFINE_string(
        "token",
        None,
        f"The tenant's token; {_TOKEN_VARIABLE} if not given.",
        flag_values=values,
    )
    flags.DEFINE_bool("json", False, "Print JSON for scripts.", flag_values=values)


def with_client(
    values: flags.FlagValues, function: Callable[[RpcClient], Awaitable[int]]
) -> int:
    """Runs a function with a client and returns its exit code."""

    async def run() -> int:
        token = values.token or os.environ.get(_TOKEN_VARIABLE, "")
        async with RpcClient(values.server, token=token) as client:
            return await function(client)

    return clock.run(run)


def print_answer(values: flags.FlagValues, answer: Any, text: str) -> None:
    """Prints JSON if asked for, else the text for people."""
    print(json.dumps(answer) if values.json else text)
