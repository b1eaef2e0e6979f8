"""A fleet of real processes: stand-ins, proxies and entry instances."""

from __future__ import annotations

import json
import os
import pathlib
import secrets
import shutil
import signal
import tempfile
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import attrs
import httpcore
import trio
import yaml

from coppercleat.rpc import RpcClient
from tests.harness._port_check import PortHolder, PortUse
from tests.harness._ports import free_port
from tests.harness._processes import Process, until

_T = TypeVar("_T")
KEY = f"a key that only this play knows: {os.getpid()} {secrets.token_hex(4)}"


@attrs.define(kw_only=True)
class Deployment:
    """The shape of a fleet.

    Attributes:
      zones: Names of the availability zones.
      entries: Entry instances in each zone.
      engines: Engines in each zone.
      services: Plain services in the first zone.
      proxied: Whether a proxy stands between zones.
      settings: Overrides of the instances' settings, by section.
      speed: Overrides of the engines' speed.
      fencing: Whether engines check fencing numbers: checks or ignores.
    """

    region: str = "norte-es"
    zones: list[str] = attrs.field(factory=lambda: ["burgos-a"])
    entries: int = 1
    engines: int = 1
    services: int = 0
    service: str = "cocina-llm"
    proxied: bool = False
    settings: dict[str, dict[str, Any]] = attrs.field(factory=dict)
    speed: dict[str, Any] = attrs.field(factory=dict)
    fencing: str = "checks"
    versions: str = "v1"


@attrs.define
class _Entry:
    name: str
    zone: str
    ports: dict[str, int]
    process: Process | None = None


