"""Stand-in for the platform: table service, object store and node list.

Speaks the protocol of ``coppercleat.storage`` over HTTP, with knobs for
latency, outage, lost answers, stale reads and the lag of the list. A path
prefix ``/from/ZONE`` says where the caller is; that zone may be cut off, and
is given its own addresses for nodes, so that a proxy can stand on each way.
"""

from __future__ import annotations

import random
from typing import Any
from urllib.parse import parse_qs, unquote

import msgspec
import trio

from coppercleat.asgi import read_body, send_json, send_part, start_response
from coppercleat.storage import (
    Listing,
    MemoryPlatform,
    Node,
    Row,
    Transaction,
    TransactionRefused,
)
from tests.standins.control import Controlled, arguments, run_standin, start


class Knobs(msgspec.Struct, kw_only=True):
    """What a test can set.

    Attributes:
      latency_s: Added to each call.
      outage: Answer nothing but 503.
      hang: Take calls and never answer.
      lose_next: So many further changes take effect and lose their answer.
      lose_share: Share of changes that do, at random from the seed.
      late_effect_s: Lost changes take effect so much later.
      stale_reads: Reads see the state when this was set.
      list_lag_s: Age of the node list given out.
      cut_zones: Zones whose calls hang.
      nodes: The nodes as they are.
      addresses: For each zone, other addresses for some nodes.
    """

    latency_s: float = 0.0
    outage: bool = False
    hang: bool = False
    lose_next: int = 0
    lose_share: float = 0.0
    late_effect_s: float = 0.0
    stale_reads: bool = False
    list_lag_s: float = 0.0
    cut_zones: list[str] = msgspec.field(default_factory=list)
    nodes: list[Node] = msgspec.field(default_factory=list)
    addresses: dict[str, dict[str, str]] = msgspec.field(default_factory=dict)


class PlatformStandin(Controlled):
    """Serves a ``MemoryPlatform`` with faults."""

    def __init__(self, nursery: trio.Nursery) -> None:
        super().__init__(Knobs())
        self.memory = MemoryPlatform()
        self.nursery = nursery
        self.rng = random.Random(1)
        self.listings: list[tuple[float, list[Node]]] = []
        self.frozen: tuple[dict[str, Row], list[str]] | None = None

    async def knobs_changed(self, names: set[str]) -> None:
        if "nodes" in names:
            self.listings.append((trio.current_time(), self.knobs.nodes))
        if "stale_reads" in names:
            rows = (dict(self.memory.rows), list(self.memory.keys))
            self.frozen = rows if self.knobs.stale_reads else None

    def report(self) -> dict[str, Any]:
        return {
            "writes": self.memory.writes,
            "reads": self.memory.reads,
            "rows": len(self.memory.rows),
            "objects": sorted(self.memory.objects),
        }

    async def serve(self, scope: Any, receive: Any, send: Any) -> None:
        path, zone = scope["path"], ""
        if path.startswith("/from/"):
            zone, _, path = path.removeprefix("/from/").partition("/")
            path = "/" + path
        body = await read_body(receive)
        if self.knobs.hang or zone in self.knobs.cut_zones:
            await trio.sleep_forever()
        if self.knobs.outage:
            await send_json(send, 503, {"error": "outage"})
            return
        await trio.sleep(self.knobs.latency_s)
        if path.startswith("/v1/objects"):
            await self._objects(scope, path, body, send)
        elif path == "/v1/nodes":
            await send_json(send, 200, Listing(tuple(self._nodes(zone))))
        elif path == "/v1/transact":
            await self._transact(body, send)
        else:
            await self._rows(path, body, send)

    def _nodes(self, zone: str) -> list[Node]:
        now = trio.current_time()
        seen: list[Node] = []
        for at, nodes in self.listings:
            if at <= now - self.knobs.list_lag_s or not seen:
                seen = nodes
        addresses = self.knobs.addresses.get(zone, {})
        return [
            msgspec.structs.replace(n, address=addresses.get(n.id, n.address))
            for n in seen
        ]

    async def _rows(self, path: str, body: bytes, send: Any) -> None:
        request = msgspec.json.decode(body)
        memory = self.memory
        if self.frozen is not None:
            memory = MemoryPlatform()
            memory.rows, memory.keys = self.frozen
        if path == "/v1/read":
            rows = memory.read_now(request["keys"])
            found = sorted(rows.items())
        else:
            found = memory.scan_now(
                request["prefix"], after=request["after"], limit=request["limit"]
            )
        if memory is not self.memory:
            self.memory.reads += 1
        await send_json(send, 200, {"rows": found})

    async def _transact(self, body: bytes, send: Any) -> None:
        transaction = msgspec.json.decode(body, type=Transaction)
        lost = self._loses()
        if lost and self.knobs.late_effect_s:
            self.nursery.start_soon(self._later, transaction)
            await trio.sleep_forever()
        result = self.memory.transact_now(transaction)
        if lost:
            await trio.sleep_forever()
        if isinstance(result, TransactionRefused):
            await send_json(send, 409, result)
        else:
            await send_json(send, 200, {"versions": result})

    async def _later(self, transaction: Transaction) -> None:
        await trio.sleep(self.knobs.late_effect_s)
        self.memory.transact_now(transaction)

    def _loses(self) -> bool:
        if self.knobs.lose_next > 0:
            self.knobs.lose_next -= 1
            return True
        return self.rng.random() < self.knobs.lose_share

    async def _objects(self, scope: Any, path: str, body: bytes, send: Any) -> None:
        name = unquote(path.removeprefix("/v1/objects").removeprefix("/"))
        if not name:
            query = parse_qs(scope["query_string"].decode())
            prefix = query.get("prefix", [""])[0]
            await send_json(send, 200, await self.memory.list_objects(prefix))
        elif scope["method"] == "PUT":
            await self.memory.put_object(name, body)
            await send_json(send, 200, {})
        elif scope["method"] == "DELETE":
            await self.memory.delete_object(name)
            await send_json(send, 200, {})
        else:
            found = await self.memory.get_object(name)
            status = 404 if found is None else 200
            await start_response(send, status, b"application/octet-stream", "")
            await send_part(send, found or b"", more=False)


async def main(port: int) -> None:
    """Serves until killed."""
    async with trio.open_nursery() as nursery:
        await run_standin(PlatformStandin(nursery), port)


if __name__ == "__main__":
    start(main, arguments().port)
