"""What the system tells of itself: logs, metrics and the event ring."""

from coppercleat.observability._logs import configure_logs, part_logger
from coppercleat.observability._metrics import Metrics
from coppercleat.observability._output import LineBudget, LineOutput
from coppercleat.observability._ring import EventRing
from coppercleat.observability._search import lines_about

__all__ = [
    "EventRing",
    "LineBudget",
    "LineOutput",
    "Metrics",
    "configure_logs",
    "lines_about",
    "part_logger",
]
