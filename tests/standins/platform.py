"""Stand-in for the users' platform: its store, by its published protocol.

Rows under conditions, the feed of changes, objects, and the product's own list of
nodes as rows; with knobs for latency, outage, lost answers, stale reads, dropped
history and the lag of the list. A path prefix ``/from/ZONE`` says where the caller
is; that zone may be cut off, and is given its own addresses for nodes, so that a
proxy can stand on each way.
"""

from __future__ import annotations

import base64
import random
from typing import Any
from urllib.parse import parse_qs, unquote

import msgspec
import trio

from coppercleat.asgi import read_body, send_json, send_part, start_response
from coppercleat.storage import (
    Check,
    MemoryPlatform,
    Node,
    Put,
    Row,
    Transaction,
    TransactionRefused,
)
from tests.standins.control import Controlled, arguments, run_standin, start

_MOST_ROWS = 500
_MOST_BYTES = 700_000
_MOST_ENTRIES = 100


class Knobs(msgspec.Struct, kw_only=True):
    """What a test can set.

    Attributes:
      latency_s: Added to each call.
      outage: Answer nothing but 503.
      hang: Take calls and never answer.
      lose_next: So many further changes take effect and lose their answer.
      lose_share: Share of changes that do, at random from the seed.
      lose_table: Only changes that write to this table do; empty for all.
      late_effect_s: Lost changes take effect so much later.
      dropped_before: Changes up to this version are no longer kept.
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
    lose_table: str = ""
    late_effect_s: float = 0.0
    dropped_before: int = 0
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
        query = {
            name: values[0]
            for name, values in parse_qs(scope["query_string"].decode()).items()
        }
        if path.startswith("/v1/blob-"):
            await self._objects(scope, path, body, send)
        elif path == "/v1/rows-tx":
            await self._transact(body, send)
        elif path == "/v1/rows-feed":
            await self._feed(query, send)
        elif path == "/v1/rows-parts":
            parts = await self.memory.parts(query["table"])
            await send_json(send, 200, {"parts": parts, "truncated": False})
        elif query["table"] == "node":
            await self._answer(send, self._nodes(zone), truncated=False)
        else:
            await self._rows(query, send)

    def _nodes(self, zone: str) -> list[tuple[str, str, Row]]:
        now = trio.current_time()
        seen: list[Node] = []
        for at, nodes in self.listings:
            if at <= now - self.knobs.list_lag_s or not seen:
                seen = nodes
        addresses = self.knobs.addresses.get(zone, {})
        listed = [
            msgspec.structs.replace(n, address=addresses.get(n.id, n.address))
            for n in seen
        ]
        self.memory.reads += 1
        return [("", f"node/{n.id}", Row(msgspec.json.encode(n), 1)) for n in listed]

    async def _rows(self, query: dict[str, str], send: Any) -> None:
        memory = self.memory
        if self.frozen is not None:
            memory = MemoryPlatform()
            memory.rows, memory.keys = self.frozen
        table, part = query["table"], query.get("part", "")
        begin, end = query.get("from", ""), query.get("to", "\x7f")
        limit = min(_MOST_ROWS, int(query.get("limit", _MOST_ROWS)))
        self.memory.reads += 1
        everything = await memory.scan(f"{table}/", part=part, limit=1_000_000)
        found = [
            (part, key, row)
            for key, row in everything
            if begin <= key.partition("/")[2] < end
        ]
        size = 0
        kept = []
        for entry in found[:limit]:
            size += len(entry[2].value)
            if kept and size > _MOST_BYTES:
                break
            kept.append(entry)
        await self._answer(send, kept, truncated=len(kept) < len(found))

    async def _feed(self, query: dict[str, str], send: Any) -> None:
        after = int(query["after"])
        if after < self.knobs.dropped_before:
            await send_json(send, 410, {})
            return
        changes = await self.memory.changes(query["table"], after=after)
        rows = [(c.part, c.key, c.row) for c in changes.rows]
        await self._answer(send, rows, truncated=False)

    async def _answer(
        self, send: Any, rows: list[tuple[str, str, Row | None]], *, truncated: bool
    ) -> None:
        wire = []
        for part, key, row in rows:
            table, _, name = key.partition("/")
            entry: dict[str, Any] = {"table": table, "part": part, "key": name}
            if row is None:
                entry["tombstone"] = True
            else:
                entry["value"] = base64.b64encode(row.value).decode()
                entry["ver"] = row.version
            wire.append(entry)
        answer = {
            "rows": wire,
            "truncated": truncated,
            "ver": self.memory.last_version,
            "nowMs": int(trio.current_time() * 1000),
        }
        await send_json(send, 200, answer)

    async def _transact(self, body: bytes, send: Any) -> None:
        wire = msgspec.json.decode(body)
        entries = [*wire["expectedRev"], *wire["put"], *wire["remove"]]
        if len(entries) > _MOST_ENTRIES or len({e["part"] for e in entries}) > 1:
            await send_json(send, 400, {"error": "too many entries, or parts"})
            return
        transaction = Transaction(
            checks=[Check(_key(e), e["ver"]) for e in wire["expectedRev"]],
            puts=[Put(_key(e), base64.b64decode(e["value"])) for e in wire["put"]],
            deletes=[_key(e) for e in wire["remove"]],
            part=entries[0]["part"] if entries else "",
        )
        lost = self._loses(transaction)
        if lost and self.knobs.late_effect_s:
            self.nursery.start_soon(self._later, transaction)
            await trio.sleep_forever()
        result = self.memory.transact_now(transaction)
        if lost:
            await trio.sleep_forever()
        if not isinstance(result, TransactionRefused):
            await send_json(send, 200, {"ver": self.memory.last_version})
            return
        keys = [check.key for check in transaction.checks]
        found = await self.memory.read(keys, part=transaction.part)
        rows = [
            {
                "table": key.partition("/")[0],
                "part": transaction.part,
                "key": key.partition("/")[2],
                "value": base64.b64encode(row.value).decode(),
                "ver": row.version,
            }
            for key, row in found.items()
        ]
        answer = {"rows": rows, "ver": self.memory.last_version}
        await send_json(send, 412, answer)

    async def _later(self, transaction: Transaction) -> None:
        await trio.sleep(self.knobs.late_effect_s)
        self.memory.transact_now(transaction)

    def _loses(self, transaction: Transaction) -> bool:
        table = f"{self.knobs.lose_table}/"
        if self.knobs.lose_table and not any(
            put.key.startswith(table) for put in transaction.puts
        ):
            return False
        if self.knobs.lose_next > 0:
            self.knobs.lose_next -= 1
            return True
        return self.rng.random() < self.knobs.lose_share

    async def _objects(self, scope: Any, path: str, body: bytes, send: Any) -> None:
        call, _, name = path.removeprefix("/v1/").partition("/")
        name = unquote(name)
        if call == "blob-list":
            query = parse_qs(scope["query_string"].decode())
            prefix = query.get("prefix", [""])[0]
            names = await self.memory.list_objects(prefix)
            await send_json(send, 200, {"names": names, "truncated": False})
        elif call == "blob-put":
            await self.memory.put_object(name, body)
            await send_json(send, 200, {})
        elif call == "blob-drop":
            await self.memory.delete_object(name)
            await send_json(send, 200, {})
        else:
            found = await self.memory.get_object(name)
            status = 404 if found is None else 200
            await start_response(send, status, b"application/octet-stream", "")
            await send_part(send, found or b"", more=False)


def _key(entry: dict[str, Any]) -> str:
    return f"{entry['table']}/{entry['key']}"


async def main(port: int) -> None:
    """Serves until killed."""
    async with trio.open_nursery() as nursery:
        await run_standin(PlatformStandin(nursery), port)


if __name__ == "__main__":
    start(main, arguments().port)
