"""Small helpers of the ASGI applications."""

from coppercleat.asgi._asgi import (
    Application,
    Receive,
    Scope,
    Send,
    read_body,
    send_json,
    send_part,
    serve_lifespan,
    start_response,
)
from coppercleat.asgi._server import ServerConfig, serve, server_config

__all__ = [
    "Application",
    "Receive",
    "Scope",
    "Send",
    "ServerConfig",
    "read_body",
    "send_json",
    "send_part",
    "serve",
    "serve_lifespan",
    "server_config",
    "start_response",
]
