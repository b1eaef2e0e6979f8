"""What a caller of the RPCs sees when a call fails."""

from __future__ import annotations

from typing import Any


class RpcError(Exception):
    """A call failed.

    Attributes:
      code: The RPC status code.
      info: What ``ErrorInfo`` says: kind, outcome, retryAfterMs, remedy.
    """

    def __init__(self, code: str, message: str, info: dict[str, Any]) -> None:
        self.code = code
        self.info = info
        super().__init__(message)

    @property
    def kind(self) -> str:
        """The stable kind of the error."""
        return self.info.get("kind", self.code)

    @property
    def outcome(self) -> str:
        """Whether the work may have run: NOT_RUN, RUN or UNKNOWN."""
        return self.info.get("outcome", "OUTCOME_UNKNOWN").removeprefix("OUTCOME_")
