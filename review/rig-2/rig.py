"""A small deployment for review scripts: gateways as processes, stand-ins in Python.

The gateways are started with the command of the deploy file. The platform's store, the
runners and the clients are stand-ins in this process, in plain Python, by the users'
pages. Everything listens on loopback addresses and free ports.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
SERVICE = "svc"
ZONES = ("burgos-a", "logrono-b", "vitoria-c")

BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4.8,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxSkewMs": 5000,
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "finishS": 18,
    "statusS": 120,
    "cancelMs": 3000,
    "settleMs": 1000,
    "quotaOvershoot": 0.1,
}


_FIRST_PORT, _LAST_PORT = 12_000, 30_000
"""Below the ports that connections get, so that none takes one that is given out."""

_given: set[int] = set()


def free_port() -> int:
    """Returns a port that is free now, each only once."""
    while True:
        port = random.randint(_FIRST_PORT, _LAST_PORT)
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if port not in _given and sock.connect_ex((HOST, port)):
                _given.add(port)
                return port


# HTTP/1.1, as much as is needed.


class Request:
    """A request that was read whole."""

    def __init__(self, method: str, target: str, headers: dict, body: bytes) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """The query, decoded."""
        from urllib.parse import parse_qsl

        return dict(parse_qsl(self.target.partition("?")[2]))


async def read_head(reader: asyncio.StreamReader) -> list[str] | None:
    """Returns the lines of a head, None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return data.decode("latin-1").split("\r\n")[:-2]


def header_fields(lines: list[str]) -> dict[str, str]:
    """Returns header fields by name in lower case."""
    found = {}
    for line in lines:
        name, _, value = line.partition(":")
        found[name.strip().lower()] = value.strip()
    return found


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Returns the next request, None at the end of the connection."""
    lines = await read_head(reader)
    if lines is None:
        return None
    method, target, _ = lines[0].split(" ", 2)
    headers = header_fields(lines[1:])
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b"".join([part async for part in chunks(reader)])
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


async def chunks(reader: asyncio.StreamReader) -> Any:
    """Yields the chunks of a body; raises at an early end."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


def head_bytes(status: int, headers: list[tuple[str, str]]) -> bytes:
    """Returns a response's head."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def whole_bytes(status: int, body: bytes, *headers: tuple[str, str]) -> bytes:
    """Returns a whole response with a length."""
    length = ("Content-Length", str(len(body)))
    return head_bytes(status, [*headers, length]) + body


class Answer:
    """What a client got; status 0 for no answer."""

    def __init__(self, status: int, headers: dict, body: bytes, *, whole: bool) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.whole = whole

    @property
    def json(self) -> Any:
        """The body as JSON."""
        return json.loads(self.body)


async def call(
    port: int,
    method: str,
    target: str,
    *,
    host: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Answer:
    """Makes a client's call on a new connection."""
    got = Answer(0, {}, b"", whole=False)
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(HOST, port)
            lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await _read_answer(reader, got)
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return got


