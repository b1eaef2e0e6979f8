"""The platform's store: rows, their changes, and objects, over HTTP."""

from __future__ import annotations

import base64
from collections.abc import Callable, Sequence
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

import msgspec
import trio

from coppercleat.errors import PlatformUnavailableError
from coppercleat.platform._names import Path
from coppercleat.platform._store_connections import (
    Drop,
    NoAnswerError,
    StoreCall,
    StoreConnections,
)
from coppercleat.platform._store_evidence import CallKind
from coppercleat.storage import (
    ABSENT,
    AnswerLostError,
    ChangedRow,
    Changes,
    HistoryLostError,
    Listing,
    Node,
    Row,
    Transaction,
    TransactionRefused,
    decode_row,
)

CALL_TIMEOUT_S = 2.0
"""For one call. The store answers in some 10 ms, in 0.5 s when it is slow; after 2 s
the answer is taken as lost."""

_SCAN_ROWS = 500
"""Rows in one answer at most, by the platform."""

_NOT_TAKEN = (429, 503, 403, 507)
"""Statuses that promise that nothing was done."""

_RETRY_AFTER_MS = 300
_NODE_PREFIX = "node/"
"""Rows of the product's own node list, one a node."""

_NEWEST = f"{Path.ROWS_GET}?{urlencode({'table': 'none', 'limit': 1})}"
"""A read of an empty table: it shows the newest version, and that the store answers."""

_LOWEST = "!"
_HIGHEST = "\x7f"
"""Sort before and after whatever may follow in a key: keys are printable ASCII."""

_OBJECT_PATHS = (Path.BLOB_PUT, Path.BLOB_GET, Path.BLOB_DROP, Path.BLOB_LIST)

_T = TypeVar("_T")


class _WireRow(msgspec.Struct, omit_defaults=True):
    table: str
    part: str
    key: str
    value: str = ""
    ver: int = 0
    tombstone: bool = False


class _Condition(msgspec.Struct):
    table: str
    part: str
    key: str
    ver: int


class _Value(msgspec.Struct):
    table: str
    part: str
    key: str
    value: str


class _Place(msgspec.Struct):
    table: str
    part: str
    key: str


class _TxBody(msgspec.Struct):
    expectedRev: list[_Condition]  # noqa: N815 - the platform's spelling
    put: list[_Value]
    remove: list[_Place]


class _TxAnswer(msgspec.Struct):
    ver: int = 0
    rows: list[_WireRow] = []


class _RowsAnswer(msgspec.Struct):
    rows: list[_WireRow] = []
    truncated: bool = False
    ver: int = 0


class _PartsAnswer(msgspec.Struct):
    parts: list[str] = []
    truncated: bool = False


class _NamesAnswer(msgspec.Struct):
    names: list[str] = []


