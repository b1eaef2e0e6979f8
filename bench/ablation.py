"""Switches one mechanism off at a time, and says what each is worth.

``python -m bench.ablation bench/ablations.yaml --player PROGRAM --site FILE --day
NAME[:SEED]... --work DIRECTORY`` plays each day with the code as it is and with each
replacement of the file, in checkouts of their own, by a program that plays days of the
platform (``PROGRAM run SITE DAY``). It writes JSON lines, one a play, and prints a
table: the mean worth, the difference to the code as it is, and whether it lies outside
the noise. Plays without processor time repeat, and a change of any kind sets a day on
another course; so the noise is how the difference varies over days and seeds.

A replacement whose text is not found exactly once is refused: it would measure nothing.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import json
import pathlib
import re
import statistics
import subprocess
import sys

import msgspec
import yaml

AS_IS = "as it is"
OUTSIDE = 2.0
"""A mean difference beyond so many of its standard errors is outside the noise."""

LEAST_DAYS = 3
"""Fewer days show no spread of the difference."""

_FIGURES = re.compile(
    r"^day .*\n\S.*?\s\d+/\d+\s+[\d.]+\s+(?P<worth>-?[\d.]+)\s", re.MULTILINE
)
_BROKEN = re.compile(
    r"^\s*(MIXED|UNASKED|TWICE|REFUSED|DENIED|BUDGET|GONE|LOST|CONFIG|ROUTE|DRAIN|ORDER"
    r"|RECOVER|QUOTA)\b",
    re.MULTILINE,
)
"""The player names a broken rule at the beginning of a line."""


class Ablation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One mechanism and how it is switched off.

    Attributes:
      what: What the code does without it.
      find: Text of the file that is replaced; it stands there exactly once.
    """

    name: str
    what: str
    file: str
    find: str
    replace: str


class Play(msgspec.Struct, frozen=True):
    """One day, played once.

    Attributes:
      worth: None if the player gave no figures.
    """

    variant: str
    day: str
    worth: float | None
    broken: bool


class WrongAblationError(Exception):
    """A replacement would change nothing, or more than is meant."""


def load(path: pathlib.Path) -> list[Ablation]:
    """Reads and checks a file of ablations."""
    return msgspec.convert(yaml.safe_load(path.read_text()), list[Ablation])


def checkout(source: pathlib.Path, work: pathlib.Path, name: str) -> pathlib.Path:
    """Makes a checkout of the last commit."""
    target = work / name.replace(" ", "-")
    if not target.exists():
        command = ["git", "clone", "--quiet", str(source), str(target)]
        subprocess.run(command, check=True)
    return target


def switch_off(target: pathlib.Path, ablation: Ablation) -> None:
    """Replaces the text of a mechanism in a checkout.

    Raises:
      WrongAblationError: The text is not found exactly once.
    """
    path = target / ablation.file
    text = path.read_text(encoding="utf-8")
    if ablation.replace and ablation.replace in text and ablation.find not in text:
        return
    if text.count(ablation.find) != 1:
        found = text.count(ablation.find)
        raise WrongAblationError(
            f"{ablation.name}: its text is found {found} times in {ablation.file}; "
            "bring 'find' up to date with the code"
        )
    path.write_text(text.replace(ablation.find, ablation.replace), encoding="utf-8")


def play(
    target: pathlib.Path, variant: str, day: str, options: argparse.Namespace
) -> Play:
    """Plays a day in a checkout."""
    name, _, seed = day.partition(":")
    command = [options.player, "run", options.site, name, "--no-cpu", "--jobs", "1"]
    command += ["--seed", seed] if seed else []
    command += ["--why", f"ablation: {variant}"]
    done = subprocess.run(
        command, cwd=target, capture_output=True, text=True, check=False
    )
    text = done.stdout + done.stderr
    figures = _FIGURES.search(text)
    worth = float(figures["worth"]) if figures else None
    return Play(variant, day, worth, bool(_BROKEN.search(text)))


def table(plays: list[Play]) -> list[str]:
    """Returns the lines of the table of means and differences."""
    by_variant: dict[str, dict[str, list[float]]] = {}
    for one in plays:
        if one.worth is not None:
            days = by_variant.setdefault(one.variant, {})
            days.setdefault(one.day, []).append(one.worth)
    base = by_variant[AS_IS]
    lines = [
        "| mechanism | days | worth | difference | outside the noise |",
        "|---|---|---|---|---|",
    ]
    for variant, days in by_variant.items():
        differences = [
            statistics.mean(worths) - statistics.mean(base[day])
            for day, worths in days.items()
        ]
        mean = statistics.mean(statistics.mean(worths) for worths in days.values())
        lines.append(
            f"| {variant} | {len(days)} | {mean:.3f} | "
            f"{statistics.mean(differences):+.3f} | {_judged(differences)} |"
        )
    broken = sorted({one.variant for one in plays if one.broken})
    lines.append(f"Rules broken: {', '.join(broken) or 'none'}.")
    return lines


def _judged(differences: list[float]) -> str:
    """Returns whether differences lie on one side of zero beyond their spread."""
    if not any(differences):
        return "never reached"
    if len(differences) < LEAST_DAYS:
        return "too few days"
    error = statistics.stdev(differences) / len(differences) ** 0.5
    return "yes" if abs(statistics.mean(differences)) > OUTSIDE * error else "no"


def main() -> int:
    """Plays all, writes and prints."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("file", type=pathlib.Path)
    parser.add_argument("--player", required=True, help="program that plays days")
    parser.add_argument("--site", required=True, help="file of the deployment")
    parser.add_argument("--day", action="append", required=True, help="NAME[:SEED]")
    parser.add_argument("--work", type=pathlib.Path, required=True)
    parser.add_argument("--only", action="append", help="names of ablations")
    parser.add_argument("--repeat", type=int, default=2, help="plays of the code as is")
    parser.add_argument("--jobs", type=int, default=4, help="plays side by side")
    options = parser.parse_args()
    source = pathlib.Path.cwd()
    options.work.mkdir(parents=True, exist_ok=True)
    variants = {AS_IS: checkout(source, options.work, AS_IS)}
    for ablation in load(options.file):
        if options.only and ablation.name not in options.only:
            continue
        variants[ablation.name] = checkout(source, options.work, ablation.name)
        switch_off(variants[ablation.name], ablation)
    for target in variants.values():
        subprocess.run(
            [options.player, "build"], cwd=target, check=True, capture_output=True
        )
    plays = []
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        asked = [
            pool.submit(play, target, variant, day, options)
            for variant, target in variants.items()
            for _ in range(options.repeat if variant == AS_IS else 1)
            for day in options.day
        ]
        with (options.work / "plays.jsonl").open("a", encoding="utf-8") as lines:
            for one in concurrent.futures.as_completed(asked):
                plays.append(one.result())
                lines.write(json.dumps(msgspec.to_builtins(plays[-1])) + "\n")
                lines.flush()
    print("\n".join(table(plays)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
