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
      ack_number: Number of the last envelope received from the receiver; 0 if none,
        None if the sender's release does not send acknowledgements.
      wants_ack: Whether the sender requests an acknowledgement.
    """

    sender: InstanceId
    incarnation: int
    number: int
    message: _M
    ack_number: int | None = None
    wants_ack: bool = False


class RejectedMessage(msgspec.Struct, frozen=True):
    """Result for bytes that are not a valid, fresh message from a member.

    Attributes:
      reason: Label of the cause in a metric.
    """

    reason: str


class OpenedMessage(msgspec.Struct, frozen=True):
    """An authenticated message that is not a replay.

    Attributes:
      ack_number: As in ``_Envelope``.
      wants_ack: Whether the sender requests an acknowledgement.
    """

    sender: InstanceId
    message: Any
    ack_number: int | None
    wants_ack: bool


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
        self, message: msgspec.Struct, *, ack_number: int = 0, wants_ack: bool = False
    ) -> bytes:
        """Returns the bytes of the next envelope.

        Args:
          message: Its content.
          ack_number: Number of the last envelope received from the receiver; 0 if none.
          wants_ack: Whether to request an acknowledgement.
        """
        self.number += 1
        payload = self._encoder.encode(
            _Envelope(
                self.sender,
                self.incarnation,
                self.number,
                message,
                ack_number,
                wants_ack,
            )
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

    def ack_number(self, sender: InstanceId) -> int:
        """Returns the number of the last envelope of a member; 0 if there was none."""
        return self._latest.get(sender, (0, 0))[1]

    def open(self, data: bytes) -> OpenedMessage | RejectedMessage:
        """Returns the message, or the reason why the bytes are rejected."""
        if len(data) > MAX_MESSAGE_BYTES:
            return RejectedMessage("too_long")
        if data[:1] != _FORMAT:
            return RejectedMessage("unknown_format")
        mac, payload = data[1:_HEADER_BYTES], data[_HEADER_BYTES:]
        if not any(hmac.compare_digest(mac, _mac(k, payload)) for k in self._keys):
            return RejectedMessage("wrong_key")
        try:
            sealed = self._decoder.decode(payload)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return RejectedMessage("does_not_fit")
        position = (sealed.incarnation, sealed.number)
        if position <= self._latest.get(sealed.sender, (0, 0)):
            return RejectedMessage("replayed")
        self._latest[sealed.sender] = position
        return OpenedMessage(
            sealed.sender, sealed.message, sealed.ack_number, sealed.wants_ack
        )

    def forget(self, sender: InstanceId) -> None:
        """Forgets the last envelope of a removed member."""
        self._latest.pop(sender, None)
