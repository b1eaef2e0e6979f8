"""The ASGI application that leads each path to its service."""

from __future__ import annotations

from typing import Any

from connectrpc.codec import proto_binary_codec, proto_json_codec

from coppercleat.asgi import (
    Application,
    Receive,
    Scope,
    Send,
    send_json,
    serve_lifespan,
)
from coppercleat.instance import Instance
from coppercleat.rpc._batch import BatchRpc
from coppercleat.rpc._online import OnlineRpc
from coppercleat.rpc._operator import OperatorRpc
from coppercleat.v1.batch_connect import BatchServiceASGIApplication
from coppercleat.v1.online_connect import OnlineServiceASGIApplication
from coppercleat.v1.operator_connect import OperatorServiceASGIApplication


def rpc_application(instance: Instance) -> Application:
    """Returns the application of all services; it counts calls in flight."""
    # A misspelt field, such as at_most_once, must not pass for one not set.
    strict = [proto_binary_codec(), proto_json_codec(ignore_unknown_fields=False)]
    options: dict[str, Any] = {
        "read_max_bytes": instance.settings.online.max_body_bytes,
        "codecs": strict,
    }
    services: list[Any] = [
        OnlineServiceASGIApplication(OnlineRpc(instance), **options),
        BatchServiceASGIApplication(BatchRpc(instance), **options),
        OperatorServiceASGIApplication(OperatorRpc(instance), **options),
    ]
    by_path = {service.path: service for service in services}

    async def application(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        service = by_path.get(scope["path"].rpartition("/")[0])
        if service is None:
            error = {"code": "unimplemented", "message": "There is no such RPC."}
            await send_json(send, 404, error)
            return
        instance.in_flight += 1
        try:
            await service(scope, receive, send)
        finally:
            instance.in_flight -= 1

    return application
