"""``quarantine``: requests under which upstreams ended, and how to clear one."""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence

import httpcore
from absl import flags

from coppercleat import clock
from coppercleat.cli._registry import ExitCode, command
from coppercleat.quarantine import QUARANTINE_PATH

_DEFAULT_ADMIN = "127.0.0.1:7401"


def _define(values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        "admin",
        _DEFAULT_ADMIN,
        "IP:PORT of an instance's admin port, or of a gateway's readiness port.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "clear", "", "Fingerprint of a request to be let run again.", flag_values=values
    )


@command(
    "quarantine",
    "Lists requests that are kept from running, or clears one at all instances.",
    define=_define,
)
def quarantine(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Runs ``quarantine``."""
    url = f"http://{values.admin}{QUARANTINE_PATH}"
    method = "DELETE" if values.clear else "GET"
    if values.clear:
        url += f"?fingerprint={values.clear}"

    async def call() -> httpcore.Response:
        async with httpcore.AsyncConnectionPool() as pool:
            return await pool.request(method, url)

    try:
        response = clock.run(call)
    except (httpcore.NetworkError, httpcore.ProtocolError) as error:
        print(f"quarantine: cannot reach {values.admin}: {error}", file=sys.stderr)
        return ExitCode.FAILED
    print(json.dumps(json.loads(response.content), indent=2))
    return ExitCode.OK if response.status == 200 else ExitCode.FAILED
