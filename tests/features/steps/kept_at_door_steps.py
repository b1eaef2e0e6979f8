"""Courses in which the product's own door may keep online requests from running."""

import random
from functools import partial

from behave import then

from coppercleat.limits import (
    AdmissionController,
    AdmissionRequest,
    Admitted,
    RetryBudget,
    TenantLimiter,
    TenantLimits,
)
from coppercleat.routing import (
    RoutingRequest,
    UpstreamChoice,
    UpstreamRecord,
    choose_upstream,
)
from coppercleat.storage import Node, NodeRole
from coppercleat.upstreams import LoadReport
from tests.harness import course, first_time

ONLINE = "an online request"


def make_record():
    node = Node(
        id="x",
        role=NodeRole.ENGINE,
        zone="a",
        region="r",
        address="10.0.0.1:1",
        service="menus",
    )
    return UpstreamRecord(node=node, first_seen=-100.0)


def chosen(record, now):
    wanted = RoutingRequest(service="menus")
    rng = random.Random(1)
    found = choose_upstream(wanted, [record], zone="a", now=now, rng=rng)
    return isinstance(found, UpstreamChoice)


@course("3 failures in a row of an engine", ONLINE)
def engine_failures():
    record = make_record()
    for _ in range(3):
        record.breaker.failed(0.0)
    return first_time(lambda now: chosen(record, now))


@course("no report of an engine for 10 s that reports again", ONLINE)
def engine_unheard():
    record = make_record()
    for number in range(40):
        at = -10 + number / 4
        # Requests come all the while, each a trial that may be due.
        chosen(record, at)
        record.breaker.failed(at)
    return first_time(
        lambda now: chosen(record, now),
        meanwhile=lambda now: record.observe_report(LoadReport(versions=["v1"]), now),
    )


def engine_missed(silent_s):
    """An engine misses its reports, and each trial that may be due fails."""
    record = make_record()
    record.observe_report(LoadReport(versions=["v1"]), -silent_s - 1.0)
    for number in range(int(silent_s)):
        at = number - silent_s
        chosen(record, at)
        record.record_missed_report(at)
    return first_time(
        lambda now: chosen(record, now),
        meanwhile=lambda now: record.observe_report(LoadReport(versions=["v1"]), now),
    )


for silent_s in (5, 30, 100):
    course(f"reports missed for {silent_s} s of an engine that reports again", ONLINE)(
        partial(engine_missed, silent_s)
    )


@course("20 retries at once", "an online request's retry")
def retries_spent():
    budget = RetryBudget(ratio=0.1, now=0.0)
    while budget.grant(0.0):
        pass
    return first_time(budget.grant)


@course("one request a second before at 1 of 63 instances", "one of an account of 5/s")
def account_share():
    limiter, limits = TenantLimiter(), TenantLimits(rate=5.0)

    def let_in(now):
        found = limiter.try_acquire("account", limits, instances=63, now=now)
        return isinstance(found, Admitted)

    while let_in(-1.0):
        pass
    return first_time(let_in)


def is_let_in(door, request, record, now):
    found = door.decide(
        request,
        first_token_s=record.first_token_s,
        inter_token_s=record.inter_token_s,
        now=now,
    )
    return isinstance(found, Admitted)


def slow_tokens(inter_token_s, tokens):
    record, door = make_record(), AdmissionController(max_in_flight=10)
    record.first_token_s, record.inter_token_s = 0.2, inter_token_s
    request = AdmissionRequest(tokens=tokens, remaining_s=5.0)

    def let_in(now):
        # Only answers change these, and none comes while all are refused.
        return is_let_in(door, request, record, now)

    return first_time(let_in)


for inter_token_s, tokens in ((0.15, 50), (0.3, 50), (2.0, 5), (0.12, 200)):
    course(
        f"answers of {inter_token_s:g} s a token that were the last",
        f"one of {tokens} tokens",
    )(partial(slow_tokens, inter_token_s, tokens))


def fast_again(inter_token_s, tokens):
    """Engines are fast again, which only the answers to admitted requests show."""
    record, door = make_record(), AdmissionController(max_in_flight=10)
    record.first_token_s, record.inter_token_s = 0.2, inter_token_s
    record.responded_at = 0.0
    request = AdmissionRequest(tokens=tokens, remaining_s=5.0)
    in_a_row = []

    def let_in(now):
        in_a_row.append(is_let_in(door, request, record, now))
        if in_a_row[-1]:
            record.observe_response(now, first_token_s=0.2, inter_token_s=0.01)
        return all(in_a_row[-5:]) and len(in_a_row) >= 5

    return first_time(let_in)


for inter_token_s, tokens in ((0.15, 50), (0.3, 50), (2.0, 5)):
    course(
        f"answers of {inter_token_s:g} s a token, and engines fast again",
        f"all of {tokens} tokens",
    )(partial(fast_again, inter_token_s, tokens))


@then(
    "at most {most:d} of {rate:d} requests a second for {length:d} s are let in "
    "against the forecast"
)
def let_in_against_forecast(context, most, rate, length):
    door = AdmissionController(max_in_flight=10_000)
    request = AdmissionRequest(tokens=50, remaining_s=5.0)
    found = [
        door.decide(request, first_token_s=0.2, inter_token_s=0.3, now=number / rate)
        for number in range(rate * length)
    ]
    assert sum(isinstance(one, Admitted) for one in found) <= most


@then("of an engine that fails every request and reports, {most:d} are tried in 30 s")
def failing_with_reports(context, most):
    record, tried = make_record(), 0
    for number in range(600):
        at = number / 20
        record.observe_report(LoadReport(versions=["v1"]), at)
        if chosen(record, at):
            record.breaker.started()
            record.breaker.failed(at)
            tried += 1
    assert tried <= most, tried
