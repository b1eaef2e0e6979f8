"""Seals and opens messages between members.

An envelope is a format byte, a BLAKE2b MAC, and MessagePack of sender,
incarnation, number and message. The number grows with each envelope, so that
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


class Garbage(msgspec.Struct, frozen=True):
    """Sentinel: the bytes are not a fresh message from a member.

    Attributes:
      reason: Why; a short name for a metric.
    """

    reason: str


def _mac(key: bytes, payload: bytes) -> bytes:
    return hashlib.blake2b(payload, key=key, digest_size=_MAC_BYTES).digest()


def _key_bytes(key: str) -> bytes:
    return hashlib.sha256(key.encode()).digest()


class EnvelopeWriter:
    """Seals one instance's messages."""

    def __init__(self, sender: InstanceId, incarnation: int, *, key: str) -> None:
        self.sender = sender
        self.incarnation = incarnation
        self._key = _key_bytes(key)
        self._number = 0
        self._encoder = msgspec.msgpack.Encoder()

    def seal(self, message: msgspec.Struct) -> bytes:
        """Returns the bytes to send."""
        self._number += 1
        payload = self._encoder.encode(
            _Sealed(self.sender, self.incarnation, self._number, message)
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

    def open(self, data: bytes) -> tuple[InstanceId, Any] | Garbage:
        """Returns sender and message, or why the bytes are dropped."""
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
        return sealed.sender, sealed.message

    def forget(self, sender: InstanceId) -> None:
        """Drops what is kept of a member long dead."""
        self._latest.pop(sender, None)
