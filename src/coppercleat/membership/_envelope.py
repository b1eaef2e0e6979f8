"""Seals and opens messages between members.

An envelope is a format byte, a BLAKE2b MAC, and MessagePack of sender,
incarnation, number, message, the number last heard of the receiver, and whether an
answer is asked for. The number grows with each envelope, so that
a replayed one is dropped. Several keys may be accepted at once, so that the
key can be changed without a stop; the first one seals.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Sequence
from typing import Any, Generic, TypeVar

import msgspec

from coppercleat.ids import InstanceId
from coppercleat.membership._messages import Message

MAX_MESSAGE_BYTES = 4_000_000
_FORMAT = b"\x01"
_MAC_BYTES = 16
_HEADER_BYTES = len(_FORMAT) + _MAC_BYTES


_M = TypeVar("_M")


class _Sealed(msgspec.Struct, Generic[_M], array_like=True):
    sender: InstanceId
    incarnation: int
    number: int
    message: _M
    heard: int | None = None
    asks: bool = False


class Garbage(msgspec.Struct, frozen=True):
    """Sentinel: the bytes are not a fresh message from a member.

    Attributes:
      reason: Why; a short name for a metric.
    """

    reason: str


class Opened(msgspec.Struct, frozen=True):
    """A fresh message from a member.

    Attributes:
      heard: Number of the last envelope that the sender had of the receiver; 0 if
        none, None from a member whose release does not tell.
      asks: Whether the sender asks for an answer.
    """

    sender: InstanceId
    message: Any
    heard: int | None
    asks: bool


def _mac(key: bytes, payload: bytes) -> bytes:
    return hashlib.blake2b(payload, key=key, digest_size=_MAC_BYTES).digest()


def _key_bytes(key: str) -> bytes:
    return hashlib.sha256(key.encode()).digest()


class EnvelopeWriter:
    """Seals one instance's messages.

    Attributes:
      number: Number of the last envelope.
    """

    def __init__(self, sender: InstanceId, incarnation: int, *, key: str) -> None:
        self.sender = sender
        self.incarnation = incarnation
        self._key = _key_bytes(key)
        self.number = 0
        self._encoder = msgspec.msgpack.Encoder()

    def seal(
        self, message: msgspec.Struct, *, heard: int = 0, asks: bool = False
    ) -> bytes:
        """Returns the bytes to send.

        Args:
          message: What to say.
          heard: Number of the receiver's last envelope that was opened; 0 if none.
          asks: Whether to ask for an answer.
        """
        self.number += 1
        payload = self._encoder.encode(
            _Sealed(self.sender, self.incarnation, self.number, message, heard, asks)
        )
        return _FORMAT + _mac(self._key, payload) + payload


class EnvelopeReader:
    """Opens envelopes from any member."""

    def __init__(self, *, keys: Sequence[str], messages: Any = Message) -> None:
        """Prepares the reader.

        Args:
          keys: Keys that are accepted.
          messages: Union of the kinds of messages that may come.
        """
        self._keys = [_key_bytes(key) for key in keys]
        self._latest: dict[InstanceId, tuple[int, int]] = {}
        self._decoder = msgspec.msgpack.Decoder(_Sealed[messages])

    def heard(self, sender: InstanceId) -> int:
        """Returns the number of a member's last envelope; 0 if there was none."""
        return self._latest.get(sender, (0, 0))[1]

    def open(self, data: bytes) -> Opened | Garbage:
        """Returns what a member says, or why the bytes are dropped."""
        if len(data) > MAX_MESSAGE_BYTES:
            return Garbage("too_long")
        if data[:1] != _FORMAT:
            return Garbage("unknown_format")
        mac, payload = data[1:_HEADER_BYTES], data[_HEADER_BYTES:]
        if not any(hmac.compare_digest(mac, _mac(k, payload)) for k in self._keys):
            return Garbage("wrong_key")
        try:
            sealed = self._decoder.decode(payload)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return Garbage("does_not_fit")
        order = (sealed.incarnation, sealed.number)
        if order <= self._latest.get(sealed.sender, (0, 0)):
            return Garbage("replayed")
        self._latest[sealed.sender] = order
        return Opened(sealed.sender, sealed.message, sealed.heard, sealed.asks)

    def forget(self, sender: InstanceId) -> None:
        """Drops what is kept of a member long dead."""
        self._latest.pop(sender, None)
