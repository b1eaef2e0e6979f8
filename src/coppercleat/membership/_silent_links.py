"""Detects silent links: links to other members on which messages are not acknowledged.

An open connection may lose all messages without an error while new connections work.
Each message therefore acknowledges the last one received from its receiver, and some
request an acknowledgement. Each end checks only the link on which it sends.
"""

from __future__ import annotations

import enum

import attrs

from coppercleat.ids import InstanceId

CHECK_INTERVAL_S = 0.1
"""Interval between checks of all links, and the longest time for which a requested
acknowledgement waits for another message that can carry it."""

_MAX_CLOCK_STEP_S = 2 * CHECK_INTERVAL_S
"""Longer times between checks count as this much: after a suspension of this process,
acknowledgements may have arrived that have not been read yet."""

ACK_TIMEOUT_S = 0.3
"""Initial timeout of a requested acknowledgement, after which the link is silent.
One takes a check interval and a millisecond, 0.1 s more at a busy member; reopening
a link costs a few milliseconds."""

MAX_ACK_TIMEOUT_S = 5.0
"""Limit of the timeout, which doubles each time the link is reopened. It bounds the
rate of connections to a member that is suspended."""

_ACK_TIMEOUT_FACTOR = 2.0
"""The timeout is this many times the last round-trip time, within its limits."""

_LOSS_FRACTION = 0.5
"""A message is lost if another one that arrives later than this fraction of the
timeout does not acknowledge it: that one was sent after the message should have been
read."""

ACK_REQUEST_INTERVAL_S = 0.2
"""Shortest interval between two requests on one link, so that a silent link is known
in half a second."""

MAX_ACK_REQUESTS_PER_S = 40
"""Limit for all links together; bounds the traffic of acknowledgements. Each may
cost an answer of some 60 bytes, 2.4 KB/s at most."""

ROUTINE_ACK_DELAY_S = 1.2
"""Routine messages request an acknowledgement only after this time without a message
from the member. Its periodic messages, one a second, otherwise acknowledge them, and
a silent link is still found before its member is suspected."""

IDLE_LINK_EXPIRY_S = 10.0
"""A link is no longer checked after this time without a message sent on it."""


class MessageKind(enum.Enum):
    """How soon the acknowledgement of a message is needed."""

    NEWS = "news"
    """Immediately."""

    ROUTINE = "routine"
    """Before the receiver is suspected: the content repeats an earlier message."""

    ANSWER = "answer"
    """Never: the message is an acknowledgement itself."""


class FailedDirection(enum.Enum):
    """Direction in which messages are lost, as far as one end can tell."""

    THERE = "there"
    """To the other end: its messages arrive, but acknowledge none sent to it."""

    EITHER = "either"
    """To or from the other end: no message has arrived from it."""


@attrs.frozen
class SilentLink:
    """A link that must be reopened.

    Attributes:
      peer: The member at its other end.
      way: Direction in which messages are lost.
      unacked_s: Seconds for which an acknowledgement has been missing.
      reopened: Times that it was reopened before without an acknowledgement.
    """

    peer: InstanceId
    way: FailedDirection
    unacked_s: float
    reopened: int


@attrs.frozen
class RecoveredLink:
    """A silent link on which an acknowledgement has arrived.

    Attributes:
      peer: The member at its other end.
      silent_s: Seconds for which an acknowledgement was missing.
      reopened: Times that it was reopened.
    """

    peer: InstanceId
    silent_s: float
    reopened: int


@attrs.define
class DueActions:
    """Result of one check of all links.

    Attributes:
      silent: Links to reopen.
      recovered: Links that have recovered since the last check.
      ack_requests: Members to request an acknowledgement from.
      acks: Members to send an acknowledgement to.
    """

    silent: list[SilentLink] = attrs.field(factory=list)
    recovered: list[RecoveredLink] = attrs.field(factory=list)
    ack_requests: list[InstanceId] = attrs.field(factory=list)
    acks: list[InstanceId] = attrs.field(factory=list)


