"""Remembers which software version began each stream, here and at other instances.

Pattern: upstreams of two software versions serve a service side by side while one
replaces the other, and what two versions write does not fit together. A stream that was
broken off may go on only at the version that began it. Its client takes it up at any
instance, often because the one that began it is gone, so that each instance must know
the streams of all, also those from before a second version was listed.

An instance that runs thousands of streams a second keeps 8 bytes for each.
"""

from __future__ import annotations

import array
import bisect
import collections
import hashlib
from collections.abc import Iterable

import msgspec

from coppercleat.ids import RequestId, SoftwareVersion, StreamKey

KEPT_S = 60.0
"""Time for which the origin of a stream is known after it was told last. A client takes
up a stream within seconds."""

REFRESH_S = KEPT_S / 2
"""Time after which a stream that still runs is told anew."""

_GENERATION_S = 2.0
"""Streams of so many seconds are kept, sorted and forgotten together."""

_KEY_BYTES = 8


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """What began a stream: a software version of a service."""

    service: str
    version: SoftwareVersion

    @property
    def is_known(self) -> bool:
        """Whether the version is known, so that the stream may go on."""
        return bool(self.version)


class BegunStreams(msgspec.Struct, frozen=True, array_like=True):
    """Streams that one software version of a service began."""

    origin: StreamOrigin
    keys: tuple[StreamKey, ...]


def stream_key(host: str, request: RequestId) -> StreamKey:
    """Returns the key of a stream: clients of two hosts may choose one id.

    Args:
      host: Host that the client asked.
      request: Id of the client attempt that brought the stream's first event.
    """
    text = f"{host.lower()}\0{request}".encode()
    digest = hashlib.blake2b(text, digest_size=_KEY_BYTES).digest()
    return StreamKey(int.from_bytes(digest, "big"))


class StreamBatch:
    """Collects begun streams that are to be sent together."""

    def __init__(self) -> None:
        self._keys: dict[StreamOrigin, list[StreamKey]] = {}

    def __bool__(self) -> bool:
        return bool(self._keys)

    def add(self, streams: Iterable[BegunStreams]) -> None:
        """Adds streams."""
        for begun in streams:
            self._keys.setdefault(begun.origin, []).extend(begun.keys)

    def take(self) -> tuple[BegunStreams, ...]:
        """Returns what was added since the last call."""
        taken = tuple(
            BegunStreams(origin, tuple(keys)) for origin, keys in self._keys.items()
        )
        self._keys = {}
        return taken


class _Generation:
    """The streams of some seconds, sorted once no more are added."""

    def __init__(self, began_at: float) -> None:
        self.began_at = began_at
        self._open: dict[StreamOrigin, set[StreamKey]] = collections.defaultdict(set)
        self._closed: dict[StreamOrigin, array.array[int]] = {}

    def add(self, begun: BegunStreams) -> None:
        self._open[begun.origin].update(begun.keys)

    def close(self) -> None:
        for origin, keys in self._open.items():
            self._closed[origin] = array.array("Q", sorted(keys))
        self._open.clear()

    def origins_of(self, key: StreamKey) -> list[StreamOrigin]:
        return [
            *(origin for origin, keys in self._open.items() if key in keys),
            *(origin for origin, keys in self._closed.items() if _has(keys, key)),
        ]


class StreamOrigins:
    """The software versions that began recent streams; the clock is passed in."""

    def __init__(self) -> None:
        self._generations: collections.deque[_Generation] = collections.deque()
        self._told_at: dict[StreamKey, tuple[float, StreamOrigin]] = {}
        self._untold = StreamBatch()

    def begin(self, key: StreamKey, origin: StreamOrigin, *, now: float) -> None:
        """Records a stream whose first event has come here, to be told to peers."""
        begun = (BegunStreams(origin, (key,)),)
        self._told_at.pop(key, None)  # The newest comes last.
        self._told_at[key] = now, origin
        self._untold.add(begun)
        self.observe(begun, now=now)

    def end(self, key: StreamKey) -> None:
        """Records that a stream no longer runs here; its client may take it up."""
        self._told_at.pop(key, None)

    def observe(self, streams: Iterable[BegunStreams], *, now: float) -> None:
        """Records streams that have begun here or at a peer."""
        for begun in streams:
            if begun.origin.is_known:
                self._generation(now).add(begun)

    def find(self, key: StreamKey, *, now: float) -> StreamOrigin | None:
        """Returns what began a stream; None if that is not known.

        It is not known either where a client has used an id twice, for streams that
        different versions began.
        """
        self._expire(now)
        found = {
            origin
            for generation in self._generations
            for origin in generation.origins_of(key)
        }
        return found.pop() if len(found) == 1 else None

    def take_untold(self, *, now: float) -> tuple[BegunStreams, ...]:
        """Returns the streams that are to be told to peers now.

        Those are what has begun here since the last call, and what has run for so long
        that peers are about to forget it.
        """
        for key, (told_at, origin) in list(self._told_at.items()):
            if now - told_at < REFRESH_S:
                break  # They are in the order in which they were told.
            del self._told_at[key]
            self.begin(key, origin, now=now)
        return self._untold.take()

    def _generation(self, now: float) -> _Generation:
        """Returns the generation to which streams are added now."""
        newest = self._generations[-1] if self._generations else None
        if newest is not None and now - newest.began_at < _GENERATION_S:
            return newest
        if newest is not None:
            newest.close()
        self._expire(now)
        self._generations.append(_Generation(now))
        return self._generations[-1]

    def _expire(self, now: float) -> None:
        kept_since = now - KEPT_S - _GENERATION_S
        while self._generations and self._generations[0].began_at < kept_since:
            self._generations.popleft()


def _has(keys: array.array[int], key: StreamKey) -> bool:
    """Returns whether a sorted array has a key."""
    index = bisect.bisect_left(keys, key)
    return index < len(keys) and keys[index] == key
