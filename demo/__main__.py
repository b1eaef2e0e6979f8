"""Runs the main job on the embedded default and counts what came of it.

Starts ``coppercleat standalone``, creates a deployment through the RPCs, shows
a streamed answer, submits a lot, waits for it and reads its results, and stops
the process as an operator would.
"""

import argparse
import json
import signal
import subprocess
import sys
import time

import trio

from coppercleat.cli._batch import read_results, submit_lines
from coppercleat.rpc import RpcClient, RpcError

_ITEMS = 300
_TOKENS = 12
_START_S = 30
_PORT = 7470
_SERVER = f"127.0.0.1:{_PORT}"
_DEPLOYMENT = {
    "service": "standalone",
    "versions": {"built-in": 1},
    "default_max_tokens": _TOKENS,
}


async def _wait_until_up(client: RpcClient) -> None:
    end = time.monotonic() + _START_S
    while True:
        try:
            await client.call("OperatorService", "GetStatus", {})
            return
        except RpcError:
            if time.monotonic() > end:
                raise
            await trio.sleep(0.1)


async def _show(client: RpcClient) -> int:
    """Shows everything; returns the exit code."""
    await _wait_until_up(client)
    operation = {
        "kind": "ENTITY_KIND_DEPLOYMENT",
        "name": "menus",
        "bodyJson": json.dumps(_DEPLOYMENT),
    }
    change = {"seenRevision": 0, "changeId": "demo", "operations": [operation]}
    accepted = await client.call("OperatorService", "Apply", change)
    print(f"Deployment 'menus' accepted as revision {accepted['revision']}.")
    print("Streamed answer: ", end="")
    question = {"deployment": "menus", "prompt": "Swap the fish on tray 7."}
    async for chunk in client.stream("OnlineService", "InferStream", [question]):
        print(chunk.get("text", ""), end="", flush=True)
    print()
    return await _run_lot(client)


async def _run_lot(client: RpcClient) -> int:
    lines = [json.dumps({"id": f"d{i}", "prompt": f"Menu {i}"}) for i in range(_ITEMS)]
    spec = {"deployment": "menus", "jobKey": "demo"}
    parts = iter([("\n".join(lines) + "\n").encode()])
    accepted = await submit_lines(client, spec, parts)
    print(f"Lot of {accepted['items']} items accepted as job {accepted['jobId']}.")
    while True:
        job = await client.call("BatchService", "GetJob", {"jobId": accepted["jobId"]})
        if job["state"] != "JOB_STATE_OPEN":
            break
        await trio.sleep(0.2)
    results = [result async for result in read_results(client, accepted["jobId"])]
    once = len({result.get("index", 0) for result in results})
    readable = sum(bool(result.get("text")) for result in results)
    print(
        f"{accepted['items']} items accepted, {once} completed once, "
        f"{readable} readable."
    )
    return 0 if accepted["items"] == once == len(results) == readable else 1


async def _main(command: list[str]) -> int:
    standalone = subprocess.Popen(
        [*command, "standalone", f"--port={_PORT}", "--log_level=warning"]
    )
    try:
        async with RpcClient(_SERVER) as client:
            code = await _show(client)
    finally:
        standalone.send_signal(signal.SIGTERM)
        stopped = standalone.wait(timeout=_START_S)
    return code or stopped


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--command", help="The program, in place of the package.")
    chosen = parser.parse_args().command
    program = [chosen] if chosen else [sys.executable, "-m", "coppercleat"]
    sys.exit(trio.run(_main, program))
