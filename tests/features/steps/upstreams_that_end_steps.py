"""Steps for upstreams that end again and again, whatever runs on them."""

import contextlib
import itertools
import time
from functools import partial

import httpcore
import trio
from behave import then, when

from tests.harness import PLAIN

KNOBS = {"events": 60, "event_s": 0.05}
REVIVED_AFTER_S = 0.2
PAUSE_S = 0.5
NETWORK = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


class Play:
    """A job and a request, before upstreams that end.

    Attributes:
      calm_at: When the last upstream had ended.
      listed_at: When each item was seen as completed, by its id.
      answered_at: When the request was answered with success, the last time.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.calm_at = 0.0
        self.listed_at = {}
        self.answered_at = 0.0

    async def play(self, count, which, lives_s, for_s, calm_s):
        fleet = self.fleet
        items = [f"item {number}" for number in range(count)]
        answer = await fleet.submit("gateway-1", "job-1", items)
        assert answer.status == 202, answer
        await trio.sleep(0.5)
        async with trio.open_nursery() as nursery:
            revive = partial(fleet.revive_forever, after_s=REVIVED_AFTER_S, **KNOBS)
            nursery.start_soon(revive)
            nursery.start_soon(self._read_forever)
            nursery.start_soon(self._ask_forever)
            names = fleet.runners if which == "all" else fleet.runners[:1]
            await fleet.end_again_and_again(names, lives_s=lives_s, for_s=for_s)
            self.calm_at = time.monotonic()
            while time.monotonic() < self.calm_at + calm_s and not self.done(count):
                await trio.sleep(0.05)
            nursery.cancel_scope.cancel()

    def done(self, count):
        return len(self.listed_at) == count and self.answered_at > self.calm_at

    async def _read_forever(self):
        while True:
            with contextlib.suppress(AssertionError, *NETWORK):
                page = await self.fleet.results("gateway-2", "job-1")
                for result in page["results"]:
                    assert result["state"] == "completed", result
                    self.listed_at.setdefault(result["id"], time.monotonic())
            await trio.sleep(PAUSE_S)

    async def _ask_forever(self):
        """Asks the same again and again, as a client that needs its answer."""
        for number in itertools.count():
            name = self.fleet.names[number % len(self.fleet.names)]
            with contextlib.suppress(*NETWORK):
                answer = await self.fleet.ask(
                    name, PLAIN, f"again-{number}", body="a proper question"
                )
                if answer.status == 200 and answer.whole:
                    self.answered_at = time.monotonic()
            await trio.sleep(PAUSE_S)


@when(
    "a job of {count:d} items is submitted while {which} runners end {lives:g} s "
    "after each start, for {s:g} s"
)
def submitted_while_ending(context, count, which, lives, s):
    context.play = Play(context.fleet)
    context.count = count
    context.fleet.run(context.play.play, count, which, lives, s, 12.0)


@then("all items are completed within {s:g} s, as a client sees them")
def all_completed(context, s):
    play = context.play
    in_time = [at for at in play.listed_at.values() if at <= play.calm_at + s]
    assert len(in_time) == context.count, (len(in_time), context.count)


@then("a request that came again and again meanwhile is answered within {s:g} s")
def answered_after(context, s):
    play = context.play
    assert play.calm_at < play.answered_at <= play.calm_at + s, (
        play.answered_at - play.calm_at
    )
