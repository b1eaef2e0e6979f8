"""``batch``: submit jobs, look at them, cancel them, read results."""

from __future__ import annotations

import base64
import json
import pathlib
import sys
from collections.abc import AsyncIterator, Iterator, Sequence
from typing import Any

import trio
from absl import flags

from coppercleat.cli._client import define_client_flags, print_answer, with_client
from coppercleat.cli._registry import ExitCode, command
from coppercleat.errors import SettingsError
from coppercleat.rpc import RpcClient

_SERVICE = "BatchService"
_PART_BYTES = 256_000
_POLL_S = 0.25
_BAR_WIDTH = 40
_OPEN = "JOB_STATE_OPEN"


def _define_submit(values: flags.FlagValues) -> None:
    define_client_flags(values)
    flags.DEFINE_string("deployment", None, "Deployment to run on.", flag_values=values)
    flags.DEFINE_string(
        "key", "", "Key by which a resend is known.", flag_values=values
    )
    flags.DEFINE_float("due_at", 0, "Unix time due; 0 for none.", flag_values=values)
    flags.DEFINE_integer("max_tokens", 0, "Tokens of each item.", flag_values=values)
    flags.DEFINE_bool("wait", False, "Wait, with a progress bar.", flag_values=values)


@command(
    "batch submit",
    "Submits a JSON Lines file as a job.",
    arguments="FILE",
    define=_define_submit,
)
def submit(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Runs ``batch submit``."""
    if len(arguments) != 1 or not values.deployment:
        print("batch submit: needs --deployment and one FILE", file=sys.stderr)
        return ExitCode.USAGE
    spec = {
        "deployment": values.deployment,
        "jobKey": values.key,
        "dueAt": values.due_at,
        "maxTokens": values.max_tokens,
    }
    path = pathlib.Path(arguments[0])
    if not path.is_file():
        raise SettingsError(f"{path}: no such file", remedy="Name a JSON Lines file.")

    async def run(client: RpcClient) -> int:
        answer = await submit_lines(client, spec, _parts(path))
        if values.wait:
            return await _wait(values, client, answer["jobId"])
        print_answer(values, answer, f"Accepted as job {answer['jobId']}.")
        return ExitCode.OK

    return with_client(values, run)


async def submit_lines(
    client: RpcClient, spec: dict[str, Any], parts: Iterator[bytes]
) -> Any:
    """Submits a job and returns the answer."""

    def messages() -> Iterator[dict[str, Any]]:
        yield {"spec": spec}
        for part in parts:
            yield {"lines": base64.b64encode(part).decode()}

    answers = [answer async for answer in client.stream(_SERVICE, "Submit", messages())]
    return answers[-1]


def _parts(path: pathlib.Path) -> Iterator[bytes]:
    with path.open("rb") as file:
        while part := file.read(_PART_BYTES):
            yield part


async def _wait(values: flags.FlagValues, client: RpcClient, job_id: str) -> int:
    """Waits until a job has ended; the bar goes to standard error."""
    while True:
        job = await client.call(_SERVICE, "GetJob", {"jobId": job_id})
        _show_bar(job)
        if job["state"] != _OPEN:
            break
        await trio.sleep(_POLL_S)
    print(file=sys.stderr)
    print_answer(values, job, _job_line(job))
    return ExitCode.OK if job["state"].endswith("COMPLETED") else ExitCode.FAILED


def _show_bar(job: dict[str, Any]) -> None:
    done, items = job.get("itemsCompleted", 0), job["items"]
    filled = _BAR_WIDTH * done // items
    bar = "#" * filled + "." * (_BAR_WIDTH - filled)
    print(f"\r[{bar}] {done}/{items}", end="", file=sys.stderr, flush=True)


def _job_line(job: dict[str, Any]) -> str:
    state = job["state"].removeprefix("JOB_STATE_").lower()
    late = " late" if job.get("late") else ""
    done = job.get("itemsCompleted", 0)
    return f"{job['jobId']}\t{state}{late}\t{done}/{job['items']} items"


@command(
    "batch status",
    "Shows a job, or lists all.",
    arguments="[JOB]",
    define=define_client_flags,
)
def status(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Runs ``batch status``."""

    async def run(client: RpcClient) -> int:
        if arguments:
            job = await client.call(_SERVICE, "GetJob", {"jobId": arguments[0]})
            print_answer(values, job, _job_line(job))
            return ExitCode.OK
        answer = await client.call(_SERVICE, "ListJobs", {})
        lines = [_job_line(job) for job in answer.get("jobs", [])]
        print_answer(values, answer, "\n".join(lines))
        return ExitCode.OK

    return with_client(values, run)


@command("batch cancel", "Cancels a job.", arguments="JOB", define=define_client_flags)
def cancel(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Runs ``batch cancel``."""
    if len(arguments) != 1:
        print("batch cancel: needs one JOB", file=sys.stderr)
        return ExitCode.USAGE

    async def run(client: RpcClient) -> int:
        job = await client.call(_SERVICE, "Cancel", {"jobId": arguments[0]})
        print_answer(values, job, _job_line(job))
        return ExitCode.OK

    return with_client(values, run)


@command(
    "batch results",
    "Prints a job's results as JSON Lines, in item order.",
    arguments="JOB",
    define=define_client_flags,
)
def results(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Runs ``batch results``; stops at the first chunk that is not done."""
    if len(arguments) != 1:
        print("batch results: needs one JOB", file=sys.stderr)
        return ExitCode.USAGE

    async def run(client: RpcClient) -> int:
        async for result in read_results(client, arguments[0]):
            print(json.dumps(result))
        return ExitCode.OK

    return with_client(values, run)


async def read_results(client: RpcClient, job_id: str) -> AsyncIterator[dict[str, Any]]:
    """Yields the results that are readable now, up to the first gap."""
    token = ""
    while True:
        body = {"jobId": job_id, "pageToken": token}
        page = await client.call(_SERVICE, "ReadResults", body)
        for result in page.get("results", []):
            yield result
        token = page.get("nextPageToken", "")
        if not token or page.get("pending"):
            return
