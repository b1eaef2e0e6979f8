"""Instances with a job whose items may be kept from running."""

import contextlib

import trio

from coppercleat.gateway import JobAnswer
from coppercleat.serving import UpstreamResponse
from coppercleat.storage import MemoryPlatform
from coppercleat.upstreams import AttemptState
from tests.harness._job_instance import Instance
from tests.harness._job_store import Trouble, View
from tests.harness._jobs import make_route, submission
from tests.harness._kept_work import NEVER, course, in_no_time

RUN_S = 5.0
EVENTS = 50
LONGEST_S = 100.0
"""Beyond the time for which an item is kept, with the margin of clocks."""

JOB_ROUTE = {"completion_target_s": 18.0, "retention_s": 60.0}
STREAM = [(b"content-type", b"text/event-stream")]


class Upstreams:
    """A caller whose upstreams run items, and first do to each what is asked.

    Attributes:
      first: What the first runs of items end by, by the item's id.
      began: When each run began that could be whole, by the item's id.
    """

    def __init__(self, first=None):
        self.first = dict(first or {})
        self.began = {}

    @contextlib.asynccontextmanager
    async def exchange(self, upstream, request, **options):
        attempt = options["attempt"]
        attempt.move(AttemptState.SENT)
        await trio.sleep(0.01)
        status, refused = self.first.pop(request.request_id, (200, False))
        if refused:
            attempt.move(AttemptState.REFUSED)
        elif status == 200:
            self.began.setdefault(request.request_id, []).append(trio.current_time())
        yield UpstreamResponse(
            status=status,
            headers=STREAM,
            refused=refused,
            wrong_upstream=False,
            authenticated=True,
            body=self.body(options["resume_after"] or 0),
        )

    async def body(self, last):
        for number in range(last + 1, EVENTS + 1):
            await trio.sleep(RUN_S / EVENTS)
            yield f"id: {number}\ndata: w\n\n".encode()

    async def report(self, upstream):
        raise AssertionError("no run breaks here")

    def last_began_at(self, item):
        """Returns when the last run of an item began that could be whole."""
        return self.began[item][-1] if item in self.began else None


class KeptJob:
    """Some instances with one job, its items at one upstream of eight slots."""

    def __init__(self, instances=1, first=None):
        self.upstreams = Upstreams(first)
        self.memory = MemoryPlatform()
        self.count = instances
        self.instances, self.views, self.scopes = [], [], []

    async def start(self, nursery):
        for number in range(self.count):
            view = View(self.memory, nursery)
            route = make_route("R", **JOB_ROUTE)
            one = Instance(number, 0, view, caller=self.upstreams, route=route)
            scope = trio.CancelScope()
            self.views.append(view)
            self.instances.append(one)
            self.scopes.append(scope)
            nursery.start_soon(self._run, one, scope)
        await trio.sleep(3)

    async def _run(self, one, scope):
        with scope:
            await one.run()

    async def submit(self, items, *, number=0, name="job"):
        one = self.instances[number]
        reply = await one.service.submit(
            submission(name, items, tokens=EVENTS), one.route
        )
        assert reply.answer is JobAnswer.ACCEPTED, reply

    async def until_run(self, item, since):
        """Returns when an item has begun a run, in seconds since a moment."""
        while trio.current_time() - since < LONGEST_S:
            began = self.upstreams.last_began_at(item)
            if began is not None and began >= since:
                return began - since
            await trio.sleep(0.02)
        return NEVER


async def fail_by_turns(views, well_s, away_s):
    """The store answers for a while and is away for a while, again and again."""
    while True:
        await trio.sleep(well_s)
        for view in views:
            view.trouble.append(Trouble("away"))
        await trio.sleep(away_s)
        for view in views:
            view.trouble.clear()


def job_course(evidence, work, **options):
    """Registers a course of a play that has started."""

    def register(act):
        async def main():
            play = KeptJob(**options)
            async with trio.open_nursery() as nursery:
                await play.start(nursery)
                found = await act(play, nursery)
                nursery.cancel_scope.cancel()
            return found

        course(evidence, work)(lambda: in_no_time(main))
        return act

    return register
