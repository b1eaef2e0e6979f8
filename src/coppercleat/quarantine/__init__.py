"""Detects requests that crash upstreams ("queries of death") and quarantines them."""

from coppercleat.quarantine._end_keeper import QuarantineRecord, QuarantineStore
from coppercleat.quarantine._end_watch import PROGRESS_EVIDENCE_S, CrashDetector
from coppercleat.quarantine._ends import (
    SAME_CRASH_WINDOW_S,
    Crash,
    CrashReport,
    CrashUpdate,
)
from coppercleat.quarantine._evidence import Flap
from coppercleat.quarantine._fingerprint import (
    FINGERPRINT_BYTES,
    ITEM_FINGERPRINT_BYTES,
    Fingerprint,
    SubjectKind,
    fingerprint_of,
    format_fingerprint,
    is_part,
    item_fingerprint,
    kind_of,
    part_fingerprint,
)
from coppercleat.quarantine._investigation import (
    FingerprintedRequest,
    ProbeResult,
    UpstreamIncarnation,
)
from coppercleat.quarantine._ledger import (
    TRIAL_STAGGER_S,
    CrashHistory,
)
from coppercleat.quarantine._page import QUARANTINE_PATH, serve_quarantine
from coppercleat.quarantine._policy import ITEM_APART_S, ITEM_TRIAL_SPACING_S
from coppercleat.quarantine._verdict import FREE, HELD_RETRY_S, Verdict, VerdictKind

__all__ = [
    "FINGERPRINT_BYTES",
    "FREE",
    "HELD_RETRY_S",
    "ITEM_APART_S",
    "ITEM_FINGERPRINT_BYTES",
    "ITEM_TRIAL_SPACING_S",
    "PROGRESS_EVIDENCE_S",
    "QUARANTINE_PATH",
    "SAME_CRASH_WINDOW_S",
    "TRIAL_STAGGER_S",
    "Crash",
    "CrashDetector",
    "CrashHistory",
    "CrashReport",
    "CrashUpdate",
    "Fingerprint",
    "FingerprintedRequest",
    "Flap",
    "ProbeResult",
    "QuarantineRecord",
    "QuarantineStore",
    "SubjectKind",
    "UpstreamIncarnation",
    "Verdict",
    "VerdictKind",
    "fingerprint_of",
    "format_fingerprint",
    "is_part",
    "item_fingerprint",
    "kind_of",
    "part_fingerprint",
    "serve_quarantine",
]
