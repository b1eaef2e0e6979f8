"""A gateway instance: online requests and jobs over one fleet of upstreams."""

from coppercleat.gateway._account_list import AccountShare, AccountStatus, list_accounts
from coppercleat.gateway._gateway import Gateway
from coppercleat.gateway._job_service import JobAnswer, JobService
from coppercleat.gateway._metrics import GatewayMetrics
from coppercleat.gateway._run import GatewayEdges, run_gateway
from coppercleat.gateway._standstill import Standstill

__all__ = [
    "AccountShare",
    "AccountStatus",
    "Gateway",
    "GatewayEdges",
    "GatewayMetrics",
    "JobAnswer",
    "JobService",
    "Standstill",
    "list_accounts",
    "run_gateway",
]