class Channel:
    """A client's channel that is kept for one request after the other.

    Attributes:
      asked: Requests whose answers were whole.
    """

    def __init__(self, port: int) -> None:
        self.port = port
        self.asked = 0
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Opens the channel."""
        self._reader, self._writer = await asyncio.open_connection(HOST, self.port)

    async def ask(
        self, target: str, *, host: str, headers: dict[str, str], body: bytes
    ) -> Answer:
        """Sends a request; status 0 if the channel ends without an answer."""
        assert self._reader is not None
        assert self._writer is not None
        got = Answer(0, {}, b"", whole=False)
        lines = [f"POST {target} HTTP/1.1", f"Host: {host}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        try:
            self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await _read_answer(self._reader, got)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        self.asked += got.whole
        return got

    def close(self) -> None:
        """Closes the channel."""
        if self._writer is not None:
            self._writer.close()


async def _read_answer(reader: asyncio.StreamReader, got: Answer) -> None:
    lines = await read_head(reader)
    if lines is None:
        return
    got.status = int(lines[0].split(" ")[1])
    got.headers = header_fields(lines[1:])
    if "chunked" in got.headers.get("transfer-encoding", ""):
        async for part in chunks(reader):
            got.body += part
    elif "content-length" in got.headers:
        got.body = await reader.readexactly(int(got.headers["content-length"]))
    else:
        got.body = await reader.read()
    got.whole = True


class Server:
    """A stand-in that listens."""

    def __init__(self) -> None:
        self.servers: list[asyncio.Server] = []
        self.writers: set[asyncio.StreamWriter] = set()

    async def listen(self, serve: Callable[..., Awaitable[None]], port: int = 0) -> int:
        """Opens a port; returns it."""

        async def handle(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            self.writers.add(writer)
            try:
                await serve(reader, writer)
            except (
                ConnectionError,
                asyncio.IncompleteReadError,
                asyncio.CancelledError,
            ):
                pass
            finally:
                self.writers.discard(writer)
                with contextlib.suppress(RuntimeError):
                    writer.close()

        server = await asyncio.start_server(handle, HOST, port, limit=32 * 1024 * 1024)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]


# The platform's store.


class Store(Server):
    """The platform's store: rows, their changes, and objects.

    Attributes:
      fault: Called with a gateway's name, the request and its decoded body; returns
        what happens to the call: "" (served), "busy" (503, nothing done), "hang"
        (nothing done, no answer), "lose" (done, no answer), or "late:S" (no answer,
        done S seconds later if the condition still holds).
    """

    def __init__(self) -> None:
        super().__init__()
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self.log: list[tuple[int, tuple[str, str, str], str | None]] = []
        self.objects: dict[str, bytes] = {}
        self.ver = 0
        self.port = 0
        self.fault: Callable[[str, Request, Any], str] = lambda who, req, body: ""

    def hang_up(self) -> None:
        """Closes all connections, as after a cut has healed."""
        for writer in list(self.writers):
            writer.close()

    async def start(self) -> None:
        """Begins to listen.

        All gateways have one address, with a path each, by which this tells them
        apart: on one machine all calls come from one IP.
        """
        self.port = await self.listen(self._serve)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_request(reader)) is not None:
            _, _, who, path = request.target.split("/", 3)
            request.target = f"/{path}"
            body = None
            if request.path == "/v1/rows-tx":
                body = json.loads(request.body)
            what = self.fault(who, request, body)
            if what == "hang":
                await asyncio.sleep(3600)
            if what == "busy":
                writer.write(whole_bytes(503, b"{}"))
                continue
            if what.startswith("late:"):
                await asyncio.sleep(float(what[5:]))
                self.transact(body)
                await asyncio.sleep(3600)
            await asyncio.sleep(0.004)
            answer = self.answer(request, body)
            if what == "lose":
                await asyncio.sleep(3600)
            writer.write(answer)
            await writer.drain()

    def put(self, table: str, key: str, value: Any, part: str = "") -> int:
        """Writes a row as the operator and the runners do; returns its version."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        entry = {"table": table, "part": part, "key": key, "value": data}
        self.transact({"expectedRev": [], "put": [entry], "remove": []})
        return self.ver

    def drop(self, table: str, key: str, part: str = "") -> None:
        """Removes a row."""
        entry = {"table": table, "part": part, "key": key}
        self.transact({"expectedRev": [], "put": [], "remove": [entry]})

    def transact(self, body: Any) -> tuple[int, Any]:
        """Performs a transaction; returns the status and the answer."""
        for check in body["expectedRev"]:
            if self.rows.get(_at(check), ("", 0))[1] != check["ver"]:
                found = [_at(c) for c in body["expectedRev"] if _at(c) in self.rows]
                return 412, {"rows": [self._row(k) for k in found], "ver": self.ver}
        self.ver += 1
        for entry in body["put"]:
            self.rows[_at(entry)] = entry["value"], self.ver
            self.log.append((self.ver, _at(entry), entry["value"]))
        for entry in body["remove"]:
            if self.rows.pop(_at(entry), None) is not None:
                self.log.append((self.ver, _at(entry), None))
        return 200, {"ver": self.ver, "nowMs": _now_ms()}

    def _row(self, key: tuple[str, str, str]) -> dict[str, Any]:
        value, ver = self.rows[key]
        return dict(zip(("table", "part", "key"), key, strict=True)) | {
            "value": value,
            "ver": ver,
        }

    def answer(self, request: Request, body: Any) -> bytes:
        """Returns the answer to a call."""
        path, query = request.path, request.query
        if path == "/v1/rows-tx":
            entries = sum(len(body[name]) for name in ("expectedRev", "put", "remove"))
            if entries > 100 or len(request.body) > 1_000_000:
                return _json(400, {})
            return _json(*self.transact(body))
        if path == "/v1/rows-get":
            return _json(200, self._get(query))
        if path == "/v1/rows-feed":
            return _json(200, self._feed(query))
        if path == "/v1/rows-parts":
            parts = sorted({k[1] for k in self.rows if k[0] == query["table"]})
            parts = [p for p in parts if p > query.get("after", "") or not p]
            return _json(200, {"parts": parts[:1000], "truncated": len(parts) > 1000})
        call, _, name = path.removeprefix("/v1/").partition("/")
        return self._object(call, name, request)

    def _get(self, query: dict[str, str]) -> dict[str, Any]:
        limit = min(500, int(query.get("limit", 500)))
        low, high = query.get("from", ""), query.get("to")
        keys = sorted(
            k
            for k in self.rows
            if k[:2] == (query["table"], query.get("part", ""))
            and k[2] >= low
            and (high is None or k[2] < high)
        )
        kept, size = [], 0
        for key in keys[:limit]:
            size += len(self.rows[key][0])
            if kept and size > 1_000_000:
                break
            kept.append(self._row(key))
        return {
            "rows": kept,
            "truncated": len(kept) < len(keys),
            "ver": self.ver,
            "nowMs": _now_ms(),
        }

    def _feed(self, query: dict[str, str]) -> dict[str, Any]:
        after = int(query["after"])
        newest: dict[tuple[str, str, str], tuple[int, str | None]] = {}
        for ver, key, value in self.log:
            if ver > after and key[0] == query["table"]:
                newest.pop(key, None)
                newest[key] = ver, value
        rows = []
        for key, (ver, value) in newest.items():
            row: dict[str, Any] = dict(
                zip(("table", "part", "key"), key, strict=True), ver=ver
            )
            row |= {"tombstone": True} if value is None else {"value": value}
            rows.append(row)
        return {"rows": rows, "ver": self.ver, "nowMs": _now_ms()}

    def _object(self, call: str, name: str, request: Request) -> bytes:
        if call == "blob-put":
            self.objects[name] = request.body
        elif call == "blob-drop":
            self.objects.pop(name, None)
        elif call == "blob-list":
            prefix = request.query.get("prefix", "")
            names = sorted(n for n in self.objects if n.startswith(prefix))
            return _json(200, {"names": names, "truncated": False})
        elif name in self.objects:
            return whole_bytes(200, self.objects[name])
        else:
            return whole_bytes(404, b"")
        return _json(200, {})


