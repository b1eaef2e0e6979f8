"""Items of a job's input, their results, and the decoder of input lines."""

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
      prompt: Prompt of the inference request.
      id: Identifier chosen by the client, returned with the result.
      max_tokens: Token limit, 0 for the job's.
    """

    prompt: Annotated[str, Meta(min_length=1, max_length=500_000)]
    id: Annotated[str, Meta(max_length=200)] = ""
    max_tokens: Annotated[int, Meta(ge=0, le=1_000_000)] = 0


class ItemResult(msgspec.Struct, kw_only=True):
    """Result of an item: generated text, or an error.

    Attributes:
      index: Index of the item in the job.
      id: The client's identifier of the item.
      ok: Whether the item succeeded.
      text: Generated text.
      error_kind: Kind of the last error, if the item failed.
      error_message: Message of the last error, if the item failed.
      attempts: Known number of attempts.
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
    """Incremental decoder of JSON Lines.

    Attributes:
      lines: Number of lines decoded, including blank ones.
      problems: The first few errors, with line numbers.
    """

    def __init__(self) -> None:
        self.lines = 0
        self.problems: list[str] = []
        self._partial_line = b""

    def feed(self, data: bytes) -> list[Item]:
        """Returns the items of the lines completed by the data.

        Raises:
          InvalidRequestError: A line is too long.
        """
        parts = (self._partial_line + data).split(b"\n")
        self._partial_line = parts.pop()
        if len(self._partial_line) > _MAX_LINE_BYTES:
            self._add_problem(self.lines + 1, f"exceeds {_MAX_LINE_BYTES} bytes")
            raise self.error()
        return self._decode(parts)

    def finish(self) -> list[Item]:
        """Returns the last line's item, if the input ended without a newline.

        Raises:
          InvalidRequestError: Some lines are invalid.
        """
        line, self._partial_line = self._partial_line, b""
        items = self._decode([line]) if line else []
        if self.problems:
            raise self.error()
        return items

    def error(self) -> InvalidRequestError:
        """Returns the error that lists the invalid lines."""
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
