"""Converts the two formats of the settings to pairs of a dotted key and a text.

The simulator sends lines of `key=value`; a node's configuration contains nested JSON. In the pairs of both
formats, a list of objects has the index of each item in its keys (`classes.0.name`) and its length in a
separate key (`classes.count`). A list of plain values is one text, separated by commas.
"""

from __future__ import annotations

from collections.abc import Iterator


def pairs_of_text(text: str) -> Iterator[tuple[str, str]]:
    """Yield the pairs of the simulator's text; skip lines without an equals sign."""
    for line in text.splitlines():
        key, equals, value = line.partition("=")
        if equals:
            yield key, value


def pairs_of_json(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """Yield the pairs of nested JSON, as the simulator's text would contain them."""
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
    """Return a plain value as text, with underscores for its spaces and commas, which separate values."""
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    return value.replace(" ", "_").replace(",", "_") if isinstance(value, str) else str(value)
