"""The online path: filters that a request passes, and the dispatch behind them."""

from coppercleat.online._claims import AnswerStore, StoredAnswer
from coppercleat.online._dispatch import Dispatcher
from coppercleat.online._exchange import Call, Chunk, Exchange, Infer
from coppercleat.online._filters import ANONYMOUS, find_tenant, pick_version
from coppercleat.online._pipeline import FILTERS, Pipeline, online_filter
from coppercleat.online._services import OnlineServices

__all__ = [
    "ANONYMOUS",
    "FILTERS",
    "AnswerStore",
    "Call",
    "Chunk",
    "Dispatcher",
    "Exchange",
    "Infer",
    "OnlineServices",
    "Pipeline",
    "StoredAnswer",
    "find_tenant",
    "online_filter",
    "pick_version",
]
