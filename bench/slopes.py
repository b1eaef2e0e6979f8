"""Slopes behind docs/CAPACITY.md: what one more of each thing costs.

``python -m bench.slopes`` prints JSON lines; it takes about two minutes. Pure
decisions are timed in this process; the rest is read off real processes.
"""

from __future__ import annotations

import json
import random
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import httpcore
import trio

from bench._report import figure, slope
from coppercleat.cli._batch import submit_lines
from coppercleat.configuration import Change, Document, Kind, Operation
from coppercleat.ids import InstanceId, Revision, UpstreamId, ZoneId
from coppercleat.membership import (
    Detector,
    EnvelopeReader,
    EnvelopeWriter,
    Heartbeat,
    MemberLine,
    OnlineArrivals,
    OpenedMessage,
)
from coppercleat.routing import (
    RoutingRequest,
    RoutingTable,
    UpstreamRecord,
    assign_batch_dispatchers,
    choose_upstream,
)
from coppercleat.storage import Node, NodeRole
from coppercleat.upstreams import EventParser, LoadReport, UpstreamClient
from tests.harness import Deployment, Fleet, until

_KEY = "a key for measuring only"
_IDLE_S = 8.0


def _microseconds(function: Callable[[], Any], *, seconds: float = 0.3) -> float:
    """Returns the median cost of a call in microseconds, over batches."""
    function()
    times = []
    end = time.perf_counter() + seconds
    while time.perf_counter() < end:
        start = time.perf_counter()
        function()
        times.append(time.perf_counter() - start)
    return 1e6 * sorted(times)[len(times) // 2]


def _bytes_each(make: Callable[[int], Any], count: int) -> float:
    """Returns bytes of Python memory for each of ``count`` things made."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = [make(index) for index in range(count)]
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(kept) == count
    return (after - before) / count


def _line(index: int, zones: int) -> MemberLine:
    return MemberLine(
        InstanceId(f"entry-{index:04d}"),
        f"10.0.{index // 256}.{index % 256}:7402",
        ZoneId(f"zone-{index % zones}"),
        1_800_000_000_000,
        index,
        Revision(23_000),
    )


def membership() -> None:
    """Cost of heartbeats by the number of members."""
    ticks, opens, sizes, memory = [], [], [], []
    for members in (12, 42, 180, 720):
        zones = 1 if members <= 42 else 17
        detector = Detector(
            _line(0, zones), suspect_after_s=3.0, fanout=4, rng=random.Random(1)
        )
        for index in range(1, members):
            detector.observe(Heartbeat(_line(index, zones), ()), 0.0)
        writer = EnvelopeWriter(InstanceId("entry-0000"), 1, key=_KEY)
        heartbeat, _ = detector.tick(0.0, revision=Revision(1))
        sealed = writer.seal(heartbeat)
        sizes.append((members, len(sealed)))
        ticks.append(
            (
                members,
                _microseconds(
                    lambda d=detector, w=writer: w.seal(
                        d.tick(0.0, revision=Revision(1))[0]
                    )
                ),
            )
        )

        def observe(d: Detector = detector, data: bytes = sealed) -> None:
            reader = EnvelopeReader(keys=[_KEY])
            opened = reader.open(data)
            assert isinstance(opened, OpenedMessage)
            d.observe(opened.message, 0.0)

        opens.append((members, _microseconds(observe)))

    def member(index: int) -> Detector:
        found = Detector(
            _line(0, 1), suspect_after_s=3.0, fanout=4, rng=random.Random(1)
        )
        found.observe(Heartbeat(_line(index + 1, 1), ()), 0.0)
        return found

    memory = _bytes_each(member, 500)
    slope("membership_tick_us_per_member", "us", ticks)
    slope("membership_receive_us_per_member", "us", opens)
    for members, size in sizes:
        figure("membership_heartbeat_bytes", size, members=members)
    figure("membership_bytes_per_member", memory, unit="bytes", note="upper bound")
    arrivals = OnlineArrivals(((UpstreamId("zone-1-engine-0123"), 3),))
    figure("arrival_message_bytes", len(writer.seal(arrivals)))
    figure("arrival_message_us", _microseconds(lambda: writer.seal(arrivals)))


def _record(index: int) -> UpstreamRecord:
    node = Node(
        id=f"zone-1-engine-{index:05d}",
        role=NodeRole.ENGINE,
        zone="zone-1",
        region="r",
        address=f"10.1.{index // 256}.{index % 256}:8000",
        service="cocina-llm",
    )
    record = UpstreamRecord(node=node, first_seen=0.0)
    record.observe_report(LoadReport(versions=["v1"], running=index % 7), 0.0)
    return record


def routing() -> None:
    """Cost of choosing by the number of upstreams followed."""
    points, rng = [], random.Random(1)
    for count in (6, 16, 64, 128):
        table = RoutingTable()
        for index in range(count):
            record = _record(index)
            table.records[record.upstream] = record
        wanted = RoutingRequest(service="cocina-llm", version="v1", prompt="x" * 400)
        points.append(
            (
                count,
                _microseconds(
                    lambda t=table, w=wanted: choose_upstream(
                        w, t, zone=ZoneId("zone-1"), now=1.0, rng=rng
                    )
                ),
            )
        )
    slope("routing_us_per_upstream", "us", points)
    figure("routing_record_bytes", _bytes_each(_record, 500))

    def client(index: int) -> UpstreamClient:
        return UpstreamClient(UpstreamId(f"u{index}"), "1.1.1.1:1", connect_timeout_s=1)

    figure("upstream_client_bytes", _bytes_each(client, 500))
    zone = ZoneId("zone-1")
    alive = [(InstanceId(f"e{i}"), ZoneId(f"zone-{i % 17}")) for i in range(720)]
    points = []
    for count in (147, 294, 588):
        upstreams = [(UpstreamId(f"u{i}"), zone) for i in range(count)]
        cost = _microseconds(lambda u=upstreams: assign_batch_dispatchers(u, alive))
        points.append((count, cost / 1e3))
    slope("assign_feeders_ms_per_upstream_of_a_zone", "ms", points)


def configuration() -> None:
    """Cost of entities and of changes."""
    body = json.dumps({"token_sha256": "0" * 64, "rate": 10}).encode()

    def change(revision: int) -> Change:
        operation = Operation(kind=Kind.TENANT, name=f"t{revision % 3100}", body=body)
        return Change(
            revision=Revision(revision),
            change_id=f"{revision:020d}",
            author="operator",
            accepted_at=0.0,
            operations=(operation,),
        )

    document = Document()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    document.adopt_changes([change(n) for n in range(1, 3101)])
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    figure("configuration_bytes_per_tenant", (after - before) / 3100)
    start = time.perf_counter()
    document.adopt_changes([change(n) for n in range(3101, 6201)])
    cost = 1e6 * (time.perf_counter() - start) / 3100
    figure("configuration_us_per_change", cost)


def parsing() -> None:
    """Cost of an engine's events, one a part and eight a part."""
    event = b'data: {"id":"abc.1","text":"harbour "}\n\n'
    for together in (1, 8):
        data = event * together
        parser = EventParser("abc.1")
        cost = _microseconds(lambda p=parser, d=data: p.feed(d)) / together
        figure("parse_us_per_token", cost, tokens_a_part=together)


def _deployment(entries: int, engines: int) -> Deployment:
    return Deployment(
        entries=entries,
        engines=engines,
        settings={
            "platform": {"list_poll_s": 2.0},
            "peers": {"heartbeat_s": 0.5, "suspect_after_s": 3.0},
            "batch": {"poll_s": 1.0, "challenge_s": 2.5},
            "log": {"level": "warning"},
        },
    )


def idle() -> None:
    """CPU, memory and peer bytes of an idle instance, by the number of peers."""
    cpu, memory, sent, reads = [], [], [], []
    for entries in (1, 4, 8, 12):
        fleet = Fleet(_deployment(entries, 1))
        try:
            fleet.start()
            time.sleep(2.0)
            name = next(iter(fleet.entries))
            process = fleet.processes[name]
            before = process.cpu_seconds(), _peer_bytes(fleet, name)
            calls = fleet.run(lambda f=fleet: f.control("platform"))["reads"]
            time.sleep(_IDLE_S)
            after = process.cpu_seconds(), _peer_bytes(fleet, name)
            calls = fleet.run(lambda f=fleet: f.control("platform"))["reads"] - calls
            cpu.append((entries, 100 * (after[0] - before[0]) / _IDLE_S))
            sent.append((entries, (after[1] - before[1]) / _IDLE_S))
            memory.append((entries, process.resident_bytes() / 1e6))
            reads.append((entries, calls / entries / _IDLE_S))
        finally:
            fleet.close()
    slope("idle_cpu_percent_per_instance", "% of a core", cpu)
    slope("idle_resident_mb_per_instance", "MB", memory)
    slope("idle_peer_bytes_sent_per_s_per_instance", "bytes/s", sent)
    slope("idle_platform_reads_per_s", "reads/s of one instance", reads)


def _peer_bytes(fleet: Fleet, name: str) -> float:

    port = fleet.entries[name].ports["admin"]
    page = httpcore.request("GET", f"http://127.0.0.1:{port}/metrics").content.decode()
    for text in page.splitlines():
        if text.startswith('coppercleat_peer_bytes{way="sent"}'):
            return float(text.rpartition(" ")[2])
    return 0.0


def online() -> None:
    """CPU of an entry instance for each online request and each token."""
    fleet = Fleet(_deployment(1, 2))
    try:
        fleet.start()
        fleet.run(fleet.deploy)
        process = fleet.processes[next(iter(fleet.entries))]
        points = []
        for tokens in (1, 32, 64, 128):
            count = 40
            before = process.cpu_seconds()
            fleet.run(_requests, fleet, count, tokens)
            points.append((tokens, 1e6 * (process.cpu_seconds() - before) / count))
        slope("online_us_per_token", "us of CPU", points)
    finally:
        fleet.close()


async def _requests(fleet: Fleet, count: int, tokens: int) -> None:
    async with fleet.client() as client, trio.open_nursery() as nursery:

        async def one(index: int) -> None:
            body = {
                "deployment": "menus",
                "prompt": f"p{index}",
                "maxTokens": tokens,
            }
            async for _ in client.stream("OnlineService", "InferStream", [body]):
                pass

        for index in range(count):
            nursery.start_soon(one, index)


def batch() -> None:
    """CPU of an entry instance and platform calls for each batch item."""
    fleet = Fleet(_deployment(1, 1))
    try:
        fleet.start()
        fleet.run(fleet.deploy)
        process = fleet.processes[next(iter(fleet.entries))]
        points = []
        for tokens in (2, 8, 24):
            items = 600
            before = process.cpu_seconds()
            calls = fleet.run(lambda: fleet.control("platform"))
            fleet.run(_lot, fleet, items, tokens)
            points.append((tokens, 1e6 * (process.cpu_seconds() - before) / items))
            done = fleet.run(lambda: fleet.control("platform"))
            writes = 1e3 * (done["writes"] - calls["writes"]) / items
        slope("batch_us_per_token", "us of CPU", points)
        figure("batch_writes_per_1000_items", writes, items=items)
    finally:
        fleet.close()


async def _lot(fleet: Fleet, items: int, tokens: int) -> None:
    text = "".join(json.dumps({"prompt": f"p{i}"}) + "\n" for i in range(items))
    spec = {"deployment": "menus", "maxTokens": tokens}
    async with fleet.client() as client:
        accepted = await submit_lines(client, spec, iter([text.encode()]))

        async def ended() -> bool:
            body = {"jobId": accepted["jobId"]}
            job = await client.call("BatchService", "GetJob", body)
            return job["state"] != "JOB_STATE_OPEN"

        await until("the lot ends", ended)


if __name__ == "__main__":
    for part in (membership, routing, configuration, parsing, idle, online, batch):
        part()
