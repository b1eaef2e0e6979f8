"""What must last: ports to the platform's services, and their adapters."""

from coppercleat.platform._http import HttpPlatform
from coppercleat.platform._memory import MemoryPlatform
from coppercleat.platform._pace import paced
from coppercleat.platform._port import (
    ABSENT,
    AnswerLostError,
    Check,
    Listing,
    Node,
    NodeRole,
    NodeState,
    Platform,
    Put,
    Row,
    Transaction,
    TransactionRefused,
    decode_row,
)

__all__ = [
    "ABSENT",
    "AnswerLostError",
    "Check",
    "HttpPlatform",
    "Listing",
    "MemoryPlatform",
    "Node",
    "NodeRole",
    "NodeState",
    "Platform",
    "Put",
    "Row",
    "Transaction",
    "TransactionRefused",
    "decode_row",
    "paced",
]
