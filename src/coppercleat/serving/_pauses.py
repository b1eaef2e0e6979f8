"""Intervals at which an instance polls the store and renews its lease.

Each interval follows from a time bound in the settings, up to a maximum, and is
stretched in a large fleet to stay within the store's rates.
"""

from __future__ import annotations

from coppercleat.serving._settings import GatewaySettings
from coppercleat.storage import paced

MAX_POLL_INTERVAL_S = 1.0
"""Longest interval between reads of routes and of upstreams, in seconds."""

POLLS_PER_BOUND = 4
"""Reads of routes or upstreams per time bound: two may fail or be slow, and the next
still leaves time to act."""

MAX_JOBS_POLL_INTERVAL_S = 0.4
"""Longest interval between reads of changed jobs, in seconds."""

JOBS_POLLS_PER_BOUND = 7
"""Reads of changed jobs per time bound: a job that has ended must stop everywhere in
time."""

LARGE_FLEET_JOBS_SCALE = 1.5
"""Factor on the interval between reads of changed jobs beyond ``FEW_INSTANCES``: five
of them are left per time bound, and reads cost an idle instance most."""

LARGE_FLEET_ROUTES_SCALE = 4 / 3
"""The same for routes: three reads are left, and instances pass on newer routes."""

RENEWAL_INTERVAL_S = 1.0
"""Interval between lease renewals, in seconds."""

POLL_JITTER = (0.8, 1.1)
"""Factors between which an interval is drawn, so that instances spread their calls."""

RENEWAL_SLACK_S = 2.4
"""Seconds by which a lease outlasts the longest renewal interval: a renewal may get no
answer and is tried again, or the store may be slow."""

OUTAGE_SLACK_S = 0.65
"""Seconds beyond the longest interval without a successful read of the other instances'
rows that count as an outage."""

READ_SHARE = 0.2
"""Share of the store's reads that the fleet spends on each of four kinds of polls; the
rest is for clients."""

FEW_INSTANCES = 24
"""Up to this many instances read everything at each poll."""

FULL_READ_SHARE = 0.6
"""Interval between full reads, as a share of the bound for a change to be in force: one
that the store omits from its changes for a moment is still in force in time."""

ROWS_READ_PER_S = 40.0
"""Rows of other instances that an instance reads per second while nothing shows that
one of them has changed."""

WRITE_SHARE = 0.2
"""Share of the store's writes that the fleet spends on lease renewals."""


def routes_poll_interval_s(
    settings: GatewaySettings, instances: int, *, scale: float = 1.0
) -> float:
    """Returns the interval between reads of the routes, in seconds.

    Args:
      settings: Settings of this instance.
      instances: Number of live instances.
      scale: Factor on the interval before it is stretched; below 1 after a start.
    """
    wanted_s = min(MAX_POLL_INTERVAL_S, settings.apply_s / POLLS_PER_BOUND)
    if instances > FEW_INSTANCES:
        wanted_s *= LARGE_FLEET_ROUTES_SCALE
    return paced(scale * wanted_s, instances, _reads(settings))


def upstreams_poll_interval_s(
    settings: GatewaySettings, instances: int, *, scale: float = 1.0
) -> float:
    """Returns the interval between reads of the upstreams, in seconds.

    Args:
      settings: Settings of this instance.
      instances: Number of live instances.
      scale: As for the routes.
    """
    wanted_s = min(MAX_POLL_INTERVAL_S, settings.drain_s / POLLS_PER_BOUND)
    return paced(scale * wanted_s, instances, _reads(settings))


def jobs_poll_interval_s(settings: GatewaySettings, instances: int) -> float:
    """Returns the interval between reads of changed jobs, in seconds."""
    wanted_s = min(MAX_JOBS_POLL_INTERVAL_S, settings.cancel_s / JOBS_POLLS_PER_BOUND)
    if instances > FEW_INSTANCES:
        wanted_s *= LARGE_FLEET_JOBS_SCALE
    return paced(wanted_s, instances, _reads(settings))


def renewal_interval_s(
    settings: GatewaySettings, instances: int, *, scale: float = 1.0
) -> float:
    """Returns the interval between renewals of the own lease, in seconds."""
    writes = settings.store.writes_per_s * WRITE_SHARE
    calls = min(writes, _reads(settings))
    return paced(scale * RENEWAL_INTERVAL_S, instances, calls)


def full_read_interval_s(bound_s: float, instances: int) -> float:
    """Returns the interval between full reads of routes or of upstreams, in seconds.

    In between, a large fleet reads what has changed: full reads cost bytes in
    proportion to the instances and to the rows.

    Args:
      bound_s: Seconds within which a change must be in force.
      instances: Number of live instances.
    """
    return 0.0 if instances <= FEW_INSTANCES else bound_s * FULL_READ_SHARE


def instances_read_interval_s(settings: GatewaySettings, instances: int) -> float:
    """Returns the interval between reads of the instances' rows, in seconds.

    It applies while the rows and the members that are heard agree.
    """
    return max(renewal_interval_s(settings, instances), instances / ROWS_READ_PER_S)


def longest_renewal_interval_s(settings: GatewaySettings, instances: int) -> float:
    """Returns the longest interval that jitter makes of the renewals', in seconds."""
    return POLL_JITTER[1] * renewal_interval_s(settings, instances)


def lease_s(settings: GatewaySettings, instances: int) -> float:
    """Returns how long a renewal keeps an instance's lease alive, in seconds."""
    return longest_renewal_interval_s(settings, instances) + RENEWAL_SLACK_S


def outage_s(settings: GatewaySettings, instances: int) -> float:
    """Returns the seconds without a read of the rows that count as an outage."""
    return longest_renewal_interval_s(settings, instances) + OUTAGE_SLACK_S


def retry_interval_s(interval_s: float, failures: int) -> float:
    """Returns the interval after failures in a row, in seconds.

    A stretched interval is long for an instance whose lease runs out. Retries begin at
    that of a small fleet, and double up to the stretched one.

    Args:
      interval_s: Interval after a success.
      failures: Failures since the last success; 0 after a success.
    """
    if not failures:
        return interval_s
    return min(interval_s, RENEWAL_INTERVAL_S * 2 ** (failures - 1))


def _reads(settings: GatewaySettings) -> float:
    """Returns the reads per second that the fleet may spend on one kind of poll."""
    return settings.store.reads_per_s * READ_SHARE
