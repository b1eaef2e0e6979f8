"""Sends and receives the messages of one instance."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from typing import Any

import msgspec
import trio

from coppercleat.ids import InstanceId, Revision
from coppercleat.membership._detector import Detector
from coppercleat.membership._envelope import (
    EnvelopeReader,
    EnvelopeWriter,
    RejectedMessage,
)
from coppercleat.membership._handlers import HandlerRegistry
from coppercleat.membership._links import Links
from coppercleat.membership._messages import Heartbeat, LinkCheck, Message
from coppercleat.membership._silent_links import (
    CHECK_INTERVAL_S,
    LinkWatch,
    MessageKind,
    RecoveredLink,
    SilentLink,
)
from coppercleat.observability import part_logger

_log = part_logger("peers")


class Messenger:
    """Exchanges messages with the other members, and reopens silent links.

    Attributes:
      detector: Failure detector; has the members' addresses.
      links: Sockets to the other members.
      watch: Detects silent links.
      recovered: Times that an acknowledgement arrived on a silent link.
      on_reopened: Called with each silent link after it is reopened. Messages on it may
        be lost, so the callee should send the current state again.
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
        on_rejected: Callable[[str], None],
        on_reopened: Callable[[SilentLink], None],
    ) -> None:
        """Opens the listening socket.

        Args:
          detector: Failure detector of this instance.
          listen: ``IP:PORT`` to listen on.
          seeds: Addresses that get heartbeats while no other member is alive.
          keys: Accepted keys; messages are sent with the first.
          receiver: First argument of the message handlers.
          handlers: Message handlers by message type.
          messages: Union of the accepted message types.
          on_rejected: Called with the reason when a message is rejected.
          on_reopened: See the attribute.
        """
        self.detector = detector
        self.links = Links(listen)
        self.watch = LinkWatch()
        self.recovered = 0
        self.on_reopened = on_reopened
        self._listen = listen
        self._seeds = seeds
        self._receiver = receiver
        self._handlers = handlers
        self._on_rejected = on_rejected
        self._reader = EnvelopeReader(keys=keys, messages=messages)
        self._writer = EnvelopeWriter(
            detector.own.instance, detector.own.incarnation, key=keys[0]
        )

    async def run(self) -> None:
        """Receives messages and reopens silent links until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.links.receive, self.receive)
                nursery.start_soon(self._check_links_forever)
        finally:
            self.links.close()

    def beat(self, now: float, *, revision: Revision) -> None:
        """Sends the next heartbeat."""
        heartbeat, targets = self.detector.tick(now, revision=revision)
        self._writer.incarnation = self.detector.own.incarnation
        for instance in targets:
            reminder = self.detector.reminder(instance, now)
            self.send(instance, reminder or heartbeat, kind=MessageKind.ROUTINE)
        zone_heartbeat, partners = self.detector.zone_heartbeat(now)
        for instance in partners:
            self.send(instance, zone_heartbeat, kind=MessageKind.ROUTINE)
        if not self.detector.alive(now)[1:]:
            self._send_to_seeds(heartbeat)
        if self.detector.paused:
            _log.warning("This process was suspended.")

    def announce_self(self, instances: Collection[InstanceId]) -> None:
        """Sends this instance's state at once, before their turn in the heartbeats."""
        for instance in instances:
            self.send(instance, Heartbeat(self.detector.own, ()))

    def send(
        self,
        instance: InstanceId,
        message: msgspec.Struct,
        *,
        kind: MessageKind = MessageKind.NEWS,
    ) -> None:
        """Sends to a member without blocking; does nothing for an unknown member."""
        member = self.detector.members.get(instance)
        if member is None:
            return
        number = self._writer.number + 1
        now = trio.current_time()
        wants_ack = self.watch.sent(instance, number, now=now, kind=kind)
        ack_number = self._reader.ack_number(instance)
        sealed = self._writer.seal(message, ack_number=ack_number, wants_ack=wants_ack)
        self.links.send(member.address, sealed)

    def _send_to_seeds(self, heartbeat: Heartbeat) -> None:
        for address in self._seeds:
            if address != self._listen:
                self.links.send(address, self._writer.seal(heartbeat))

    async def _check_links_forever(self) -> None:
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            self._check_links(trio.current_time())

    def _check_links(self, now: float) -> None:
        due = self.watch.tick(now)
        for silent in due.silent:
            self._reopen(silent)
        for recovered in due.recovered:
            self._record_recovery(recovered)
        for instance in due.ack_requests:
            self.send(instance, LinkCheck())
        for instance in due.acks:
            self.send(instance, LinkCheck(), kind=MessageKind.ANSWER)

    async def receive(self, data: bytes) -> None:
        """Handles the bytes of one envelope."""
        opened = self._reader.open(data)
        if isinstance(opened, RejectedMessage):
            self._on_rejected(opened.reason)
            return
        sender = opened.sender
        if sender == self.detector.own.instance:
            return
        # A number not yet used acknowledges a message of an earlier incarnation.
        ack_number = opened.ack_number
        if ack_number is not None and ack_number > self._writer.number:
            ack_number = 0
        now = trio.current_time()
        self.watch.received(
            sender, ack_number=ack_number, wants_ack=opened.wants_ack, now=now
        )
        if not isinstance(opened.message, LinkCheck):
            self._handlers.dispatch(self._receiver, sender, opened.message)
        self.detector.observe_message(sender, now)

    def _reopen(self, silent: SilentLink) -> None:
        member = self.detector.members.get(silent.peer)
        if member is None:
            return
        # Messages may be lost even if the socket was already closed as least used.
        self.links.reopen(member.address)
        _log.info(
            "Reopened a silent link.",
            peer=silent.peer,
            way=silent.way.value,
            silent_s=round(silent.unacked_s, 2),
            reopened=silent.reopened,
        )
        self.on_reopened(silent)

    def _record_recovery(self, recovered: RecoveredLink) -> None:
        self.recovered += 1
        _log.info(
            "A silent link recovered.",
            peer=recovered.peer,
            silent_s=round(recovered.silent_s, 2),
            reopened=recovered.reopened,
        )