def _at(entry: dict[str, Any]) -> tuple[str, str, str]:
    return entry["table"], entry.get("part", ""), entry["key"]


def _json(status: int, value: Any) -> bytes:
    body = json.dumps(value).encode()
    return whole_bytes(status, body, ("Content-Type", "application/json"))


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000


# Runners.


class Runner(Server):
    """A runner: admits requests into its slots and streams numbered events.

    Attributes:
      runs: What has run: id, path, body, the event that it was to go on after, the
        number of events sent, and how it ended.
      texts: Called with a request; returns the data of its events.
      event_s: Time between two events.
      first_s: Called with a request; returns the time until its answer begins.
      before: Called as a run begins; may write an answer of its own and return True.
    """

    def __init__(self, name: str, *, version: str = "v1", slots: int = 8) -> None:
        super().__init__()
        self.id = name
        self.service = SERVICE
        self.version = version
        self.slots = slots
        self.queue = 24
        self.running = 0
        self.waiting = 0
        self.born = time.time_ns() // 1_000_000
        self.port = 0
        self.zone = ZONES[0]
        self.runs: list[dict[str, Any]] = []
        self.event_s = 0.01
        self.texts: Callable[[Request], list[str]] = lambda request: [
            f"{request.headers.get('request-id')} {n}" for n in range(1, 11)
        ]
        self.before: Callable[..., Awaitable[bool]] | None = None
        self.first_s: Callable[[Request], float] = lambda request: 0.0
        self.gate = asyncio.Event()
        self.gate.set()

    async def start(self) -> None:
        """Begins to listen; after a crash on the same port."""
        self.port = await self.listen(self._serve, self.port)

    def crash(self) -> None:
        """Ends as a process that is killed: nothing listens, channels are reset."""
        for server in self.servers:
            server.close()
        self.servers.clear()
        for writer in list(self.writers):
            writer.transport.abort()

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Returns its entry in the store."""
        return {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "coldLeftMs": 0,
            "stage": "dual",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "seqNo": 1,
            "born": self.born,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_request(reader)) is not None:
            if request.path == "/v1/report":
                report = {
                    "stage": "dual",
                    "models": [{"name": "m", "version": 1, "adapters": []}],
                    "busy": False,
                    "seqNo": 1,
                    "queued": self.waiting,
                    "running": self.running,
                    "kvUsed": 0,
                    "kvTotal": 72000,
                    "handles": 0,
                    "born": self.born,
                }
                writer.write(_json(200, report))
                continue
            if request.headers.get("expect-instance", self.id) != self.id:
                writer.write(whole_bytes(421, b"", ("Instance-Id", self.id)))
                continue
            if self.running + self.waiting >= self.slots + self.queue:
                writer.write(whole_bytes(503, b"", ("Not-Executed", "1")))
                continue
            await self._admit(request, reader, writer)

    async def _admit(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Runs a request in a slot, and drops it once its connection is closed."""
        left = asyncio.ensure_future(reader.read(1))
        work = asyncio.ensure_future(self._run_in_slot(request, writer))
        try:
            await asyncio.wait({left, work}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                work.cancel()
            with contextlib.suppress(asyncio.CancelledError, ConnectionError):
                await work
            if left.done():
                raise ConnectionError
        finally:
            for task in (left, work):
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError, ConnectionError):
                    await task

    async def _run_in_slot(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        self.waiting += 1
        try:
            while self.running >= self.slots:
                await asyncio.sleep(0.002)
        finally:
            self.waiting -= 1
        self.running += 1
        run = {
            "runner": self.id,
            "id": request.headers.get("request-id", ""),
            "target": request.target,
            "body": request.body.decode("latin-1"),
            "after": request.headers.get("last-event-id"),
            "at": time.monotonic(),
            "events": 0,
            "ended": "left",
        }
        self.runs.append(run)
        try:
            if self.before is not None and await self.before(request, run, writer):
                return
            await self.stream(request, run, writer)
        finally:
            self.running -= 1

    def head(self, request: Request) -> list[tuple[str, str]]:
        """Returns the head of a stream."""
        return [
            ("Request-Id", request.headers.get("request-id", "")),
            ("Response-Stamp", f"{self.id}.{request.headers.get('request-id')}"),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]

    async def stream(
        self, request: Request, run: dict[str, Any], writer: asyncio.StreamWriter
    ) -> None:
        """Streams the events that are left of a request."""
        await asyncio.sleep(self.first_s(request))
        writer.write(head_bytes(200, self.head(request)))
        first = int(run["after"]) + 1 if run["after"] is not None else 1
        for number, text in enumerate(self.texts(request), 1):
            if number < first:
                continue
            await asyncio.sleep(self.event_s)
            await self.gate.wait()
            write_chunk(writer, f"id: {number}\ndata: {text}\n\n".encode())
            await writer.drain()
            run["events"] = number
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        run["ended"] = "complete"
        run["ended_at"] = time.monotonic()


def write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Writes one chunk of a body."""
    writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")


# Gateways.


class Gateway:
    """A gateway as a process, with its ports."""

    def __init__(self, fleet: Fleet, name: str, zone: str) -> None:
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.front, self.readiness, self.control = (free_port() for _ in range(3))
        self.process: subprocess.Popen | None = None
        self.starts = 0

    def settings(self) -> dict[str, Any]:
        """Returns the settings as the platform writes them; JSON is YAML."""
        seeds = [f"{HOST}:{g.control}" for g in self.fleet.gateways][:3]
        return {
            "nodeName": self.name,
            "role": "gateway",
            "nodeClass": "front",
            "serves": ["front", "control"],
            "ip": HOST,
            "zone": self.zone,
            "region": "norte-es",
            "zones": dict.fromkeys(ZONES, "norte-es"),
            "listenAddrs": {
                "front": f"{HOST}:{self.front}",
                "readiness": f"{HOST}:{self.readiness}",
                "control": f"{HOST}:{self.control}",
            },
            "portRange": [self.control, self.control],
            "seedNodes": seeds,
            "firstStart": self.starts == 0,
            "lossCounts": False,
            "limits": {"memoryMb": 340, "maxFds": 8200},
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "contracts": self.fleet.contracts,
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": self.fleet.bounds,
            "platform": {
                "address": f"{HOST}:{self.fleet.store.port}/from/{self.name}",
                "form": "table",
                "writesPerS": 800,
                "readsPerS": 2000,
                "txMs": 8.0,
                "partWritesS": 150,
                "rowBytes": 65536,
                "across": False,
                "historyS": 20,
                "blobBytes": 8388608,
                "blobMs": 25.0,
                "blobMbS": 80.0,
            },
        }

    def start(self) -> None:
        """Starts the process, or starts it again, as the deploy file says."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        path = self.fleet.directory / f"{self.name}.yaml"
        path.write_text(json.dumps(self.settings()))
        self.starts += 1
        output = (self.fleet.directory / f"{self.name}.{self.starts}.log").open("wb")
        self.process = subprocess.Popen(
            deploy["roles"]["gateway"]["run"].split(),
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": str(self.fleet.directory),
                "PYTHONPATH": str(ROOT / "target/deps"),
                "COPPERCLEAT_CONFIG": str(path),
            },
            stdout=output,
            stderr=subprocess.STDOUT,
        )

    def signal(self, number: int) -> None:
        """Sends a signal, if the process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def log_text(self) -> str:
        """Returns what all its starts have written."""
        paths = sorted(self.fleet.directory.glob(f"{self.name}.*.log"))
        return "".join(path.read_text(errors="replace") for path in paths)

    async def ready(self) -> None:
        """Waits until it says that it is ready."""
        for _ in range(400):
            answer = await call(
                self.readiness, "GET", "/v1/readiness", host=HOST, timeout_s=2
            )
            if answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} is not ready: {self.log_text()[-2000:]}")


class Fleet:
    """Gateways, runners and the store."""

    def __init__(self, *, gateways: int = 3, runners: int = 2) -> None:
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.contracts = [
            "base",
            "drain",
            "config",
            "cost",
            "recover",
            "batch",
            "stream",
            "engine",
            "platform",
        ]
        self.bounds: dict[str, Any] = dict(BOUNDS)
        self.store = Store()
        self.gateway_count = gateways
        self.gateways: list[Gateway] = []
        self.runners = [Runner(f"r-{n + 1}") for n in range(runners)]
        for number, runner in enumerate(self.runners):
            runner.zone = ZONES[number % 3]
        self.version = 0

    def configure(self, routes: list[dict[str, Any]], **more: Any) -> None:
        """Writes the operator's document; the write is its acknowledgement."""
        self.version += 3
        services = [
            {
                "name": name,
                "healthPath": "/health",
                "maxConns": 290,
                "protocol": "h1",
                "tls": False,
                "engine": {"slots": 8, "kvCapacityTokens": 72000},
            }
            for name in sorted({runner.service for runner in self.runners})
        ]
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        config = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": limits,
        }
        self.store.put("op", "config", config | more)

    def publish(self, runner: Runner, state: str = "ready") -> None:
        """Writes a runner's entry."""
        self.store.put("servers", runner.id, runner.entry(state))

    async def start(self, routes: list[dict[str, Any]], **more: Any) -> None:
        """Starts everything and waits until the gateways are ready."""
        await self.store.start()
        for runner in self.runners:
            await runner.start()
            self.publish(runner)
        self.configure(routes, **more)
        for number in range(self.gateway_count):
            name = f"front-{number + 1}"
            self.gateways.append(Gateway(self, name, ZONES[number % 3]))
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            await gateway.ready()

    def close(self) -> None:
        """Ends all processes and removes the temporary folder."""
        for gateway in self.gateways:
            gateway.signal(signal.SIGCONT)
            gateway.signal(signal.SIGKILL)
        for gateway in self.gateways:
            if gateway.process is not None:
                gateway.process.wait()
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.directory, keep, dirs_exist_ok=True)
        shutil.rmtree(self.directory, ignore_errors=True)

    def runs(self) -> list[dict[str, Any]]:
        """Returns all runs of all runners, in order."""
        found = [run for runner in self.runners for run in runner.runs]
        return sorted(found, key=lambda run: run["at"])


