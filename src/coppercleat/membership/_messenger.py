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
from coppercleat.membership._messages import Heartbeat, Message, NotHeard
from coppercleat.observability import part_logger

REOPEN_PAUSE_S = 2.0
"""A new link gets so long before it is given up too: connecting and the first message
take some 10 ms, a busy member up to a second."""

_COMPLAINTS_LOST = 2
"""After so many times the time to hear from a member, complaints to it may be lost as
well, and the own link is opened anew."""

_log = part_logger("peers")


class Messenger:
    """Sends and receives for one member, and sends its heartbeats.

    A link may go silent without an error: what is sent is lost and new links work.
    Only the other end can tell, so a member that should hear from another and does
    not says so, and the other opens its link anew.

    Attributes:
      detector: Which members are heard of.
      links: Sockets to the other members.
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
        hears_within_s: float | None = None,
        hears_from: Callable[[], Collection[InstanceId]] = tuple,
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
          hears_within_s: Within this time every member of ``hears_from`` that lives
            sends something to this one; None if nothing is sure.
          hears_from: Returns the members of which something must come.
        """
        self.detector = detector
        self.links = Links(listen)
        self._listen = listen
        self._seeds = seeds
        self._receiver = receiver
        self._handlers = handlers
        self._on_garbage = on_garbage
        self._hears_within_s = hears_within_s
        self._hears_from = hears_from
        self._heard_at: dict[InstanceId, float] = {}
        self._reopened_at: dict[InstanceId, float] = {}
        self._reader = EnvelopeReader(keys=keys, messages=messages)
        self._writer = EnvelopeWriter(
            detector.own.instance, detector.own.incarnation, key=keys[0]
        )

    async def run(self) -> None:
        """Receives until cancelled."""
        try:
            await self.links.receive(self.receive)
        finally:
            self.links.close()

    def beat(self, now: float, *, revision: Revision) -> None:
        """Sends the next heartbeat."""
        heartbeat, targets = self.detector.tick(now, revision=revision)
        self._writer.incarnation = self.detector.own.incarnation
        for instance in targets:
            self.send(instance, heartbeat)
        if not self.detector.alive(now)[1:]:
            self._tell_seeds(heartbeat)
        if self.detector.paused:
            _log.warning("This instance was paused.")
        self._complain(now)

    def greet(self, instances: Collection[InstanceId]) -> None:
        """Lets members know at once that this one lives; beats reach them by turns."""
        for instance in instances:
            self.send(instance, Heartbeat(self.detector.own, ()))

    def send(self, instance: InstanceId, message: msgspec.Struct) -> None:
        """Sends to a member if its address is known; never waits."""
        member = self.detector.members.get(instance)
        if member is not None:
            self.links.send(member.address, self._writer.seal(message))

    def _tell_seeds(self, heartbeat: Heartbeat) -> None:
        for address in self._seeds:
            if address != self._listen:
                self.links.send(address, self._writer.seal(heartbeat))

    def _complain(self, now: float) -> None:
        """Tells members of which nothing comes though it should."""
        if self._hears_within_s is None:
            return
        expected = self._hears_from()
        for instance in expected:
            silent_s = now - self._heard_at.setdefault(instance, now)
            if silent_s > _COMPLAINTS_LOST * self._hears_within_s:
                self._reopen(instance, silent_s, now)
            if silent_s > self._hears_within_s:
                self.send(instance, NotHeard(silent_s))
        for gone in set(self._heard_at) - set(expected):
            del self._heard_at[gone]

    async def receive(self, data: bytes) -> None:
        """Takes one sealed message."""
        opened = self._reader.open(data)
        if isinstance(opened, Garbage):
            self._on_garbage(opened.reason)
            return
        sender, message = opened
        if sender == self.detector.own.instance:
            return
        now = trio.current_time()
        self._heard_at[sender] = now
        if isinstance(message, NotHeard):
            self._reopen(sender, message.silent_s, now)
        else:
            self._handlers.dispatch(self._receiver, sender, message)

    def _reopen(self, instance: InstanceId, silent_s: float, now: float) -> None:
        member = self.detector.members.get(instance)
        since = now - self._reopened_at.get(instance, float("-inf"))
        if member is None or since < REOPEN_PAUSE_S:
            return
        self._reopened_at[instance] = now
        self.links.reopen(member.address)
        _log.info("A link is opened anew.", peer=instance, silent_s=round(silent_s, 1))
