"""What a play of jobs is made of: faults, what clients ask, and all of a plan."""

from __future__ import annotations

import random

import attrs
import msgspec

from coppercleat.gateway._run import UNREADY_S
from coppercleat.ids import JobId, JobRef
from coppercleat.jobs import Submission
from tests.harness._job_store import LATE_EFFECT_S
from tests.harness._jobs import HOST, submission

INSTANCES = 3

LENGTH_S = 20.0

GRACE_S = 8.0
"""A planned stop takes this long at most."""

RESTART_S = 3.0
"""A killed instance is back after this time at the latest."""

ITEMS = 4

LARGE_BYTES = 170_000
"""Body of each item of a job whose input is stored as an object."""

KINDS = ("away", "silent", "loses", "late", "history", "killed")


@attrs.frozen
class Fault:
    """Something that goes wrong, at one instance or at all.

    Attributes:
      instance: Its number; None for all.
      only: The writes that it concerns; empty for all.
      effect_s: When a write of the kind ``late`` takes effect; how long a call of the
        kind ``slow`` takes.
    """

    at: float
    for_s: float
    kind: str
    instance: int | None
    only: str = ""
    effect_s: float = LATE_EFFECT_S

    def healed_at(self, in_flight_s: float) -> float:
        """Returns when it is over, without what it has delayed.

        Args:
          in_flight_s: How long a client of an instance that stops stays.
        """
        if self.kind == "stopped":
            stays_s = min(max(UNREADY_S, in_flight_s), GRACE_S)
            return self.at + stays_s + min(self.for_s, RESTART_S)
        return self.at + (
            min(self.for_s, RESTART_S) if self.kind == "killed" else self.for_s
        )


@attrs.frozen
class Ask:
    """What a client asks of an instance.

    Attributes:
      tries: How often it asks, each time of the next instance, until it is answered.
      leaves_s: When it leaves in the middle of its call; None for never.
      host: The host that it submits to.
      items: How many items its job has.
      large: Whether its job's input is stored as an object.
    """

    at: float
    what: str
    job: str
    instance: int
    tries: int = 1
    leaves_s: float | None = None
    host: str = HOST
    items: int = ITEMS
    large: bool = False

    @property
    def ref(self) -> JobRef:
        """The job."""
        return JobRef(self.host, JobId(self.job))


@attrs.frozen
class Plan:
    """All of a play.

    Attributes:
      lasting: Whether the store's faults meet instances that start again as well.
      pause_s: Pause of an instance between two looks at changed jobs.
      quota: Tokens that may wait on the route; 0 for no limit.
      in_flight_s: How long a client of an instance that stops as planned stays.
      event_s: Time that each of an item's five events takes.
      names_host: Whether news of takeovers names a job's host besides its id.
      order_seed: Seed of the order in which tasks that are ready run.
    """

    faults: tuple[Fault, ...]
    asks: tuple[Ask, ...]
    length_s: float = LENGTH_S
    instances: int = INSTANCES
    lasting: bool = False
    pause_s: float = 0.4
    quota: int = 0
    in_flight_s: float = 0.0
    event_s: float = 0.1
    names_host: bool = True
    order_seed: int = 0

    @property
    def healed_at(self) -> float:
        """When the last fault is over and the last client has begun to ask."""
        faults = [fault.healed_at(self.in_flight_s) for fault in self.faults]
        return max([*faults, *(ask.at for ask in self.asks)], default=0.0)


def draw_plan(seed: int) -> Plan:
    """Draws a play from its seed."""
    rng = random.Random(seed)
    faults = []
    for _ in range(rng.randint(3, 9)):
        kind = rng.choice(KINDS)
        one = kind == "killed" or rng.random() < 0.5
        instance = rng.randrange(INSTANCES) if one else None
        at, for_s = rng.uniform(1, LENGTH_S), rng.uniform(0.3, 5)
        faults.append(Fault(at, for_s, kind, instance))
    asks = []
    for number in range(rng.randint(3, 8)):
        at, job = rng.uniform(1, LENGTH_S), f"j-{number}"
        for _ in range(rng.randint(1, 2)):
            asks.append(Ask(at, "submit", job, rng.randrange(INSTANCES)))
        if rng.random() < 0.4:
            end_at = at + rng.uniform(0.1, 4)
            asks.append(Ask(end_at, "end", job, rng.randrange(INSTANCES)))
    return Plan(tuple(faults), tuple(sorted(asks, key=lambda ask: ask.at)))


def submission_of(ask: Ask) -> Submission:
    """Returns what a client submits; each item's body tells it from all others."""
    submitted = submission(ask.job, ask.items, tokens=10)
    padding = b"\n" + b"x" * (LARGE_BYTES if ask.large else 0)
    items = [
        msgspec.structs.replace(item, body=word_of(ask.host, item.id) + padding)
        for item in submitted.items
    ]
    return msgspec.structs.replace(submitted, host=ask.host, items=items)


def word_of(host: str, item: str) -> bytes:
    """Returns the first line of an item's body, and of each of its events."""
    return f"{host}/{item}".encode()
