"""Authenticated envelopes for messages between members.

An envelope is a format byte, a BLAKE2b MAC, and an ``_Envelope`` in MessagePack. Each
envelope has a higher number than the last, so that replayed ones are rejected. A reader
accepts several keys at once, so that the key can be rotated without downtime.
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


class _Envelope(msgspec.Struct, Generic[_M], array_like=True):
    """The authenticated part of an envelope.

    Attributes:
      number: Number of this envelope; increases within the incarnation.
      heard: Number of the last envelope received from the receiver; 0 if none, None if
        the sender's release does not send acknowledgements.
      asks: Whether the sender requests an acknowledgement.
    """

    sender: InstanceId
    incarnation: int
    number: int
    message: _M
    heard: int | None = None
    asks: bool = False


class Garbage(msgspec.Struct, frozen=True):
    """Result for bytes that are not a valid, fresh message from a member.

    Attributes:
      reason: Label of the cause in a metric.
    """

    reason: str


class Opened(msgspec.Struct, frozen=True):
    """An authenticated message that is not a replay.

    Attributes:
      heard: As in ``_Envelope``.
      asks: Whether the sender requests an acknowledgement.
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
    """Puts one instance's messages into envelopes.

    Attributes:
      sender: The instance.
      incarnation: Its current incarnation.
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
        """Returns the bytes of the next envelope.

        Args:
          message: Its content.
          heard: Number of the last envelope received from the receiver; 0 if none.
          asks: Whether to request an acknowledgement.
        """
        self.number += 1
        payload = self._encoder.encode(
            _Envelope(self.sender, self.incarnation, self.number, message, heard, asks)
        )
        return _FORMAT + _mac(self._key, payload) + payload


class EnvelopeReader:
    """Authenticates and decodes envelopes from all members."""

    def __init__(self, *, keys: Sequence[str], messages: Any = Message) -> None:
        """Initializes the reader.

        Args:
          keys: Accepted keys.
          messages: Union of the accepted message types.
        """
        self._keys = [_key_bytes(key) for key in keys]
        self._latest: dict[InstanceId, tuple[int, int]] = {}
        self._decoder = msgspec.msgpack.Decoder(_Envelope[messages])

    def heard(self, sender: InstanceId) -> int:
        """Returns the number of the last envelope of a member; 0 if there was none."""
        return self._latest.get(sender, (0, 0))[1]

    def open(self, data: bytes) -> Opened | Garbage:
        """Returns the message, or the reason why the bytes are rejected."""
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
        position = (sealed.incarnation, sealed.number)
        if position <= self._latest.get(sealed.sender, (0, 0)):
            return Garbage("replayed")
        self._latest[sealed.sender] = position
        return Opened(sealed.sender, sealed.message, sealed.heard, sealed.asks)

    def forget(self, sender: InstanceId) -> None:
        """Forgets the last envelope of a removed member."""
        self._latest.pop(sender, None)
