"""Finds requests that end the upstreams that run them, and keeps them from more."""

from coppercleat.quarantine._fingerprint import Fingerprint, fingerprint_of, shown

__all__ = [
    "Fingerprint",
    "fingerprint_of",
    "shown",
]
