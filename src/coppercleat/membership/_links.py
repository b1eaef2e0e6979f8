"""Carries envelopes between instances over ``pynng`` push and pull sockets.

A message is sent or dropped, never waited for: a slow or dead member cannot
hold up the others. Whoever needs an answer asks again.
"""

from __future__ import annotations

import collections
import contextlib
from collections.abc import Awaitable, Callable

import pynng

from coppercleat.membership._envelope import MAX_MESSAGE_BYTES

_MAX_LINKS = 96
_SEND_BUFFER = 64
_RECEIVE_BUFFER = 256
_TAKEN_AT_ONCE = 32
"""Messages taken after one wait, which costs as much as some ten of them; then others
have their turn."""

_RECONNECT_MIN_MS = 50
_RECONNECT_MAX_MS = 1000


class Links:
    """Sockets to other instances, opened on first use, the least used closed.

    Attributes:
      sent_bytes: Bytes handed to sockets so far.
      received_bytes: Bytes taken from sockets so far.
      dropped: Messages not sent because a link was down or full.
      reopened: Times that a link was closed since nothing came through.
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
            recv_buffer_size=_RECEIVE_BUFFER,
            recv_max_size=MAX_MESSAGE_BYTES,
        )

    def send(self, address: str, data: bytes) -> bool:
        """Sends to ``IP:PORT`` without waiting; returns whether it was taken."""
        try:
            self._link(address).send(data, block=False)
        except pynng.NNGException:
            self.dropped += 1
            return False
        self.sent_bytes += len(data)
        return True

    async def receive(self, handle: Callable[[bytes], Awaitable[None]]) -> None:
        """Passes each message received to ``handle``, for ever."""
        while True:
            await self._take(await self._pull.arecv(), handle)
            for _ in range(_TAKEN_AT_ONCE):
                try:
                    # recv() itself fails for an empty message.
                    data = self._pull.recv_msg(block=False).bytes
                except pynng.TryAgain:
                    break
                await self._take(data, handle)

    async def _take(
        self, data: bytes, handle: Callable[[bytes], Awaitable[None]]
    ) -> None:
        self.received_bytes += len(data)
        await handle(data)

    def reopen(self, address: str) -> bool:
        """Closes the socket to an address; the next message opens a new one.

        Returns:
          False if there was none, as when it was the least used.
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
        """Closes the socket to an address; returns whether there was one."""
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
                send_buffer_size=_SEND_BUFFER,
                reconnect_time_min=_RECONNECT_MIN_MS,
                reconnect_time_max=_RECONNECT_MAX_MS,
            )
            link.dial(f"tcp://{address}", block=False)
            self._links[address] = link
        self._links.move_to_end(address)
        while len(self._links) > _MAX_LINKS:
            self._drop(next(iter(self._links)))
        return link
