"""Parses the syntax of the operator's file: directives with values, in blocks that can't be nested.

    # a comment, up to the line's end
    log {
        form  json
        level info
    }
    record "/var/lib/step flow"       # a value with a space

A word may be put in double quotes. `{` is the last word of a line that opens a block, and `}` is a line of
its own. The known directives are defined in `stepflow.daemon.model`.
"""

from __future__ import annotations

import shlex
from typing import NamedTuple

from stepflow.errors import InputError

MAX_FILE_BYTES = 1 << 20  # maximum size of a file


class FileError(InputError):
    """A file is invalid; the message is one line with the file, the line (0: none) and the directive."""

    def __init__(self, file: str, line: int, message: str) -> None:
        super().__init__(f"{file}:{line}: {message}" if line else f"{file}: {message}")


class Directive(NamedTuple):
    """A directive with its values, and the directives of its block if it has one."""

    name: str
    values: tuple[str, ...]
    line: int
    block: tuple[Directive, ...] | None = None


def parse(text: str, file: str) -> tuple[Directive, ...]:
    """Return the directives of a file, in order; FileError names the first invalid line."""
    parser = _Parser(file)
    for line, raw in enumerate(text.splitlines(), 1):
        if words := parser.split_words(raw, line):
            parser.add(words, line)
    return parser.finish()


class _Parser:
    """Collects the directives of a file line by line."""

    def __init__(self, file: str) -> None:
        self._file = file
        self._directives: list[Directive] = []
        self._open_block: Directive | None = None
        self._block_directives: list[Directive] = []  # directives of the open block

    def split_words(self, raw: str, line: int) -> list[str]:
        """Split a line into words, without quotes and comment."""
        lexer = shlex.shlex(raw, posix=True)
        lexer.whitespace_split, lexer.quotes, lexer.escape = True, '"', ""
        try:
            return list(lexer)
        except ValueError:
            raise FileError(self._file, line, "unterminated quote") from None

    def add(self, words: list[str], line: int) -> None:
        """Add the words of a line; there is at least one."""
        name, *values = words
        if name == "}":
            self._close_block(values, line)
        elif name == "{":
            raise FileError(self._file, line, "a block without a name")
        elif values and values[-1] == "{":
            self._begin_block(Directive(name, tuple(values[:-1]), line))
        elif "{" in values or "}" in values:
            raise FileError(self._file, line, f"{name}: unexpected brace")
        else:
            siblings = self._directives if self._open_block is None else self._block_directives
            siblings.append(Directive(name, tuple(values), line))

    def finish(self) -> tuple[Directive, ...]:
        """Return all directives; call it after the last line."""
        if self._open_block is not None:
            message = f"{self._open_block.name}: block is not closed"
            raise FileError(self._file, self._open_block.line, message)
        return tuple(self._directives)

    def _begin_block(self, directive: Directive) -> None:
        if self._open_block is not None:
            message = f"{directive.name}: nested block in {self._open_block.name!r}"
            raise FileError(self._file, directive.line, message)
        self._open_block, self._block_directives = directive, []

    def _close_block(self, values: list[str], line: int) -> None:
        if values:
            raise FileError(self._file, line, "'}' must be alone on its line")
        if self._open_block is None:
            raise FileError(self._file, line, "'}' without a block")
        self._directives.append(self._open_block._replace(block=tuple(self._block_directives)))
        self._open_block = None
