"""Runs the scenarios side by side in a few processes, and adds up what they say.

Each process takes scenarios from one queue, so that none waits for a slow feature.
A scenario that KNOWN-RED.txt lists may fail; if it passes, that is said, with the rule
by which an entry leaves the list.
"""

from __future__ import annotations

import collections
import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile
import threading
import time

from tests.harness import SHARD_VARIABLE, hold_suite_shards

FEATURES = "tests/features"
KNOWN_RED = pathlib.Path("KNOWN-RED.txt")
SHARDS = max(1, min(6, (os.cpu_count() or 2) - 2))
"""Processes at once: a scenario starts up to 20 processes that mostly wait."""

BATCH = 6
HEAVY = ("tests/features/quarantine.feature",)
"""Features whose scenarios start some 15 processes each, and start them again: side by
side they leave others no time (load 17 on 8 cores). One process takes all of such a
feature, and begins with it."""

BATCH_TIMEOUT_S = 900
LEAVING_RULE = (
    "An entry leaves KNOWN-RED.txt once its cause is shown by a run and its scenario, "
    "unchanged, has passed 30 times on the final code (a soak's seed 40 times), half "
    "of them quiet, half beside load."
)
_FAILED_HEAD = 2000
_FAILED_TAIL = 4000
"""Characters of a failed scenario's output that are printed again at the end."""


def list_scenarios() -> list[tuple[str, str]]:
    """Returns location and name of every scenario, rows of outlines apart."""
    listed = subprocess.run(
        [sys.executable, "-m", "behave", "--dry-run", "-f", "json", FEATURES],
        capture_output=True,
        text=True,
        check=False,
    )
    text = listed.stdout
    features, _ = json.JSONDecoder().raw_decode(text, text.index("["))
    return [
        (element["location"], element["name"])
        for feature in features
        for element in feature.get("elements", ())
        if element["type"] != "background"
    ]


def known_red() -> list[str]:
    """Returns the names of scenarios that are known to fail."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return [line.partition("|")[0].strip() for line in lines if line.strip()]


def batches(scenarios: list[tuple[str, str]]) -> list[list[tuple[str, str]]]:
    """Puts a few scenarios of a feature together, since each start costs a second."""
    by_feature: dict[str, list[tuple[str, str]]] = {}
    for scenario in scenarios:
        by_feature.setdefault(scenario[0].partition(":")[0], []).append(scenario)
    heavy = [by_feature.pop(name) for name in HEAVY if name in by_feature]
    return heavy + [
        of_feature[begin : begin + BATCH]
        for of_feature in by_feature.values()
        for begin in range(0, len(of_feature), BATCH)
    ]


class Run:
    """One run of all scenarios.

    Attributes:
      own_shards: Whether its processes are given the suite's shards of ports; beside
        another suite each takes one that is free.
      failed: Location, name and output of each scenario that failed.
      took: Seconds and first location of each batch.
    """

    def __init__(self, scenarios: list[tuple[str, str]]) -> None:
        self.waiting = collections.deque(batches(scenarios))
        self.own_shards = hold_suite_shards()
        self.passed: list[str] = []
        self.failed: list[tuple[str, str, str]] = []
        self.took: list[tuple[float, str]] = []

    def environment(self, shard: int) -> dict[str, str]:
        """Returns the environment of the processes that run one after the other."""
        environment = {k: v for k, v in os.environ.items() if k != SHARD_VARIABLE}
        return environment | ({SHARD_VARIABLE: str(shard)} if self.own_shards else {})

    def work(self, shard: int) -> None:
        """Runs batches until none is left."""
        environment = self.environment(shard)
        while True:
            try:
                batch = self.waiting.popleft()
            except IndexError:
                return
            began = time.monotonic()
            passed, output = run_batch([at for at, _ in batch], environment)
            self.took.append((time.monotonic() - began, batch[0][0]))
            for location, name in batch:
                # Rows of examples without a name end in a blank.
                if location in passed:
                    self.passed.append(name.strip())
                else:
                    part = part_of(output, name)
                    self.failed.append((location, name.strip(), part))
                    print(f"FAILED {location} {name}", flush=True)


def part_of(output: str, name: str) -> str:
    """Returns what a batch printed of one scenario, all if it is not to be found.

    A batch may print a hundred scenarios after the one that failed.
    """
    _, title, rest = output.partition(f": {name}\n")
    if not title:
        return output
    return name + "\n" + re.split(r"\n  Scenario(?: Outline)?: ", rest, maxsplit=1)[0]


def shortened(part: str) -> str:
    """Returns a scenario's output cut to its steps, first, and its logs, last."""
    if len(part) <= _FAILED_HEAD + _FAILED_TAIL:
        return part
    return f"{part[:_FAILED_HEAD]}\n[...]\n{part[-_FAILED_TAIL:]}"


def run_batch(locations: list[str], environment: dict[str, str]) -> tuple[set, str]:
    """Runs scenarios; returns the locations of those that passed, and the output."""
    with tempfile.TemporaryDirectory() as directory:
        report = pathlib.Path(directory) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-capture", "--no-color"]
        command += ["-f", "json", "-o", str(report), "-f", "plain", *locations]
        try:
            done = subprocess.run(
                command,
                env=environment,
                capture_output=True,
                text=True,
                errors="replace",
                timeout=BATCH_TIMEOUT_S,
                check=False,
            )
        except subprocess.TimeoutExpired as error:
            return set(), f"not done within {BATCH_TIMEOUT_S} s: {error.output!r}"
        text = report.read_text(encoding="utf-8") if report.exists() else ""
        if not text.strip():
            return set(), done.stdout + done.stderr
        features = json.loads(text)
    passed = {
        element["location"]
        for feature in features
        for element in feature.get("elements", ())
        if element.get("status") == "passed"
    }
    return passed, done.stdout + done.stderr


def main() -> int:
    """Runs everything and prints the counts last."""
    scenarios = list_scenarios()
    run = Run(scenarios)
    workers = [
        threading.Thread(target=run.work, args=(shard,)) for shard in range(SHARDS)
    ]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    red = known_red()
    unlisted = [failure for failure in run.failed if failure[1] not in red]
    for location, name, output in run.failed:
        print(f"--- {location} {name}\n{shortened(output)}")
        if name in red:
            print(f"known red, see KNOWN-RED.txt: {name}")
    for name in red:
        if name in run.passed:
            print(f"known red, passed this time: {name}")
    if any(name in run.passed for name in red):
        print(LEAVING_RULE)
    slowest = ", ".join(f"{s:.0f} s {at}" for s, at in sorted(run.took)[:-6:-1])
    print(f"slowest: {slowest}")
    print(f"{len(run.passed)} passed, {len(unlisted)} failed")
    return 1 if unlisted or not scenarios else 0


if __name__ == "__main__":
    sys.exit(main())
