"""Decides what an upstream's answer is to a client: all of one, more of one, or none.

What a client has of an answer was begun by one upstream. Another's answer can only go
on with it, event by event; whatever else it is, the attempt counts as cut. So no
status, kind or end of a later answer can pass for the end of the one that has begun.
"""

from __future__ import annotations

import enum

import msgspec

from coppercleat.serving._model import Route, RouteKind
from coppercleat.serving._upstream_call import UpstreamAnswer

EVENT_STREAM = b"text/event-stream"
_PLAIN = frozenset({b"", b"identity"})
_BODILESS = frozenset({204, 205})
_FINAL = 200
_REDIRECTION = 300
_SERVER_ERROR = 500

_PROMISES = frozenset({408, 429, 503})
"""Statuses by which clients take a request as not run. From an upstream that does not
say so itself they prove nothing, and are not passed on."""


class Use(enum.Enum):
    """How an answer is passed on."""

    BODY = "body"
    EVENTS = "events"


class Unfit(msgspec.Struct, frozen=True):
    """Why nothing of an answer is passed on."""

    reason: str


class AnswerHead(msgspec.Struct, frozen=True):
    """What the client knows of the answer that has begun."""

    status: int
    media_type: bytes


def head_of(answer: UpstreamAnswer) -> AnswerHead:
    """Returns what an answer would begin with."""
    media_type = answer.header(b"content-type").partition(b";")[0].strip().lower()
    return AnswerHead(answer.status, media_type)


def is_event_stream(answer: UpstreamAnswer) -> bool:
    """Returns whether an answer can be divided into events, by its headers.

    One that says nothing of its kind may be one: its bytes tell.
    """
    encoding = answer.header(b"content-encoding").strip().lower()
    return encoding in _PLAIN and head_of(answer).media_type in (b"", EVENT_STREAM)


def use_of(
    answer: UpstreamAnswer,
    *,
    method: str,
    route: Route,
    begun: AnswerHead | None,
    may_move: bool,
) -> Use | Unfit:
    """Returns how to pass an answer on.

    Args:
      answer: One that is not a refusal.
      method: The request's.
      route: The request's.
      begun: What the client has of the answer already; None for nothing.
      may_move: Whether another upstream could be asked instead.
    """
    if begun is not None:
        return _use_to_go_on(answer, begun)
    if answer.status < _FINAL:
        return Unfit(f"{answer.status} is no final answer")
    if answer.status in _PROMISES:
        return Unfit(f"{answer.status} does not say whether it was run")
    if answer.status >= _SERVER_ERROR and may_move:
        return Unfit(f"the upstream answered {answer.status}")
    if route.kind is not RouteKind.STREAM or not _has_success_body(answer, method):
        return Use.BODY
    return Use.EVENTS if is_event_stream(answer) else Unfit("no stream of events")


def _use_to_go_on(answer: UpstreamAnswer, begun: AnswerHead) -> Use | Unfit:
    head = head_of(answer)
    if head.status != begun.status:
        return Unfit(f"the upstream answered {answer.status} to go on with a stream")
    if head != begun or not is_event_stream(answer):
        return Unfit("what was to go on with a stream is of another kind")
    return Use.EVENTS


def _has_success_body(answer: UpstreamAnswer, method: str) -> bool:
    bodiless = method == "HEAD" or answer.status in _BODILESS
    return answer.status < _REDIRECTION and not bodiless
