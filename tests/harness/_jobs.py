"""Jobs, routes and workers as tests of decisions use them, without a network."""

from __future__ import annotations

import contextlib
import itertools
import random

import trio

from coppercleat.ids import JobId, ZoneId
from coppercleat.jobs import (
    ItemRunner,
    ItemSpec,
    JobRepository,
    JobWorker,
    Submission,
)
from coppercleat.serving import (
    Placement,
    Route,
    RouteConfig,
    RouteKind,
    RouteTable,
    Target,
    UpstreamResponse,
)
from coppercleat.storage import MemoryPlatform
from coppercleat.upstreams import AttemptState
from tests.harness._links import roomy_upstream

HOST, PREFIX = "jobs.example", "/week/"
KINDS = {
    "S": (RouteKind.STREAM, False, 1),
    "R": (RouteKind.STREAM, True, 3),
    "I": (RouteKind.IDEMPOTENT, False, 3),
    "O": (RouteKind.AT_MOST_ONCE, False, 1),
}


def make_route(letter="S", **more):
    kind, resumable, attempts = KINDS[letter]
    return Route(
        name="r",
        host=HOST,
        prefix=PREFIX,
        kind=kind,
        targets=(Target("menus", 1.0),),
        timeout_s=5.0,
        resumable=resumable,
        max_attempts=attempts,
        **more,
    )


def make_repository(platform=None):
    platform = platform or MemoryPlatform()
    return JobRepository(platform, clock=lambda: 0.0, rng=random.Random(1))


def submission(name, items, *, body=b"x", tokens=1_000):
    specs = [
        ItemSpec(f"{name}-{index}", PREFIX, [], body, tokens) for index in range(items)
    ]
    return Submission(job=JobId(name), host=HOST, path=PREFIX + "s", items=specs)


def accept_job(repository, job, limit=0):
    return repository.accept(
        job,
        make_route(max_waiting_tokens=limit),
        owner="me/1",
        finished_tokens=lambda host, prefix, account: 0,
    )


class Endless:
    """A caller whose upstreams send an event every 20 ms and never end."""

    @contextlib.asynccontextmanager
    async def exchange(self, upstream, request, **options):
        options["attempt"].move(AttemptState.SENT)

        async def body():
            for number in itertools.count(1):
                await trio.sleep(0.02)
                yield f"id: {number}\ndata: w\n\n".encode()

        yield UpstreamResponse(
            status=200,
            headers=[],
            refused=False,
            wrong_upstream=False,
            authenticated=True,
            body=body(),
        )


LOOK_S = 0.4
"""Pause between a worker's looks at what has changed of the jobs."""


def make_worker(repository, job_index, *, cut=lambda: False):
    """Returns a worker before one roomy upstream; ``cut`` off it hears nobody."""
    placement = Placement(ZoneId("a"), rng=random.Random(1))
    placement.replace([roomy_upstream("x")])
    config = RouteConfig(version=1, routes=(make_route(),))
    items = ItemRunner(
        placement,
        Endless(),
        instance="me",
        on_change=lambda state, started: None,
        on_end=lambda outcome: None,
    )
    return JobWorker(
        repository,
        job_index,
        items,
        owner="me/1",
        clock=lambda: 0.0,
        routes=lambda: RouteTable(config),
        is_owner_alive=lambda owner, since: True,
        live_instances=lambda: ["me/1"],
        holds_lease=lambda: not cut(),
        isolated=cut,
        pause_s=lambda: LOOK_S,
        on_takeover=lambda job, previous: None,
        on_commit=lambda outcome: None,
    )
