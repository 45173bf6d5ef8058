"""The lines of the operator's file: directives with values, in blocks at most one deep.

    # a comment, up to the line's end
    log {
        form  json
        level info
    }
    record "/var/lib/step flow"       # the same without a block, where one value will do

A word stands alone or in double quotes; `{` ends a line that opens a block, `}` stands by itself.
"""

from __future__ import annotations

import shlex
from typing import NamedTuple

from stepflow.errors import InputError

MOST_BYTES = 1 << 20


class FileError(InputError):
    """What is wrong with a file, in one line that names the file, the line and the directive."""

    def __init__(self, file: str, line: int, what: str) -> None:
        super().__init__(f"{file}:{line}: {what}" if line else f"{file}: {what}")


class Directive(NamedTuple):
    """One directive: its values, and what stands in its block."""

    name: str
    values: tuple[str, ...]
    line: int
    block: tuple[Directive, ...] | None = None


def parse(text: str, file: str) -> tuple[Directive, ...]:
    """The directives of a file, in order; a FileError names the first line that can't be read."""
    top: list[Directive] = []
    inner: list[Directive] = []
    opened: Directive | None = None
    for number, raw in enumerate(text.splitlines(), 1):
        words = _words(raw, file, number)
        if not words:
            continue
        name, *values = words
        if name == "}":
            if values:
                raise FileError(file, number, "'}' stands by itself")
            if opened is None:
                raise FileError(file, number, "'}' without a block")
            top.append(opened._replace(block=tuple(inner)))
            opened = None
        elif name == "{":
            raise FileError(file, number, "a block without a name")
        elif values and values[-1] == "{":
            if opened is not None:
                raise FileError(file, number, f"{name}: a block in the block {opened.name!r}")
            opened, inner = Directive(name, tuple(values[:-1]), number), []
        elif "{" in values or "}" in values:
            raise FileError(file, number, f"{name}: a brace amid a line")
        else:
            (top if opened is None else inner).append(Directive(name, tuple(values), number))
    if opened is not None:
        raise FileError(file, opened.line, f"{opened.name}: its block is never closed")
    return tuple(top)


def _words(raw: str, file: str, number: int) -> list[str]:
    lexer = shlex.shlex(raw, posix=True)
    lexer.whitespace_split, lexer.quotes, lexer.escape = True, '"', ""
    try:
        return list(lexer)
    except ValueError:
        raise FileError(file, number, "a quote that is never closed") from None
