"""Carries envelopes between instances over ``pynng`` push and pull sockets.

Sending never blocks: a message that cannot be queued at once is dropped, so that a slow
or crashed member does not delay the others. Senders that need a reply must retry.
"""

from __future__ import annotations

import collections
import contextlib
from collections.abc import Awaitable, Callable

import pynng

from coppercleat.membership._envelope import MAX_MESSAGE_BYTES

_MAX_LINKS = 96
_SEND_BUFFER_MESSAGES = 64
_RECEIVE_BUFFER_MESSAGES = 256
_MAX_RECEIVE_BATCH = 32
"""Messages read without waiting before other tasks may run. A wait costs as much as
reading some ten messages."""

_RECONNECT_MIN_MS = 50
_RECONNECT_MAX_MS = 1000


class Links:
    """Sockets to other instances, opened on first use.

    The least recently used socket is closed when there are too many.

    Attributes:
      sent_bytes: Total bytes passed to sockets.
      received_bytes: Total bytes received.
      dropped: Messages not sent because a socket failed or its buffer was full.
      reopened: Times that a socket was closed by ``reopen``.
    """

    def __init__(self, listen: str) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0
        self.dropped = 0
        self.reopened = 0
        self._links: collections.OrderedDict[str, pynng.Push0] = (
            collections.OrderedDict()
        )
        self._pull = pynng.Pull0(
            listen=f"tcp://{listen}",
            recv_buffer_size=_RECEIVE_BUFFER_MESSAGES,
            recv_max_size=MAX_MESSAGE_BYTES,
        )

    def send(self, address: str, data: bytes) -> bool:
        """Sends to ``IP:PORT`` without blocking; returns whether it was queued."""
        try:
            self._link(address).send(data, block=False)
        except pynng.NNGException:
            self.dropped += 1
            return False
        self.sent_bytes += len(data)
        return True

    async def receive(self, handle: Callable[[bytes], Awaitable[None]]) -> None:
        """Passes each message received to ``handle`` until cancelled."""
        while True:
            await self._deliver(await self._pull.arecv(), handle)
            for _ in range(_MAX_RECEIVE_BATCH):
                try:
                    # pynng's recv() fails for an empty message.
                    data = self._pull.recv_msg(block=False).bytes
                except pynng.TryAgain:
                    break
                await self._deliver(data, handle)

    async def _deliver(
        self, data: bytes, handle: Callable[[bytes], Awaitable[None]]
    ) -> None:
        self.received_bytes += len(data)
        await handle(data)

    def reopen(self, address: str) -> bool:
        """Closes the socket to an address; the next message opens a new one.

        Returns:
          Whether there was a socket to close.
        """
        dropped = self._drop(address)
        self.reopened += dropped
        return dropped

    def close(self) -> None:
        """Closes all sockets."""
        for link in self._links.values():
            link.close()
        self._pull.close()

    def _drop(self, address: str) -> bool:
        """Closes the socket to an address, if any; returns whether there was one."""
        link = self._links.pop(address, None)
        if link is None:
            return False
        with contextlib.suppress(pynng.NNGException):
            link.close()
        return True

    def _link(self, address: str) -> pynng.Push0:
        link = self._links.get(address)
        if link is None:
            link = pynng.Push0(
                send_buffer_size=_SEND_BUFFER_MESSAGES,
                reconnect_time_min=_RECONNECT_MIN_MS,
                reconnect_time_max=_RECONNECT_MAX_MS,
            )
            link.dial(f"tcp://{address}", block=False)
            self._links[address] = link
        self._links.move_to_end(address)
        while len(self._links) > _MAX_LINKS:
            self._drop(next(iter(self._links)))
        return link
