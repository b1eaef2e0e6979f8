"""How fast online requests of a service come, and how long each holds a slot."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import attrs

from coppercleat.ids import InstanceId, ZoneId

RATE_OVER_S = 2.0
"""Time constant of the rate of arrivals: short enough to see a wave of some seconds,
long enough that a few requests a second show a rate."""

_FIRST_SERVICE_S = 1.0
_FIRST_LEAD_S = 0.05
"""Guesses until requests have ended: in a slot, and from sending to the first part."""

_SMOOTHING = 0.05
"""Weight of the newest request; some twenty decide."""


@attrs.define
class ResponseTimes:
    """Smoothed times of one route's answers; the first answer replaces the guesses.

    Attributes:
      ttfb_s: Seconds from sending a request to the first part of its answer.
      service_time_s: Seconds for which a request holds a slot.
    """

    ttfb_s: float = _FIRST_LEAD_S
    service_time_s: float = _FIRST_SERVICE_S
    _answered: bool = False

    def observe(self, *, ttfb_s: float, service_time_s: float) -> None:
        """Takes a request that was answered in full."""
        weight = _SMOOTHING if self._answered else 1.0
        self._answered = True
        self.ttfb_s += weight * (ttfb_s - self.ttfb_s)
        self.service_time_s += weight * (service_time_s - self.service_time_s)


@attrs.define
class ServiceDemand:
    """Smoothed figures of one service at this instance; the clock is passed in.

    Attributes:
      service_time_s: Seconds for which a request holds a slot, over all routes.
    """

    service_time_s: float = _FIRST_SERVICE_S
    _rate: float = 0.0
    _arrived_at: float = 0.0

    def arrived(self, *, now: float) -> None:
        """Takes the arrival of a request."""
        self._rate = self.rate(now=now) + 1 / RATE_OVER_S
        self._arrived_at = now

    def answered(self, *, service_time_s: float) -> None:
        """Takes a request that was answered in full."""
        self.service_time_s += _SMOOTHING * (service_time_s - self.service_time_s)

    def rate(self, *, now: float) -> float:
        """Returns requests a second that arrive here."""
        passed_s = max(0.0, now - self._arrived_at)
        return self._rate * math.exp(-passed_s / RATE_OVER_S)


class Demand:
    """Figures of all services and routes, and the rates that others tell."""

    def __init__(self) -> None:
        self._own: dict[str, ServiceDemand] = {}
        self._times: dict[str, ResponseTimes] = {}
        self._told: dict[InstanceId | ZoneId, Mapping[str, float]] = {}

    def for_service(self, service: str) -> ServiceDemand:
        """Returns the figures of a service at this instance."""
        return self._own.setdefault(service, ServiceDemand())

    def times(self, route: str) -> ResponseTimes:
        """Returns the times of a route's answers at this instance."""
        return self._times.setdefault(route, ResponseTimes())

    def own_rates(self, *, now: float) -> dict[str, float]:
        """Returns the rates of arrival here, to be told to others."""
        return {s: round(figures.rate(now=now), 2) for s, figures in self._own.items()}

    def combined_rates(
        self, reporters: Iterable[InstanceId], *, now: float
    ) -> dict[str, float]:
        """Returns the rates of arrival here and at some others, together."""
        found = self.own_rates(now=now)
        for teller in reporters:
            for service, rate in self._told.get(teller, {}).items():
                found[service] = found.get(service, 0.0) + rate
        return found

    def fleet_rate(self, service: str, *, now: float) -> float:
        """Returns requests a second that arrive here and at all that have told."""
        told = sum(rates.get(service, 0.0) for rates in self._told.values())
        return told + self.for_service(service).rate(now=now)

    def observe(self, teller: InstanceId | ZoneId, rates: Mapping[str, float]) -> None:
        """Takes the rates that an instance tells, or one for its whole zone."""
        self._told[teller] = rates

    def forget(self, teller: InstanceId | ZoneId) -> None:
        """Drops what has been told by or for somebody."""
        self._told.pop(teller, None)
