"""Tells which links to other members have fallen silent: what is sent is not answered.

An open connection may lose all that is sent, without an error, while new ones work.
Only the other end can tell, so each message says which one the sender heard last of
its receiver, and some ask for an answer. Each end judges its own link, the one by
which it sends; neither needs the other end to complain.
"""

from __future__ import annotations

import enum

import attrs

from coppercleat.ids import InstanceId

TICK_S = 0.1
"""Links are looked at so often: a look costs some 0.1 ms. Answers that are owed wait so
long for a message that goes there anyway."""

_LONGEST_TICK_S = 2 * TICK_S
"""Time that passes at once counts as this much at most: a member that was stopped or
busy has not yet read the answers that wait for it."""

ANSWER_WITHIN_S = 0.3
"""A link is silent when a question has no answer for so long: answers take a tick and
a millisecond, 0.1 s more at a busy member; opening a link anew costs a few ms."""

LONGEST_PATIENCE_S = 5.0
"""The time for an answer doubles with each new link that is not answered either, up to
this: a member that is stopped costs a connection each so often at most."""

_PATIENCE_OF_ANSWER = 2.0
"""A member that is slow gets so many times what its last answer took."""

_TO_READ = 0.5
"""What comes after this part of the time for an answer and does not tell of a message
shows that it was lost: it was sent after the message should have been read."""

ASK_PAUSE_S = 0.2
"""Between two questions on a link, so that a silent one is known in half a second."""

ASKS_PER_S = 40
"""Questions a second on all links together: each may cost an answer of some 60 bytes,
so 2.4 KB/s at most; members that talk to each other answer by the way."""

QUIET_S = 1.2
"""What is said by routine is asked after only when nothing has come from there for so
long: both ends say something once a second, which tells of it for nothing, and a silent
link is still found before its member is taken for dead."""

IDLE_S = 10.0
"""A link by which nothing was sent for so long is no longer looked after."""


class Kind(enum.Enum):
    """How soon it must be known whether a message arrived."""

    NEWS = "news"
    """At once."""

    ROUTINE = "routine"
    """Before its receiver is taken for dead: it repeats what was told before."""

    ANSWER = "answer"
    """Never; it would else be answered for ever."""


class Way(enum.Enum):
    """Which way is silent, as far as one end can tell."""

    THERE = "there"
    """The other end's messages arrive and do not tell of those sent to it."""

    EITHER = "either"
    """Nothing has arrived: messages may be lost, or their answers."""


@attrs.frozen
class Silent:
    """A link that must be opened anew.

    Attributes:
      peer: The member at its other end.
      way: Which way is silent.
      unanswered_s: For how long something sent has not been answered.
      reopened: How often it was opened anew before without an answer.
    """

    peer: InstanceId
    way: Way
    unanswered_s: float
    reopened: int


@attrs.frozen
class Mended:
    """A link that is answered again.

    Attributes:
      peer: The member at its other end.
      silent_s: For how long something sent had not been answered.
      reopened: How often it was opened anew.
    """

    peer: InstanceId
    silent_s: float
    reopened: int


@attrs.define
class Due:
    """What is to be done now.

    Attributes:
      silent: Links to open anew.
      mended: Links that are answered again.
      questions: Members to be asked for an answer to what was sent before.
      answers: Members to be sent an answer.
    """

    silent: list[Silent] = attrs.field(factory=list)
    mended: list[Mended] = attrs.field(factory=list)
    questions: list[InstanceId] = attrs.field(factory=list)
    answers: list[InstanceId] = attrs.field(factory=list)


@attrs.frozen
class _Sent:
    """A message that is not known to have arrived."""

    number: int
    at: float


@attrs.define(eq=False)
class _Link:
    """The way to one member.

    Attributes:
      news: Number of the last message sent, mere answers left out.
      urgent: Number of the last one that is no routine.
      sent_at: When the last one was sent.
      unheard: The first one sent of which the other end has not told.
      asked: The one that asked for an answer, while there is none.
      asked_last: When one was last asked for.
      heard_at: When something came from there.
      unread: Whether what came later did not tell of ``unheard``.
      owes: Whether the other end has asked for an answer.
      patience_s: How long an answer may take.
      silent_since: Since when the link is silent; None if it is not.
      reopened: How often it was opened anew since.
      tells: Whether the other end's release tells what it has heard.
    """

    sent_at: float
    heard_at: float
    news: int = 0
    urgent: int = 0
    unheard: _Sent | None = None
    asked: _Sent | None = None
    asked_last: float = float("-inf")
    unread: bool = False
    owes: bool = False
    patience_s: float = ANSWER_WITHIN_S
    silent_since: float | None = None
    reopened: int = 0
    tells: bool = True


