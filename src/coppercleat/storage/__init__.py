"""What must last: the port to rows, objects and the node list, and one in memory."""

from coppercleat.storage._memory import MemoryPlatform
from coppercleat.storage._pace import paced
from coppercleat.storage._port import (
    ABSENT,
    BAD_BYTES,
    MAX_TRANSACTION_ENTRIES,
    AnswerLostError,
    ChangedRow,
    Changes,
    Check,
    HistoryLostError,
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
from coppercleat.storage._table_follower import TableFollower

__all__ = [
    "ABSENT",
    "BAD_BYTES",
    "MAX_TRANSACTION_ENTRIES",
    "AnswerLostError",
    "ChangedRow",
    "Changes",
    "Check",
    "HistoryLostError",
    "Listing",
    "MemoryPlatform",
    "Node",
    "NodeRole",
    "NodeState",
    "Platform",
    "Put",
    "Row",
    "TableFollower",
    "Transaction",
    "TransactionRefused",
    "decode_row",
    "paced",
]
