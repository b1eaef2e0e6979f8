"""``deploy`` and ``config``: changes of the fleet's configuration."""

from __future__ import annotations

import difflib
import getpass
import json
import pathlib
import random
import sys
from collections.abc import Sequence
from typing import Any

import yaml
from absl import flags

from coppercleat.cli._client import define_client_flags, print_answer, with_client
from coppercleat.cli._registry import ExitCode, command
from coppercleat.errors import SettingsError
from coppercleat.ids import random_token
from coppercleat.rpc import RpcClient

_SERVICE = "OperatorService"
_KIND_PREFIX = "ENTITY_KIND_"


def _define_change(values: flags.FlagValues) -> None:
    define_client_flags(values)
    flags.DEFINE_string(
        "change_id", None, "Id by which a resend is known.", flag_values=values
    )
    flags.DEFINE_integer(
        "seen", None, "Revision seen; the current if not given.", flag_values=values
    )
    flags.DEFINE_bool("dry_run", False, "Only check the change.", flag_values=values)


def _define_deploy(values: flags.FlagValues) -> None:
    _define_change(values)
    flags.DEFINE_string("service", None, "Service of the engines.", flag_values=values)
    flags.DEFINE_list("version", [], "VERSION=WEIGHT, several.", flag_values=values)
    flags.DEFINE_integer(
        "default_max_tokens", 64, "For requests that say none.", flag_values=values
    )


@command(
    "deploy",
    "Creates or changes a deployment.",
    arguments="NAME",
    define=_define_deploy,
)
def deploy(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Runs ``deploy``."""
    if len(arguments) != 1 or not values.service or not values.version:
        print("deploy: needs NAME, --service and --version", file=sys.stderr)
        return ExitCode.USAGE
    versions = {}
    for pair in values.version:
        name, _, weight = pair.partition("=")
        versions[name] = float(weight or 1)
    body = {
        "service": values.service,
        "versions": versions,
        "default_max_tokens": values.default_max_tokens,
    }
    operation = {
        "kind": f"{_KIND_PREFIX}DEPLOYMENT",
        "name": arguments[0],
        "bodyJson": json.dumps(body),
    }
    return with_client(values, lambda client: _apply(values, client, [operation]))


def _define_apply(values: flags.FlagValues) -> None:
    _define_change(values)
    flags.DEFINE_string("file", None, "YAML file.", short_name="f", flag_values=values)


@command(
    "config apply",
    "Brings the configuration to what a YAML file says.",
    define=_define_apply,
)
def config_apply(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Runs ``config apply``: puts what the file names; deletes what it nulls."""
    if not values.file:
        print("config apply: needs --file", file=sys.stderr)
        return ExitCode.USAGE
    wanted = _read_file(pathlib.Path(values.file))

    async def run(client: RpcClient) -> int:
        current = await client.call(_SERVICE, "GetConfiguration", {})
        operations = _operations(wanted, current)
        if not operations:
            print_answer(values, {"revision": current.get("revision", 0)}, "No change.")
            return ExitCode.OK
        return await _apply(values, client, operations)

    return with_client(values, run)


@command("config show", "Shows the configuration.", define=define_client_flags)
def config_show(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Runs ``config show``."""

    async def run(client: RpcClient) -> int:
        answer = await client.call(_SERVICE, "GetConfiguration", {})
        text = yaml.safe_dump(_as_document(answer), sort_keys=True)
        print_answer(values, answer, f"# revision {answer.get('revision', 0)}\n{text}")
        return ExitCode.OK

    return with_client(values, run)


def _define_history(values: flags.FlagValues) -> None:
    define_client_flags(values)
    flags.DEFINE_integer("after", 0, "Revision to begin after.", flag_values=values)


@command("config history", "Lists accepted changes.", define=_define_history)
def config_history(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Runs ``config history``."""

    async def run(client: RpcClient) -> int:
        body = {"afterRevision": values.after}
        answer = await client.call(_SERVICE, "ListHistory", body)
        lines = [
            f"{change['revision']}\t{change.get('author', '')}\t{_in_words(operation)}"
            for change in answer.get("changes", [])
            for operation in change.get("operations", [])
        ]
        print_answer(values, answer, "\n".join(lines))
        return ExitCode.OK

    return with_client(values, run)


@command(
    "config diff",
    "Shows how a YAML file differs from the configuration.",
    define=_define_apply,
)
def config_diff(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Runs ``config diff``."""
    if not values.file:
        print("config diff: needs --file", file=sys.stderr)
        return ExitCode.USAGE
    wanted = _read_file(pathlib.Path(values.file))

    async def run(client: RpcClient) -> int:
        answer = await client.call(_SERVICE, "GetConfiguration", {})
        now = yaml.safe_dump(_as_document(answer), sort_keys=True).splitlines()
        then = yaml.safe_dump(wanted, sort_keys=True).splitlines()
        lines = difflib.unified_diff(now, then, "in force", values.file, lineterm="")
        print("\n".join(lines))
        return ExitCode.OK

    return with_client(values, run)


async def _apply(
    values: flags.FlagValues, client: RpcClient, operations: list[dict[str, Any]]
) -> int:
    seen = values.seen
    if seen is None:
        current = await client.call(_SERVICE, "GetConfiguration", {})
        seen = current.get("revision", 0)
    answer = await client.call(
        _SERVICE,
        "Apply",
        {
            "seenRevision": seen,
            "changeId": values.change_id or random_token(random.SystemRandom()),
            "operations": operations,
            "dryRun": values.dry_run,
            "author": getpass.getuser(),
        },
    )
    verb = "Would be" if values.dry_run else "Accepted as"
    print_answer(values, answer, f"{verb} revision {answer.get('revision')}.")
    return ExitCode.OK


def _read_file(path: pathlib.Path) -> dict[str, dict[str, Any]]:
    try:
        document = yaml.safe_load(path.read_text(encoding="utf-8")) or {}
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise SettingsError(
            f"{path}: {error}", remedy="Name a readable YAML file."
        ) from error
    if not isinstance(document, dict) or not all(
        isinstance(part, dict) for part in document.values()
    ):
        raise SettingsError(
            f"{path}: not a mapping of kinds to names",
            remedy="Write 'deployment: {NAME: {...}}' and the like.",
        )
    return document


def _operations(
    wanted: dict[str, dict[str, Any]], current: dict[str, Any]
) -> list[dict[str, Any]]:
    known = _as_document(current)
    operations = []
    for kind, entities in wanted.items():
        for name, body in entities.items():
            if body == known.get(kind, {}).get(name):
                continue
            operation = {"kind": _KIND_PREFIX + kind.upper(), "name": name}
            if body is None:
                operations.append({**operation, "delete": True})
            else:
                operations.append({**operation, "bodyJson": json.dumps(body)})
    return operations


def _as_document(answer: dict[str, Any]) -> dict[str, dict[str, Any]]:
    document: dict[str, dict[str, Any]] = {}
    for entity in answer.get("entities", []):
        kind = entity["kind"].removeprefix(_KIND_PREFIX).lower()
        document.setdefault(kind, {})[entity["name"]] = json.loads(entity["bodyJson"])
    return document


def _in_words(operation: dict[str, Any]) -> str:
    kind = operation["kind"].removeprefix(_KIND_PREFIX).lower()
    verb = "delete" if operation.get("delete") else "put"
    return f"{verb} {kind} {operation['name']}"
