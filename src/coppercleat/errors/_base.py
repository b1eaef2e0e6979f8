"""The base of all typed errors and the registry of their kinds."""

from __future__ import annotations

import enum
from collections.abc import Callable, Sequence
from typing import ClassVar, TypeVar


class Outcome(enum.Enum):
    """Whether work that ended in an error may have run."""

    NOT_RUN = "not_run"
    RUN = "run"
    UNKNOWN = "unknown"


class CoppercleatError(Exception):
    """An error that a caller or an operator can act on.

    Attributes:
      kind: Stable machine-readable name, the same across releases.
      status: Name of the RPC status code, as in the Connect protocol.
      outcome: Whether the work may have run.
      remedy: What to do about it, as a sentence.
      retry_after_ms: Milliseconds until a retry may succeed; 0 for never.
      problems: What was wrong and where, one entry for each finding.
    """

    kind: ClassVar[str] = "internal"
    status: ClassVar[str] = "internal"
    default_outcome: ClassVar[Outcome] = Outcome.UNKNOWN
    default_remedy: ClassVar[str] = "Report this with the request id."

    def __init__(
        self,
        message: str,
        *,
        outcome: Outcome | None = None,
        remedy: str | None = None,
        retry_after_ms: int = 0,
        problems: Sequence[str] = (),
    ) -> None:
        self.outcome = outcome or self.default_outcome
        self.remedy = remedy or self.default_remedy
        self.retry_after_ms = retry_after_ms
        self.problems = list(problems)
        self.message = message
        super().__init__(f"{message}. {self.remedy}")


ERROR_KINDS: dict[str, type[CoppercleatError]] = {}

_E = TypeVar("_E", bound=type[CoppercleatError])


def error_kind(
    kind: str, *, status: str, outcome: Outcome, remedy: str
) -> Callable[[_E], _E]:
    """Registers an error class under its kind.

    Args:
      kind: Stable machine-readable name.
      status: Name of the RPC status code.
      outcome: Default answer to whether the work may have run.
      remedy: Default sentence that says what to do.

    Returns:
      The decorator.
    """

    def register(cls: _E) -> _E:
        cls.kind = kind
        cls.status = status
        cls.default_outcome = outcome
        cls.default_remedy = remedy
        ERROR_KINDS[kind] = cls
        return cls

    return register
