"""Calls to upstreams: what was sent, what came back, and what that proves."""

from coppercleat.upstreams._attempt import Attempt, AttemptState
from coppercleat.upstreams._client import (
    EngineRequest,
    LoadReport,
    OrderRefusedError,
    UpstreamClient,
)
from coppercleat.upstreams._events import EventParser, MalformedStreamError, TokenEvent
from coppercleat.upstreams._refused import nothing_listens
from coppercleat.upstreams._running_time import RunningTimeBackend, within
from coppercleat.upstreams._traced_call import TracedCall

__all__ = [
    "Attempt",
    "AttemptState",
    "EngineRequest",
    "EventParser",
    "LoadReport",
    "MalformedStreamError",
    "OrderRefusedError",
    "RunningTimeBackend",
    "TokenEvent",
    "TracedCall",
    "UpstreamClient",
    "nothing_listens",
    "within",
]
