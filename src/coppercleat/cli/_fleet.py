"""``status`` and ``explain``: what an instance knows and why it did what it did."""

from __future__ import annotations

import json
import pathlib
import sys
from collections.abc import Sequence

import httpcore
from absl import flags

from coppercleat import clock
from coppercleat.cli._client import define_client_flags, print_answer, with_client
from coppercleat.cli._registry import ExitCode, command
from coppercleat.observability import lines_about
from coppercleat.rpc import RpcClient

_SERVICE = "OperatorService"
_DEFAULT_ADMIN = "127.0.0.1:7401"
_HIDDEN = {"event", "timestamp", "part", "level"}


@command("status", "Shows instances and upstreams.", define=define_client_flags)
def status(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Runs ``status``."""

    async def run(client: RpcClient) -> int:
        answer = await client.call(_SERVICE, "GetStatus", {})
        revision = answer.get("revision", 0)
        lines = [f"instance {answer['instance']}, revision {revision}"]
        for entry in answer.get("instances", []):
            behind = int(revision) - int(entry.get("revision", 0))
            alive = "alive" if entry.get("alive") else "silent"
            lag = f", {behind} revisions behind" if behind > 0 else ""
            lines.append(f"  {entry['instance']} in {entry['zone']}: {alive}{lag}")
        for entry in answer.get("upstreams", []):
            lines.append(
                f"  {entry['upstream']} in {entry['zone']}: {entry['state']}, "
                f"online {entry.get('onlineInFlight', 0)}, "
                f"batch {entry.get('batchInFlight', 0)}/{entry.get('batchLimit', 0)}, "
                f"fed by {entry.get('feeder', 'nobody')}"
            )
        print_answer(values, answer, "\n".join(lines))
        return ExitCode.OK

    return with_client(values, run)


def _define_explain(values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        "admin", _DEFAULT_ADMIN, "IP:PORT of an admin port.", flag_values=values
    )
    flags.DEFINE_bool("json", False, "Print JSON for scripts.", flag_values=values)
    flags.DEFINE_multi_string(
        "log",
        [],
        "A file of log lines to read instead, - for standard input; may be repeated.",
        flag_values=values,
    )


@command(
    "explain",
    "Tells what an instance did with a request or a job, and why.",
    arguments="ID",
    define=_define_explain,
)
def explain(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Runs ``explain``: prints the events that carry the id."""
    if len(arguments) != 1:
        print("explain: needs one request, job or item ID", file=sys.stderr)
        return ExitCode.USAGE
    if values.log:
        return _explain_from_logs(values, arguments[0])

    async def run() -> list[dict[str, object]]:
        url = f"http://{values.admin}/events?about={arguments[0]}"
        async with httpcore.AsyncConnectionPool() as pool:
            return json.loads((await pool.request("GET", url)).content)

    try:
        events = clock.run(run)
    except (httpcore.NetworkError, httpcore.ProtocolError) as error:
        print(f"explain: cannot reach {values.admin}: {error}", file=sys.stderr)
        return ExitCode.FAILED
    print_answer(values, events, "\n".join(_in_words(event) for event in events))
    return ExitCode.OK if events else ExitCode.FAILED


def _explain_from_logs(values: flags.FlagValues, identifier: str) -> int:
    lines: list[str] = []
    for name in values.log:
        try:
            lines += _log_lines(name)
        except OSError as error:
            print(f"explain: {name} cannot be read: {error}", file=sys.stderr)
            return ExitCode.FAILED
    events = lines_about(identifier, lines)
    print_answer(values, events, "\n".join(_in_words(event) for event in events))
    return ExitCode.OK if events else ExitCode.FAILED


def _log_lines(name: str) -> list[str]:
    if name == "-":
        return sys.stdin.read().splitlines()
    text = pathlib.Path(name).read_text(encoding="utf-8", errors="replace")
    return text.splitlines()


def _in_words(event: dict[str, object]) -> str:
    details = " ".join(f"{k}={v}" for k, v in event.items() if k not in _HIDDEN)
    return f"{event['timestamp']} {event['part']}: {event['event']} {details}"
