"""Turns typed errors into RPC statuses with all that callers need."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

from connectrpc.code import Code
from connectrpc.errors import ConnectError

from coppercleat.errors import CoppercleatError, Outcome
from coppercleat.observability import part_logger
from coppercleat.v1 import common_pb

_OUTCOMES = {
    Outcome.NOT_RUN: common_pb.Outcome.NOT_RUN,
    Outcome.RUN: common_pb.Outcome.RUN,
    Outcome.UNKNOWN: common_pb.Outcome.UNKNOWN,
}

_log = part_logger("rpc")


def to_status(error: CoppercleatError) -> ConnectError:
    """Returns the status that stands for a typed error."""
    info = common_pb.ErrorInfo(
        kind=error.kind,
        outcome=_OUTCOMES[error.outcome],
        retry_after_ms=error.retry_after_ms,
        remedy=error.remedy,
        problems=error.problems,
    )
    return ConnectError(Code(error.status), str(error), [info])


@contextlib.contextmanager
def typed_errors() -> Iterator[None]:
    """Raises typed errors as statuses, and logs those that nobody expected."""
    try:
        yield
    except CoppercleatError as error:
        raise to_status(error) from error
    except ConnectError:
        raise
    except Exception as error:
        _log.exception("Unexpected error.")
        unexpected = CoppercleatError(f"Unexpected error: {type(error).__name__}")
        raise to_status(unexpected) from error
