"""Typed errors whose messages name the remedy."""

from coppercleat.errors._base import (
    ERROR_KINDS,
    CoppercleatError,
    Outcome,
    error_kind,
)
from coppercleat.errors._kinds import (
    ConflictError,
    DeadlineExceededError,
    InvalidRequestError,
    JobEndedError,
    NotFoundError,
    OutcomeUnknownError,
    OverloadedError,
    PlatformUnavailableError,
    SettingsError,
    StoppingError,
    UnauthenticatedError,
    UpstreamFailedError,
    UpstreamRefusedError,
    UpstreamUnavailableError,
)
from coppercleat.errors._rpc import RpcError

__all__ = [
    "ERROR_KINDS",
    "ConflictError",
    "CoppercleatError",
    "DeadlineExceededError",
    "InvalidRequestError",
    "JobEndedError",
    "NotFoundError",
    "Outcome",
    "OutcomeUnknownError",
    "OverloadedError",
    "PlatformUnavailableError",
    "RpcError",
    "SettingsError",
    "StoppingError",
    "UnauthenticatedError",
    "UpstreamFailedError",
    "UpstreamRefusedError",
    "UpstreamUnavailableError",
    "error_kind",
]
