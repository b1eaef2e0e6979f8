"""Finds requests that end the upstreams that run them, and keeps them from more."""

from coppercleat.quarantine._fingerprint import Fingerprint, fingerprint_of, shown
from coppercleat.quarantine._ledger import (
    FREE,
    HELD_RETRY_S,
    EndLedger,
    Standing,
    ToldEnd,
    Verdict,
)

__all__ = [
    "FREE",
    "HELD_RETRY_S",
    "EndLedger",
    "Fingerprint",
    "Standing",
    "ToldEnd",
    "Verdict",
    "fingerprint_of",
    "shown",
]
