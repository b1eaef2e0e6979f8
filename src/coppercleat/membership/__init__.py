"""Membership of the instances, and the transport of messages between them."""

from coppercleat.membership._detector import Detector, Member
from coppercleat.membership._envelope import (
    MAX_MESSAGE_BYTES,
    EnvelopeReader,
    EnvelopeWriter,
    Garbage,
    Opened,
)
from coppercleat.membership._handlers import HandlerRegistry
from coppercleat.membership._links import Links
from coppercleat.membership._messages import (
    MAX_ARRIVALS,
    ConfigurationChanges,
    ConfigurationPull,
    ConfigurationSnapshot,
    Heartbeat,
    JobHint,
    LinkCheck,
    MemberLine,
    Message,
    NodesKnown,
    OnlineArrivals,
    UpstreamLeaving,
)
from coppercleat.membership._messenger import Messenger
from coppercleat.membership._silent_links import Kind, LinkWatch, Silent, Way

__all__ = [
    "MAX_ARRIVALS",
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
    "Kind",
    "LinkCheck",
    "LinkWatch",
    "Links",
    "Member",
    "MemberLine",
    "Message",
    "Messenger",
    "NodesKnown",
    "OnlineArrivals",
    "Opened",
    "Silent",
    "UpstreamLeaving",
    "Way",
]
