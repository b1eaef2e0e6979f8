"""One member's end of all that members tell each other."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from typing import Any

import msgspec
import trio

from coppercleat.ids import InstanceId, Revision
from coppercleat.membership._detector import Detector
from coppercleat.membership._envelope import EnvelopeReader, EnvelopeWriter, Garbage
from coppercleat.membership._handlers import HandlerRegistry
from coppercleat.membership._links import Links
from coppercleat.membership._messages import Heartbeat, LinkCheck, Message
from coppercleat.membership._silent_links import TICK_S, Kind, LinkWatch, Mended, Silent
from coppercleat.observability import part_logger

_log = part_logger("peers")


class Messenger:
    """Sends and receives for one member, and sends its heartbeats.

    Attributes:
      detector: Which members are heard of.
      links: Sockets to the other members.
      watch: Which links have fallen silent; those are opened anew.
      mended: Times that a silent link was answered again.
      on_reopened: Told of a link that was silent; what it carried is lost, so its other
        end is to be told all anew.
    """

    def __init__(
        self,
        detector: Detector,
        *,
        listen: str,
        seeds: Sequence[str],
        keys: Sequence[str],
        receiver: Any,
        handlers: HandlerRegistry,
        messages: Any = Message,
        on_garbage: Callable[[str], None],
        on_reopened: Callable[[Silent], None],
    ) -> None:
        """Opens the listening socket.

        Args:
          detector: Takes heartbeats, knows addresses.
          listen: ``IP:PORT`` on which messages arrive.
          seeds: Addresses to tell of this member while no other is heard of.
          keys: The first seals messages, all open them.
          receiver: Passed to the handlers of messages.
          handlers: By kind of message.
          messages: Union of the kinds of messages that may come.
          on_garbage: Told why a message was dropped.
          on_reopened: See above.
        """
        self.detector = detector
        self.links = Links(listen)
        self.watch = LinkWatch()
        self.mended = 0
        self.on_reopened = on_reopened
        self._listen = listen
        self._seeds = seeds
        self._receiver = receiver
        self._handlers = handlers
        self._on_garbage = on_garbage
        self._reader = EnvelopeReader(keys=keys, messages=messages)
        self._writer = EnvelopeWriter(
            detector.own.instance, detector.own.incarnation, key=keys[0]
        )

    async def run(self) -> None:
        """Receives until cancelled, and opens silent links anew."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.links.receive, self.receive)
                nursery.start_soon(self._watch_forever)
        finally:
            self.links.close()

    def beat(self, now: float, *, revision: Revision) -> None:
        """Sends the next heartbeat."""
        heartbeat, targets = self.detector.tick(now, revision=revision)
        self._writer.incarnation = self.detector.own.incarnation
        for instance in targets:
            self.send(instance, heartbeat, kind=Kind.ROUTINE)
        if not self.detector.alive(now)[1:]:
            self._tell_seeds(heartbeat)
        if self.detector.paused:
            _log.warning("This instance was paused.")

    def greet(self, instances: Collection[InstanceId]) -> None:
        """Lets members know at once that this one lives; beats reach them by turns."""
        for instance in instances:
            self.send(instance, Heartbeat(self.detector.own, ()))

    def send(
        self, instance: InstanceId, message: msgspec.Struct, *, kind: Kind = Kind.NEWS
    ) -> None:
        """Sends to a member if its address is known; never waits."""
        member = self.detector.members.get(instance)
        if member is None:
            return
        number = self._writer.number + 1
        now = trio.current_time()
        asks = self.watch.sent(instance, number, now=now, kind=kind)
        heard = self._reader.heard(instance)
        sealed = self._writer.seal(message, heard=heard, asks=asks)
        self.links.send(member.address, sealed)

    def _tell_seeds(self, heartbeat: Heartbeat) -> None:
        for address in self._seeds:
            if address != self._listen:
                self.links.send(address, self._writer.seal(heartbeat))

    async def _watch_forever(self) -> None:
        while True:
            await trio.sleep(TICK_S)
            self._look_after_links(trio.current_time())

    def _look_after_links(self, now: float) -> None:
        due = self.watch.tick(now)
        for silent in due.silent:
            self._reopen(silent)
        for mended in due.mended:
            self._note_mended(mended)
        for instance in due.questions:
            self.send(instance, LinkCheck())
        for instance in due.answers:
            self.send(instance, LinkCheck(), kind=Kind.ANSWER)

    async def receive(self, data: bytes) -> None:
        """Takes one sealed message."""
        opened = self._reader.open(data)
        if isinstance(opened, Garbage):
            self._on_garbage(opened.reason)
            return
        sender = opened.sender
        if sender == self.detector.own.instance:
            return
        # A number that is not this start's own tells of an earlier one's messages.
        heard = opened.heard
        if heard is not None and heard > self._writer.number:
            heard = 0
        now = trio.current_time()
        self.watch.received(sender, heard=heard, asks=opened.asks, now=now)
        if not isinstance(opened.message, LinkCheck):
            self._handlers.dispatch(self._receiver, sender, opened.message)
        self.detector.observe_message(sender, now)

    def _reopen(self, silent: Silent) -> None:
        member = self.detector.members.get(silent.peer)
        if member is None:
            return
        # The socket may be gone as the least used: what it carried is lost too.
        self.links.reopen(member.address)
        _log.info(
            "A link is opened anew.",
            peer=silent.peer,
            way=silent.way.value,
            silent_s=round(silent.unanswered_s, 2),
            reopened=silent.reopened,
        )
        self.on_reopened(silent)

    def _note_mended(self, mended: Mended) -> None:
        self.mended += 1
        _log.info(
            "A link is answered again.",
            peer=mended.peer,
            silent_s=round(mended.silent_s, 2),
            reopened=mended.reopened,
        )