def route(name: str, host: str, prefix: str, kind: str, **more: Any) -> dict[str, Any]:
    """Returns a route of the operator's document."""
    fields = {
        "name": name,
        "hostname": host,
        "prefix": prefix,
        "routeType": kind,
        "timeoutMs": 5000,
        "targetLatencyMs": 300,
        "priority": 0,
        "service": SERVICE,
        "maxAttempts": 1,
    }
    return fields | more


def batch_route(name: str, host: str, prefix: str, **more: Any) -> dict[str, Any]:
    """Returns a route for batch jobs."""
    fields = {
        "timeoutMs": 15000,
        "targetLatencyMs": 400,
        "priority": 2,
        "maxAttempts": 3,
        "completionTargetMs": 18000,
        "retentionS": 60,
        "maxCount": 0,
    }
    return route(name, host, prefix, "batch", **(fields | more))


async def submit(
    gateway: Gateway,
    host: str,
    prefix: str,
    job: str,
    *,
    items: int,
    tokens: int,
    **headers: str,
) -> Answer:
    """Submits a batch job of items of so many tokens each."""
    wire = [
        {
            "id": f"{job}-{n}",
            "path": f"{prefix}{n}/{job}",
            "headers": {
                "Model-Name": "m",
                "Token-Count": f"{tokens - 50},50",
                "Prompt-Prefix": f"{n:x}a:{tokens - 50}",
            },
            "body": base64.b64encode(f"{job} {n}".encode()).decode(),
            "tokens": tokens,
        }
        for n in range(items)
    ]
    return await call(
        gateway.front,
        "POST",
        f"{prefix}{job}",
        host=host,
        headers={"Request-Id": job, "Content-Type": "application/json", **headers},
        body=json.dumps({"items": wire}).encode(),
    )


