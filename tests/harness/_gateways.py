"""Gateway instances as processes, before stand-ins of the users' platform."""

from __future__ import annotations

import base64
import contextlib
import json
import os
import pathlib
import secrets
import shutil
import signal
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any, TypeVar

import attrs
import httpcore
import msgspec
import trio
import yaml

from coppercleat.errors import CoppercleatError
from coppercleat.platform import StoreClient
from coppercleat.storage import Put, Transaction, TransactionRefused
from tests.harness._pauses import Pauses, plan_of_environment
from tests.harness._port_check import PortHolder, PortUse
from tests.harness._ports import free_port
from tests.harness._processes import Process, until

_T = TypeVar("_T")
SERVICE = "menus"
STREAM = ("stream.example", "/ask/")
RESUMABLE = ("resumable.example", "/check/")
PLAIN = ("plain.example", "/calc/")
ONCE = ("once.example", "/pay/")
JOBS = ("jobs.example", "/week/")
DEFAULT_SLOTS = 8
"""Of a runner, as its stand-in starts."""

_ZONES = ("burgos-a", "logrono-b", "vitoria-c")


@attrs.define
class Answer:
    """What a client got.

    Attributes:
      whole: Whether the body came to its end.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool

    @property
    def events(self) -> list[int]:
        """Numbers of the events in the body, in order."""
        lines = self.body.decode().splitlines()
        return [int(line[4:]) for line in lines if line.startswith("id: ")]


@attrs.frozen
class Action:
    """Something that a test did to its fleet.

    Attributes:
      at: Unix time in seconds.
      what: The kind, in words.
    """

    at: float
    what: str
    details: dict[str, Any]


class Gateways(PortHolder):
    """Starts gateways, runners and the store, and ends them.

    Attributes:
      fleet_name: The gateways' own, so that they hear no other play's.
      actions: Faults and changes that were set, in order. Signals stand with the
        processes.
      software: The version of each runner's software, as its entry has it.
      contracts: Contracts of the deployment, as the settings file lists them.
      runner_knobs: What each runner starts with.
    """

    def __init__(
        self,
        *,
        gateways: int,
        runners: int,
        garbage: str = "",
        proxied: bool = False,
        checkout: pathlib.Path | None = None,
        contracts: Sequence[str] = (),
        runner_knobs: Mapping[str, Any] | None = None,
    ) -> None:
        super().__init__()
        self.contracts = list(contracts)
        self.runner_knobs = dict(runner_knobs or {})
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="coppercleat-"))
        self.ports: dict[str, dict[str, int]] = {}
        self.fleet_name = f"test {os.getpid()} {secrets.token_hex(4)}"
        self.actions: list[Action] = []
        self.store_port = free_port()
        self.versions: dict[str, int] = {}
        self.config: dict[str, Any] = default_config()
        self.runners = [f"runner-{n + 1}" for n in range(runners)]
        self.software = dict.fromkeys(self.runners, "v1")
        self.garbage = garbage
        self.checkout = checkout
        self.proxy_port = free_port() if proxied else 0
        self.links: dict[str, int] = {}
        self.linking = trio.Lock()
        self.silences = 0
        self.ended: list[tuple[float, str]] = []
        self.exit_codes: list[int] = []
        self.reviving: set[str] = set()
        self.names = [f"gateway-{n + 1}" for n in range(gateways)]
        self.pauses: Pauses | None = None

    def start(self) -> None:
        """Starts everything and waits until all gateways are ready."""
        self._process("store", "tests.standins.platform", self.store_port)
        if self.proxy_port:
            self._process("proxy", "tests.standins.proxy", self.proxy_port)
            trio.run(until, "the proxy starts", lambda: _answers(self.proxy_port))
            for name in [*self.runners, *self.names]:
                self.links[name] = free_port()
        for name in self.runners:
            self.ports[name] = {"http": free_port()}
            port = self.ports[name]["http"]
            kind, flags = "runner", [f"--name={name}"]
            if self.runner_knobs:
                flags.append(f"--knobs={json.dumps(self.runner_knobs)}")
            if self.garbage:
                kind, flags = "garbage", [f"--answer={self.garbage}"]
            self._process(name, f"tests.standins.{kind}", port, *flags)
        trio.run(self._publish)
        for name in self.names:
            self.start_gateway(name)
        for name in self.names:
            trio.run(self.ready, name)
        if plan := plan_of_environment():
            self.pauses = Pauses(plan, lambda: dict(self.processes))

    def close(self) -> None:
        """Ends everything."""
        if self.pauses is not None:
            self.pauses.stop()
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
        proxy = self.pid("proxy")
        uses = [PortUse("the store", self.store_port, self.pid("store"))]
        if self.proxy_port:
            uses.append(PortUse("the proxy", self.proxy_port, proxy))
        for name, port in self.links.items():
            uses.append(PortUse(f"the link of {name}", port, proxy))
        for name, ports in self.ports.items():
            for use, port in ports.items():
                uses.append(PortUse(f"{name} ({use})", port, self.pid(name)))
        return uses

    def _process(self, name: str, module: str, port: int, *flags: str) -> None:
        self.note_foreign_listeners()
        arguments = ["-m", module, "--port", str(port), *flags]
        self.add_process(Process(name, arguments))

    def start_gateway(self, name: str) -> None:
        """Starts a gateway, or starts it again under the same name and ports."""
        ports = self.ports.setdefault(
            name, {use: free_port() for use in ("front", "readiness", "control")}
        )
        self.note_foreign_listeners()
        settings = self.settings(name, ports)
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        if self.checkout is not None:
            self.add_process(self._deployed(name, self.checkout, path))
            return
        os.environ["COPPERCLEAT_CONFIG"] = str(path)
        arguments = ["deploy/start.py", "gateway", "--log_level=debug"]
        arguments.append(f"--fleet={self.fleet_name}")
        self.add_process(Process(name, arguments))

    def _deployed(
        self, name: str, checkout: pathlib.Path, settings: pathlib.Path
    ) -> Process:
        """Starts a gateway as the deploy file says, with what its build has made."""
        text = (checkout / "deploy/system.toml").read_text(encoding="utf-8")
        program, *arguments = tomllib.loads(text)["roles"]["gateway"]["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(checkout / "target/deps"),
            "COPPERCLEAT_CONFIG": str(settings),
        }
        return Process(
            name,
            arguments,
            program=program,
            directory=checkout,
            environment=environment,
        )

    def settings(self, name: str, ports: dict[str, int]) -> dict[str, Any]:
        """Returns the settings file of a gateway, as the platform writes it."""
        seeds = [
            f"127.0.0.1:{p['control']}" for p in self.ports.values() if "control" in p
        ]
        return {
            "nodeName": name,
            "role": "gateway",
            "zone": self.zone(name),
            "region": "norte-es",
            "ip": "127.0.0.1",
            "listenAddrs": {use: f"127.0.0.1:{port}" for use, port in ports.items()},
            "portRange": [ports["control"], ports["control"]],
            "seedNodes": seeds[:3],
            "bounds": {"graceS": 8, "configApplyMs": 2000, "quotaOvershoot": 0.1},
            "platform": {
                "address": f"127.0.0.1:{self._store_way(name)}/from/{name}",
                "writesPerS": 800,
                "readsPerS": 2000,
            },
            "contracts": self.contracts,
            "aNewField": {"that": ["nobody", "knows"]},
        }

    def zone(self, name: str) -> str:
        """Returns the availability zone of a gateway or runner."""
        alike = self.names if name in self.names else self.runners
        return _ZONES[alike.index(name) % len(_ZONES)]

    def _store_way(self, name: str) -> int:
        """Returns the port by which a gateway reaches the store."""
        return self.links.get(name, self.store_port)

    def _note(self, what: str, **details: Any) -> None:
        self.actions.append(Action(time.time(), what, details))

    async def link(self, name: str, **faults: Any) -> None:
        """Sets the proxy's link to a runner, or from a gateway to the store."""
        self._note("link", of=name, **faults)
        target = self.store_port
        if name in self.runners:
            target = self.ports[name]["http"]
        link = {"target": f"127.0.0.1:{target}"} | faults
        async with self.linking:
            report = await self.control("proxy")
            links = report["knobs"]["links"] | {str(self.links[name]): link}
            await self.control("proxy", links=links)

    async def silence(self, names: list[str]) -> None:
        """Lets the open connections of these links fall silent; other faults stay."""
        self._note("open connections fall silent", of=list(names))
        async with self.linking:
            report = await self.control("proxy")
            links = report["knobs"]["links"]
            self.silences += 1
            for name in names:
                links[str(self.links[name])]["silence"] = self.silences
            await self.control("proxy", links=links)

    # The operator and the runners.

    async def _publish(self) -> None:
        await until("the store starts", lambda: _answers(self.store_port))
        for name in self.runners:
            port = self.ports[name]["http"]
            await until(f"{name} starts", lambda p=port: _answers(p))
            await self.list_runner(name)
        for name in self.links:
            await self.link(name)
        await self.apply_config()

    async def list_runner(self, name: str, *, state: str = "ready") -> None:
        """Writes a runner's entry."""
        self._note("list", runner=name, state=state)
        await self.put(f"servers/{name}", await self.entry(name, state=state))

    async def entry(self, name: str, *, state: str = "ready") -> dict[str, Any]:
        """Returns a runner's entry as it writes it."""
        report = {} if self.garbage else await self.control(name)
        birth = {"born": report["born"]} if "born" in report else {}
        return {
            "service": SERVICE,
            "address": f"127.0.0.1:{self.links.get(name, self.ports[name]['http'])}",
            "zone": self.zone(name),
            "version": self.software[name],
            "slots": self.runner_knobs.get("slots", DEFAULT_SLOTS),
            "state": state,
            "coldLeftMs": 0,
            "seqNo": 1,
            **birth,
        }

    async def revive_forever(self, *, after_s: float, **knobs: Any) -> None:
        """Starts runners that have ended again, under their ids, until cancelled.

        Args:
          after_s: Seconds from the end to the new start.
          knobs: What each starts with besides ``runner_knobs``.
        """
        async with trio.open_nursery() as nursery:
            while True:
                for name in self.runners:
                    if not self.processes[name].running and name not in self.reviving:
                        self.ended.append((time.monotonic(), name))
                        self.exit_codes.append(self.processes[name].wait())
                        self.reviving.add(name)
                        nursery.start_soon(self._revive, name, after_s, knobs)
                await trio.sleep(0.005)

    async def _revive(self, name: str, after_s: float, knobs: dict[str, Any]) -> None:
        await trio.sleep(after_s)
        port = self.ports[name]["http"]
        flags = [f"--name={name}", f"--knobs={json.dumps(self.runner_knobs | knobs)}"]
        self._process(name, "tests.standins.runner", port, *flags)
        await until(f"{name} is listed", lambda: self._listed_or_ended(name))
        self.reviving.discard(name)

    async def _listed_or_ended(self, name: str) -> bool:
        """Writes a runner's entry, if it has started and the store takes it.

        It may end again before that: what is in flight to its address comes at once.
        """
        if not self.processes[name].running:
            return True
        try:
            await self.list_runner(name)
        except (CoppercleatError, httpcore.NetworkError, httpcore.ProtocolError):
            return False
        return True

    async def end_again_and_again(
        self, names: list[str], *, lives_s: float, for_s: float
    ) -> None:
        """Kills runners, and again so long after each start, while they are revived."""
        ends_at = time.monotonic() + for_s

        async def end_one(name: str) -> None:
            while time.monotonic() < ends_at:
                self.processes[name].kill()
                process = self.processes[name]
                while self.processes[name] is process:
                    await trio.sleep(0.005)
                port = self.ports[name]["http"]
                await until(f"{name} starts", lambda p=port: _answers(p))
                await trio.sleep(lives_s)

        async with trio.open_nursery() as nursery:
            for name in names:
                nursery.start_soon(end_one, name)

    async def unlist_runner(self, name: str) -> None:
        """Removes a runner's entry."""
        self._note("unlist", runner=name)
        async with _store(self.store_port) as store:
            await store.transact(Transaction(deletes=[f"servers/{name}"]))

    async def apply_config(self, **changes: Any) -> None:
        """Writes a new version of the operator's document."""
        self.config |= changes
        self.config["version"] += 3
        self._note("configuration", version=self.config["version"], **changes)
        await self.put("op/config", self.config)

    async def put(self, key: str, value: Any) -> None:
        """Writes a row as the platform's own writers do, under no condition."""
        data = value if isinstance(value, bytes) else msgspec.json.encode(value)
        async with _store(self.store_port) as store:
            answer = await store.transact(Transaction(puts=[Put(key, data)]))
            assert not isinstance(answer, TransactionRefused)

    async def rows(self, prefix: str, part: str = "") -> list[tuple[str, Any]]:
        """Returns rows of the store."""
        async with _store(self.store_port) as store:
            return await store.scan(prefix, part=part)

    async def job_row(self, job: str) -> dict[str, Any]:
        """Returns the row of a job as the store has it."""
        key = f"job/{job}"
        # Keys of other jobs may begin alike.
        return json.loads(dict(await self.rows(key, part=JOBS[0]))[key].value)

    async def control(self, name: str, **knobs: Any) -> dict[str, Any]:
        """Sets knobs of a stand-in, and returns its report."""
        if knobs and name != "proxy":
            self._note("knobs", of=name, **knobs)
        known = {"store": self.store_port, "proxy": self.proxy_port}
        port = known.get(name) or self.ports[name]["http"]
        async with httpcore.AsyncConnectionPool() as pool:
            body = json.dumps(knobs).encode()
            method = "POST" if knobs else "GET"
            url = f"http://127.0.0.1:{port}/control"
            response = await pool.request(method, url, content=body)
            return json.loads(response.content)

    async def runs(self) -> list[dict[str, Any]]:
        """Returns all runs of all runners."""
        found: list[dict[str, Any]] = []
        for name in self.runners:
            report = await self.control(name)
            found += [{**run, "runner": name} for run in report["runs"]]
        return found

    # Clients.

    async def ready(self, name: str) -> None:
        """Waits until a gateway says that it is ready."""

        async def says_so() -> bool:
            process = self.processes[name]
            assert process.running, f"{name} ended: {process.output()[-3000:]}"
            return await self.readiness(name) == 200

        await until(f"{name} is ready", says_so)

    async def readiness(self, name: str) -> int:
        """Returns the status of a gateway's readiness, 0 for no answer."""
        port = self.ports[name]["readiness"]
        try:
            async with httpcore.AsyncConnectionPool() as pool:
                url = f"http://127.0.0.1:{port}/v1/readiness"
                with trio.fail_after(2):
                    return (await pool.request("GET", url)).status
        except (httpcore.NetworkError, httpcore.ProtocolError, trio.TooSlowError):
            return 0

    async def metrics(self, name: str) -> str:
        """Returns a gateway's page of metrics."""
        port = self.ports[name]["readiness"]
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request("GET", f"http://127.0.0.1:{port}/metrics")
            return response.content.decode()

    async def call(
        self,
        name: str,
        method: str,
        host: str,
        target: str,
        *,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        pool: httpcore.AsyncConnectionPool | None = None,
        leave_after: int | None = None,
    ) -> Answer:
        """Makes a client's call, on a connection of its own if no pool is given.

        Args:
          name: The gateway.
          method: HTTP method.
          host: Host header.
          target: Path and query.
          headers: Further headers.
          body: Body of the request.
          pool: Connections to use; None for a new one.
          leave_after: Number of events after which the client leaves; None to stay.
        """
        port = self.ports[name]["front"]
        wire = [("host", host), *(headers or {}).items()]
        if body:
            wire.append(("content-length", str(len(body))))
        parts: list[bytes] = []
        url = f"http://127.0.0.1:{port}{target}"
        own = httpcore.AsyncConnectionPool() if pool is None else None
        async with (
            own or contextlib.nullcontext(),
            (own or pool).stream(
                method, url, headers=wire, content=body or None
            ) as response,
        ):
            whole = True
            try:
                async for part in response.aiter_stream():
                    parts.append(part)
                    events = b"".join(parts).count(b"\n\n")
                    if leave_after is not None and events >= leave_after:
                        whole = False
                        break
            except (httpcore.NetworkError, httpcore.ProtocolError):
                whole = False
            found = {k.decode().lower(): v.decode() for k, v in response.headers}
            return Answer(response.status, found, b"".join(parts), whole)

    async def ask(
        self,
        name: str,
        route: tuple[str, str],
        request: str,
        *,
        deadline_ms: int = 5000,
        body: str = "",
        pool: httpcore.AsyncConnectionPool | None = None,
        leave_after: int | None = None,
        **headers: str,
    ) -> Answer:
        """Sends an online request, with a body of its own if none is given."""
        host, prefix = route
        sent = {"request-id": request, "deadline-ms": str(deadline_ms)}
        sent |= {key.replace("_", "-"): value for key, value in headers.items()}
        content = (body or f"prompt of {request}").encode()
        target = prefix + "x?q=%2F1"
        return await self.call(
            name,
            "POST",
            host,
            target,
            headers=sent,
            body=content,
            pool=pool,
            leave_after=leave_after,
        )

    async def submit(
        self,
        name: str,
        job: str,
        items: list[str],
        *,
        host: str = JOBS[0],
        tokens: int = 150,
    ) -> Answer:
        """Submits a job with items of these bodies; an event has a token at least."""
        wire = [
            {
                "id": f"{job}-item-{index}",
                "path": f"{JOBS[1]}{index}",
                "headers": {"Model-Name": "m", "Token-Count": f"100,{tokens - 100}"},
                "body": base64.b64encode(text.encode()).decode(),
                "tokens": tokens,
            }
            for index, text in enumerate(items)
        ]
        body = json.dumps({"items": wire}).encode()
        headers = {"request-id": job}
        return await self.call(
            name, "POST", host, JOBS[1] + "submit", headers=headers, body=body
        )

    async def results(
        self, name: str, job: str, after: int = 0, *, host: str = JOBS[0]
    ) -> dict[str, Any]:
        """Reads a job's results."""
        target = f"/v1/lots/{job}?after={after}"
        answer = await self.call(name, "GET", host, target)
        assert answer.status == 200, answer
        return json.loads(answer.body)

    async def whole_job(
        self, name: str, job: str, *, host: str = JOBS[0]
    ) -> list[dict[str, Any]]:
        """Waits until all results of a job are listed, and returns them."""

        async def done() -> list[dict[str, Any]] | None:
            try:
                page = await self.results(name, job, host=host)
            except (AssertionError, httpcore.NetworkError):
                return None
            return page["results"] if page["next"] == page["total"] else None

        return await until(f"{job} is whole", done)