class Fleet(PortHolder):
    """Starts all processes of a deployment, and ends them."""

    def __init__(self, deployment: Deployment) -> None:
        super().__init__()
        self.deployment = deployment
        self.ports: dict[str, int] = {}
        self.entries: dict[str, _Entry] = {}
        self.nodes: list[dict[str, Any]] = []
        self.links: dict[str, dict[str, int]] = {}
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="coppercleat-"))

    # Starting and ending.

    def start(self) -> None:
        """Starts everything and waits until all instances are ready."""
        self._standin("platform", "platform")
        if self.deployment.proxied:
            self._standin("proxy", "proxy")
        for zone in self.deployment.zones:
            for index in range(self.deployment.engines):
                self.add_engine(f"{zone}-engine-{index + 1}", zone, listed=False)
            for index in range(self.deployment.entries):
                self._plan_entry(f"{zone}-entry-{index + 1}", zone)
        for index in range(self.deployment.services):
            self._add_service(f"service-{index + 1}")
        self.run(self._started)
        self.run(self.publish)
        for name in self.entries:
            self.start_entry(name)
        self.run(self.all_ready)

    def close(self) -> None:
        """Ends everything."""
        for process in self.processes.values():
            process.signal(signal.SIGCONT)
            process.close()
        shutil.rmtree(self.directory)

    def run(self, function: Callable[..., Awaitable[_T]], *args: Any) -> _T:
        """Runs an async function."""
        return trio.run(function, *args)

    # Ports.

    def port_uses(self) -> list[PortUse]:
        """Returns all ports that have been given out, with who is to listen there."""
        uses = [
            PortUse(name, port, self.pid(name)) for name, port in self.ports.items()
        ]
        for zone, ways in self.links.items():
            for node, port in ways.items():
                way = f"the link from {zone} to {node}"
                uses.append(PortUse(way, port, self.pid("proxy")))
        for name, entry in self.entries.items():
            for use, port in entry.ports.items():
                uses.append(PortUse(f"{name} ({use})", port, self.pid(name)))
        return uses

    def _standin(self, name: str, kind: str, *flags: str) -> None:
        port = self.ports.setdefault(name, free_port())
        self.note_foreign_listeners()
        module = f"tests.standins.{kind}"
        self.add_process(Process(name, ["-m", module, "--port", str(port), *flags]))

    def add_engine(self, name: str, zone: str, *, listed: bool = True) -> None:
        """Starts an engine; again after it died, with the same port."""
        deployment = self.deployment
        self._standin(
            name,
            "engine",
            f"--name={name}",
            f"--versions={deployment.versions}",
            f"--fencing={deployment.fencing}",
            f"--speed={json.dumps(deployment.speed) if deployment.speed else ''}",
        )
        if any(node["id"] == name for node in self.nodes):
            return
        self._node(name, "engine", zone, self.ports[name], deployment.service)
        if listed:
            self.run(self._started)
            self.run(self.publish)

    def _add_service(self, name: str) -> None:
        self._standin(name, "service", f"--name={name}")
        zone = self.deployment.zones[0]
        self._node(name, "service", zone, self.ports[name], "allergens")

    def _node(self, name: str, role: str, zone: str, port: int, service: str) -> None:
        self.nodes.append(
            {
                "id": name,
                "role": role,
                "zone": zone,
                "region": self.deployment.region,
                "address": f"127.0.0.1:{port}",
                "service": service,
                "checks_fencing": self.deployment.fencing == "checks",
            }
        )

    def _plan_entry(self, name: str, zone: str) -> None:
        ports = {use: free_port() for use in ("rpc", "admin", "peers")}
        self.entries[name] = _Entry(name, zone, ports)
        self._node(name, "entry", zone, ports["peers"], "")

    def add_entry(self, name: str, zone: str) -> None:
        """Adds an instance that the platform's list does not show yet."""
        ports = {use: free_port() for use in ("rpc", "admin", "peers")}
        self.entries[name] = _Entry(name, zone, ports)
        self.start_entry(name)

    def start_entry(self, name: str) -> None:
        """Starts an instance, or starts it again under the same name."""
        entry = self.entries[name]
        self.note_foreign_listeners()
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(self._settings(entry)))
        arguments = ["-m", "coppercleat", "entry", f"--settings={path}"]
        entry.process = Process(name, arguments)
        self.add_process(entry.process)

    def _settings(self, entry: _Entry) -> dict[str, Any]:
        platform = f"http://127.0.0.1:{self.ports['platform']}/from/{entry.zone}"
        settings: dict[str, Any] = {
            "instance": {
                "id": entry.name,
                "zone": entry.zone,
                "region": self.deployment.region,
            },
            "listen": {use: f"127.0.0.1:{port}" for use, port in entry.ports.items()},
            "platform": {"url": platform, "timeout_s": 1.0, "list_poll_s": 0.5},
            "peers": {"keys": [KEY], "heartbeat_s": 0.25, "suspect_after_s": 1.5},
            "batch": {"poll_s": 0.5, "challenge_s": 1.5},
            "orders": {
                "poll_s": 0.3,
                "order_timeout_s": 1.0,
                "lease_s": 3.0,
                "unload_after_s": 2.0,
            },
            "log": {"level": "debug"},
        }
        for section, values in self.deployment.settings.items():
            settings.setdefault(section, {}).update(values)
        return settings

    # Waiting.

    async def _started(self) -> None:
        for name, process in self.processes.items():
            if name not in self.entries:
                await until(f"{name} starts", lambda p=process: _has_started(p))

    async def all_ready(self) -> None:
        """Waits until every running instance is ready and sees all others."""
        for name in self.entries:
            await self.ready(name)

    async def ready(self, name: str) -> None:
        """Waits until an instance answers RPCs."""

        async def answers() -> bool:
            process = self.processes[name]
            assert process.running, f"{name} ended: {process.output()[-3000:]}"
            try:
                await self.status(name)
            except Exception:  # noqa: BLE001 - not ready yet, whatever the sign
                return False
            return True

        await until(f"{name} is ready", answers)

    # Looking and setting.

    def address(self, name: str) -> str:
        """Returns the RPC address of an instance."""
        return f"127.0.0.1:{self.entries[name].ports['rpc']}"

    def client(self, name: str = "", **options: Any) -> RpcClient:
        """Returns a client of an instance; of the first if none is named."""
        return RpcClient(self.address(name or next(iter(self.entries))), **options)

    async def status(self, name: str) -> dict[str, Any]:
        """Returns what an instance says of itself."""
        async with self.client(name, timeout_s=5.0) as client:
            return await client.call("OperatorService", "GetStatus", {})

    async def control(self, standin: str, **knobs: Any) -> dict[str, Any]:
        """Sets knobs of a stand-in, and returns its report."""
        url = f"http://127.0.0.1:{self.ports[standin]}/control"
        async with httpcore.AsyncConnectionPool() as pool:
            body = json.dumps(knobs).encode()
            method = "POST" if knobs else "GET"
            response = await pool.request(method, url, content=body)
            return json.loads(response.content)

    async def publish(self, **states: str) -> None:
        """Gives the platform the list of nodes, some in another state."""
        nodes = [
            {**node, "state": states.get(node["id"].replace("-", "_"), "live")}
            for node in self.nodes
        ]
        await self.control("platform", nodes=nodes)
        if self.deployment.proxied:
            await self._publish_links()

    async def _publish_links(self) -> None:
        """Puts a proxy link on each way from a zone to a node of another."""
        for zone in self.deployment.zones:
            links = self.links.setdefault(zone, {})
            for node in self.nodes:
                if node["zone"] != zone and node["id"] not in links:
                    links[node["id"]] = free_port()
        await self.cut()
        addresses = {
            zone: {node: f"127.0.0.1:{port}" for node, port in links.items()}
            for zone, links in self.links.items()
        }
        await self.control("platform", addresses=addresses)

    async def cut(self, *zones: str, from_platform: bool = False) -> None:
        """Cuts zones off from all others; without zones, heals everything."""
        by_id = {node["id"]: node for node in self.nodes}
        links = {}
        for zone, ways in self.links.items():
            for node, port in ways.items():
                far = by_id[node]["zone"]
                links[port] = {
                    "target": by_id[node]["address"],
                    "cut": zone in zones or far in zones,
                }
        await self.control("proxy", links=links)
        await self.control("platform", cut_zones=list(zones) if from_platform else [])

    async def call(
        self, name: str, service: str, method: str, **body: Any
    ) -> dict[str, Any]:
        """Makes a unary call to an instance."""
        async with self.client(name) as client:
            return await client.call(service, method, body)

    async def deploy(self, **versions: float) -> int:
        """Creates the deployment ``menus`` and returns the revision in force."""
        body = {
            "service": self.deployment.service,
            "versions": versions or {"v1": 1},
            "default_max_tokens": 8,
        }
        return await self.apply("ENTITY_KIND_DEPLOYMENT", "menus", body)

    async def apply(
        self, kind: str, name: str, body: dict[str, Any], *, entry: str = ""
    ) -> int:
        """Puts one entity and waits until it is in force everywhere."""
        first = entry or next(iter(self.entries))
        current = await self.call(first, "OperatorService", "GetConfiguration")
        answer = await self.call(
            first,
            "OperatorService",
            "Apply",
            seenRevision=current.get("revision", 0),
            changeId=f"{kind}-{name}-{current.get('revision', 0)}",
            operations=[{"kind": kind, "name": name, "bodyJson": json.dumps(body)}],
        )
        revision = int(answer["revision"])
        for other, process in self.processes.items():
            if other in self.entries and process.running:
                await self.in_force(other, revision)
        return revision

    async def in_force(self, name: str, revision: int) -> None:
        """Waits until an instance has a revision."""

        async def has() -> bool:
            return int((await self.status(name)).get("revision", 0)) >= revision

        await until(f"{name} has revision {revision}", has)

    async def executions(self) -> list[str]:
        """Returns the ids of all executions that engines started."""
        found: list[str] = []
        for node in self.nodes:
            if node["role"] == "engine" and self.processes[node["id"]].running:
                found += (await self.control(node["id"]))["executions"]
        return found


async def _has_started(process: Process) -> bool:
    assert process.running, f"{process.name} ended: {process.output()[-3000:]}"
    return "started" in process.output()
