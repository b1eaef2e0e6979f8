"""A stateless explorer: runs actors by hand, choosing each step and its fault.

Every actor is a coroutine of the real code; it stops at each call of the
platform. The explorer decides which actor goes on and whether its call
succeeds, loses its answer before or after the effect, or is the actor's last.
"""

from __future__ import annotations

import enum
import random
import types
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

import attrs

from coppercleat.errors import CoppercleatError
from coppercleat.storage import AnswerLostError, MemoryPlatform, Transaction


class Fault(enum.Enum):
    """What may happen to one call."""

    NONE = "none"
    LOST_BEFORE = "lost before the effect"
    LOST_AFTER = "lost after the effect"
    CRASH_BEFORE = "crash before the effect"
    CRASH_AFTER = "crash after the effect"
    STALE = "stale read"
    STALEST = "stalest read"


_OF_CHANGES = (
    Fault.LOST_BEFORE,
    Fault.LOST_AFTER,
    Fault.CRASH_BEFORE,
    Fault.CRASH_AFTER,
)
_OF_READS = (Fault.STALE, Fault.STALEST)
_STALE_STEPS = 4


class Violation(AssertionError):  # noqa: N818 - it is found, not thrown at users
    """An invariant does not hold; names the steps that led there."""


@attrs.define
class _Call:
    effect: Callable[[], Any]
    changes: bool


@types.coroutine
def _call(effect: Callable[[], Any], changes: bool) -> Any:
    return (yield _Call(effect, changes))


class SteppedPlatform:
    """A platform whose every call waits for the explorer's decision."""

    def __init__(
        self,
        memory: MemoryPlatform,
        *,
        plant: Callable[[Transaction], Transaction] = lambda t: t,
    ) -> None:
        self.memory = memory
        self.plant = plant

    async def read(self, keys):
        return await _call(lambda: self.memory.read_now(keys), False)

    async def scan(self, prefix, *, after="", limit=1000):
        return await _call(
            lambda: self.memory.scan_now(prefix, after=after, limit=limit), False
        )

    async def transact(self, transaction):
        planted = self.plant(transaction)
        return await _call(lambda: self.memory.transact_now(planted), True)

    async def put_object(self, name, body):
        await _call(lambda: self.memory.objects.__setitem__(name, body), True)

    async def get_object(self, name):
        return await _call(lambda: self.memory.objects.get(name), False)

    async def delete_object(self, name):
        await _call(lambda: self.memory.objects.pop(name, None), True)


class Actor:
    """One coroutine, and what it is waiting for."""

    def __init__(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        self.coroutine = coroutine
        self.pending: _Call | None = None
        self.result: Any = None
        self.crashed = False
        self._go_on(lambda: self.coroutine.send(None))

    @property
    def waiting(self) -> bool:
        return self.pending is not None

    def step(self, fault: Fault, past: MemoryPlatform, now: MemoryPlatform) -> None:
        """Carries out the pending call with a fault and runs on to the next.

        Args:
          fault: What happens to the call.
          past: The rows that a stale read sees.
          now: The rows as they are.
        """
        call = self.pending
        assert call is not None
        if fault in _OF_READS:
            rows, keys = now.rows, now.keys
            now.rows, now.keys = past.rows, past.keys
            answer = call.effect()
            now.rows, now.keys = rows, keys
            self._go_on(lambda: self.coroutine.send(answer))
            return
        effective = fault not in (Fault.LOST_BEFORE, Fault.CRASH_BEFORE)
        answer = call.effect() if effective else None
        if fault in (Fault.CRASH_BEFORE, Fault.CRASH_AFTER):
            self.crashed, self.pending = True, None
            self.coroutine.close()
        elif fault is Fault.NONE:
            self._go_on(lambda: self.coroutine.send(answer))
        else:
            self._go_on(lambda: self.coroutine.throw(AnswerLostError("lost")))

    def _go_on(self, resume: Callable[[], _Call]) -> None:
        try:
            self.pending = resume()
        except StopIteration as end:
            self.pending, self.result = None, end.value
        except CoppercleatError as error:
            self.pending, self.result = None, error


class Explorer:
    """Explores the runs of a model.

    Attributes:
      runs: Runs made.
      steps: Steps made, over all runs.
    """

    def __init__(self, model: Any, *, faults: int, plant: Any = None) -> None:
        """Prepares an exploration.

        Args:
          model: Gives ``start(platform)`` to a list of coroutines and
            ``check(actors, ended)``, called after each step.
          faults: Faults in one run at most.
          plant: Changes transactions, to plant a fault in the code.
        """
        self.model = model
        self.faults = faults
        self.plant = plant or (lambda transaction: transaction)
        self.runs = 0
        self.steps = 0

    def exhaust(self, *, limit: int) -> None:
        """Explores depth first until all is seen or the limit of runs is met."""
        prefix: list[int] = []
        while self.runs < limit:
            taken, widths = self._run(iter(prefix))
            prefix = taken
            while prefix and prefix[-1] + 1 >= widths[len(prefix) - 1]:
                prefix.pop()
            if not prefix:
                return
            prefix[-1] += 1

    def sample(self, *, runs: int, seed: int) -> None:
        """Explores runs drawn at random."""
        rng = random.Random(seed)
        for _ in range(runs):
            self._run(iter(()), rng)

    def _run(
        self, prefix: Iterator[int], rng: random.Random | None = None
    ) -> tuple[list[int], list[int]]:
        self.runs += 1
        memory = MemoryPlatform()
        model = self.model(memory)
        platform = SteppedPlatform(memory, plant=self.plant)
        actors = [Actor(coroutine) for coroutine in model.start(platform)]
        faults = self.faults
        taken: list[int] = []
        widths: list[int] = []
        trail: list[str] = []
        history = [_copy(memory)]
        while options := self._options(actors, faults):
            index = next(prefix, None)
            if index is None:
                index = rng.randrange(len(options)) if rng else 0
            taken.append(index)
            widths.append(len(options))
            number, fault = options[index]
            faults -= fault is not Fault.NONE
            trail.append(f"{number}:{fault.value}")
            back = _STALE_STEPS if fault is Fault.STALE else len(history)
            past = history[max(0, len(history) - back)]
            actors[number].step(fault, past, memory)
            history.append(_copy(memory))
            self.steps += 1
            self._check(model, actors, trail, ended=False)
        self._check(model, actors, trail, ended=True)
        return taken, widths

    def _options(self, actors: list[Actor], faults: int) -> list[tuple[int, Fault]]:
        options = []
        for number, actor in enumerate(actors):
            if not actor.waiting:
                continue
            options.append((number, Fault.NONE))
            if faults:
                kinds = _OF_CHANGES if actor.pending.changes else _OF_READS
                options += [(number, fault) for fault in kinds]
        return options

    def _check(
        self, model: Any, actors: list[Actor], trail: list[str], *, ended: bool
    ) -> None:
        try:
            model.check(actors, ended)
        except AssertionError as error:
            raise Violation(f"{error} after {', '.join(trail)}") from error


def _copy(memory: MemoryPlatform) -> MemoryPlatform:
    """Returns the rows as of now, for reads that will be stale."""
    copied = MemoryPlatform()
    copied.rows, copied.keys = dict(memory.rows), list(memory.keys)
    return copied
