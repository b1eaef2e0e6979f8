"""Two hosts whose clients use one id, at instances in one process."""

from __future__ import annotations

import trio
import trio.testing

from coppercleat.gateway import JobAnswer
from coppercleat.ids import JobId, JobRef
from coppercleat.serving import ItemEvents
from coppercleat.storage import MemoryPlatform
from tests.harness._job_instance import FiveEvents, Instance
from tests.harness._job_plan_parts import Ask, submission_of
from tests.harness._job_plans import OTHER_HOST
from tests.harness._job_store import View
from tests.harness._jobs import HOST

ID = JobId("job")
ONE, OTHER = JobRef(HOST, ID), JobRef(OTHER_HOST, ID)
ITEMS = {ONE: 3, OTHER: 5}
EVENT_S = 0.4
LONGEST_S = 30.0


class Site:
    """Instances at one store, whose clients use one id at two hosts.

    Attributes:
      answers: The last answer to each submission.
      handed_over: Progress that an owner gave for a job which it does not run.
    """

    def __init__(self, nursery: trio.Nursery, instances: int, route) -> None:
        self.memory = MemoryPlatform()
        self.caller = FiveEvents(EVENT_S)
        self.answers: dict[JobRef, JobAnswer] = {}
        self.handed_over: list[ItemEvents] = []
        self.instances = [
            Instance(
                number,
                number,
                View(self.memory, nursery),
                caller=self.caller,
                route=route,
                hosts=(HOST, OTHER_HOST),
            )
            for number in range(instances)
        ]

    async def submit(self, ref, *, number=0, large=False, items=None):
        """Submits a job to an instance."""
        ask = Ask(
            0.0,
            "submit",
            ref.id,
            number,
            host=ref.host,
            large=large,
            items=items or ITEMS[ref],
        )
        instance = self.instances[number]
        reply = await instance.service.submit(submission_of(ask), instance.route)
        self.answers[ref] = reply.answer

    async def results(self, ref):
        """Returns what is listed of a job."""
        service = self.instances[0].service
        reply = await service.results(ref.host, ref.id, after=0)
        return reply.page.results if reply.page else []

    async def until_whole(self, ref, items=None):
        """Waits until a job is listed whole, or for long; returns its results."""
        with trio.move_on_after(LONGEST_S):
            while len(await self.results(ref)) < (items or ITEMS[ref]):
                await trio.sleep(0.1)
        return await self.results(ref)


def play(run, *, instances=1, route=None):
    """Plays a course on a clock of the test."""

    async def main():
        async with trio.open_nursery() as nursery:
            site = Site(nursery, instances, route)
            for instance in site.instances:
                nursery.start_soon(instance.run)
            await trio.sleep(3)
            await run(site)
            nursery.cancel_scope.cancel()

    # A check that fails in a course is told as such, not as a group of errors.
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(main, clock=clock, strict_exception_groups=False)
