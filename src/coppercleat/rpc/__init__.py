"""The RPC services that callers and operators use, and how they are served."""

from coppercleat.rpc._application import rpc_application
from coppercleat.rpc._client import RpcClient, RpcError
from coppercleat.rpc._operator import fleet_status
from coppercleat.rpc._serve import serve_application

__all__ = [
    "RpcClient",
    "RpcError",
    "fleet_status",
    "rpc_application",
    "serve_application",
]
