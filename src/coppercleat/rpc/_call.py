"""What every RPC has in common: the caller's token and the planned stop."""

from __future__ import annotations

from typing import Any

from coppercleat.configuration import Kind
from coppercleat.errors import StoppingError
from coppercleat.ids import TenantId
from coppercleat.instance import Instance
from coppercleat.online import find_tenant

_BEARER = "bearer "


def bearer_token(ctx: Any) -> str:
    """Returns the token of the authorization header, or nothing."""
    header = ctx.request_headers.get("authorization", "") or ""
    if header[: len(_BEARER)].lower() != _BEARER:
        return ""
    return header[len(_BEARER) :].strip()


def caller(instance: Instance, ctx: Any) -> TenantId:
    """Returns the tenant that calls.

    Raises:
      UnauthenticatedError: The token belongs to no tenant.
    """
    tenants = instance.keeper.document.bodies(Kind.TENANT)
    return find_tenant(tenants, bearer_token(ctx))


def require_running(instance: Instance) -> None:
    """Raises if the instance takes no new work."""
    if instance.stopping:
        raise StoppingError("This instance is stopping", retry_after_ms=1)
