"""Which entry instances live, and what they tell each other."""

from coppercleat.membership._detector import Detector, Member
from coppercleat.membership._envelope import (
    MAX_MESSAGE_BYTES,
    EnvelopeReader,
    EnvelopeWriter,
    Garbage,
)
from coppercleat.membership._handlers import HandlerRegistry
from coppercleat.membership._links import Links
from coppercleat.membership._messages import (
    ConfigurationChanges,
    ConfigurationPull,
    ConfigurationSnapshot,
    Heartbeat,
    JobHint,
    MemberLine,
    Message,
    NodesKnown,
    NotHeard,
    OnlineArrivals,
    UpstreamLeaving,
)
from coppercleat.membership._messenger import Messenger

__all__ = [
    "MAX_MESSAGE_BYTES",
    "ConfigurationChanges",
    "ConfigurationPull",
    "ConfigurationSnapshot",
    "Detector",
    "EnvelopeReader",
    "EnvelopeWriter",
    "Garbage",
    "HandlerRegistry",
    "Heartbeat",
    "JobHint",
    "Links",
    "Member",
    "MemberLine",
    "Message",
    "Messenger",
    "NodesKnown",
    "NotHeard",
    "OnlineArrivals",
    "UpstreamLeaving",
]
