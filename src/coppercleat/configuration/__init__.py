"""The fleet's configuration: one revision, agreed through the platform."""

from coppercleat.configuration._change import Change, Operation, Plan, plan_change
from coppercleat.configuration._document import Document, Entity, Snapshot
from coppercleat.configuration._kinds import (
    BODY_KINDS,
    Adapter,
    Deployment,
    Kind,
    Model,
    Route,
    Tenant,
    Version,
    decode_body,
)
from coppercleat.configuration._store import Applied, ConfigurationStore

__all__ = [
    "BODY_KINDS",
    "Adapter",
    "Applied",
    "Change",
    "ConfigurationStore",
    "Deployment",
    "Document",
    "Entity",
    "Kind",
    "Model",
    "Operation",
    "Plan",
    "Route",
    "Snapshot",
    "Tenant",
    "Version",
    "decode_body",
    "plan_change",
]
