"""Runners that end again and again by themselves, for the soak with ``--flaps``.

From outside it is looked at whether all comes to its end once the runners stay up: each
item of the jobs that nobody ended, and a request that its client asks again and again.
"""

from __future__ import annotations

import contextlib
import itertools
import signal
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import attrs
import httpcore
import trio

from tests.harness import PLAIN

if TYPE_CHECKING:
    from bench.soak import Soak

CALM_S = 20.0
"""Once all is calm every item has its result within this time."""

REFUSED_S = 10.0
"""And a proper request is not refused for longer than this."""

_WATCHED_S = 12.0
_ASK_EVERY_S = 0.5
_NETWORK = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)

FLAPS: dict[str, Callable[[Soak], Awaitable[None]]] = {}
"""Faults that are played with ``--flaps`` alone, so that no seed of before changes."""


def flap(
    action: Callable[[Soak], Awaitable[None]],
) -> Callable[[Soak], Awaitable[None]]:
    """Registers something that ends runners again and again, or many at once."""
    FLAPS[action.__name__] = action
    return action


@attrs.frozen
class Asked:
    """One sending of the proper request; the status is 0 for no whole answer."""

    gateway: str
    began: float
    ended: float
    status: int


class Flaps:
    """What is played and looked at beside the soak's other faults.

    Attributes:
      deadly: Whether a request that ends its runners comes, too.
      runners: How many there are.
      event_s: Time between the events of an answer.
      revived_after_s: Time from a runner's end to its next start.
      asked: What became of the proper request, in order.
      calm_at: From when on nothing ends any more.
      seen: What was measured since.
    """

    def __init__(self, soak: Soak) -> None:
        self._soak = soak
        self.deadly = soak.seed % 2 == 0
        self.runners = soak.rng.choice([3, 3, 6])
        self.event_s = soak.rng.choice([0.02, 0.05])
        self.revived_after_s = soak.rng.choice([0.2, 1.0])
        self.asked: list[Asked] = []
        self.calm_at = 0.0
        self.seen: dict[str, Any] = {}

    async def flap_once(self) -> None:
        """Lets runners flap in each play, whatever else is drawn."""
        await trio.sleep(self._soak.rng.uniform(0.0, 3.0))
        self._soak.done.append("runners_flap")
        await self._soak._do("runners_flap")

    async def ask_forever(self) -> None:
        """Asks the same again and again, as a client that needs its answer."""
        fleet = self._soak.fleet
        for number in itertools.count():
            name = fleet.names[number % len(fleet.names)]
            began, status = time.monotonic(), 0
            with contextlib.suppress(*_NETWORK), trio.move_on_after(6):
                request = f"again-{number}"
                answer = await fleet.ask(name, PLAIN, request, body="a proper question")
                if answer.whole:
                    status = answer.status
            self.asked.append(Asked(name, began, time.monotonic(), status))
            await trio.sleep(_ASK_EVERY_S)

    async def watch_calm(self) -> None:
        """Looks whether all comes to its end in time, now that no runner ends."""
        soak = self._soak
        self.calm_at = time.monotonic()
        owed = [job for job in soak.jobs if job.accepted and not job.end_asked]
        left, calm_s = owed, 0.0
        while calm_s < CALM_S and (left or not self._served(calm_s)):
            for job in left:
                await soak._read(job)
            left = [job for job in left if len(job.seen) < len(job.items)]
            if not left:
                self.seen.setdefault("settled_s", round(calm_s, 1))
            await trio.sleep(0.1)
            calm_s = time.monotonic() - self.calm_at
        for job in left:
            listed = sorted(result["id"] for result in job.seen.values())
            soak.problems.append(f"{job.id}: after {CALM_S} s listed are {listed}")
        self._check_asked()
        self._tell_ends()

    def _served(self, calm_s: float) -> bool:
        """Returns whether it was watched for long enough, and is not refused now."""
        last = {asked.gateway: asked.status for asked in self._asked_in_calm()}
        return calm_s >= _WATCHED_S and all(s == 200 for s in last.values())

    def _asked_in_calm(self) -> list[Asked]:
        return [asked for asked in self.asked if asked.began >= self.calm_at]

    def _check_asked(self) -> None:
        """Holds the proper request's answers against the bound, at each gateway too."""
        calm = self._asked_in_calm()
        by_gateway = {
            name: [asked for asked in calm if asked.gateway == name]
            for name in self._soak.fleet.names
        }
        for where, answers in {"all gateways": calm, **by_gateway}.items():
            row = longest_refused(answers)
            row_s = row[-1].ended - row[0].began if row else 0.0
            if where == "all gateways":
                self.seen["refused_s"] = round(row_s, 1)
            if row_s > REFUSED_S:
                statuses = [asked.status for asked in row]
                self._soak.problems.append(
                    f"a proper request is refused for {row_s:.1f} s at {where}, from "
                    f"{row[0].began - self.calm_at:.1f} s on: {statuses}"
                )

    def _tell_ends(self) -> None:
        """Keeps when runners ended and what the proper request met, for a trace."""
        soak, to_wall = self._soak, time.time() - time.monotonic()
        codes = soak.fleet.exit_codes
        soak.killed = codes.count(-signal.SIGKILL)
        self.seen |= {"ended": len(codes), "by_themselves": len(codes) - soak.killed}
        for (at, name), code in zip(soak.fleet.ended, codes, strict=True):
            soak._tell("runner ended", at + to_wall, runner=name, code=code)
        soak._tell("all is calm", self.calm_at + to_wall)
        for asked in self.asked:
            began = asked.began + to_wall
            soak._tell("ask", began, at=asked.gateway, status=asked.status)


def longest_refused(answers: list[Asked]) -> list[Asked]:
    """Returns the longest row, by time, in which no answer was a success."""
    rows = [
        list(row)
        for refused, row in itertools.groupby(answers, lambda a: a.status != 200)
        if refused
    ]
    return max(rows, key=lambda row: row[-1].ended - row[0].began, default=[])


@flap
async def runners_flap(soak: Soak) -> None:
    """One runner, or all, are killed so long after each start, again and again."""
    names = soak.fleet.runners
    if soak.rng.random() < 0.5:
        names = [soak.rng.choice(names)]
    lives_s, for_s = soak.rng.uniform(0.3, 4.0), soak.rng.uniform(3.0, 12.0)
    soak._tell("flaps", time.time(), names=names, lives_s=lives_s, for_s=for_s)
    await soak.fleet.end_again_and_again(names, lives_s=lives_s, for_s=for_s)


@flap
async def third_of_runners_killed(soak: Soak) -> None:
    """A third of all runners end at one moment."""
    names = soak.rng.sample(soak.fleet.runners, len(soak.fleet.runners) // 3)
    soak._tell("killed", time.time(), names=names)
    for name in names:
        soak.fleet.processes[name].signal(signal.SIGKILL)
