"""Serves requests that are passed on unchanged, over one fleet of upstreams."""

from coppercleat.serving._admission import Admission
from coppercleat.serving._admission_queue import (
    MIN_RETRY_AFTER_S,
    AdmissionQueue,
    Overloaded,
    QueuedRequest,
)
from coppercleat.serving._answer_use import EVENT_STREAM, is_event_stream, response_head
from coppercleat.serving._answers import incompleteness_reason
from coppercleat.serving._demand import Demand, ResponseTimes
from coppercleat.serving._events import EventStreamParser, StreamEvent
from coppercleat.serving._fleet_order import (
    PeerQueues,
    QueuedWork,
    QueuePosition,
    Rank,
    YieldTimer,
)
from coppercleat.serving._forwarding import Forwarder, RequestSummary
from coppercleat.serving._incarnation_probe import incarnation_probe, may_go_on
from coppercleat.serving._model import (
    ClientLimits,
    Header,
    OnlineRequest,
    Refusal,
    RefusalReason,
    Reply,
    Route,
    RouteConfig,
    RouteKind,
    RouteTable,
    Target,
    Upstream,
)
from coppercleat.serving._pauses import (
    jobs_poll_interval_s,
    lease_s,
    renewal_interval_s,
    retry_interval_s,
    routes_poll_interval_s,
    upstreams_poll_interval_s,
)
from coppercleat.serving._peer_messages import (
    ItemEvents,
    WorkInFlight,
    ZoneWorkInFlight,
)
from coppercleat.serving._peers import GatewayPeers
from coppercleat.serving._placement import NoUpstreamAvailable, Placement
from coppercleat.serving._progress import (
    AttemptOutcome,
    ForwardedPart,
    NextStep,
    RequestProgress,
)
from coppercleat.serving._results import RecentResults
from coppercleat.serving._sequence import EventSequence
from coppercleat.serving._settings import GatewaySettings, StoreRates
from coppercleat.serving._silence import stall_check_times
from coppercleat.serving._silent_moments import StallOnsets
from coppercleat.serving._silent_runs import AbandonedAttempts, AttemptKind
from coppercleat.serving._stream_origins import StreamOrigin
from coppercleat.serving._survey import LoadProber
from coppercleat.serving._unknown_runs import estimate_untracked
from coppercleat.serving._upstream_call import (
    UpstreamCaller,
    UpstreamCallError,
    UpstreamNotListeningError,
    UpstreamReport,
    UpstreamResponse,
)
from coppercleat.serving._upstream_state import UpstreamState
from coppercleat.serving._watch import (
    LEAVE_TIMEOUT_S,
    Catalogue,
    UpstreamList,
    Watch,
)
from coppercleat.serving._work_counts import InFlight, WorkCounts

__all__ = [
    "LEAVE_TIMEOUT_S",
    "EVENT_STREAM",
    "MIN_RETRY_AFTER_S",
    "Admission",
    "AdmissionQueue",
    "ResponseTimes",
    "AttemptOutcome",
    "Catalogue",
    "ClientLimits",
    "Demand",
    "EventSequence",
    "EventStreamParser",
    "PeerQueues",
    "Forwarder",
    "GatewaySettings",
    "Header",
    "InFlight",
    "ItemEvents",
    "NextStep",
    "UpstreamNotListeningError",
    "NoUpstreamAvailable",
    "OnlineRequest",
    "ForwardedPart",
    "YieldTimer",
    "GatewayPeers",
    "QueuePosition",
    "Placement",
    "Rank",
    "RecentResults",
    "Refusal",
    "RefusalReason",
    "Reply",
    "RequestSummary",
    "RequestProgress",
    "Route",
    "RouteConfig",
    "RouteKind",
    "RouteTable",
    "AttemptKind",
    "StallOnsets",
    "AbandonedAttempts",
    "StoreRates",
    "StreamEvent",
    "StreamOrigin",
    "LoadProber",
    "Target",
    "Overloaded",
    "Upstream",
    "UpstreamResponse",
    "UpstreamCallError",
    "UpstreamCaller",
    "UpstreamList",
    "UpstreamReport",
    "UpstreamState",
    "QueuedRequest",
    "QueuedWork",
    "Watch",
    "WorkCounts",
    "WorkInFlight",
    "ZoneWorkInFlight",
    "response_head",
    "is_event_stream",
    "estimate_untracked",
    "jobs_poll_interval_s",
    "lease_s",
    "incarnation_probe",
    "may_go_on",
    "stall_check_times",
    "renewal_interval_s",
    "retry_interval_s",
    "routes_poll_interval_s",
    "upstreams_poll_interval_s",
    "incompleteness_reason",
]
