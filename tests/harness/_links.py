"""Instances that tell each other of their work, through relays or without sockets."""

import contextlib
import random

import attrs
import trio

from coppercleat.ids import InstanceId, SoftwareVersion, UpstreamId, ZoneId
from coppercleat.membership import LinkWatch, MessageKind
from coppercleat.serving import GatewayPeers, GatewaySettings, Placement, Upstream
from tests.harness._ports import free_port


def roomy_upstream(name):
    return Upstream(
        id=UpstreamId(name),
        service="menus",
        address="10.0.0.1:1",
        zone=ZoneId("a"),
        slots=8,
        version=SoftwareVersion("v1"),
    )


def node_settings(name, zone, peers="10.0.0.1:3", **more):
    return GatewaySettings(
        instance=InstanceId(name),
        zone=ZoneId(zone),
        clients="10.0.0.1:1",
        readiness="10.0.0.1:2",
        peers=peers,
        **more,
    )


def make_peers(name, zone, port, seed, incarnation=1):
    address, seeds = f"127.0.0.1:{port}", (f"127.0.0.1:{seed}",)
    settings = node_settings(name, zone, peers=address, seeds=seeds)
    rng = random.Random(name)
    placement = Placement(ZoneId(zone), rng=rng)
    placement.replace([roomy_upstream("x")])
    return GatewayPeers(settings, placement, incarnation=incarnation, rng=rng)


class Relay:
    """Passes bytes on from a port of its own; connections can fall silent.

    Attributes:
      held: Whether all bytes wait, also those of new connections.
    """

    def __init__(self, target):
        self.port, self.target = free_port(), target
        self.silent = set()
        self.held = False
        self.connections = set()

    async def run(self):
        await trio.serve_tcp(self.connect, self.port, host="127.0.0.1")

    async def connect(self, client):
        try:
            server = await trio.open_tcp_stream("127.0.0.1", self.target)
        except OSError:
            await client.aclose()
            return
        self.connections.add(client)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.carry, client, client, server)
            nursery.start_soon(self.carry, client, server, client)

    async def carry(self, connection, source, target):
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            async for data in source:
                while self.held:
                    await trio.sleep(0.01)
                if connection not in self.silent:
                    await target.send_all(data)

    def fall_silent(self):
        self.silent |= self.connections


class RelayedFleet:
    """Instances each of which reaches each other one through a relay of its own."""

    def __init__(self, count):
        ports = [free_port() for _ in range(count)]
        pairs = [(n, m) for n in range(count) for m in range(count) if n != m]
        self.relays = {(n, m): Relay(ports[m]) for n, m in pairs}
        self.all = [make_peers(f"i{n}", "a", port, 1) for n, port in enumerate(ports)]
        for (n, m), relay in self.relays.items():
            address = f"127.0.0.1:{relay.port}"
            self.all[n].observe_list([(InstanceId(f"i{m}"), address, ZoneId("a"))])

    def fall_silent(self, way):
        """Silences what is open: of some of the instances, one way or both."""
        silenced = int(way.split()[0]) if way[0].isdigit() else 1
        for (n, m), relay in self.relays.items():
            if n < silenced or (m < silenced and way != "one way"):
                relay.fall_silent()

    def hold(self, number, held):
        """Lets nothing pass to or from an instance, or all that has waited."""
        for pair, relay in self.relays.items():
            if number in pair:
                relay.held = held

    def start_work(self, more, *, first=0):
        for peers in self.all[first:]:
            peers.placement.states[UpstreamId("x")].online += more
            peers.work_changed(urgent=True)

    async def until_all_know(self, within_s):
        """Waits until all count all that is in flight; returns how long it took."""
        began = trio.current_time()
        states = [peers.placement.states[UpstreamId("x")] for peers in self.all]
        with trio.move_on_after(within_s):
            while True:
                total = sum(state.online for state in states)
                seen = {
                    p.placement.load(s) for p, s in zip(self.all, states, strict=True)
                }
                if seen == {total}:
                    break
                await trio.sleep(0.01)
        return trio.current_time() - began


@attrs.define
class _End:
    """One member: its judge of links, and what it heard last of whom."""

    watch: LinkWatch = attrs.field(factory=LinkWatch)
    number: int = 0
    ack_number: dict = attrs.field(factory=dict)
    stopped: bool = False
    inbox: list = attrs.field(factory=list)


class SimulatedLinks:
    """Members' links without sockets, in steps of the test's clock.

    Attributes:
      silent: Links, as pairs of sender and receiver, that lose what is sent until they
        are opened anew; those of ``cut`` also then.
      reopened: Links opened anew: when, and which.
      recovered: Links that were answered again: when, and which.
    """

    STEPS_A_TICK = 10

    def __init__(self, names, *, step_s=0.01, on_message=None, on_reopened=None):
        self.ends = {name: _End() for name in names}
        self.step_s = step_s
        self.on_message = on_message or (lambda sender, receiver, message: None)
        self.on_reopened = on_reopened or (lambda sender, receiver: None)
        self.silent, self.cut = set(), set()
        self.reopened, self.recovered = [], []
        self.delay_s = {}
        self.sent = 0
        self._steps = 0
        self._on_the_way = []

    @property
    def now(self):
        return self._steps * self.step_s

    def send(self, sender, receiver, message, *, kind=MessageKind.NEWS):
        end = self.ends[sender]
        end.number += 1
        self.sent += 1
        wants_ack = end.watch.sent(receiver, end.number, now=self.now, kind=kind)
        if (sender, receiver) in self.silent | self.cut:
            return
        sealed = sender, end.number, end.ack_number.get(receiver, 0), wants_ack, message
        arrives_at = self.now + self.delay_s.get((sender, receiver), 0.0)
        self._on_the_way.append((arrives_at, receiver, sealed))

    def step(self):
        """Lets messages arrive, and members that are not stopped look after links."""
        self._steps += 1
        arrived = [m for m in self._on_the_way if m[0] < self.now]
        self._on_the_way = [m for m in self._on_the_way if m[0] >= self.now]
        for _, receiver, sealed in arrived:
            self.ends[receiver].inbox.append(sealed)
        for name, end in self.ends.items():
            if not end.stopped:
                self._read(name, end)
        if self._steps % self.STEPS_A_TICK == 0:
            for name, end in self.ends.items():
                if not end.stopped:
                    self._look_after_links(name, end)

    def _read(self, name, end):
        inbox, end.inbox = end.inbox, []
        for sender, number, ack_number, wants_ack, message in inbox:
            if number <= end.ack_number.get(sender, 0):
                continue
            end.ack_number[sender] = number
            end.watch.received(
                sender, ack_number=ack_number, wants_ack=wants_ack, now=self.now
            )
            if message is not None:
                self.on_message(sender, name, message)

    def _look_after_links(self, name, end):
        due = end.watch.tick(self.now)
        for silent in due.silent:
            self.silent.discard((name, silent.peer))
            self.reopened.append((self.now, (name, silent.peer)))
            self.on_reopened(name, silent.peer)
        self.recovered += [
            (self.now, (name, recovered.peer)) for recovered in due.recovered
        ]
        for peer in due.ack_requests:
            self.send(name, peer, None)
        for peer in due.acks:
            self.send(name, peer, None, kind=MessageKind.ANSWER)
