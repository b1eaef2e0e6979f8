"""Decides whether and how an upstream's response may be forwarded to the client.

A success counts only if an upstream made it, in whatever part of an answer it comes.

Once a part of a response has been forwarded, a response of another upstream can only
resume it as an event stream of the same status and media type. Any other response
counts as a failed attempt, so that its end is never taken for the end of the first.
"""

from __future__ import annotations

import enum

import msgspec

from coppercleat.serving._model import Route, RouteKind
from coppercleat.serving._upstream_call import UpstreamResponse

EVENT_STREAM = b"text/event-stream"
_IDENTITY_ENCODINGS = frozenset({b"", b"identity"})
_BODILESS_STATUSES = frozenset({204, 205})
_FIRST_FINAL_STATUS = 200
_FIRST_REDIRECT_STATUS = 300
_FIRST_SERVER_ERROR_STATUS = 500

_NOT_RUN_STATUSES = frozenset({408, 429, 503})
"""Statuses that tell clients that the request was not run. An upstream that sends one
without declaring a refusal may have run it, so these are not forwarded."""


class ForwardingMode(enum.Enum):
    """How the body of a response is forwarded."""

    BODY = "body"
    EVENTS = "events"


class UnusableResponse(msgspec.Struct, frozen=True):
    """A response that must not be forwarded, with the reason."""

    reason: str


class ResponseHead(msgspec.Struct, frozen=True):
    """The properties in which a resuming response must match the first one."""

    status: int
    media_type: bytes


def response_head(response: UpstreamResponse) -> ResponseHead:
    """Returns the status and media type of a response."""
    media_type = response.header(b"content-type").partition(b";")[0].strip().lower()
    return ResponseHead(response.status, media_type)


def is_event_stream(response: UpstreamResponse) -> bool:
    """Returns whether the headers allow the body to be parsed as an event stream.

    A response without a content type is accepted, and its body decides.
    """
    encoding = response.header(b"content-encoding").strip().lower()
    return encoding in _IDENTITY_ENCODINGS and response_head(response).media_type in (
        b"",
        EVENT_STREAM,
    )


def unusable_success_reason(response: UpstreamResponse) -> str:
    """Returns why a success is not an upstream's answer; empty if it may be one.

    It holds for every answer to a request or an item, and for every part that goes on
    with one: clients count a success only if an upstream made it, and ask for no
    encoding. A failure needs no code, since it is never taken for an output.
    """
    if not _FIRST_FINAL_STATUS <= response.status < _FIRST_REDIRECT_STATUS:
        return ""
    if not response.authenticated:
        return f"the {response.status} does not show that an upstream made it"
    if response.header(b"content-encoding").strip().lower() not in _IDENTITY_ENCODINGS:
        return "the body is encoded, which nobody asked for"
    return ""


def forwarding_mode(
    response: UpstreamResponse,
    *,
    method: str,
    route: Route,
    sent_head: ResponseHead | None,
    may_fail_over: bool,
) -> ForwardingMode | UnusableResponse:
    """Returns how to forward a response, or why it must not be forwarded.

    Args:
      response: A response that is not a refusal.
      method: The HTTP method of the request.
      route: The route of the request.
      sent_head: Head that has been sent to the client; None if there is none.
      may_fail_over: Whether the request may fail over to another upstream.
    """
    if reason := unusable_success_reason(response):
        return UnusableResponse(reason)
    if sent_head is not None:
        return _resumed_mode(response, sent_head)
    if response.status < _FIRST_FINAL_STATUS:
        return UnusableResponse(f"{response.status} is no final answer")
    if response.status in _NOT_RUN_STATUSES:
        return UnusableResponse(f"{response.status} does not say whether it was run")
    if response.status >= _FIRST_SERVER_ERROR_STATUS and may_fail_over:
        return UnusableResponse(f"the upstream answered {response.status}")
    if route.kind is not RouteKind.STREAM or not _has_success_body(response, method):
        return ForwardingMode.BODY
    return (
        ForwardingMode.EVENTS
        if is_event_stream(response)
        else UnusableResponse("no stream of events")
    )


def _resumed_mode(
    response: UpstreamResponse, sent_head: ResponseHead
) -> ForwardingMode | UnusableResponse:
    head = response_head(response)
    if head.status != sent_head.status:
        return UnusableResponse(
            f"the upstream answered {response.status} to go on with a stream"
        )
    if head != sent_head or not is_event_stream(response):
        return UnusableResponse("what was to go on with a stream is of another kind")
    return ForwardingMode.EVENTS


def _has_success_body(response: UpstreamResponse, method: str) -> bool:
    has_no_body = method == "HEAD" or response.status in _BODILESS_STATUSES
    return response.status < _FIRST_REDIRECT_STATUS and not has_no_body
