"""Runs a described mix of load and faults against gateways, and plots what came of it.

``python -m bench.experiment bench/experiments/burst-beside-batch.yaml`` starts gateways
as processes before stand-ins of the store and of runners, plays the file, and writes
``out/NAME.jsonl`` (one line a request and a listed item, then the figures) and one plot
a figure, ``out/NAME-FIGURE.svg``. It asks questions; it judges nothing. What must hold
under faults is the soak's business (``bench.soak``).
"""

from __future__ import annotations

import argparse
import json
import pathlib
import random
import sys
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import httpcore
import msgspec
import pygal
import trio
import yaml

from tests.harness import ONCE, PLAIN, RESUMABLE, STREAM, Gateways, Process

ROUTES = {"stream": STREAM, "resumable": RESUMABLE, "plain": PLAIN, "once": ONCE}
DEADLINE_MS = 5000
READ_PAUSE_S = 0.25
"""Between reads of all open jobs; the time of an item is known to as much."""

SETTLE_S = 20.0
"""For jobs to be whole after the load has ended."""

SAMPLE_S = 0.5
"""Between samples of the gateways' processor time."""

_NETWORK = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


class RequestLoad(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Online requests of one route, at random moments.

    Attributes:
      per_s: Requests a second on the mean.
      to_s: End, in seconds from the start; 0 for that of the experiment.
    """

    route: str
    per_s: float
    from_s: float = 0.0
    to_s: float = 0.0


class JobLoad(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Jobs, at random moments."""

    per_s: float = 0.0
    items: int = 10


class FaultPlan(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """One fault.

    Attributes:
      kind: One of ``FAULTS``.
      target: A gateway's or runner's name, where the kind has one.
      knobs: Of the stand-in; they are set back when the fault ends.
    """

    kind: str
    at_s: float
    for_s: float = 1.0
    target: str = ""
    knobs: dict[str, Any] = {}


class Description(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """An experiment as its file gives it."""

    name: str
    seed: int = 1
    gateways: int = 3
    runners: int = 3
    length_s: float = 20.0
    events: int = 30
    event_s: float = 0.02
    requests: list[RequestLoad] = []
    jobs: JobLoad = msgspec.field(default_factory=JobLoad)
    faults: list[FaultPlan] = []


class Point(msgspec.Struct, frozen=True, kw_only=True):
    """One request or listed item, in seconds from the experiment's start.

    Attributes:
      what: The request's route, or ``item``.
      took_s: To the first part of an answer; of an item from its job's submission.
      outcome: ``whole``, ``cut``, a status, ``no answer``, or an item's state.
    """

    what: str
    at_s: float
    took_s: float
    outcome: str


Fault = Callable[["Experiment", FaultPlan], Awaitable[None]]
FAULTS: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Fault], Fault]:
    """Registers a kind of fault."""

    def register(action: Fault) -> Fault:
        FAULTS[name] = action
        return action

    return register


@fault("store")
async def store_fault(experiment: Experiment, plan: FaultPlan) -> None:
    """Knobs of the store's stand-in."""
    await _with_knobs(experiment, "store", plan)


@fault("runner")
async def runner_fault(experiment: Experiment, plan: FaultPlan) -> None:
    """Knobs of a runner's stand-in."""
    await _with_knobs(experiment, plan.target, plan)


@fault("kill")
async def gateway_killed(experiment: Experiment, plan: FaultPlan) -> None:
    """A gateway is killed and started again."""
    experiment.fleet.processes[plan.target].kill()
    await trio.sleep(plan.for_s)
    experiment.fleet.start_gateway(plan.target)


async def _with_knobs(experiment: Experiment, name: str, plan: FaultPlan) -> None:
    before = (await experiment.fleet.control(name))["knobs"]
    await experiment.fleet.control(name, **plan.knobs)
    await trio.sleep(plan.for_s)
    await experiment.fleet.control(name, **{knob: before[knob] for knob in plan.knobs})


class Experiment:
    """One experiment.

    Attributes:
      points: What was seen of requests and items.
      processor: Seconds from the start, and the share of a core that the gateways
        took together since the sample before.
    """

    def __init__(self, description: Description) -> None:
        self.description = description
        self.rng = random.Random(description.seed)
        self.fleet = Gateways(
            gateways=description.gateways, runners=description.runners
        )
        self.points: list[Point] = []
        self.processor: list[tuple[float, float]] = []
        self._began = 0.0
        self._asked = 0
        self._open: dict[str, tuple[float, set[str]]] = {}

    def run(self) -> None:
        """Plays the description."""
        self.fleet.start()
        try:
            trio.run(self._play)
        finally:
            self.fleet.close()

    @property
    def now_s(self) -> float:
        """Seconds since the start."""
        return trio.current_time() - self._began

    async def _play(self) -> None:
        wanted = self.description
        for name in self.fleet.runners:
            await self.fleet.control(name, events=wanted.events, event_s=wanted.event_s)
        self._began = trio.current_time()
        async with trio.open_nursery() as beside:
            beside.start_soon(self._read_jobs)
            beside.start_soon(self._sample_processor)
            async with trio.open_nursery() as load:
                for plan in wanted.faults:
                    load.start_soon(self._fault, plan)
                for requests in wanted.requests:
                    load.start_soon(self._requests, requests, load)
                load.start_soon(self._jobs)
            with trio.move_on_after(SETTLE_S):
                while self._open:
                    await trio.sleep(READ_PAUSE_S)
            beside.cancel_scope.cancel()

    async def _fault(self, plan: FaultPlan) -> None:
        await trio.sleep(plan.at_s)
        await FAULTS[plan.kind](self, plan)

    async def _requests(self, load: RequestLoad, nursery: trio.Nursery) -> None:
        await trio.sleep(load.from_s)
        ends_s = load.to_s or self.description.length_s
        while self.now_s < ends_s:
            nursery.start_soon(self._request, load.route)
            await trio.sleep(self.rng.expovariate(load.per_s))

    async def _request(self, route: str) -> None:
        self._asked += 1
        at_s = self.now_s
        took_s, outcome = 0.0, "no answer"
        try:
            with trio.move_on_after(DEADLINE_MS / 1000 + 1):
                took_s, outcome = await self._first_part(route, f"ask-{self._asked}")
        except _NETWORK as error:
            outcome = type(error).__name__
        took_s = took_s or self.now_s - at_s
        self.points.append(Point(what=route, at_s=at_s, took_s=took_s, outcome=outcome))

    async def _first_part(self, route: str, request: str) -> tuple[float, str]:
        """Sends a request; returns the time to its first part, and how it ended."""
        host, prefix = ROUTES[route]
        port = self.fleet.ports[self.rng.choice(self.fleet.names)]["front"]
        headers = {
            "host": host,
            "request-id": request,
            "deadline-ms": str(DEADLINE_MS),
            "content-length": "0",
        }
        began = trio.current_time()
        first_s = 0.0
        url = f"http://127.0.0.1:{port}{prefix}x"
        async with (
            httpcore.AsyncConnectionPool() as pool,
            pool.stream("POST", url, headers=list(headers.items())) as response,
        ):
            try:
                async for _ in response.aiter_stream():
                    first_s = first_s or trio.current_time() - began
            except (httpcore.NetworkError, httpcore.ProtocolError):
                return first_s, "cut"
        return first_s, "whole" if response.status == 200 else str(response.status)

    async def _jobs(self) -> None:
        load = self.description.jobs
        number = 0
        while load.per_s and self.now_s < self.description.length_s:
            job = f"job-{number}"
            items = [f"item {n}" for n in range(load.items)]
            try:
                gateway = self.rng.choice(self.fleet.names)
                answer = await self.fleet.submit(gateway, job, items)
                if answer.status == 202:
                    self._open[job] = (self.now_s, set())
            except _NETWORK:
                pass
            number += 1
            await trio.sleep(self.rng.expovariate(load.per_s))

    async def _read_jobs(self) -> None:
        while True:
            await trio.sleep(READ_PAUSE_S)
            for job in list(self._open):
                await self._read_job(job)

    async def _read_job(self, job: str) -> None:
        submitted_s, seen = self._open[job]
        try:
            page = await self.fleet.results(self.rng.choice(self.fleet.names), job)
        except (AssertionError, *_NETWORK):
            return
        for result in page["results"]:
            if result["id"] in seen:
                continue
            seen.add(result["id"])
            took_s = self.now_s - submitted_s
            self.points.append(
                Point(
                    what="item",
                    at_s=submitted_s,
                    took_s=took_s,
                    outcome=result["state"],
                )
            )
        if len(seen) == page["total"]:
            del self._open[job]

    async def _sample_processor(self) -> None:
        used: dict[Process, float] = {}
        while True:
            living = [self.fleet.processes[name] for name in self.fleet.names]
            now = {p: p.cpu_seconds() for p in living if p.running}
            grown = sum(spent - used[p] for p, spent in now.items() if p in used)
            if used:
                self.processor.append((self.now_s, grown / SAMPLE_S))
            used = now
            await trio.sleep(SAMPLE_S)


def quantile(values: Iterable[float], share: float) -> float:
    """Returns a quantile by rank, 0 for no values."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(share * len(ranked)))] if ranked else 0.0


def figures(experiment: Experiment) -> list[dict[str, Any]]:
    """Returns counts and quantiles by kind."""
    found = []
    for what in sorted({point.what for point in experiment.points}):
        of_kind = [p for p in experiment.points if p.what == what]
        good = [p.took_s for p in of_kind if p.outcome in ("whole", "completed")]
        outcomes: dict[str, int] = {}
        for point in of_kind:
            outcomes[point.outcome] = outcomes.get(point.outcome, 0) + 1
        found.append(
            {
                "figure": what,
                "count": len(of_kind),
                "outcomes": outcomes,
                "p50_s": round(quantile(good, 0.5), 4),
                "p99_s": round(quantile(good, 0.99), 4),
            }
        )
    shares = [share for _, share in experiment.processor]
    mean = sum(shares) / max(1, len(shares))
    found.append({"figure": "gateways' cores", "mean": round(mean, 3)})
    return found


def _chart(title: str, **options: Any) -> pygal.XY:
    # Plots stand alone: no scripts from elsewhere.
    return pygal.XY(title=title, x_title="s", js=(), **options)


def plot(experiment: Experiment, directory: pathlib.Path) -> list[pathlib.Path]:
    """Writes one plot a figure and returns their files."""
    name = experiment.description.name
    times = _chart(f"{name}: time taken", stroke=False, y_title="s")
    for what in sorted({point.what for point in experiment.points}):
        times.add(
            what, [(p.at_s, p.took_s) for p in experiment.points if p.what == what]
        )
    ends = _chart(f"{name}: ended by then")
    for outcome in sorted({point.outcome for point in experiment.points}):
        ended = sorted(
            p.at_s + p.took_s for p in experiment.points if p.outcome == outcome
        )
        ends.add(outcome, [(at, count) for count, at in enumerate(ended, 1)])
    cores = _chart(f"{name}: cores of all gateways")
    cores.add("cores", experiment.processor)
    files = []
    for figure, chart in (("times", times), ("ends", ends), ("cores", cores)):
        file = directory / f"{name}-{figure}.svg"
        file.write_bytes(chart.render())
        files.append(file)
    return files


def read(path: pathlib.Path) -> Description:
    """Reads and checks a description.

    Raises:
      msgspec.ValidationError: A field does not fit.
      ValueError: A route or a kind of fault is not known.
    """
    described = msgspec.convert(yaml.safe_load(path.read_text()), Description)
    unknown = {load.route for load in described.requests} - set(ROUTES)
    unknown |= {plan.kind for plan in described.faults} - set(FAULTS)
    if unknown:
        raise ValueError(f"{path}: unknown: {', '.join(sorted(unknown))}")
    return described


def main() -> int:
    """Runs the experiment of a file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("file", type=pathlib.Path)
    parser.add_argument("--out", type=pathlib.Path, default=pathlib.Path("out"))
    options = parser.parse_args()
    experiment = Experiment(read(options.file))
    experiment.run()
    options.out.mkdir(parents=True, exist_ok=True)
    found = figures(experiment)
    lines = [msgspec.json.encode(point).decode() for point in experiment.points]
    lines += [json.dumps(figure) for figure in found]
    report = options.out / f"{experiment.description.name}.jsonl"
    report.write_text("\n".join(lines) + "\n")
    for figure in found:
        print(json.dumps(figure))
    print(report, *plot(experiment, options.out), sep="\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