class StoreClient:
    """Calls the store; the one client for it.

    A key's first segment names the table, the rest is the key there.
    """

    def __init__(
        self,
        url: str,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
        on_call: Callable[[bool, float], None] | None = None,
        on_drop: Callable[[Drop, int], None] | None = None,
    ) -> None:
        """Prepares the pool; connects on first use.

        Args:
          url: Base URL.
          timeout_s: Seconds for one call, connecting included.
          on_call: Told after each call whether the store answered, and how many
            seconds it took.
          on_drop: Told why how many connections were closed before their time.
        """
        self.url = url.rstrip("/")
        self.timeout_s = timeout_s
        self._on_call = on_call or (lambda answered, seconds: None)
        self._connections = StoreConnections(
            self.url,
            timeout_s=timeout_s,
            probe_path=_NEWEST,
            on_drop=on_drop or (lambda why, count: None),
        )

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._connections.aclose()

    # Rows.

    async def read(self, keys: Sequence[str], *, part: str = "") -> dict[str, Row]:
        """See ``Platform.read``."""
        found: dict[str, Row] = {}
        for key in keys:
            table, name = _place(key)
            answer = await self._rows(
                table=table, part=part, **{"from": name, "to": name + _LOWEST}
            )
            found |= {_key(row): _row(row) for row in answer.rows if row.key == name}
        return found

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 1000, part: str = ""
    ) -> list[tuple[str, Row]]:
        """See ``Platform.scan``."""
        table, name = _place(prefix)
        begin, end = name, name + _HIGHEST
        if after:
            begin = max(begin, _place(after)[1] + _LOWEST)
        found: list[tuple[str, Row]] = []
        while len(found) < limit:
            wanted = min(_SCAN_ROWS, limit - len(found))
            answer = await self._rows(
                table=table, part=part, limit=wanted, **{"from": begin, "to": end}
            )
            found += [(_key(row), _row(row)) for row in answer.rows]
            if not answer.truncated or not answer.rows:
                break
            begin = answer.rows[-1].key + _LOWEST
        return found

    async def rows_of(self, table: str) -> list[tuple[str, Row]]:
        """Returns all rows of a table's empty part, by their keys in the table."""
        rows = await self.scan(f"{table}/")
        return [(key.partition("/")[2], row) for key, row in rows]

    async def transact(
        self, transaction: Transaction
    ) -> dict[str, int] | TransactionRefused:
        """See ``Platform.transact``."""
        part = transaction.part
        body = _TxBody(
            [_Condition(*_at(c.key, part), c.version) for c in transaction.checks],
            [
                _Value(*_at(p.key, part), base64.b64encode(p.value).decode())
                for p in transaction.puts
            ],
            [_Place(*_at(key, part)) for key in transaction.deletes],
        )
        status, content = await self._change(
            "POST", Path.ROWS_TX, msgspec.json.encode(body), done=(200, 412)
        )
        answer = _decode(content, _TxAnswer)
        if status == 412:
            now = {_key(row): row.ver for row in answer.rows}
            failed = [
                check.key
                for check in transaction.checks
                if now.get(check.key, ABSENT) != check.version
            ]
            return TransactionRefused(tuple(failed))
        return {put.key: answer.ver for put in transaction.puts}

    async def changes(self, space: str, *, after: int) -> Changes:
        """See ``Platform.changes``."""
        query = urlencode({"table": space, "after": after, "waitMs": 0})
        status, content = await self._read(f"{Path.ROWS_FEED}?{query}")
        if status == 410:
            raise HistoryLostError(f"Changes of {space} after {after} are dropped")
        _require(status == 200, status)
        answer = _decode(content, _RowsAnswer)
        rows = [
            ChangedRow(row.part, _key(row), None if row.tombstone else _row(row))
            for row in answer.rows
        ]
        return Changes(tuple(rows), answer.ver)

    async def parts(self, space: str) -> list[str]:
        """See ``Platform.parts``."""
        found: list[str] = []
        while True:
            query = {"table": space}
            if found:
                query["after"] = found[-1]
            status, content = await self._read(f"{Path.ROWS_PARTS}?{urlencode(query)}")
            _require(status == 200, status)
            answer = _decode(content, _PartsAnswer)
            found += answer.parts
            if not answer.truncated or not answer.parts:
                return found

    async def newest_version(self) -> int:
        """See ``Platform.newest_version``."""
        answer = await self._rows(table="none", part="", limit=1)
        return answer.ver

    # Objects.

    async def put_object(self, name: str, body: bytes) -> None:
        """See ``Platform.put_object``."""
        await self._change("PUT", Path.BLOB_PUT + quote(name, safe=""), body)

    async def get_object(self, name: str) -> bytes | None:
        """See ``Platform.get_object``."""
        path = Path.BLOB_GET + quote(name, safe="")
        status, content = await self._read(path)
        if status == 404:
            return None
        _require(status == 200, status)
        return content

    async def delete_object(self, name: str) -> None:
        """See ``Platform.delete_object``."""
        path = Path.BLOB_DROP + quote(name, safe="")
        await self._change("DELETE", path, b"", done=(200, 204, 404))

    async def list_objects(self, prefix: str, *, limit: int = 1000) -> list[str]:
        """See ``Platform.list_objects``."""
        query = urlencode({"prefix": prefix})
        status, content = await self._read(f"{Path.BLOB_LIST}?{query}")
        _require(status == 200, status)
        return _decode(content, _NamesAnswer).names[:limit]

    async def list_nodes(self) -> Listing:
        """See ``Platform.list_nodes``."""
        rows = await self.scan(_NODE_PREFIX)
        return Listing(tuple(decode_row(row, Node) for _, row in rows))

    # Calls.

    async def _rows(self, **query: Any) -> _RowsAnswer:
        given = {name: value for name, value in query.items() if value != ""}
        path = f"{Path.ROWS_GET}?{urlencode(given)}"
        status, content = await self._read(path)
        _require(status == 200, status)
        return _decode(content, _RowsAnswer)

    async def _change(
        self, method: str, path: str, body: bytes, *, done: Sequence[int] = (200, 201)
    ) -> tuple[int, bytes]:
        """Makes a call with an effect.

        Raises:
          AnswerLostError: It was sent, and may have been performed.
        """
        try:
            status, content = await self._request(method, path, body)
        except NoAnswerError as error:
            if error.sent:
                raise AnswerLostError(f"The store is away: {error.why}") from error
            raise _unavailable(error.why) from error
        if status in _NOT_TAKEN:
            raise _unavailable(f"the store answered {status}")
        if status not in done:
            raise AnswerLostError(f"The store answered {status}")
        return status, content

    async def _read(self, path: str) -> tuple[int, bytes]:
        """Makes a call without an effect."""
        try:
            return await self._request("GET", path)
        except NoAnswerError as error:
            raise _unavailable(error.why) from error

    async def _request(
        self, method: str, path: str, body: bytes = b""
    ) -> tuple[int, bytes]:
        """Returns the status and body of one HTTP exchange."""
        headers = [(b"content-type", b"application/json")] if body else []
        if method in ("POST", "PUT"):
            headers.append((b"content-length", str(len(body)).encode()))
        of_object = path.startswith(_OBJECT_PATHS)
        kind = CallKind.CHANGE
        if method == "GET":
            kind = CallKind.OBJECT_READ if of_object else CallKind.READ
        began = trio.current_time()
        try:
            response = await self._connections.call(
                StoreCall(method, path, headers, body, kind, of_object)
            )
        except NoAnswerError:
            self._on_call(False, trio.current_time() - began)
            raise
        self._on_call(response.status < 500, trio.current_time() - began)
        return response.status, response.content


def _place(key: str) -> tuple[str, str]:
    """Returns the table and the key in it."""
    table, _, name = key.partition("/")
    return table, name


def _at(key: str, part: str) -> tuple[str, str, str]:
    table, name = _place(key)
    return table, part, name


def _key(row: _WireRow) -> str:
    return f"{row.table}/{row.key}"


def _row(row: _WireRow) -> Row:
    return Row(base64.b64decode(row.value), row.ver)


def _unavailable(why: str) -> PlatformUnavailableError:
    return PlatformUnavailableError(
        f"The store is away: {why}", retry_after_ms=_RETRY_AFTER_MS
    )


def _require(good: bool, status: int) -> None:
    if not good:
        raise _unavailable(f"it answered {status}")


def _decode(content: bytes, kind: type[_T]) -> _T:
    """Decodes an answer; bytes that do not fit count as no answer."""
    try:
        return msgspec.json.decode(content, type=kind)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise AnswerLostError(f"An answer that does not fit: {error}") from error
