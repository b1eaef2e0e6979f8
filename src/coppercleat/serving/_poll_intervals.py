"""How often an instance polls and writes, from the bounds and rates it is given.

Each pause is the shortest of what is useful and what a bound of the deployment asks
for, and is stretched where a large fleet would use up the store's rates. ``hurry`` is a
share of the pause that is wanted for a while, as after a start.
"""

from __future__ import annotations

from coppercleat.serving._settings import GatewaySettings
from coppercleat.storage import paced

POLL_S = 1.0
"""Longest pause between reads of routes and of upstreams."""

POLLS_PER_BOUND = 4
"""Reads of routes or upstreams within the time in which a change must be in force: two
may be lost or slow, and the last still leaves time to act."""

REFRESH_S = 0.4
REFRESHES_PER_BOUND = 7
"""The same for jobs: one that has ended must stop everywhere in time."""

LEASE_RENEW_S = 1.0
LEASE_RENEWALS = 3.5
"""An instance whose row stands still for so many renewals is taken as gone: three
missed ones, and the time of a slow store."""

READ_SHARE = 0.2
"""Share of the store's reads that the whole fleet spends on one kind of poll; there
are four, the rest is for clients."""

WRITE_SHARE = 0.2
"""Share of the store's writes that renewals of all instances may take."""


def routes_poll_interval_s(
    settings: GatewaySettings, instances: int, *, hurry: float = 1.0
) -> float:
    """Returns seconds between reads of the routes."""
    wanted_s = min(POLL_S, settings.apply_s / POLLS_PER_BOUND)
    return paced(hurry * wanted_s, instances, _reads(settings))


def upstreams_poll_interval_s(
    settings: GatewaySettings, instances: int, *, hurry: float = 1.0
) -> float:
    """Returns seconds between reads of the list of upstreams."""
    wanted_s = min(POLL_S, settings.drain_s / POLLS_PER_BOUND)
    return paced(hurry * wanted_s, instances, _reads(settings))


def jobs_poll_interval_s(settings: GatewaySettings, instances: int) -> float:
    """Returns seconds between looks at what has changed of the jobs."""
    wanted_s = min(REFRESH_S, settings.cancel_s / REFRESHES_PER_BOUND)
    return paced(wanted_s, instances, _reads(settings))


def renewal_interval_s(
    settings: GatewaySettings, instances: int, *, hurry: float = 1.0
) -> float:
    """Returns seconds between renewals of an instance's own row."""
    writes = settings.store.writes_per_s * WRITE_SHARE
    calls = min(writes, _reads(settings))
    return paced(hurry * LEASE_RENEW_S, instances, calls)


def lease_s(settings: GatewaySettings, instances: int) -> float:
    """Returns for how long a renewal makes an instance count as alive."""
    return LEASE_RENEWALS * renewal_interval_s(settings, instances)


def _reads(settings: GatewaySettings) -> float:
    """Returns reads a second that one kind of poll may take from the store."""
    return settings.store.reads_per_s * READ_SHARE
