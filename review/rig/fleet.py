"""A small deployment: gateways by the deploy file, and stand-ins around them."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from typing import Any

from rig.store import Store
from rig.wire import Answer, ask

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("burgos-a", "logrono-b", "vitoria-c")
SERVICE = "huvo11a"
HEARTBEAT_S = 1.2

_CONTRACTS = "base drain config cost recover batch stream engine platform"

JOBS = ("pule.example", "/pule252/")
RESUMABLE = ("ficu.example", "/pufi791/")
STREAM = ("nony.example", "/lohu930/")

BROKEN, HELD, NOT_RUN = 1, 0, 2
"""Exit codes of a case."""


class CannotRunError(Exception):
    """The case could not be played."""


def free_port() -> int:
    """Returns a free loopback port."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Fleet:
    """Gateways, runners and the store of one play.

    Attributes:
      record: Lines of ``record.txt``, in the order of the events.
    """

    def __init__(self, *, gateways: int, runners: int) -> None:
        """Prepares a fleet; nothing is started yet."""
        self.store = Store()
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.names = [f"front-{ZONES[n % 3]}-{n // 3 + 1}" for n in range(gateways)]
        self.runners = [f"i-{secrets.token_hex(5)}" for _ in range(runners)]
        self.ports: dict[str, dict[str, int]] = {}
        self.runner_ports: dict[str, int] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.beats: list[asyncio.Task[None]] = []
        self.record: list[str] = []
        self.version = 0
        self.began = time.time()

    def note(self, text: str) -> None:
        """Adds a line to the record."""
        self.record.append(f"{time.time() - self.began:8.3f} s  {text}")

    # Processes.

    async def start(self, **options: Any) -> None:
        """Starts everything and waits until all gateways are ready.

        Args:
          options: Options of all runners; see ``rig.runner``.
        """
        await self.store.start()
        for name in self.runners:
            self.start_runner(name, **options)
        for name in self.runners:
            await self.until(f"{name} answers", lambda n=name: self._runner_answers(n))
            self.beats.append(asyncio.create_task(self._beat(name)))
        self.apply_config(default_routes())
        for name in self.names:
            kinds = ("front", "readiness", "control")
            self.ports[name] = {kind: free_port() for kind in kinds}
        for name in self.names:
            self.start_gateway(name)
        for name in self.names:
            await self.until(f"{name} is ready", lambda n=name: self.is_ready(n))

    def start_runner(self, name: str, **options: Any) -> None:
        """Starts a runner's process; options are those of ``rig.runner``."""
        port = self.runner_ports.setdefault(name, free_port())
        words = [sys.executable, "-m", "rig.runner", f"--port={port}", f"--id={name}"]
        words.append(f"--log={self.directory / 'runs.jsonl'}")
        words += [f"--{key.replace('_', '-')}={v}" for key, v in options.items()]
        folder = ROOT / "review"
        self.processes[name] = subprocess.Popen(words, cwd=folder)
        self.note(f"runner {name} starts {options}")

    async def add_runner(self, **options: Any) -> None:
        """Starts a runner under a new id, and lists it once it answers."""
        name = f"i-{secrets.token_hex(5)}"
        self.runners.append(name)
        self.start_runner(name, **options)
        await self.until(f"{name} answers", lambda: self._runner_answers(name))
        self.beats.append(asyncio.create_task(self._beat(name)))

    def start_gateway(self, name: str) -> None:
        """Starts a gateway's process as the deploy file says."""
        text = (ROOT / "deploy/system.toml").read_text(encoding="utf-8")
        words = tomllib.loads(text)["roles"]["gateway"]["run"].split()
        settings = self.directory / f"{name}.yaml"
        settings.write_text(json.dumps(self._settings(name)), encoding="utf-8")
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["COPPERCLEAT_CONFIG"] = str(settings)
        log = (self.directory / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            words, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.note(f"gateway {name} starts")

    def _settings(self, name: str) -> dict[str, Any]:
        """Returns the settings file of a gateway, as DEPLOY.md shows it."""
        ports = self.ports[name]
        seeds = [f"127.0.0.1:{self.ports[n]['control']}" for n in self.names[:3]]
        return {
            "nodeName": name,
            "role": "gateway",
            "nodeClass": "front",
            "serves": ["front", "control"],
            "ip": "127.0.0.1",
            "zone": name.removeprefix("front-").rpartition("-")[0],
            "region": "norte-es",
            "zones": dict.fromkeys(ZONES, "norte-es"),
            "listenAddrs": {kind: f"127.0.0.1:{port}" for kind, port in ports.items()},
            "portRange": [ports["control"], ports["control"]],
            "seedNodes": seeds,
            "firstStart": True,
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "contracts": _CONTRACTS.split(),
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {
                "contactMs": 3000,
                "ackMs": 4000,
                "drainMs": 2000,
                "graceS": 8,
                "lossSlackMs": 200,
                "configApplyMs": 2000,
                "finishS": 18,
                "statusS": 120,
                "cancelMs": 3000,
                "settleMs": 1000,
                "quotaOvershoot": 0.1,
            },
            "platform": {
                "address": f"127.0.0.1:{self.store.port}",
                "form": "table",
                "writesPerS": 800,
                "readsPerS": 2000,
                "rowBytes": 65536,
                "historyS": 20,
            },
        }

    def running(self, name: str) -> bool:
        """Returns whether a process runs."""
        return self.processes[name].poll() is None

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process that this play started."""
        self.processes[name].send_signal(number)
        self.note(f"{number.name} to {name}")

    async def close(self) -> None:
        """Ends all processes, by their ids."""
        for beat in self.beats:
            beat.cancel()
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.directory, ignore_errors=True)

    # The platform, the operator and the runners' heartbeats.

    async def _beat(self, name: str) -> None:
        """Keeps a runner's entry, and drops it after three beats of silence."""
        silent = 0
        while silent < 3:
            silent = 0 if self.running(name) else silent + 1
            if not silent:
                self.store.put("servers", name, json.dumps(self._entry(name)).encode())
            await asyncio.sleep(HEARTBEAT_S)
        self.store.drop("servers", name)
        self.note(f"the entry of {name} has lapsed")

    def _entry(self, name: str) -> dict[str, Any]:
        return {
            "service": SERVICE,
            "address": f"127.0.0.1:{self.runner_ports[name]}",
            "zone": ZONES[self.runners.index(name) % 3],
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "seqNo": 1,
        }

    def apply_config(self, routes: list[dict[str, Any]]) -> None:
        """Writes a new version of the operator's config."""
        self.version += 3
        config = {
            "version": self.version,
            "routes": routes,
            "services": [
                {"name": SERVICE, "healthPath": "/health", "maxConns": 290},
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        self.store.put("op", "config", json.dumps(config).encode())

    async def until(
        self, what: str, check: Callable[[], Awaitable[bool]], *, within_s: float = 20.0
    ) -> None:
        """Waits until a check holds.

        Raises:
          CannotRunError: It does not in time.
        """
        ends_at = time.monotonic() + within_s
        while not await check():
            if time.monotonic() > ends_at:
                raise CannotRunError(f"not in {within_s:g} s: {what}")
            await asyncio.sleep(0.05)

    async def _runner_answers(self, name: str) -> bool:
        port = self.runner_ports[name]
        return (await ask(port, "GET", "/health", {"host": "x"})).status == 200

    async def is_ready(self, name: str) -> bool:
        """Returns whether a gateway says that it is ready."""
        if not self.running(name):
            raise CannotRunError(f"{name} ended: {self.log_of(name)[-2000:]}")
        port = self.ports[name]["readiness"]
        found = await ask(port, "GET", "/v1/readiness", {"host": "x"}, within_s=1.0)
        return found.status == 200

    def log_of(self, name: str) -> str:
        """Returns what a gateway has written."""
        return (self.directory / f"{name}.log").read_text(errors="replace")

    def runs(self) -> list[dict[str, Any]]:
        """Returns what the runners have logged, in order."""
        path = self.directory / "runs.jsonl"
        if not path.exists():
            return []
        lines = path.read_text(encoding="utf-8").splitlines()
        return [json.loads(line) for line in lines if line.endswith("}")]

    # Clients.

    async def submit(self, name: str, job: str, items: list[str]) -> Answer:
        """Submits a batch job; each item's body names it."""
        wire = [
            {
                "id": item,
                "path": f"{JOBS[1]}3/{item}",
                "headers": {
                    "Model-Name": "m",
                    "Token-Count": "540,400",
                    "Prompt-Prefix": f"9c2e41:300,{secrets.token_hex(4)}:240",
                },
                "body": base64.b64encode(f"body of {item}".encode()).decode(),
                "tokens": 940,
            }
            for item in items
        ]
        answer = await ask(
            self.ports[name]["front"],
            "POST",
            f"{JOBS[1]}{job}",
            {
                "host": JOBS[0],
                "request-id": job,
                "content-type": "application/json",
            },
            json.dumps({"items": wire}).encode(),
        )
        self.note(f"job {job} with {len(items)} items to {name}: {answer.status}")
        return answer

    async def results(self, name: str, job: str) -> dict[str, Any] | None:
        """Reads a job's results from the start; None without a good answer."""
        found: list[dict[str, Any]] = []
        while True:
            target = f"/v1/lots/{job}?after={len(found)}"
            port = self.ports[name]["front"]
            answer = await ask(port, "GET", target, {"host": JOBS[0]})
            if answer.status != 200 or not answer.whole:
                return None
            page = json.loads(answer.body)
            found += page["results"]
            if not page["results"] or page["next"] >= page["total"]:
                return page | {"results": found}

    async def stream(
        self,
        name: str,
        route: tuple[str, str],
        request: str,
        *,
        deadline_ms: int = 5000,
    ) -> Answer:
        """Sends an online request and returns its answer."""
        headers = {
            "host": route[0],
            "request-id": request,
            "deadline-ms": str(deadline_ms),
            "model-name": "m",
            "token-count": "450,80",
            "prompt-prefix": f"5c1e07a2:200,{secrets.token_hex(4)}:250",
        }
        port, target = self.ports[name]["front"], f"{route[1]}2f"
        body = f"prompt of {request}".encode()
        waits_s = deadline_ms / 1000 + 0.5
        return await ask(port, "POST", target, headers, body, within_s=waits_s)


def default_routes() -> list[dict[str, Any]]:
    """Returns a stream that may not be resumed, one that may, and a batch route."""

    def route(
        name: str, where: tuple[str, str], kind: str, **more: Any
    ) -> dict[str, Any]:
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
            "sessionAffinity": True,
            "resumable": False,
        }
        return fields | more

    return [
        route("r-stream", STREAM, "stream", gapTargetMs=200),
        route(
            "r-resumable",
            RESUMABLE,
            "stream",
            gapTargetMs=200,
            resumable=True,
            maxAttempts=2,
        ),
        route(
            "r-jobs",
            JOBS,
            "batch",
            timeoutMs=15000,
            targetLatencyMs=400,
            gapTargetMs=200,
            maxAttempts=3,
            completionTargetMs=18000,
            retentionS=60,
            maxCount=1400000,
            priority=2,
        ),
    ]


def play(case: Callable[[bool, Fleet], Awaitable[int]], fleet: Fleet, path: str) -> int:
    """Plays a case, writes its record and ends all processes.

    Args:
      case: Plays it, given whether there is to be a disruption; returns an exit code.
      fleet: What it plays with.
      path: The case's script, beside which the record goes.
    """

    async def run() -> int:
        trouble = os.environ.get("TROUBLE", "1") != "0"
        fleet.note(f"TROUBLE={int(trouble)}")
        try:
            return await case(trouble, fleet)
        except CannotRunError as error:
            fleet.note(f"the case could not run: {error}")
            return NOT_RUN
        finally:
            await fleet.close()

    code = asyncio.run(run())
    fleet.note(f"exit {code}")
    record = pathlib.Path(path).resolve().parent / "record.txt"
    record.write_text("\n".join(fleet.record) + "\n", encoding="utf-8")
    print("\n".join(fleet.record[-12:]))
    return code
