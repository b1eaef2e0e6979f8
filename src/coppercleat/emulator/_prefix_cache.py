"""A bounded cache of prompt prefixes, by blocks of characters."""

from __future__ import annotations

import collections

import xxhash

BLOCK_CHARS = 64
CHARS_PER_TOKEN = 4


def block_hashes(prompt: str) -> list[int]:
    """Returns a hash for each whole block, each covering all before it."""
    hashes = []
    state = xxhash.xxh3_64()
    for start in range(0, len(prompt) - BLOCK_CHARS + 1, BLOCK_CHARS):
        state.update(prompt[start : start + BLOCK_CHARS].encode())
        hashes.append(state.intdigest())
    return hashes


class PrefixCache:
    """Remembers which prefixes were computed; forgets the least used.

    Attributes:
      capacity: Blocks that fit.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.blocks: collections.OrderedDict[int, None] = collections.OrderedDict()

    def cached_tokens(self, prompt: str) -> int:
        """Returns how many leading tokens need no computation."""
        count = 0
        for digest in block_hashes(prompt):
            if digest not in self.blocks:
                break
            self.blocks.move_to_end(digest)
            count += 1
        return count * BLOCK_CHARS // CHARS_PER_TOKEN

    def add(self, prompt: str) -> None:
        """Notes that a prompt has been computed."""
        for digest in block_hashes(prompt):
            self.blocks[digest] = None
            self.blocks.move_to_end(digest)
        while len(self.blocks) > self.capacity:
            self.blocks.popitem(last=False)