class LinkWatch:
    """Judges one member's links; the clock is passed in with each tick."""

    def __init__(self) -> None:
        self._links: dict[InstanceId, _Link] = {}
        self._now = 0.0
        self._ticked_at: float | None = None
        self._mended: list[Mended] = []

    def silent(self) -> list[InstanceId]:
        """Returns the members whose links were found silent and are not answered."""
        links = self._links.items()
        return [peer for peer, link in links if link.silent_since is not None]

    def sent(
        self, peer: InstanceId, number: int, *, now: float, kind: Kind = Kind.NEWS
    ) -> bool:
        """Notes a message to a member; returns whether it is to ask for an answer.

        Args:
          peer: Who it goes to.
          number: Its number; grows with each message.
          now: Seconds on this member's clock.
          kind: How soon it must be known whether it arrived.
        """
        now = self._counted(now)
        link = self._link(peer, now)
        link.sent_at, link.owes = now, False
        if not link.tells:
            return False
        sent = _Sent(number, now)
        link.unheard = link.unheard or sent
        if kind is Kind.ANSWER:
            return False
        link.news = number
        if kind is Kind.NEWS:
            link.urgent = number
        if not self._must_ask(link, now):
            return False
        link.asked, link.asked_last = sent, now
        return True

    def received(
        self, peer: InstanceId, *, heard: int | None, asks: bool, now: float
    ) -> None:
        """Notes a message from a member.

        Args:
          peer: Who sent it.
          heard: Number of the last message that it had from here; 0 if none, None if
            its release does not tell: such a link cannot be judged.
          asks: Whether it asks for an answer.
          now: Seconds on this member's clock.
        """
        now = self._counted(now)
        link = self._link(peer, now)
        link.heard_at = now
        link.owes = link.owes or asks
        link.tells = heard is not None
        if heard is None:
            link.unheard, link.asked, link.unread = None, None, False
            link.silent_since, link.reopened = None, 0
            return
        if link.unheard is None:
            return
        if heard < link.unheard.number:
            waited_s = now - link.unheard.at
            link.unread = link.unread or waited_s > link.patience_s * _TO_READ
            return
        self._note_heard(link, heard, now)
        if link.silent_since is not None:
            silent_s = now - link.silent_since
            self._mended.append(Mended(peer, silent_s, link.reopened))
            link.silent_since, link.reopened = None, 0

    def tick(self, now: float) -> Due:
        """Returns what is to be done now."""
        self._now, self._ticked_at = self._counted(now), now
        now = self._now
        due = Due(mended=self._mended)
        self._mended = []
        for peer, link in list(self._links.items()):
            if now - link.sent_at > IDLE_S:
                del self._links[peer]
            elif self._is_silent(link, now):
                due.silent.append(self._fell_silent(peer, link, now))
            elif self._must_ask(link, now):
                due.questions.append(peer)
            elif link.owes:
                due.answers.append(peer)
        return due

    def _counted(self, now: float) -> float:
        """Returns the time, without that in which this member could not look."""
        if self._ticked_at is None:
            return self._now
        return self._now + min(now - self._ticked_at, _LONGEST_TICK_S)

    def _link(self, peer: InstanceId, now: float) -> _Link:
        if peer not in self._links:
            self._links[peer] = _Link(sent_at=now, heard_at=now)
        return self._links[peer]

    def _must_ask(self, link: _Link, now: float) -> bool:
        """Returns whether to ask after what has been sent."""
        if link.unheard is None or link.asked is not None:
            return False
        if link.news < link.unheard.number:
            return False
        is_urgent = link.urgent >= link.unheard.number
        if not is_urgent and now - link.heard_at <= QUIET_S:
            return False
        pause_s = max(ASK_PAUSE_S, len(self._links) / ASKS_PER_S)
        return now - link.asked_last >= pause_s

    def _is_silent(self, link: _Link, now: float) -> bool:
        asked = link.asked
        late = asked is not None and now - asked.at > link.patience_s
        return late or link.unread

    def _note_heard(self, link: _Link, heard: int, now: float) -> None:
        """Takes what arrived; an answer's time tells how long to wait for the next."""
        if link.asked is not None and heard >= link.asked.number:
            patience_s = _PATIENCE_OF_ANSWER * (now - link.asked.at)
            patience_s = max(ANSWER_WITHIN_S, patience_s)
            link.patience_s = min(patience_s, LONGEST_PATIENCE_S)
            link.asked = None
        link.unread = False
        link.unheard = None
        if heard < link.news:
            link.unheard = link.asked or _Sent(link.news, now)

    def _fell_silent(self, peer: InstanceId, link: _Link, now: float) -> Silent:
        sent = link.asked or link.unheard
        sent_at = now if sent is None else sent.at
        way = Way.THERE if link.heard_at > sent_at else Way.EITHER
        if link.silent_since is None:
            link.silent_since = sent_at
        found = Silent(peer, way, now - link.silent_since, link.reopened)
        link.reopened += 1
        link.patience_s = min(2 * link.patience_s, LONGEST_PATIENCE_S)
        # What was sent is lost; the first message on the new link asks at once.
        link.unheard, link.asked, link.unread = None, None, False
        link.asked_last = float("-inf")
        return found
