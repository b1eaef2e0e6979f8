"""Forwards online requests to a fleet of upstreams: admission, placement, failover."""

from coppercleat.serving._admission import Admission
from coppercleat.serving._admission_queue import (
    RETRY_AFTER_S,
    AdmissionQueue,
    TooLate,
    Waiter,
)
from coppercleat.serving._answer_use import EVENT_STREAM, is_event_stream, response_head
from coppercleat.serving._answers import incompleteness_reason
from coppercleat.serving._demand import AnswerTimes, Demand
from coppercleat.serving._events import EventStreamParser, StreamEvent
from coppercleat.serving._fleet_order import (
    FleetOrder,
    Patience,
    Place,
    Rank,
    Waiting,
)
from coppercleat.serving._forwarding import Forwarder, RequestSummary
from coppercleat.serving._life_question import life_question
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
from coppercleat.serving._node import GatewaySettings, StoreRates
from coppercleat.serving._pauses import (
    jobs_pause_s,
    lease_s,
    renewal_pause_s,
    routes_pause_s,
    upstreams_pause_s,
)
from coppercleat.serving._peers import (
    GatewayPeers,
    ItemEvents,
    WorkInFlight,
    ZoneWorkInFlight,
)
from coppercleat.serving._placement import Nowhere, Placement
from coppercleat.serving._progress import (
    AttemptOutcome,
    ForwardedPart,
    NextStep,
    RequestProgress,
)
from coppercleat.serving._results import RecentResults
from coppercleat.serving._sequence import EventSequence
from coppercleat.serving._silence import stall_check_times
from coppercleat.serving._silent_moments import StallOnsets
from coppercleat.serving._silent_runs import AbandonedAttempts, AttemptKind
from coppercleat.serving._survey import LoadProber
from coppercleat.serving._unknown_runs import believed_runs
from coppercleat.serving._upstream_call import (
    UpstreamCaller,
    UpstreamCallError,
    UpstreamNotListeningError,
    UpstreamReport,
    UpstreamResponse,
)
from coppercleat.serving._upstream_state import UpstreamState
from coppercleat.serving._watch import Catalogue, UpstreamList, Watch
from coppercleat.serving._work_counts import InFlight, WorkCounts

__all__ = [
    "EVENT_STREAM",
    "RETRY_AFTER_S",
    "Admission",
    "AdmissionQueue",
    "AnswerTimes",
    "AttemptOutcome",
    "Catalogue",
    "ClientLimits",
    "Demand",
    "EventSequence",
    "EventStreamParser",
    "FleetOrder",
    "Forwarder",
    "GatewaySettings",
    "Header",
    "InFlight",
    "ItemEvents",
    "NextStep",
    "UpstreamNotListeningError",
    "Nowhere",
    "OnlineRequest",
    "ForwardedPart",
    "Patience",
    "GatewayPeers",
    "Place",
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
    "LoadProber",
    "Target",
    "TooLate",
    "Upstream",
    "UpstreamResponse",
    "UpstreamCallError",
    "UpstreamCaller",
    "UpstreamList",
    "UpstreamReport",
    "UpstreamState",
    "Waiter",
    "Waiting",
    "Watch",
    "WorkCounts",
    "WorkInFlight",
    "ZoneWorkInFlight",
    "response_head",
    "is_event_stream",
    "believed_runs",
    "jobs_pause_s",
    "lease_s",
    "life_question",
    "stall_check_times",
    "renewal_pause_s",
    "routes_pause_s",
    "upstreams_pause_s",
    "incompleteness_reason",
]
