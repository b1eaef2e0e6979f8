"""Serves requests that are passed on unchanged, over one fleet of upstreams."""

from coppercleat.serving._admission import Admission
from coppercleat.serving._admission_queue import (
    MIN_RETRY_AFTER_S,
    AdmissionQueue,
    Overloaded,
    QueuedRequest,
)
from coppercleat.serving._answer_use import EVENT_STREAM, head_of, is_event_stream
from coppercleat.serving._answers import why_incomplete
from coppercleat.serving._demand import Demand, ResponseTimes
from coppercleat.serving._events import EventSplitter, StreamEvent
from coppercleat.serving._fleet_order import (
    PeerQueues,
    QueuedWork,
    QueuePosition,
    Rank,
    YieldTimer,
)
from coppercleat.serving._forwarding import Forwarder, RequestEnd
from coppercleat.serving._incarnation_probe import incarnation_probe
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
    routes_poll_interval_s,
    upstreams_poll_interval_s,
)
from coppercleat.serving._peers import ItemEvents, Peers, WorkInFlight, ZoneWork
from coppercleat.serving._placement import NoUpstreamAvailable, Placement
from coppercleat.serving._progress import (
    AttemptEnd,
    NextStep,
    Passed,
    RequestProgress,
)
from coppercleat.serving._results import RecentResults
from coppercleat.serving._sequence import EventSequence
from coppercleat.serving._settings import GatewaySettings, StoreRates
from coppercleat.serving._silence import looks_for_silence
from coppercleat.serving._silent_moments import SilentMoments
from coppercleat.serving._silent_runs import RunKind, SilentRuns
from coppercleat.serving._survey import Survey
from coppercleat.serving._unknown_runs import estimate_untracked
from coppercleat.serving._upstream_call import (
    NothingListensError,
    UpstreamAnswer,
    UpstreamBrokeError,
    UpstreamCaller,
    UpstreamReport,
)
from coppercleat.serving._upstream_state import UpstreamState
from coppercleat.serving._watch import Catalogue, UpstreamList, Watch
from coppercleat.serving._work_counts import InFlight, WorkCounts

__all__ = [
    "EVENT_STREAM",
    "MIN_RETRY_AFTER_S",
    "Admission",
    "AdmissionQueue",
    "ResponseTimes",
    "AttemptEnd",
    "Catalogue",
    "ClientLimits",
    "Demand",
    "EventSequence",
    "EventSplitter",
    "PeerQueues",
    "Forwarder",
    "GatewaySettings",
    "Header",
    "InFlight",
    "ItemEvents",
    "NextStep",
    "NothingListensError",
    "NoUpstreamAvailable",
    "OnlineRequest",
    "Passed",
    "YieldTimer",
    "Peers",
    "QueuePosition",
    "Placement",
    "Rank",
    "RecentResults",
    "Refusal",
    "RefusalReason",
    "Reply",
    "RequestEnd",
    "RequestProgress",
    "Route",
    "RouteConfig",
    "RouteKind",
    "RouteTable",
    "RunKind",
    "SilentMoments",
    "SilentRuns",
    "StoreRates",
    "StreamEvent",
    "Survey",
    "Target",
    "Overloaded",
    "Upstream",
    "UpstreamAnswer",
    "UpstreamBrokeError",
    "UpstreamCaller",
    "UpstreamList",
    "UpstreamReport",
    "UpstreamState",
    "QueuedRequest",
    "QueuedWork",
    "Watch",
    "WorkCounts",
    "WorkInFlight",
    "ZoneWork",
    "head_of",
    "is_event_stream",
    "estimate_untracked",
    "jobs_poll_interval_s",
    "lease_s",
    "incarnation_probe",
    "looks_for_silence",
    "renewal_interval_s",
    "routes_poll_interval_s",
    "upstreams_poll_interval_s",
    "why_incomplete",
]