@attrs.frozen
class _SentMessage:
    """A message that has not been acknowledged.

    Attributes:
      number: Its envelope's number.
      at: Seconds on the adjusted clock from which its acknowledgement is awaited.
    """

    number: int
    at: float


@attrs.define(eq=False)
class _Link:
    """State of the link to one member; times are seconds on the adjusted clock.

    Attributes:
      last_sent_at: When the last message was sent.
      last_received_at: When the last message arrived from the member.
      last_sent: Number of the last message sent, without mere acknowledgements.
      last_urgent: Number of the last message sent of the kind ``NEWS``.
      oldest_unacked: The first message sent that has not been acknowledged.
      pending_request: The message that requested an acknowledgement, until it arrives.
      last_request_at: When an acknowledgement was last requested.
      has_loss: Whether a message from the member should have acknowledged
        ``oldest_unacked`` and did not.
      owes_ack: Whether the member has requested an acknowledgement.
      ack_timeout_s: Timeout of a requested acknowledgement.
      silent_since: Since when an acknowledgement is missing; None if the link is not
        silent.
      reopened: Times that the link was reopened since then.
      sends_acks: Whether the member's release sends acknowledgements.
    """

    last_sent_at: float
    last_received_at: float
    last_sent: int = 0
    last_urgent: int = 0
    oldest_unacked: _SentMessage | None = None
    pending_request: _SentMessage | None = None
    last_request_at: float = float("-inf")
    has_loss: bool = False
    owes_ack: bool = False
    ack_timeout_s: float = ACK_TIMEOUT_S
    silent_since: float | None = None
    reopened: int = 0
    sends_acks: bool = True


