"""Online request path: a pipeline of filters that ends in the dispatcher."""

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
    "Chunk",
    "Dispatcher",
    "Exchange",
    "IdempotencyRecord",
    "IdempotencyStore",
    "InferenceRequest",
    "OnlineServices",
    "Pipeline",
    "ServiceRequest",
    "find_tenant",
    "online_filter",
    "pick_version",
]
