"""Chooses an upstream by load, loaded version, prefix affinity and zone.

Sampling a few upstreams and taking the least loaded follows Mitzenmacher, "The
Power of Two Choices in Randomized Load Balancing" (2001). Bounded prefix
affinity follows Mirrokni et al., "Consistent Hashing with Bounded Loads" (2018).

All costs are in concurrent sequences on an upstream.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable

import attrs
import msgspec

from coppercleat.ids import UpstreamId, ZoneId
from coppercleat.routing._rendezvous import rendezvous_order, rendezvous_owner
from coppercleat.routing._table import UpstreamRecord

_SAMPLE_SIZE = 4
_MAX_UNSAMPLED = 16
_CROSS_ZONE_COST = 0.5
_CROSS_REGION_COST = 20.0
_BATCH_PREEMPTION_COST = 2.0
_RANK_COST = 0.05
ONLINE_ACTIVITY_WINDOW_S = 2.0
"""Seconds after its last online request for which an upstream gets little batch."""

_AFFINITY_DISCOUNT = 2.0
_AFFINITY_LOAD_FACTOR = 1.25
_BATCH_REQUEST_LOAD = 0.5
_REPORT_MAX_AGE_S = 2.0
_SLOW_START_WINDOW_S = 5.0
_SLOW_START_COST = 8.0
_PREFIX_CHARS = 256


class RoutingRequest(msgspec.Struct, kw_only=True):
    """What a request needs of an upstream.

    Attributes:
      service: Name of the model service or plain service.
      version: Version that must be loaded; empty for a plain service.
      prompt: Prompt for prefix affinity; empty for none.
      tried: Upstreams that have already failed this request.
      batch_active: Whether batch jobs run in the fleet. If so, online requests
        are packed onto the upstreams with recent online requests, and overflow
        in an order that all instances share; otherwise they are spread.
    """

    service: str
    version: str = ""
    prompt: str = ""
    tried: Collection[UpstreamId] = ()
    batch_active: bool = False


class UpstreamChoice(msgspec.Struct, frozen=True):
    """The chosen upstream.

    Attributes:
      record: The upstream.
      reason: Human-readable explanation for the log.
    """

    record: UpstreamRecord
    reason: str


class NoUpstream(msgspec.Struct, frozen=True):
    """No upstream can take the request.

    Attributes:
      reason: Human-readable explanation, part of the error sent to the client.
      retry_after_s: Seconds until an upstream may be available.
    """

    reason: str
    retry_after_s: float


def expected_load(record: UpstreamRecord, now: float) -> float:
    """Returns the expected number of concurrent sequences on an upstream.

    Requests of this instance and of its peers count in full. Other sequences are
    known only from the upstream's load report and count less as it ages.
    """
    known = record.online + record.peer_online + _BATCH_REQUEST_LOAD * record.batch
    if record.report is None:
        return known
    age = now - record.reported_at
    weight = max(0.0, 1.0 - age / _REPORT_MAX_AGE_S)
    reported = record.report.running + 2 * record.report.waiting
    unattributed = max(
        0.0, reported - record.online - record.batch - record.peer_online
    )
    return known + weight * unattributed * _BATCH_REQUEST_LOAD


def choose_upstream(
    request: RoutingRequest,
    records: Iterable[UpstreamRecord],
    *,
    zone: ZoneId,
    now: float,
    rng: random.Random,
) -> UpstreamChoice | NoUpstream:
    """Chooses an upstream.

    Args:
      request: What the request needs of an upstream.
      records: All known upstreams.
      zone: Availability zone of this instance.
      now: Monotonic time in seconds.
      rng: Random source for sampling.

    Returns:
      The upstream, or the reason why none can take the request.
    """
    serving = [r for r in records if r.node.service == request.service]
    if not serving:
        return NoUpstream(f"no upstream serves {request.service}", 1.0)
    available = [
        r for r in serving if not r.draining and r.upstream not in request.tried
    ]
    loaded = [r for r in available if not request.version or r.serves(request.version)]
    # A version missing from all reports may have been loaded since; an engine
    # without it refuses the request before running it.
    loaded = loaded or available
    if not loaded:
        return NoUpstream(f"all upstreams of {request.service} leave or failed", 1.0)
    healthy = [r for r in loaded if r.breaker.allows_request(now)]
    if not healthy:
        retry_after_s = min(r.breaker.retry_after_s(now) for r in loaded)
        return NoUpstream(
            f"all upstreams of {request.service} are ejected", retry_after_s
        )
    return _lowest_cost(request, healthy, zone=zone, now=now, rng=rng)


def _lowest_cost(
    request: RoutingRequest,
    healthy: list[UpstreamRecord],
    *,
    zone: ZoneId,
    now: float,
    rng: random.Random,
) -> UpstreamChoice:
    """Returns the candidate of the lowest cost.

    Candidates are a random sample, the upstream of the prompt's prefix and, while
    batch is active, the first upstreams in rendezvous order.
    """
    local = [r for r in healthy if r.zone == zone] or healthy
    affine = _prefix_affine(request, local, now)
    candidates = _sample(healthy, local, rng)
    if affine is not None and affine not in candidates:
        candidates.append(affine)
    order: list[str] = []
    if request.batch_active:
        order = rendezvous_order(request.service, [r.upstream for r in healthy])
        by_id = {r.upstream: r for r in healthy}
        candidates += [
            by_id[UpstreamId(name)]
            for name in order[:_SAMPLE_SIZE]
            if by_id[UpstreamId(name)] not in candidates
        ]
    region = local[0].node.region
    costs = {}
    for record in candidates:
        cost = _cost(record, zone=zone, region=region, affine=affine, now=now)
        if order:
            cost += _preemption_cost(record, order, now)
        costs[record.upstream] = cost
    best = min(candidates, key=lambda r: costs[r.upstream])
    return UpstreamChoice(
        best, f"cost {costs[best.upstream]:.1f} of {len(candidates)} sampled"
    )


def _sample(
    healthy: list[UpstreamRecord], local: list[UpstreamRecord], rng: random.Random
) -> list[UpstreamRecord]:
    """Returns all upstreams of a small fleet in random order, or a sample.

    A sample holds up to ``_SAMPLE_SIZE`` upstreams of the local zone and as many
    others.
    """
    if len(healthy) <= _MAX_UNSAMPLED:
        return rng.sample(healthy, len(healthy))
    sampled = rng.sample(local, min(_SAMPLE_SIZE, len(local)))
    others = [record for record in healthy if record not in sampled]
    return sampled + rng.sample(others, min(_SAMPLE_SIZE, len(others)))


def _preemption_cost(record: UpstreamRecord, order: list[str], now: float) -> float:
    """Returns the cost of preempting batch items on an upstream.

    The rank breaks ties in the same order on all instances, so that they pack
    online requests onto the same upstreams.
    """
    rank = _RANK_COST * order.index(record.upstream)
    recent = now - record.last_online_at < ONLINE_ACTIVITY_WINDOW_S
    return rank if recent else rank + _BATCH_PREEMPTION_COST


def _prefix_affine(
    request: RoutingRequest, records: list[UpstreamRecord], now: float
) -> UpstreamRecord | None:
    """Returns the upstream likely to have the prefix cached, unless overloaded."""
    if len(request.prompt) < _PREFIX_CHARS:
        return None
    by_id = {r.upstream: r for r in records}
    chosen = rendezvous_owner(request.prompt[:_PREFIX_CHARS], by_id)
    if chosen is None:
        return None
    record = by_id[UpstreamId(chosen)]
    mean = sum(expected_load(r, now) for r in records) / len(records)
    if expected_load(record, now) > _AFFINITY_LOAD_FACTOR * mean + 1:
        return None
    return record


def _cost(
    record: UpstreamRecord,
    *,
    zone: ZoneId,
    region: str,
    affine: UpstreamRecord | None,
    now: float,
) -> float:
    """Returns the expected load plus penalties, minus the affinity discount."""
    cost = expected_load(record, now)
    if record.zone != zone:
        cost += _CROSS_ZONE_COST
    if record.node.region != region:
        cost += _CROSS_REGION_COST
    if record is affine:
        cost -= _AFFINITY_DISCOUNT
    age = now - record.first_seen
    # Slow start: a new upstream with requests in flight costs extra at first.
    if age < _SLOW_START_WINDOW_S:
        cost += (
            _SLOW_START_COST * (1 - age / _SLOW_START_WINDOW_S) * bool(record.online)
        )
    return cost


attrs.resolve_types(UpstreamRecord)