async def results(gateway: Gateway, host: str, job: str, after: int = 0) -> Answer:
    """Reads a batch job's results."""
    return await call(gateway.front, "GET", f"/v1/lots/{job}?after={after}", host=host)


async def until(
    what: str, check: Callable[[], Awaitable[bool]], timeout_s: float = 30
) -> None:
    """Waits until a check holds."""
    ends_at = time.monotonic() + timeout_s
    while not await check():
        if time.monotonic() > ends_at:
            raise RuntimeError(f"not within {timeout_s} s: {what}")
        await asyncio.sleep(0.1)


class Record:
    """The record of a script: what was sent, answered and run."""

    def __init__(self, folder: str) -> None:
        self.file = (pathlib.Path(folder) / "record.txt").open("w")
        self.began = time.monotonic()

    def say(self, text: str) -> None:
        """Writes a line with the time since the start."""
        line = f"{time.monotonic() - self.began:7.2f} s  {text}"
        print(line, flush=True)
        self.file.write(line + "\n")
        self.file.flush()


RULE_BROKEN = 10


def play(
    folder: str, script: Callable[[Fleet, Record, bool], Awaitable[bool]], **fleet: Any
) -> int:
    """Plays a script; returns its exit status.

    Returns:
      ``RULE_BROKEN``, 0 if the rule held, 2 if the case couldn't run. ``run.sh`` makes
      1 of the first, and 2 of all else: Python's own errors exit with 1 as well.
    """
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"trouble: {trouble}")

    async def main() -> bool:
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        made = Fleet(**fleet)
        try:
            async with asyncio.timeout(115):
                return await script(made, record, trouble)
        finally:
            made.close()

    try:
        broken = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001 - any
        record.say(f"couldn't run: {error!r}")
        return 2
    record.say("the rule was broken" if broken else "the rule held")
    return RULE_BROKEN if broken else 0
