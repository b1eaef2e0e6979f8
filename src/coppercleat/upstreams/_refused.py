"""Whether a host has answered that no process listens at an address."""

from __future__ import annotations


def nothing_listens(error: BaseException | None) -> bool:
    """Returns whether an error tells so; the system's own is among its causes."""
    if isinstance(error, ConnectionRefusedError):
        return True
    if isinstance(error, BaseExceptionGroup):
        return all(nothing_listens(single) for single in error.exceptions)
    return error is not None and nothing_listens(error.__cause__ or error.__context__)
