"""Arrival rates and service times of online requests."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import attrs

from coppercleat.ids import InstanceId, ZoneId

RATE_TIME_CONSTANT_S = 2.0
"""Time constant of the arrival rate's exponential average, in seconds: short enough to
follow a burst of some seconds, long enough for a few requests per second."""

_INITIAL_SERVICE_TIME_S = 1.0
_INITIAL_TTFB_S = 0.05
"""Assumed times in seconds until the first request has been answered."""

_SMOOTHING = 0.05
"""Weight of the newest request in the exponential averages of times."""


@attrs.define
class ResponseTimes:
    """Smoothed response times of one route; the first response sets the values.

    Attributes:
      ttfb_s: Time to first byte, in seconds from sending the request.
      service_time_s: Seconds for which a request holds a slot.
    """

    ttfb_s: float = _INITIAL_TTFB_S
    service_time_s: float = _INITIAL_SERVICE_TIME_S
    _observed: bool = False

    def observe(self, *, ttfb_s: float, service_time_s: float) -> None:
        """Adds the times of a complete response."""
        weight = _SMOOTHING if self._observed else 1.0
        self._observed = True
        self.ttfb_s += weight * (ttfb_s - self.ttfb_s)
        self.service_time_s += weight * (service_time_s - self.service_time_s)


@attrs.define
class ServiceDemand:
    """Demand for one service at this instance; the clock is passed in.

    Attributes:
      service_time_s: Smoothed seconds for which a request of any route holds a slot.
    """

    service_time_s: float = _INITIAL_SERVICE_TIME_S
    _rate: float = 0.0
    _arrived_at: float = 0.0

    def arrived(self, *, now: float) -> None:
        """Records the arrival of a request."""
        self._rate = self.rate(now=now) + 1 / RATE_TIME_CONSTANT_S
        self._arrived_at = now

    def answered(self, *, service_time_s: float) -> None:
        """Records a complete response."""
        self.service_time_s += _SMOOTHING * (service_time_s - self.service_time_s)

    def rate(self, *, now: float) -> float:
        """Returns the arrival rate here, in requests per second."""
        passed_s = max(0.0, now - self._arrived_at)
        return self._rate * math.exp(-passed_s / RATE_TIME_CONSTANT_S)


class Demand:
    """Demand by service and route, and the arrival rates that others report."""

    def __init__(self) -> None:
        self._own: dict[str, ServiceDemand] = {}
        self._times: dict[str, ResponseTimes] = {}
        self._reported: dict[InstanceId | ZoneId, Mapping[str, float]] = {}

    def for_service(self, service: str) -> ServiceDemand:
        """Returns the demand for a service at this instance."""
        return self._own.setdefault(service, ServiceDemand())

    def times(self, route: str) -> ResponseTimes:
        """Returns the response times of a route at this instance."""
        return self._times.setdefault(route, ResponseTimes())

    def own_rates(self, *, now: float) -> dict[str, float]:
        """Returns this instance's arrival rates by service, to report to others."""
        return {s: round(demand.rate(now=now), 2) for s, demand in self._own.items()}

    def combined_rates(
        self, reporters: Iterable[InstanceId], *, now: float
    ) -> dict[str, float]:
        """Returns the arrival rates by service of this and some other instances."""
        found = self.own_rates(now=now)
        for reporter in reporters:
            for service, rate in self._reported.get(reporter, {}).items():
                found[service] = found.get(service, 0.0) + rate
        return found

    def fleet_rate(self, service: str, *, now: float) -> float:
        """Returns the arrival rate in the fleet, in requests per second."""
        reported = sum(rates.get(service, 0.0) for rates in self._reported.values())
        return reported + self.for_service(service).rate(now=now)

    def observe(
        self, reporter: InstanceId | ZoneId, rates: Mapping[str, float]
    ) -> None:
        """Replaces the arrival rates of another instance, or of a whole zone."""
        self._reported[reporter] = rates

    def forget(self, reporter: InstanceId | ZoneId) -> None:
        """Drops the arrival rates of an instance or a zone."""
        self._reported.pop(reporter, None)