def default_config() -> dict[str, Any]:
    """Returns an operator's document with a route of each kind."""

    def route(name: str, where: tuple[str, str], kind: str, **more: Any) -> dict:
        fields = {
            "name": name,
            "hostname": where[0],
            "prefix": where[1],
            "routeType": kind,
            "timeoutMs": 5000,
            "targetLatencyMs": 300,
            "priority": 0,
            "service": SERVICE,
            "maxAttempts": 1,
        }
        return fields | more

    return {
        "version": 1,
        "routes": [
            route("r-stream", STREAM, "stream", gapTargetMs=200),
            route("r-resumable", RESUMABLE, "stream", maxAttempts=3, resumable=True),
            route("r-plain", PLAIN, "idempotent", maxAttempts=3),
            route("r-once", ONCE, "non_idempotent"),
            route(
                "r-jobs",
                JOBS,
                "batch",
                maxAttempts=3,
                completionTargetMs=18_000,
                retentionS=60,
                maxCount=10_000,
            ),
        ],
        "services": [{"name": SERVICE, "healthPath": "/health", "maxConns": 290}],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 100_000,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15_000,
        },
    }


def _store(port: int) -> Any:
    return _Closing(StoreClient(f"http://127.0.0.1:{port}"))


class _Closing:
    def __init__(self, store: StoreClient) -> None:
        self.store = store

    async def __aenter__(self) -> StoreClient:
        return self.store

    async def __aexit__(self, *error: object) -> None:
        await self.store.aclose()


async def _answers(port: int) -> bool:
    try:
        async with httpcore.AsyncConnectionPool() as pool:
            await pool.request("GET", f"http://127.0.0.1:{port}/control")
    except httpcore.NetworkError:
        return False
    except httpcore.ProtocolError:
        return True
    return True
