"""Admin endpoint to list quarantined requests and to clear one."""

from __future__ import annotations

import time
from typing import Any
from urllib.parse import parse_qs

import msgspec
import trio

from coppercleat.asgi import Scope, Send, send_json
from coppercleat.observability import part_logger
from coppercleat.quarantine._end_watch import CrashDetector
from coppercleat.quarantine._fingerprint import (
    Fingerprint,
    format_fingerprint,
    kind_of,
)

QUARANTINE_PATH = "/quarantine"
"""GET lists quarantined requests; DELETE with ``?fingerprint=HEX`` clears one on all
instances."""

_log = part_logger("quarantine")


class QuarantinedRequest(msgspec.Struct):
    """A quarantined request, as the endpoint lists it.

    Attributes:
      fingerprint: In hexadecimal; that of a part of prompts is the part's id.
      kind: See ``SubjectKind``.
      upstreams: Ids of the upstreams that crashed, in the order of the reports.
      last_at: Unix time of the last crash, in seconds.
      retry_after_s: Seconds until a trial is allowed; 0 if it is allowed now.
    """

    fingerprint: str
    kind: str
    upstreams: list[str]
    last_at: float
    retry_after_s: float


def list_quarantined_requests(detector: CrashDetector[Any]) -> list[QuarantinedRequest]:
    """Returns the quarantined requests that this instance knows."""
    now = trio.current_time()
    wall_at_zero = time.time() - now
    requests = []
    for fingerprint in detector.history.quarantined(now=now):
        crashes = detector.history.crashes_of(fingerprint)
        verdict = detector.standing(fingerprint)
        requests.append(
            QuarantinedRequest(
                fingerprint=format_fingerprint(fingerprint),
                kind=kind_of(fingerprint).value,
                upstreams=[crash.upstream for crash in crashes],
                last_at=round(wall_at_zero + max(crash.at for crash in crashes), 3),
                retry_after_s=round(verdict.retry_after_s, 1),
            )
        )
    return requests


async def serve_quarantine(
    detector: CrashDetector[Any], scope: Scope, send: Send
) -> None:
    """Answers one HTTP request to the endpoint.

    Args:
      detector: Holds the quarantined requests.
      scope: ASGI scope of the request.
      send: Sends the ASGI messages of the response.
    """
    if scope["method"] == "GET":
        await send_json(
            send, 200, msgspec.to_builtins(list_quarantined_requests(detector))
        )
        return
    if scope["method"] != "DELETE":
        await send_json(send, 405, {"error": "GET lists, DELETE clears one"})
        return
    query = parse_qs(scope["query_string"].decode("latin-1"))
    hex_digits = query.get("fingerprint", [""])[0]
    try:
        fingerprint = Fingerprint(bytes.fromhex(hex_digits))
    except ValueError:
        await send_json(send, 400, {"error": "the fingerprint is not hexadecimal"})
        return
    cleared = detector.clear(fingerprint)
    _log.warning(
        "An operator asked to clear a quarantined request.",
        fingerprint=hex_digits,
        cleared=cleared,
    )
    await send_json(send, 200 if cleared else 404, {"cleared": cleared})
