"""Items as they are submitted, and their results."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from coppercleat.errors import InvalidRequestError

_MAX_LINE_BYTES = 1_000_000
_MAX_PROBLEMS = 20


class Item(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """One line of a job's input.

    Attributes:
      prompt: What to ask.
      id: The submitter's own id, given back with the result.
      max_tokens: 0 takes the job's.
    """

    prompt: Annotated[str, Meta(min_length=1, max_length=500_000)]
    id: Annotated[str, Meta(max_length=200)] = ""
    max_tokens: Annotated[int, Meta(ge=0, le=1_000_000)] = 0


class ItemResult(msgspec.Struct, kw_only=True):
    """An item's one result: an answer, or a readable failure.

    Attributes:
      attempts: Executions that were started for it, as far as is known.
    """

    index: int
    id: str = ""
    ok: bool = True
    text: str = ""
    error_kind: str = ""
    error_message: str = ""
    attempts: int = 1


_line_decoder = msgspec.json.Decoder(Item)


class ItemLineDecoder:
    """Decodes JSON Lines that arrive in any division.

    Attributes:
      lines: Lines seen so far, blank ones included.
      problems: What is wrong, with line numbers; the first few only.
    """

    def __init__(self) -> None:
        self.lines = 0
        self.problems: list[str] = []
        self._partial_line = b""

    def feed(self, data: bytes) -> list[Item]:
        """Takes bytes and returns the items of the lines they complete."""
        parts = (self._partial_line + data).split(b"\n")
        self._partial_line = parts.pop()
        if len(self._partial_line) > _MAX_LINE_BYTES:
            self._add_problem(self.lines + 1, f"exceeds {_MAX_LINE_BYTES} bytes")
            raise self.error()
        return self._decode(parts)

    def finish(self) -> list[Item]:
        """Returns the last line's item, if the input ended without a newline.

        Raises:
          InvalidRequestError: Some lines were wrong; nothing may be accepted.
        """
        rest, self._partial_line = self._partial_line, b""
        items = self._decode([rest]) if rest else []
        if self.problems:
            raise self.error()
        return items

    def error(self) -> InvalidRequestError:
        """Returns the refusal that names the lines."""
        return InvalidRequestError(
            "The input has wrong lines: " + "; ".join(self.problems),
            remedy="Correct these lines and submit the whole job again.",
            problems=self.problems,
        )

    def _decode(self, parts: list[bytes]) -> list[Item]:
        items = []
        for part in parts:
            self.lines += 1
            if not part.strip():
                continue
            try:
                items.append(_line_decoder.decode(part))
            except (msgspec.DecodeError, msgspec.ValidationError) as error:
                self._add_problem(self.lines, str(error))
            except UnicodeDecodeError:
                self._add_problem(self.lines, "not UTF-8")
        return items

    def _add_problem(self, line: int, problem: str) -> None:
        if len(self.problems) < _MAX_PROBLEMS:
            self.problems.append(f"line {line}: {problem}")
