"""Continuous batching as a pure model: what one step does and how long.

Each step gives one token to every running sequence whose prompt has been
computed, and computes prompts of those just admitted. Sequences are admitted
in the order of arrival while KV memory lasts: the engine knows no priorities.
"""

from __future__ import annotations

import collections

import attrs
import xxhash

from coppercleat.emulator._prefix_cache import CHARS_PER_TOKEN, PrefixCache

_WORDS = (
    "swell", "lentil", "harbour", "broth", "northerly", "almond", "period",
    "barley", "buoy", "saffron", "knots", "stew", "ebb", "chard", "metres",
    "quince",
)  # fmt: skip


def expected_text(prompt: str, tokens: int) -> str:
    """Returns the answer that the model always gives to a prompt."""
    return "".join(_token(prompt, index) for index in range(tokens))


def _token(prompt: str, index: int) -> str:
    digest = xxhash.xxh3_64_intdigest(f"{index}:{prompt}".encode())
    return _WORDS[digest % len(_WORDS)] + " "


@attrs.define(kw_only=True)
class EngineSpeed:
    """How long a step takes, in seconds, and how much memory there is.

    Attributes:
      step_s: A step's fixed part.
      sequence_s: Added for each running sequence.
      prefill_token_s: Added for each prompt token computed in the step.
      prefill_budget: Prompt tokens computed in one step at most.
      kv_tokens: KV memory, in tokens, over all running sequences.
      cache_blocks: Blocks in the prefix cache.
      max_sequences: Sequences that run at once.
    """

    step_s: float = 0.004
    sequence_s: float = 0.0003
    prefill_token_s: float = 0.00002
    prefill_budget: int = 2048
    kv_tokens: int = 200_000
    cache_blocks: int = 4096
    max_sequences: int = 256


@attrs.define(kw_only=True)
class Sequence:
    """One request inside the engine.

    Attributes:
      resumed_tokens: Tokens that an earlier, cancelled run had made.
      prefill_left: Prompt tokens still to compute.
      generated: Tokens made, those of the earlier run included.
    """

    request_id: str
    prompt: str
    max_tokens: int
    resumed_tokens: int = 0
    prefill_left: int = 0
    generated: int = 0

    @property
    def prompt_tokens(self) -> int:
        """Length of the prompt in tokens."""
        return max(1, len(self.prompt) // CHARS_PER_TOKEN)

    @property
    def finished(self) -> bool:
        """Whether all tokens have been made."""
        return self.generated >= self.max_tokens


@attrs.define
class StepResult:
    """What one step did.

    Attributes:
      duration_s: How long the step takes.
      tokens: The new token of each sequence that got one.
    """

    duration_s: float
    tokens: list[tuple[Sequence, str]]


class Engine:
    """The state of one engine between steps."""

    def __init__(self, speed: EngineSpeed) -> None:
        self.speed = speed
        self.waiting: collections.deque[Sequence] = collections.deque()
        self.running: list[Sequence] = []
        self.cache = PrefixCache(speed.cache_blocks)

    @property
    def kv_used(self) -> int:
        """Tokens of KV memory that running sequences have reserved."""
        return sum(s.prompt_tokens + s.max_tokens for s in self.running)

    @property
    def idle(self) -> bool:
        """Whether a step would do nothing."""
        return not self.waiting and not self.running

    def submit(self, sequence: Sequence) -> None:
        """Queues a sequence in the order of arrival."""
        self.waiting.append(sequence)

    def cancel(self, sequence: Sequence) -> None:
        """Forgets a sequence wherever it is."""
        if sequence in self.running:
            self.running.remove(sequence)
        elif sequence in self.waiting:
            self.waiting.remove(sequence)

    def step(self) -> StepResult:
        """Runs one step and returns what it made and how long it takes."""
        self._admit()
        prefilled = self._prefill()
        tokens = []
        for sequence in self.running:
            if sequence.prefill_left:
                continue
            tokens.append((sequence, _token(sequence.prompt, sequence.generated)))
            sequence.generated += 1
        duration = (
            self.speed.step_s
            + self.speed.sequence_s * len(self.running)
            + self.speed.prefill_token_s * prefilled
        )
        self.running = [s for s in self.running if not s.finished]
        return StepResult(duration, tokens)

    def _admit(self) -> None:
        used = self.kv_used
        while self.waiting and len(self.running) < self.speed.max_sequences:
            sequence = self.waiting[0]
            need = sequence.prompt_tokens + sequence.max_tokens
            if self.running and used + need > self.speed.kv_tokens:
                return
            self.waiting.popleft()
            used += need
            cached = self.cache.cached_tokens(sequence.prompt)
            sequence.generated = sequence.resumed_tokens
            sequence.prefill_left = max(
                1, sequence.prompt_tokens + sequence.resumed_tokens - cached
            )
            self.running.append(sequence)

    def _prefill(self) -> int:
        budget = self.speed.prefill_budget
        for sequence in self.running:
            if not sequence.prefill_left or not budget:
                continue
            done = min(budget, sequence.prefill_left)
            sequence.prefill_left -= done
            budget -= done
            if not sequence.prefill_left:
                self.cache.add(sequence.prompt)
        return self.speed.prefill_budget - budget
