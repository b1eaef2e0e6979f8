"""Membership of the instances, and the transport of messages between them."""

from coppercleat.membership._detector import Detector, Member
from coppercleat.membership._envelope import (
    MAX_MESSAGE_BYTES,
    EnvelopeReader,
    EnvelopeWriter,
    OpenedMessage,
    RejectedMessage,
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
    UpstreamDraining,
)
from coppercleat.membership._messenger import Messenger
from coppercleat.membership._silent_links import (
    FailedDirection,
    LinkWatch,
    MessageKind,
    SilentLink,
)

__all__ = [
    "MAX_ARRIVALS",
    "MAX_MESSAGE_BYTES",
    "ConfigurationChanges",
    "ConfigurationPull",
    "ConfigurationSnapshot",
    "Detector",
    "EnvelopeReader",
    "EnvelopeWriter",
    "FailedDirection",
    "HandlerRegistry",
    "Heartbeat",
    "JobHint",
    "LinkCheck",
    "LinkWatch",
    "Links",
    "Member",
    "MemberLine",
    "Message",
    "MessageKind",
    "Messenger",
    "NodesKnown",
    "OnlineArrivals",
    "OpenedMessage",
    "RejectedMessage",
    "SilentLink",
    "UpstreamDraining",
]
