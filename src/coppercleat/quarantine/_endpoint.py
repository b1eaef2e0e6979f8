"""The page by which operators list quarantined requests and clear one."""

from __future__ import annotations

import time
from typing import Any
from urllib.parse import parse_qs

import msgspec
import trio

from coppercleat.asgi import Scope, Send, send_json
from coppercleat.observability import part_logger
from coppercleat.quarantine._detector import EndWatch
from coppercleat.quarantine._fingerprint import Fingerprint, shown

PAGE = "/quarantine"
"""GET lists; DELETE with ``?fingerprint=HEX`` clears one, at all instances."""

_log = part_logger("quarantine")


class QuarantinedRequest(msgspec.Struct):
    """A request that is kept from running.

    Attributes:
      upstreams: Those that ended under it, in order.
      last_at: When the last one ended, in Unix seconds.
      retry_after_s: When one trial of it may be made; 0 for now.
    """

    fingerprint: str
    upstreams: list[str]
    last_at: float
    retry_after_s: float


def list_quarantined_requests(watch: EndWatch[Any]) -> list[QuarantinedRequest]:
    """Returns the requests that are kept from running."""
    now = trio.current_time()
    wall_at_zero = time.time() - now
    found = []
    for fingerprint in watch.ledger.quarantined(now=now):
        ends = watch.ledger.ends_of(fingerprint)
        verdict = watch.ledger.verdict(fingerprint, now=now)
        found.append(
            QuarantinedRequest(
                fingerprint=shown(fingerprint),
                upstreams=[end.upstream for end in ends],
                last_at=round(wall_at_zero + max(end.at for end in ends), 3),
                retry_after_s=round(verdict.retry_after_s, 1),
            )
        )
    return found


async def serve_page(watch: EndWatch[Any], scope: Scope, send: Send) -> None:
    """Serves one call of the page."""
    if scope["method"] == "GET":
        await send_json(
            send, 200, msgspec.to_builtins(list_quarantined_requests(watch))
        )
        return
    if scope["method"] != "DELETE":
        await send_json(send, 405, {"error": "GET lists, DELETE clears one"})
        return
    query = parse_qs(scope["query_string"].decode("latin-1"))
    named = query.get("fingerprint", [""])[0]
    try:
        fingerprint = Fingerprint(bytes.fromhex(named))
    except ValueError:
        await send_json(send, 400, {"error": "the fingerprint is not hexadecimal"})
        return
    cleared = watch.answered(fingerprint)
    _log.warning("An operator clears a request.", fingerprint=named, cleared=cleared)
    await send_json(send, 200 if cleared else 404, {"cleared": cleared})
