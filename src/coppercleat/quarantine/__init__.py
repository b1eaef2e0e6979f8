"""Finds requests that end the upstreams that run them, and keeps them from more."""

from coppercleat.quarantine._crashes import SAME_END_S, End, EndsSeen, ToldEnd
from coppercleat.quarantine._detector import Asking, EndWatch, Finding, Watched
from coppercleat.quarantine._endpoint import PAGE, serve_page
from coppercleat.quarantine._fingerprint import Fingerprint, fingerprint_of, shown
from coppercleat.quarantine._history import (
    FREE,
    HELD_RETRY_S,
    ITEM_PAUSES_S,
    TRIAL_STAGGER_S,
    EndLedger,
    Standing,
    Verdict,
)
from coppercleat.quarantine._quarantine_store import EndKeeper, KeptEnds

__all__ = [
    "FREE",
    "HELD_RETRY_S",
    "ITEM_PAUSES_S",
    "Asking",
    "End",
    "EndKeeper",
    "EndLedger",
    "EndWatch",
    "EndsSeen",
    "Finding",
    "KeptEnds",
    "Fingerprint",
    "PAGE",
    "SAME_END_S",
    "Standing",
    "TRIAL_STAGGER_S",
    "ToldEnd",
    "Verdict",
    "Watched",
    "fingerprint_of",
    "serve_page",
    "shown",
]
