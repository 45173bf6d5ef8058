"""The two forms of the settings, each turned into pairs of a dotted key and a text.

The simulator sends lines of `key=value`; a node's configuration has nested JSON. In both, an item of a list
of objects has its number in the key (`classes.0.name`), and `classes.count` tells how many there are; a list
of plain values is one text with commas.
"""

from __future__ import annotations

from collections.abc import Iterator


def pairs_of_text(text: str) -> Iterator[tuple[str, str]]:
    """Yield the pairs of the simulator's text; lines without an equals sign are skipped."""
    for line in text.splitlines():
        key, equals, value = line.partition("=")
        if equals:
            yield key, value


def pairs_of_json(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """Yield the pairs of nested JSON in the form that the simulator's text has."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from pairs_of_json(inner, f"{path}.{key}" if path else key)
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        yield f"{path}.count", str(len(value))
        for index, item in enumerate(value):
            yield from pairs_of_json(item, f"{path}.{index}")
    elif isinstance(value, list):
        yield path, ",".join(map(_text_of, value))
    else:
        yield path, _text_of(value)


def _text_of(value: object) -> str:
    """Return a plain value as text; spaces and commas, which separate values, become underscores."""
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    return value.replace(" ", "_").replace(",", "_") if isinstance(value, str) else str(value)
