"""One start of an instance that runs jobs, in a process of several."""

from __future__ import annotations

import contextlib
import contextvars
import random
from collections.abc import Callable, Iterator
from types import SimpleNamespace
from typing import Any

import msgspec
import trio

from coppercleat.gateway import JobService
from coppercleat.gateway._run import _stop
from coppercleat.ids import InstanceId, JobId, JobRef, ZoneId
from coppercleat.jobs import ItemRunner, JobIndex, JobRepository, JobWorker
from coppercleat.serving import (
    Placement,
    Route,
    RouteConfig,
    RouteTable,
    UpstreamResponse,
    Watch,
)
from coppercleat.upstreams import AttemptState
from tests.harness._job_store import View
from tests.harness._jobs import HOST, make_route
from tests.harness._links import node_settings, roomy_upstream

EVENTS = 5
"""Events of a run of an item."""

_here: contextvars.ContextVar[Instance | None] = contextvars.ContextVar(
    "here", default=None
)
_SLEEP = trio.sleep


class FiveEvents:
    """A caller whose upstreams answer with five events, each the body's first line.

    Attributes:
      event_s: Time that each takes.
      began: When runs began of each job's items, in trio time.
      failing: Whether runs fail, with status 500.
    """

    def __init__(self, event_s: float = 0.1) -> None:
        self.event_s = event_s
        self.began: dict[JobRef, list[float]] = {}
        self.failing = False

    @contextlib.asynccontextmanager
    async def exchange(self, upstream: Any, request: Any, **options: Any) -> Any:
        options["attempt"].move(AttemptState.SENT)
        job, _, _ = request.request_id.rpartition("-")
        ref = JobRef(request.host, JobId(job))
        self.began.setdefault(ref, []).append(trio.current_time())
        word = request.body.partition(b"\n")[0]

        async def body() -> Any:
            for number in range((options["resume_after"] or 0) + 1, EVENTS + 1):
                await trio.sleep(self.event_s)
                yield b"id: %d\ndata: %s\n\n" % (number, word)

        yield UpstreamResponse(
            status=500 if self.failing else 200,
            headers=[(b"content-type", b"text/event-stream")],
            refused=False,
            wrong_upstream=False,
            authenticated=True,
            body=body(),
        )


class NoCatalogue:
    """Knows nothing."""

    async def read_routes(self, *, full: bool = True) -> None:
        return None

    async def read_upstreams(self, *, full: bool = True) -> list:
        return []


class Instance:
    """One start of an instance.

    Attributes:
      calls: Clients' calls that it has not answered.
      pauses: Faults under way for which it stands still.
    """

    def __init__(
        self,
        number: int,
        start: int,
        view: View,
        *,
        caller: Any = None,
        route: Route | None = None,
        hosts: tuple[str, ...] = (HOST,),
        pause_s: float = 0.4,
        on_takeover: Callable[[JobRef, str], None] = lambda ref, previous: None,
        hears: Callable[[], set[InstanceId]] | None = None,
    ) -> None:
        rng = random.Random(f"{number} {start}")
        placement = Placement(ZoneId("a"), rng=rng)
        settings = node_settings(f"i-{number}", "a")
        boot = f"b{start}"
        self.view = view
        self.calls: set[trio.CancelScope] = set()
        self.pauses = 0
        self._resumed = trio.Event()
        self.watch = Watch(settings, NoCatalogue(), view, placement, boot=boot, rng=rng)
        if hears is not None:
            self.watch.is_settled = lambda live: live == hears()
        view.owner = self.watch.owner_name
        view.pass_pause = self.pass_pause
        placement.replace([roomy_upstream("x")])
        clock = trio.current_time
        self.index = JobIndex(view)
        repository = JobRepository(view, clock=clock, rng=rng)
        items = ItemRunner(
            placement,
            caller or FiveEvents(),
            instance=settings.instance,
            on_change=lambda state, started: None,
            on_end=lambda outcome: None,
        )
        self.route = route or make_route(retention_s=600.0)
        self.placement = placement
        routes = tuple(msgspec.structs.replace(self.route, host=h) for h in hosts)
        config = RouteConfig(version=1, routes=routes)
        self.worker = JobWorker(
            repository,
            self.index,
            items,
            owner=self.watch.owner_name,
            clock=clock,
            routes=lambda: None if self.pauses else RouteTable(config),
            is_owner_alive=self.watch.is_owner_alive,
            live_instances=self.watch.live_instances,
            holds_lease=self.watch.holds_lease,
            isolated=lambda: False,
            pause_s=lambda: pause_s,
            on_takeover=on_takeover,
            on_commit=lambda outcome: None,
        )
        self.service = JobService(
            repository,
            self.index,
            self.worker,
            quota_tolerance=0.0,
            on_submit=lambda outcome: None,
        )

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            # As in the gateway, without routes and upstreams to be read.
            for name, poll in (
                ("renewal", self.watch._renew),
                ("instances", self.watch._poll_instances),
            ):
                nursery.start_soon(
                    self.watch._poll_forever, name, poll, lambda *a, **k: 1.0
                )
            nursery.start_soon(self.worker.run)

    async def pass_pause(self) -> None:
        """Waits while it stands still."""
        while self.pauses:
            await self._resumed.wait()

    async def stand_still(self, for_s: float) -> None:
        """Lets nothing of it run for a time; its timers fire late."""
        self.pauses += 1
        await _SLEEP(for_s)
        self.pauses -= 1
        if not self.pauses:
            self._resumed.set()
            self._resumed = trio.Event()

    async def stop(self, in_flight_s: float) -> None:
        """Stops it as the gateway does on a signal, with a client that stays on."""
        leaves_at = trio.current_time() + in_flight_s
        gateway = _Stopping(
            settings=self.watch.settings,
            admission=SimpleNamespace(
                queue=SimpleNamespace(shedder=SimpleNamespace(shutdown_at=0.0))
            ),
            worker=self.worker,
            watch=self.watch,
            leaves_at=leaves_at,
        )
        await _stop(gateway, trio.Event())  # type: ignore[arg-type]


class _Stopping(SimpleNamespace):
    """What a planned stop needs of a gateway."""

    @property
    def in_flight(self) -> int:
        return int(trio.current_time() < self.leaves_at)


async def sleep_at_instance(seconds: float) -> None:
    """Sleeps, and goes on only when the instance that sleeps does not stand still."""
    await _SLEEP(seconds)
    here = _here.get()
    if here is not None:
        await here.pass_pause()


@contextlib.contextmanager
def at_instance(instance: Instance) -> Iterator[None]:
    """Lets what runs within stand still with an instance."""
    token = _here.set(instance)
    try:
        yield
    finally:
        _here.reset(token)
