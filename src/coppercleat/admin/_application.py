"""The ASGI application of the admin port; it reads, and clears suspect requests."""

from __future__ import annotations

from collections.abc import Callable
from urllib.parse import parse_qs

import msgspec
from aioprometheus import render

from coppercleat import quarantine
from coppercleat.admin._status_page import status_page
from coppercleat.asgi import Application, Receive, Scope, Send, serve_lifespan
from coppercleat.instance import Instance

_TEXT = b"text/plain; charset=utf-8"
_JSON = b"application/json"
_HTML = b"text/html; charset=utf-8"

Page = Callable[[Instance, dict[str, list[str]]], tuple[int, bytes, bytes]]

PAGES: dict[str, Page] = {}


def _page(path: str) -> Callable[[Page], Page]:
    """Registers a page under its path."""

    def register(page: Page) -> Page:
        PAGES[path] = page
        return page

    return register


@_page("/live")
def _live(instance: Instance, query: dict[str, list[str]]) -> tuple[int, bytes, bytes]:
    return 200, _TEXT, b"live\n"


@_page("/ready")
def _ready(instance: Instance, query: dict[str, list[str]]) -> tuple[int, bytes, bytes]:
    return (200, _TEXT, b"ready\n") if instance.ready else (503, _TEXT, b"not ready\n")


@_page("/metrics")
def _metrics(
    instance: Instance, query: dict[str, list[str]]
) -> tuple[int, bytes, bytes]:
    content, _ = render(instance.metrics.registry, [])
    return 200, _TEXT, content


@_page("/events")
def _events(
    instance: Instance, query: dict[str, list[str]]
) -> tuple[int, bytes, bytes]:
    about = query.get("about", [""])[0]
    events = instance.ring.about(about)
    body = msgspec.json.encode(events, enc_hook=str)
    return 200, _JSON, body


@_page("/")
def _status(
    instance: Instance, query: dict[str, list[str]]
) -> tuple[int, bytes, bytes]:
    return 200, _HTML, status_page(instance).encode()


def admin_application(instance: Instance) -> Application:
    """Returns the application."""

    async def application(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        if scope["path"] == quarantine.QUARANTINE_PATH:
            await quarantine.serve_quarantine(instance.crash_detector, scope, send)
            return
        page = PAGES.get(scope["path"])
        query = parse_qs(scope.get("query_string", b"").decode("latin-1"))
        status, kind, body = (
            page(instance, query) if page else (404, _TEXT, b"no such page\n")
        )
        headers = [(b"content-type", kind)]
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": body})

    return application
