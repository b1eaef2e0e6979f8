"""Writes the settings and metrics references from the code.

``python -m tools.reference`` writes ``docs/operations/settings.md`` and
``docs/operations/metrics.md``; ``make generated`` fails when they differ.
"""

from __future__ import annotations

import inspect
import pathlib
import typing

import msgspec

from coppercleat.observability import Metrics
from coppercleat.settings import Settings

_FOLDER = pathlib.Path(__file__).parent.parent / "docs" / "operations"
_NOTE = "Written by `make reference` from the code; do not edit.\n"


def _type_and_limits(annotation: object) -> str:
    """Returns an annotation in words, with the limits of its metadata."""
    if typing.get_origin(annotation) is typing.Annotated:
        base, *metas = typing.get_args(annotation)
        limits = [
            f"{name} {value}"
            for meta in metas
            for name in ("ge", "gt", "le", "lt", "min_length", "max_length", "pattern")
            if (value := getattr(meta, name)) is not None
        ]
        words = {"ge": "at least", "gt": "above", "le": "at most", "lt": "below"}
        for short, long in words.items():
            limits = [limit.replace(f"{short} ", f"{long} ", 1) for limit in limits]
        return ", ".join([_type_and_limits(base), *limits])
    if typing.get_origin(annotation) is list:
        return f"list of {_type_and_limits(typing.get_args(annotation)[0])}"
    return getattr(annotation, "__name__", str(annotation))


def settings_reference() -> str:
    """Returns the page on settings."""
    parts = ["# Settings\n", _NOTE]
    hints = typing.get_type_hints(Settings, include_extras=True)
    for section, kind in hints.items():
        parts.append(f"\n## `{section}`\n")
        parts.append(f"{inspect.getdoc(kind)}\n")
        parts.append("| key | type and limits | default |")
        parts.append("| --- | --- | --- |")
        fields = typing.get_type_hints(kind, include_extras=True)
        for field in msgspec.structs.fields(kind):
            default = field.default
            shown = "required" if field.required else f"`{default}`"
            if default is msgspec.NODEFAULT and not field.required:
                shown = f"`{field.default_factory()}`"
            words = _type_and_limits(fields[field.name]).replace("|", "\\|")
            parts.append(f"| `{field.name}` | {words} | {shown} |")
    return "\n".join(parts) + "\n"


def metrics_reference() -> str:
    """Returns the page on metrics."""
    parts = ["# Metrics\n", _NOTE]
    parts.append("\n| name | kind | meaning |\n| --- | --- | --- |")
    collectors = Metrics().registry.get_all()
    for collector in sorted(collectors, key=lambda found: found.name):
        kind = type(collector).__name__.lower()
        parts.append(f"| `{collector.name}` | {kind} | {collector.doc} |")
    return "\n".join(parts) + "\n"


def main() -> None:
    """Writes both pages."""
    (_FOLDER / "settings.md").write_text(settings_reference())
    (_FOLDER / "metrics.md").write_text(metrics_reference())


if __name__ == "__main__":
    main()
