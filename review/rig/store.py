"""Stand-in for the platform's metadata store, as PROTOCOL.md tells it."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import json
import time
from typing import Any

from rig.wire import Call, reply, serve

_MOST_ROWS = 500
_ANSWER_S = 0.004
_TX_S = 0.008

Place = tuple[str, str, str]
"""Table, part and key of a row."""


@dataclasses.dataclass
class _Row:
    value: str | None
    ver: int


class Store:
    """Rows with versions from one counter, their changes, and raw objects."""

    def __init__(self) -> None:
        """Prepares an empty store."""
        self.rows: dict[Place, _Row] = {}
        self.blobs: dict[str, bytes] = {}
        self.ver = 0
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Serves on a free loopback port."""
        self._server = await serve(0, self._handle, keep=True)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, table: str, key: str, value: bytes) -> None:
        """Writes a row as the operator or a runner does."""
        self.ver += 1
        self.rows[table, "", key] = _Row(_text(value), self.ver)

    def drop(self, table: str, key: str) -> None:
        """Removes a row as a runner that leaves does."""
        if (table, "", key) in self.rows:
            self.ver += 1
            self.rows[table, "", key] = _Row(None, self.ver)

    def listed(self, table: str) -> list[str]:
        """Returns the values of all rows of a table, decoded."""
        return [
            _bytes(row.value).decode()
            for place, row in self.rows.items()
            if place[0] == table and row.value is not None
        ]

    async def _handle(self, call: Call) -> None:
        await asyncio.sleep(_ANSWER_S)
        name = call.path.removeprefix("/v1/")
        if name == "rows-tx":
            await asyncio.sleep(_TX_S)
            await self._transact(call)
        elif name == "rows-get":
            await self._get(call)
        elif name == "rows-feed":
            await self._feed(call)
        elif name == "rows-parts":
            table = call.query["table"]
            parts = sorted(
                {p[1] for p, r in self.rows.items() if p[0] == table and r.value}
            )
            after = call.query.get("after", "")
            await _json(call, 200, {"parts": [p for p in parts if p > after]})
        else:
            await self._blob(call, name)

    async def _transact(self, call: Call) -> None:
        body = json.loads(call.body)
        checks = body["expectedRev"]
        now = [(_place(c), self.rows.get(_place(c))) for c in checks]
        known = [row.ver if row and row.value is not None else 0 for _, row in now]
        if known != [check["ver"] for check in checks]:
            rows = [_wire(p, r) for p, r in now if r and r.value is not None]
            await _json(call, 412, {"rows": rows, "ver": self.ver})
            return
        self.ver += 1
        for entry in body["put"]:
            self.rows[_place(entry)] = _Row(entry["value"], self.ver)
        for entry in body["remove"]:
            self.rows[_place(entry)] = _Row(None, self.ver)
        await _json(call, 200, {"ver": self.ver, "nowMs": _now_ms()})

    async def _get(self, call: Call) -> None:
        query = call.query
        table, part = query["table"], query.get("part", "")
        begin, end = query.get("from", ""), query.get("to", "\x7f")
        found = sorted(
            (place, row)
            for place, row in self.rows.items()
            if place[:2] == (table, part)
            and row.value is not None
            and begin <= place[2] < end
        )
        most = min(_MOST_ROWS, int(query.get("limit", _MOST_ROWS)))
        rows = [_wire(place, row) for place, row in found[:most]]
        body = {"rows": rows, "truncated": len(found) > most}
        await _json(call, 200, body | {"ver": self.ver, "nowMs": _now_ms()})

    async def _feed(self, call: Call) -> None:
        table, after = call.query["table"], int(call.query["after"])
        changed = [
            (place, row)
            for place, row in self.rows.items()
            if place[0] == table and row.ver > after
        ]
        changed.sort(key=lambda entry: entry[1].ver)
        rows = [_wire(place, row) for place, row in changed]
        await _json(call, 200, {"rows": rows, "ver": self.ver, "nowMs": _now_ms()})

    async def _blob(self, call: Call, name: str) -> None:
        what, _, blob = name.partition("/")
        if what == "blob-put":
            self.blobs[blob] = call.body
            await reply(call, 200)
        elif what == "blob-get" and blob in self.blobs:
            await reply(call, 200, self.blobs[blob])
        elif what == "blob-drop":
            self.blobs.pop(blob, None)
            await reply(call, 200)
        elif what == "blob-list":
            prefix = call.query.get("prefix", "")
            names = sorted(b for b in self.blobs if b.startswith(prefix))
            await _json(call, 200, {"names": names, "truncated": False})
        else:
            await reply(call, 404)


def _place(entry: dict[str, Any]) -> Place:
    return entry["table"], entry.get("part", ""), entry["key"]


def _wire(place: Place, row: _Row) -> dict[str, Any]:
    table, part, key = place
    entry = {"table": table, "part": part, "key": key, "ver": row.ver}
    if row.value is None:
        return entry | {"tombstone": True}
    return entry | {"value": row.value}


def _text(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _bytes(value: str) -> bytes:
    return base64.b64decode(value)


def _now_ms() -> int:
    return int(time.monotonic() * 1000)


async def _json(call: Call, status: int, body: dict[str, Any]) -> None:
    headers = {"content-type": "application/json"}
    await reply(call, status, json.dumps(body).encode(), headers)
