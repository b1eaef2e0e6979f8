"""Asks a page of an instance for JSON, and prints it."""

from __future__ import annotations

import json
import sys

import httpcore
from absl import flags

from coppercleat import clock
from coppercleat.cli._registry import ExitCode

DEFAULT_ADMIN = "127.0.0.1:7401"


def define_admin(values: flags.FlagValues) -> None:
    """Defines the flag that names the instance."""
    flags.DEFINE_string(
        "admin",
        DEFAULT_ADMIN,
        "IP:PORT of an instance's admin port, or of a gateway's readiness port.",
        flag_values=values,
    )


def print_page(command: str, admin: str, path: str, *, method: str = "GET") -> int:
    """Asks for a page, prints what comes, and returns the exit code.

    Args:
      command: Name of the command, for errors.
      admin: ``IP:PORT`` of the instance.
      path: Path and query.
      method: HTTP method.
    """

    async def call() -> httpcore.Response:
        async with httpcore.AsyncConnectionPool() as pool:
            return await pool.request(method, f"http://{admin}{path}")

    try:
        response = clock.run(call)
    except (httpcore.NetworkError, httpcore.ProtocolError) as error:
        print(f"{command}: cannot reach {admin}: {error}", file=sys.stderr)
        return ExitCode.FAILED
    print(json.dumps(json.loads(response.content), indent=2))
    return ExitCode.OK if response.status == 200 else ExitCode.FAILED
