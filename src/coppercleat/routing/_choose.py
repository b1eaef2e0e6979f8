"""Chooses an upstream by expected load, residency, affinity and zone.

Joining the shortest of a few sampled queues is from Mitzenmacher, "The Power
of Two Choices in Randomized Load Balancing" (2001); bounded prefix affinity
follows consistent hashing with bounded loads (Mirrokni et al., 2018).
"""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable

import attrs
import msgspec

from coppercleat.ids import UpstreamId, ZoneId
from coppercleat.routing._rendezvous import owner, ranked
from coppercleat.routing._table import UpstreamRecord

_SAMPLES = 4
_SAMPLE_ALL = 16
_OTHER_ZONE_LOAD = 0.5
_OTHER_REGION_LOAD = 20.0
_DISTURB_LOAD = 2.0
_RANK_LOAD = 0.05
ONLINE_RECENT_S = 2.0
"""Seconds for which a runner that had online requests is kept light of batch."""

_AFFINITY_LOAD = 2.0
_AFFINITY_BOUND = 1.25
_BATCH_LOAD = 0.5
_REPORT_TRUST_S = 2.0
_SLOW_START_S = 5.0
_SLOW_START_LOAD = 8.0
_PREFIX_CHARS = 256


class Wanted(msgspec.Struct, kw_only=True):
    """What a request needs.

    Attributes:
      service: The model service or plain service, as listed.
      version: The version that must be loaded; empty for a plain service.
      prompt: For prefix affinity; empty for none.
      tried: Upstreams that already failed this request.
      batch_active: Whether batch runs in the fleet. Then requests gather on
        runners that had some lately, which are kept light of batch, and spill
        over in an order that all instances share; otherwise they spread.
    """

    service: str
    version: str = ""
    prompt: str = ""
    tried: Collection[UpstreamId] = ()
    batch_active: bool = False


class Choice(msgspec.Struct, frozen=True):
    """The upstream chosen, with the reason in words."""

    record: UpstreamRecord
    reason: str


class NoUpstream(msgspec.Struct, frozen=True):
    """Sentinel: no upstream can take the request.

    Attributes:
      reason: Why, in words.
      retry_in_s: Seconds until one may.
    """

    reason: str
    retry_in_s: float


def expected_load(record: UpstreamRecord, now: float) -> float:
    """Returns how many sequences a new one would run beside.

    One's own requests in flight and those peers told of are known now; what
    the lagged report adds to them counts less as it ages.
    """
    known = record.online + record.peer_online + _BATCH_LOAD * record.batch
    if record.report is None:
        return known
    age = now - record.reported_at
    trust = max(0.0, 1.0 - age / _REPORT_TRUST_S)
    reported = record.report.running + 2 * record.report.waiting
    unseen = max(0.0, reported - record.online - record.batch - record.peer_online)
    return known + trust * unseen * _BATCH_LOAD


def choose(
    wanted: Wanted,
    records: Iterable[UpstreamRecord],
    *,
    zone: ZoneId,
    now: float,
    rng: random.Random,
) -> Choice | NoUpstream:
    """Chooses an upstream.

    Args:
      wanted: What the request needs.
      records: All upstreams known.
      zone: This instance's availability zone.
      now: Seconds on this instance's clock.
      rng: Source of randomness for the samples.

    Returns:
      The choice, or why there is none.
    """
    serving = [r for r in records if r.node.service == wanted.service]
    if not serving:
        return NoUpstream(f"no upstream serves {wanted.service}", 1.0)
    staying = [r for r in serving if not r.leaving and r.upstream not in wanted.tried]
    loaded = [r for r in staying if not wanted.version or r.serves(wanted.version)]
    # Reports lag: a version that none reports may just have been loaded, and an
    # engine without it refuses the request as not run.
    loaded = loaded or staying
    if not loaded:
        return NoUpstream(f"all upstreams of {wanted.service} leave or failed", 1.0)
    healthy = [r for r in loaded if r.health.may_try(now)]
    if not healthy:
        wait = min(r.health.retry_in(now) for r in loaded)
        return NoUpstream(f"all upstreams of {wanted.service} are ejected", wait)
    return _cheapest(wanted, healthy, zone=zone, now=now, rng=rng)


def _cheapest(
    wanted: Wanted,
    healthy: list[UpstreamRecord],
    *,
    zone: ZoneId,
    now: float,
    rng: random.Random,
) -> Choice:
    """Returns the cheapest of the own zone, a few samples and the affine."""
    local = [r for r in healthy if r.zone == zone] or healthy
    affine = _affine(wanted, local, now)
    sampled = _sample(healthy, local, rng)
    if affine is not None and affine not in sampled:
        sampled.append(affine)
    order: list[str] = []
    if wanted.batch_active:
        order = ranked(wanted.service, [r.upstream for r in healthy])
        first = {r.upstream: r for r in healthy}
        sampled += [
            first[UpstreamId(name)]
            for name in order[:_SAMPLES]
            if first[UpstreamId(name)] not in sampled
        ]
    region = local[0].node.region
    costs = {}
    for record in sampled:
        cost = _cost(record, zone=zone, region=region, affine=affine, now=now)
        if order:
            cost += _disturbance(record, order, now)
        costs[record.upstream] = cost
    best = min(sampled, key=lambda r: costs[r.upstream])
    return Choice(best, f"cost {costs[best.upstream]:.1f} of {len(sampled)} sampled")


def _sample(
    healthy: list[UpstreamRecord], local: list[UpstreamRecord], rng: random.Random
) -> list[UpstreamRecord]:
    """Returns all of a few upstreams in random order, or some of very many."""
    if len(healthy) <= _SAMPLE_ALL:
        return rng.sample(healthy, len(healthy))
    sampled = rng.sample(local, min(_SAMPLES, len(local)))
    others = [record for record in healthy if record not in sampled]
    return sampled + rng.sample(others, min(_SAMPLES, len(others)))


def _disturbance(record: UpstreamRecord, order: list[str], now: float) -> float:
    """Returns the price of waiting for batch to let go of a runner."""
    rank = _RANK_LOAD * order.index(record.upstream)
    recent = now - record.online_at < ONLINE_RECENT_S
    return rank if recent else rank + _DISTURB_LOAD


def _affine(
    wanted: Wanted, records: list[UpstreamRecord], now: float
) -> UpstreamRecord | None:
    """Returns the upstream that should hold the prefix, unless it is loaded."""
    if len(wanted.prompt) < _PREFIX_CHARS:
        return None
    by_id = {r.upstream: r for r in records}
    chosen = owner(wanted.prompt[:_PREFIX_CHARS], by_id)
    if chosen is None:
        return None
    record = by_id[UpstreamId(chosen)]
    mean = sum(expected_load(r, now) for r in records) / len(records)
    if expected_load(record, now) > _AFFINITY_BOUND * mean + 1:
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
    """Returns the expected load with the price of what makes it worse."""
    cost = expected_load(record, now)
    if record.zone != zone:
        cost += _OTHER_ZONE_LOAD
    if record.node.region != region:
        cost += _OTHER_REGION_LOAD
    if record is affine:
        cost -= _AFFINITY_LOAD
    age = now - record.first_seen
    if age < _SLOW_START_S:
        cost += _SLOW_START_LOAD * (1 - age / _SLOW_START_S) * bool(record.online)
    return cost


attrs.resolve_types(UpstreamRecord)
