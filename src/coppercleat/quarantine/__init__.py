"""Finds requests that end the upstreams that run them, and keeps them from more."""

from coppercleat.quarantine._end_keeper import EndKeeper, KeptEnds
from coppercleat.quarantine._end_watch import Asking, EndWatch, Finding, Watched
from coppercleat.quarantine._ends import SAME_END_S, End, EndsSeen, ToldEnd
from coppercleat.quarantine._fingerprint import Fingerprint, fingerprint_of, shown
from coppercleat.quarantine._ledger import (
    FREE,
    HELD_RETRY_S,
    ITEM_PAUSES_S,
    TRIAL_STAGGER_S,
    EndLedger,
    Standing,
    Verdict,
)
from coppercleat.quarantine._page import PAGE, serve_page

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
