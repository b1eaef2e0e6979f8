"""Steps for gateways of whose hosts two have a job of one id."""

import time

from behave import given, then, when

from tests.harness import JOBS, until

GATEWAY_HOSTS = (JOBS[0], "second.example")
GATEWAY_JOB = "job-1"
GATEWAY_ITEMS = (5, 8)
RUNNING_S = 1.0


def bodies(host, count):
    return [f"{host} {number}" for number in range(count)]


@given("two hosts take jobs")
def two_hosts(context):
    (batch,) = [r for r in context.fleet.config["routes"] if r["name"] == "r-jobs"]
    second = batch | {"name": "r-second", "hostname": GATEWAY_HOSTS[1]}
    routes = [*context.fleet.config["routes"], second]
    context.fleet.run(lambda: context.fleet.apply_config(routes=routes))


def submit_at(context, gateway, host, count):
    """Submits a job, again until the gateway knows the host's route."""

    async def accepted():
        answer = await context.fleet.submit(
            gateway, GATEWAY_JOB, bodies(host, count), host=host
        )
        return answer.status == 202

    context.fleet.run(until, f"{host} takes a job", accepted)


async def end_second(system):
    path = f"/v1/lots/{GATEWAY_JOB}"
    answer = await system.call("gateway-2", "DELETE", GATEWAY_HOSTS[1], path)
    assert answer.status == 200, answer


async def kill_first(system):
    system.processes["gateway-1"].kill()


async def lose_lease(system):
    """The store turns the first gateway away, so that others take its jobs over."""
    await system.control("store", cut_zones=["gateway-1"])


HAPPENS = {
    "the second is ended while both run": end_second,
    "the gateway that runs both is killed": kill_first,
    "the store turns away the gateway that runs both": lose_lease,
}


@when("each host gets a job of one id, and {what}")
def each_gets(context, what):
    gateways = ("gateway-1", "gateway-1")
    if what == "each comes to a gateway of its own":
        gateways = ("gateway-1", "gateway-2")
    for gateway, host, count in zip(
        gateways, GATEWAY_HOSTS, GATEWAY_ITEMS, strict=True
    ):
        submit_at(context, gateway, host, count)
    time.sleep(RUNNING_S)
    context.whole = dict(zip(GATEWAY_HOSTS, GATEWAY_ITEMS, strict=True))
    if what in HAPPENS:
        context.fleet.run(HAPPENS[what], context.fleet)
    if "is ended" in what:
        del context.whole[GATEWAY_HOSTS[1]]


@then("each job that was not ended is listed whole, with its own texts")
def listed_with_own(context):
    for host, count in context.whole.items():
        results = context.fleet.run(
            lambda host=host: context.fleet.whole_job(
                "gateway-3", GATEWAY_JOB, host=host
            )
        )
        texts = {result["id"]: set(result["text"].split("\n")) for result in results}
        assert len(results) == count, results
        assert texts == {
            f"{GATEWAY_JOB}-item-{number}": {body}
            for number, body in enumerate(bodies(host, count))
        }, texts
