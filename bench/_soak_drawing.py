"""Draws a soak's schedule from its seed.

Beside faults at any moment, and in series, it draws on purpose the courses that are
rare by chance: a takeover that gets no answer, and clients that leave in the middle of
an acceptance or of an end.
"""

from __future__ import annotations

import random
from typing import Any

import msgspec

from bench._soak_fault_drawing import COURSES, SINGLE, Drawer
from bench._soak_schedule import (
    AnyFault,
    EndRequest,
    GatewaysKilled,
    OnlineRequest,
    OwnerKilled,
    PlannedJob,
    Read,
    Schedule,
    Submission,
)

ROUTES = ("stream", "resumable", "plain", "once")
EVENT_S = (0.02, 0.05, 0.08)
"""Times between events. With the longest a job is still open when another gateway has
taken it over from one that was killed; a request still ends within its deadline."""

_SINGLE_PER_S = 0.7
_COURSES_PER_S = 0.25
_FIRST_FAULT_S = 0.3
_COURSE_S = 3.0
"""Left for a course before the end."""

_LAST_FAULT_S = 0.5
"""Before the end of a play no fault begins any more."""

_SHORTEST_S = 0.1
_READ_EVERY_S = 0.1


class Drawing:
    """A schedule while it is drawn."""

    def __init__(
        self, seed: int, *, length_s: float, gateways: int | None, every: bool
    ) -> None:
        self.rng = random.Random(f"schedule {seed}")
        self.seed = seed
        self.every = every
        self.length_s = length_s
        drawn = self.rng.choice((4, 4, 4, 5, 6, 8))
        self.gateways = [f"gateway-{n + 1}" for n in range(gateways or drawn)]
        self.runners = [f"runner-{n + 1}" for n in range(self.rng.randint(3, 4))]
        self.event_s = self.rng.choice(EVENT_S)
        self.jobs: list[PlannedJob] = []
        self.submissions: list[Submission] = []
        self.ends: list[EndRequest] = []
        self.requests: list[OnlineRequest] = []
        self.faults: list[AnyFault] = []
        self.first_sent_s: dict[str, float] = {}

    def draw(self) -> Schedule:
        """Draws everything."""
        for _ in range(self.rng.randint(1, 3)):
            self._draw_submitter()
        for client in range(5):
            self._draw_client(client)
        reads = self._draw_reads()
        self._draw_faults()
        return Schedule(
            seed=self.seed,
            length_s=self.length_s,
            gateways=len(self.gateways),
            runners=len(self.runners),
            event_s=self.event_s,
            jobs=tuple(self.jobs),
            submissions=tuple(self.submissions),
            ends=tuple(self.ends),
            reads=reads,
            requests=tuple(self.requests),
            faults=tuple(self.faults),
        )

    def gateway(self) -> str:
        """Draws a gateway."""
        return self.rng.choice(self.gateways)

    def runner(self) -> str:
        """Draws a runner."""
        return self.rng.choice(self.runners)

    def span(self, shortest_s: float, longest_s: float) -> float:
        """Draws a time in seconds, to a millisecond."""
        return round(self.rng.uniform(shortest_s, longest_s), 3)

    def _leaves(self, share: float) -> float | None:
        """Draws whether a client leaves, and how soon: mostly while it is served."""
        if self.rng.random() >= share:
            return None
        return self.span(0.0, self.rng.choice((0.01, 0.05, 0.5)))

    def _draw_submitter(self) -> None:
        at_s = self.span(0.0, 1.0)
        while at_s < self.length_s:
            job = PlannedJob(id=f"j-{len(self.jobs)}", items=self.rng.randint(1, 6))
            self.jobs.append(job)
            self.first_sent_s[job.id] = at_s
            sent_s = at_s
            for _ in range(self.rng.randint(1, 4)):
                self._draw_submission(job.id, sent_s)
                sent_s = round(sent_s + self.span(0.01, 1.5), 3)
            if self.rng.random() < 0.3:
                self._draw_end(job.id, at_s)
            at_s = round(at_s + self.span(0.2, 1.4), 3)

    def _draw_submission(self, job: str, at_s: float) -> None:
        leaves_after_s = self._leaves(0.25)
        submission = Submission(
            at_s=at_s,
            job=job,
            gateway=self.gateway(),
            leaves_after_s=leaves_after_s,
            unless_accepted=self.rng.random() < 0.8,
        )
        self.submissions.append(submission)

    def _draw_end(self, job: str, submitted_s: float) -> None:
        at_s = round(submitted_s + self.span(0.05, 3.0), 3)
        for _ in range(self.rng.randint(1, 2)):
            leaves_after_s = self._leaves(0.3)
            end = EndRequest(
                at_s=at_s,
                job=job,
                gateway=self.gateway(),
                leaves_after_s=leaves_after_s,
            )
            self.ends.append(end)
            at_s = round(at_s + self.span(0.1, 2.0), 3)

    def _draw_client(self, client: int) -> None:
        at_s, count = self.span(0.0, 0.3), 0
        while at_s < self.length_s:
            count += 1
            request = OnlineRequest(
                at_s=at_s,
                id=f"r-{client}-{count}",
                client=client,
                route=self.rng.choice(ROUTES),
                gateway=self.gateway(),
                leaves_after_s=self._leaves(0.1),
            )
            self.requests.append(request)
            at_s = round(at_s + self.span(0.3, 1.5), 3)

    def _draw_reads(self) -> tuple[Read, ...]:
        reads = []
        for step in range(int(self.length_s / _READ_EVERY_S)):
            at_s = round(step * _READ_EVERY_S, 3)
            sent = [job for job, first_s in self.first_sent_s.items() if first_s < at_s]
            if sent:
                read = Read(
                    at_s=at_s,
                    job=self.rng.choice(sent),
                    gateway=self.gateway(),
                    from_share=self.span(0.0, 1.0),
                )
                reads.append(read)
        return tuple(reads)

    def _draw_faults(self) -> None:
        drawn: list[AnyFault] = []
        last_s = self.length_s - _LAST_FAULT_S
        for drawer in self._drawers():
            longest_s = last_s - _COURSE_S if drawer in COURSES else last_s
            at_s = self.span(_FIRST_FAULT_S, max(2 * _FIRST_FAULT_S, longest_s))
            drawn += drawer(self, at_s)
        drawn.sort(key=lambda fault: fault.at_s)
        ends_by_s = self.length_s + self.rng.choice((0.1, 0.1, 1, 4))
        self.faults = [
            _placed(fault, number, ends_by_s=ends_by_s)
            for number, fault in enumerate(drawn, 1)
        ]

    def _drawers(self) -> list[Drawer]:
        """Draws what is to go wrong."""
        if self.every:
            return SINGLE + COURSES
        most = max(3, int(self.length_s * _SINGLE_PER_S))
        singles = self.rng.choices(SINGLE, k=self.rng.randint(2, most))
        most = max(1, int(self.length_s * _COURSES_PER_S))
        return singles + self.rng.choices(COURSES, k=self.rng.randint(1, most))

    def sent_about(self, at_s: float) -> str:
        """Draws a job that is first submitted within the second before a moment."""
        first_s = self.first_sent_s
        recent = [job for job, sent_s in first_s.items() if 0 <= at_s - sent_s < 1]
        return self.rng.choice(recent or list(first_s) or ["j-0"])


def draw_schedule(
    seed: int, *, length_s: float, gateways: int | None = None, every: bool = False
) -> Schedule:
    """Draws a schedule.

    Args:
      seed: Gives the same schedule each time.
      length_s: From the first call to the last.
      gateways: How many there are; None draws four to eight.
      every: Whether each fault and each course comes once, instead of some.
    """
    drawing = Drawing(seed, length_s=length_s, gateways=gateways, every=every)
    return drawing.draw()


def _placed(fault: AnyFault, number: int, *, ends_by_s: float) -> AnyFault:
    """Returns a fault with its number, cut so that it ends by a moment."""
    at_s = min(max(0.0, fault.at_s), ends_by_s - _SHORTEST_S)
    left_s = ends_by_s - at_s
    cut: dict[str, Any] = {"for_s": round(min(fault.for_s, left_s), 3)}
    if isinstance(fault, OwnerKilled):
        cut["down_s"] = round(min(fault.down_s, left_s), 3)
    elif isinstance(fault, GatewaysKilled):
        cut["down_s"] = tuple(round(min(s, left_s), 3) for s in fault.down_s)
    return msgspec.structs.replace(fault, number=number, at_s=round(at_s, 3), **cut)
