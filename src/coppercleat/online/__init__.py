"""The online path: filters that a request passes, and the dispatch behind them."""

from coppercleat.online._claims import IdempotencyRecord, IdempotencyStore
from coppercleat.online._dispatch import Dispatcher
from coppercleat.online._exchange import (
    Chunk,
    Exchange,
    InferenceRequest,
    ServiceRequest,
)
from coppercleat.online._filters import ANONYMOUS, find_tenant, pick_version
from coppercleat.online._pipeline import FILTERS, Pipeline, online_filter
from coppercleat.online._services import OnlineServices

__all__ = [
    "ANONYMOUS",
    "FILTERS",
    "IdempotencyStore",
    "ServiceRequest",
    "Chunk",
    "Dispatcher",
    "Exchange",
    "InferenceRequest",
    "OnlineServices",
    "Pipeline",
    "IdempotencyRecord",
    "find_tenant",
    "online_filter",
    "pick_version",
]
