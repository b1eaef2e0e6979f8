"""Serves requests that are passed on unchanged, over one fleet of upstreams."""

from coppercleat.serving._account_load import (
    AccountLoad,
    AccountLoadReport,
    AccountSlots,
)
from coppercleat.serving._admission import Admission
from coppercleat.serving._admission_queue import AdmissionQueue
from coppercleat.serving._answer_use import (
    EVENT_STREAM,
    is_event_stream,
    response_head,
    unusable_success_reason,
)
from coppercleat.serving._answers import incompleteness_reason
from coppercleat.serving._demand import Demand, ResponseTimes
from coppercleat.serving._events import EventStreamParser, StreamEvent
from coppercleat.serving._fair_share import (
    MIN_SHARE_SLOTS,
    FairShares,
    ShareStanding,
    ShareWeights,
    share_level,
    share_slots,
)
from coppercleat.serving._fleet_order import (
    PeerQueues,
    QueuedWork,
    QueuePosition,
    Rank,
    YieldTimer,
)
from coppercleat.serving._forwarding import Forwarder, RequestSummary
from coppercleat.serving._generation import (
    NO_GENERATION,
    Generation,
    Precedence,
    precedence,
)
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
from coppercleat.serving._queued_request import (
    MIN_RETRY_AFTER_S,
    Overloaded,
    QueuedRequest,
)
from coppercleat.serving._results import RecentResults
from coppercleat.serving._sequence import EventSequence
from coppercleat.serving._settings import (
    GatewaySettings,
    OverloadSettings,
    StoreRates,
)
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
    "NO_GENERATION",
    "Generation",
    "Precedence",
    "precedence",
    "AbandonedAttempts",
    "AccountLoad",
    "AccountLoadReport",
    "AccountSlots",
    "Admission",
    "AdmissionQueue",
    "AttemptKind",
    "AttemptOutcome",
    "Catalogue",
    "ClientLimits",
    "Demand",
    "EVENT_STREAM",
    "EventSequence",
    "EventStreamParser",
    "FairShares",
    "ForwardedPart",
    "Forwarder",
    "GatewayPeers",
    "GatewaySettings",
    "Header",
    "InFlight",
    "ItemEvents",
    "LEAVE_TIMEOUT_S",
    "LoadProber",
    "MIN_RETRY_AFTER_S",
    "MIN_SHARE_SLOTS",
    "NextStep",
    "NoUpstreamAvailable",
    "OnlineRequest",
    "OverloadSettings",
    "Overloaded",
    "PeerQueues",
    "Placement",
    "QueuePosition",
    "QueuedRequest",
    "QueuedWork",
    "Rank",
    "RecentResults",
    "Refusal",
    "RefusalReason",
    "Reply",
    "RequestProgress",
    "RequestSummary",
    "ResponseTimes",
    "Route",
    "RouteConfig",
    "RouteKind",
    "RouteTable",
    "ShareStanding",
    "ShareWeights",
    "StallOnsets",
    "StoreRates",
    "StreamEvent",
    "StreamOrigin",
    "Target",
    "Upstream",
    "UpstreamCallError",
    "UpstreamCaller",
    "UpstreamList",
    "UpstreamNotListeningError",
    "UpstreamReport",
    "UpstreamResponse",
    "UpstreamState",
    "Watch",
    "WorkCounts",
    "WorkInFlight",
    "YieldTimer",
    "ZoneWorkInFlight",
    "estimate_untracked",
    "incarnation_probe",
    "incompleteness_reason",
    "is_event_stream",
    "jobs_poll_interval_s",
    "lease_s",
    "may_go_on",
    "renewal_interval_s",
    "response_head",
    "unusable_success_reason",
    "share_level",
    "share_slots",
    "retry_interval_s",
    "routes_poll_interval_s",
    "stall_check_times",
    "upstreams_poll_interval_s",
]