class LinkWatch:
    """Detects the silent links of one instance.

    Its adjusted clock follows the times of the calls, but long gaps between checks are
    shortened to ``_MAX_CLOCK_STEP_S``.
    """

    def __init__(self) -> None:
        self._links: dict[InstanceId, _Link] = {}
        self._now = 0.0
        self._ticked_at: float | None = None
        self._recovered: list[RecoveredLink] = []

    def silent(self) -> list[InstanceId]:
        """Returns the members whose links are silent and have not recovered."""
        links = self._links.items()
        return [peer for peer, link in links if link.silent_since is not None]

    def sent(
        self,
        peer: InstanceId,
        number: int,
        *,
        now: float,
        kind: MessageKind = MessageKind.NEWS,
    ) -> bool:
        """Records a message to a member.

        Args:
          peer: The receiver.
          number: Number of its envelope; increases with each message.
          now: Seconds on this instance's clock.
          kind: How soon its acknowledgement is needed.

        Returns:
          Whether the message must request an acknowledgement.
        """
        now = self._adjusted(now)
        link = self._link(peer, now)
        link.last_sent_at, link.owes_ack = now, False
        if not link.sends_acks:
            return False
        sent = _SentMessage(number, now)
        link.oldest_unacked = link.oldest_unacked or sent
        if kind is MessageKind.ANSWER:
            return False
        link.last_sent = number
        if kind is MessageKind.NEWS:
            link.last_urgent = number
        if not self._needs_ack_request(link, now):
            return False
        link.pending_request, link.last_request_at = sent, now
        return True

    def received(
        self, peer: InstanceId, *, ack_number: int | None, wants_ack: bool, now: float
    ) -> None:
        """Records a message from a member.

        Args:
          peer: The sender.
          ack_number: Number of the last message that the sender has received from this
            instance; 0 if none, None if its release does not send acknowledgements:
            such a link is not checked.
          wants_ack: Whether the sender requests an acknowledgement.
          now: Seconds on this instance's clock.
        """
        now = self._adjusted(now)
        link = self._link(peer, now)
        link.last_received_at = now
        link.owes_ack = link.owes_ack or wants_ack
        link.sends_acks = ack_number is not None
        if ack_number is None:
            link.oldest_unacked, link.pending_request, link.has_loss = None, None, False
            link.silent_since, link.reopened = None, 0
            return
        if link.oldest_unacked is None:
            return
        if ack_number < link.oldest_unacked.number:
            waited_s = now - link.oldest_unacked.at
            link.has_loss = (
                link.has_loss or waited_s > link.ack_timeout_s * _LOSS_FRACTION
            )
            return
        self._record_ack(link, ack_number, now)
        if link.silent_since is not None:
            silent_s = now - link.silent_since
            self._recovered.append(RecoveredLink(peer, silent_s, link.reopened))
            link.silent_since, link.reopened = None, 0

    def tick(self, now: float) -> DueActions:
        """Checks all links."""
        self._now, self._ticked_at = self._adjusted(now), now
        now = self._now
        due = DueActions(recovered=self._recovered)
        self._recovered = []
        for peer, link in list(self._links.items()):
            if now - link.last_sent_at > IDLE_LINK_EXPIRY_S:
                del self._links[peer]
            elif self._is_silent(link, now):
                due.silent.append(self._mark_silent(peer, link, now))
            elif self._needs_ack_request(link, now):
                due.ack_requests.append(peer)
            elif link.owes_ack:
                due.acks.append(peer)
        return due

    def _adjusted(self, now: float) -> float:
        """Returns the time on the adjusted clock."""
        if self._ticked_at is None:
            return self._now
        return self._now + min(now - self._ticked_at, _MAX_CLOCK_STEP_S)

    def _link(self, peer: InstanceId, now: float) -> _Link:
        if peer not in self._links:
            self._links[peer] = _Link(last_sent_at=now, last_received_at=now)
        return self._links[peer]

    def _needs_ack_request(self, link: _Link, now: float) -> bool:
        """Returns whether an acknowledgement must be requested."""
        if link.oldest_unacked is None or link.pending_request is not None:
            return False
        if link.last_sent < link.oldest_unacked.number:
            return False
        is_urgent = link.last_urgent >= link.oldest_unacked.number
        if not is_urgent and now - link.last_received_at <= ROUTINE_ACK_DELAY_S:
            return False
        interval_s = max(
            ACK_REQUEST_INTERVAL_S, len(self._links) / MAX_ACK_REQUESTS_PER_S
        )
        return now - link.last_request_at >= interval_s

    def _is_silent(self, link: _Link, now: float) -> bool:
        pending_request = link.pending_request
        has_timed_out = (
            pending_request is not None
            and now - pending_request.at > link.ack_timeout_s
        )
        return has_timed_out or link.has_loss

    def _record_ack(self, link: _Link, ack_number: int, now: float) -> None:
        """Records an acknowledgement and adapts the timeout to its round-trip time."""
        if (
            link.pending_request is not None
            and ack_number >= link.pending_request.number
        ):
            ack_timeout_s = _ACK_TIMEOUT_FACTOR * (now - link.pending_request.at)
            ack_timeout_s = max(ACK_TIMEOUT_S, ack_timeout_s)
            link.ack_timeout_s = min(ack_timeout_s, MAX_ACK_TIMEOUT_S)
            link.pending_request = None
        link.has_loss = False
        link.oldest_unacked = None
        if ack_number < link.last_sent:
            link.oldest_unacked = link.pending_request or _SentMessage(
                link.last_sent, now
            )

    def _mark_silent(self, peer: InstanceId, link: _Link, now: float) -> SilentLink:
        sent = link.pending_request or link.oldest_unacked
        unacked_since = now if sent is None else sent.at
        way = (
            FailedDirection.THERE
            if link.last_received_at > unacked_since
            else FailedDirection.EITHER
        )
        if link.silent_since is None:
            link.silent_since = unacked_since
        silent_link = SilentLink(peer, way, now - link.silent_since, link.reopened)
        link.reopened += 1
        link.ack_timeout_s = min(2 * link.ack_timeout_s, MAX_ACK_TIMEOUT_S)
        # These messages are lost. The next one requests an acknowledgement at once.
        link.oldest_unacked, link.pending_request, link.has_loss = None, None, False
        link.last_request_at = float("-inf")
        return silent_link
