"""A soak by schedules: all is drawn before the play, and can be played again.

``python -m bench.scheduled_soak --seeds 1-60`` draws a schedule from each seed, plays
it and prints one JSON line a play. ``--schedule FILE`` plays a file instead,
``--without 3,7`` leaves out some of its faults, ``--shift_s 0.2`` plays faults later
than it says (``--shifted 4`` only these), ``--plays 5`` plays each so often, and
``--cut_down`` takes out fault after fault for as long as it still fails.

Beside the checks of ``bench.soak`` it holds plays against a shorter bound: each
accepted job that was not ended is listed whole ``FINISH_S`` after all has healed. Both
are told apart. A play that fails leaves a folder ``out/scheduled-soak-SEED-TIME`` with
its schedule, calls, faults, processes, rows, ports and lines; see ``_soak_record.py``.
"""

from __future__ import annotations

import argparse
import json
import pathlib
import random
import sys
from collections.abc import Callable, Iterable
from functools import partial

from bench._soak_drawing import draw_schedule
from bench._soak_play import OUT, Play
from bench._soak_schedule import Schedule, load_schedule, save_schedule


def cut_down(schedule: Schedule, fails: Callable[[Schedule], bool]) -> Schedule:
    """Takes out each fault without which the schedule still fails."""
    for fault in schedule.faults:
        fewer = schedule.without([fault.number])
        if fails(fewer):
            schedule = fewer
    return schedule


def _fails(schedule: Schedule, *, plays: int) -> bool:
    """Returns whether one of some plays fails, and prints it."""
    for _ in range(plays):
        play = Play(schedule)
        play.play()
        print(json.dumps(play.line()), flush=True)
        if play.failed:
            return True
    return False


def _schedules(options: argparse.Namespace) -> Iterable[Schedule]:
    if options.schedule:
        yield load_schedule(pathlib.Path(options.schedule))
        return
    fresh = random.SystemRandom().randrange(10_000, 1_000_000)
    first, _, last = (options.seeds or f"{fresh}-{fresh + 4}").partition("-")
    for seed in range(int(first), int(last or first) + 1):
        yield draw_schedule(
            seed,
            length_s=options.length_s,
            gateways=options.gateways or None,
            every=options.every,
        )


def _numbers(text: str) -> list[int]:
    return [int(number) for number in text.split(",") if number]


def _parsed() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="", help="for example 1-60; else fresh ones")
    parser.add_argument("--schedule", default="", help="a file to play instead")
    parser.add_argument("--length_s", type=float, default=12.0)
    parser.add_argument("--gateways", type=int, default=0, help="else as drawn")
    parser.add_argument("--every", action="store_true", help="all faults, each once")
    parser.add_argument("--without", default="", help="numbers of faults to leave out")
    parser.add_argument("--shift_s", type=float, default=0.0)
    parser.add_argument("--shifted", default="", help="numbers of faults; else all")
    parser.add_argument("--plays", type=int, default=1)
    parser.add_argument("--cut_down", action="store_true")
    return parser.parse_args()


def main() -> int:
    """Plays the schedules and prints one JSON line a play."""
    options = _parsed()
    failed = 0
    for drawn in _schedules(options):
        schedule = drawn.without(_numbers(options.without))
        schedule = schedule.shifted(options.shift_s, _numbers(options.shifted))
        path = OUT / "schedules" / f"{schedule.seed}.json"
        save_schedule(schedule, path)
        if options.cut_down:
            schedule = cut_down(schedule, partial(_fails, plays=options.plays))
            save_schedule(schedule, path.with_suffix(".cut.json"))
            continue
        for _ in range(options.plays):
            play = Play(schedule)
            play.play()
            failed += play.failed
            print(json.dumps(play.line()), flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
