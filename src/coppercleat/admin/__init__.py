"""The admin port: liveness, readiness, metrics, events and a status page."""

from coppercleat.admin._application import admin_application

__all__ = ["admin_application"]
