"""The validated model of the operator's file.

msgspec checks the values against the model's types and bounds. Its errors name the path of a value, such as
`record.segment`; this module adds the file and the line.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import Annotated, Any, Literal

import msgspec

from stepflow.daemon.lines import MAX_FILE_BYTES, Directive, FileError, parse
from stepflow.errors import mark_read_error

_NUMBER = re.compile(r"[0-9]{1,12}")
_SIZE = re.compile(r"([0-9]{1,12})([KMG]?)")
_BYTES_PER_UNIT = {"": 1, "K": 1 << 10, "M": 1 << 20, "G": 1 << 30}
# Parts of msgspec's messages: the path at the end, and the name of an unknown key.
_PATH_IN_MESSAGE = re.compile(r" - at `\$\.?([^`]*)`$")
_UNKNOWN_FIELD = re.compile(r"unknown field `([^`]*)`")

SIZE_DIRECTIVES = frozenset({"segment"})
NUMBER_DIRECTIVES = frozenset({"segments"})


class Log(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The form of the log, and the lowest level that is logged."""

    form: Literal["text", "json"] = "text"
    level: Literal["debug", "info", "warning", "error"] = "info"


class Record(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The traffic recorder: the folder of its journals, and the key for hashing affinity groups.

    `segment` is the size of a journal file in bytes, `segments` the number of files that are kept.
    """

    folder: Annotated[str, msgspec.Meta(min_length=1)]
    key: Annotated[str, msgspec.Meta(min_length=16, max_length=64)]
    segment: Annotated[int, msgspec.Meta(ge=1 << 16, le=1 << 30)] = 16 << 20
    segments: Annotated[int, msgspec.Meta(ge=2, le=1000)] = 8


class OperatorFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The complete file. Without `record`, nothing is recorded; other missing values have their defaults."""

    log: Log = Log()
    record: Record | None = None


def read(path: str) -> OperatorFile:
    """Read and validate a file; raises FileError if it can't be read or is invalid."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise mark_read_error(FileError(path, 0, error.strerror or str(error)), error) from None
    if len(data) > MAX_FILE_BYTES:
        raise FileError(path, 0, f"over {MAX_FILE_BYTES} bytes")
    try:
        return read_text(data.decode(), path)
    except UnicodeDecodeError as error:
        raise FileError(path, data.count(b"\n", 0, error.start) + 1, "not UTF-8") from None


def read_text(text: str, file: str) -> OperatorFile:
    """Return the model of a file's text; raises FileError if the text is invalid."""
    directives = parse(text, file)
    tree: dict[str, Any] = {}
    directive_at: dict[str, Directive] = {}  # directives by path, such as `record.segment`
    for directive in directives:
        name = directive.name
        if name in tree:
            raise FileError(file, directive.line, f"{name}: duplicate directive")
        if directive.block is None or directive.values:
            raise FileError(file, directive.line, f"{name}: not a block of directives, as {name} {{")
        directive_at[name] = directive
        tree[name] = _block_values(directive.block, name, file, directive_at)
    try:
        return msgspec.convert(tree, OperatorFile)
    except msgspec.ValidationError as error:
        first_line = directives[0].line if directives else 1
        raise _add_line(error, directive_at, first_line, file) from None


def _block_values(
    directives: Iterable[Directive], path: str, file: str, directive_at: dict[str, Directive]
) -> dict[str, Any]:
    """Return the values of a block by name; adds each directive to `directive_at`."""
    values: dict[str, Any] = {}
    for directive in directives:
        key = f"{path}.{directive.name}"
        if directive.name in values:
            raise FileError(file, directive.line, f"{key}: duplicate directive")
        if len(directive.values) != 1:
            message = f"{key}: takes one value, not {len(directive.values)}"
            raise FileError(file, directive.line, message)
        directive_at[key] = directive
        values[directive.name] = _convert_value(directive, key, file)
    return values


def _convert_value(directive: Directive, key: str, file: str) -> str | int:
    """Return the single value of a directive, as a number where the model has a number."""
    text = directive.values[0]
    if directive.name in SIZE_DIRECTIVES:
        if found := _SIZE.fullmatch(text):
            return int(found[1]) * _BYTES_PER_UNIT[found[2]]
        raise FileError(file, directive.line, f"{key}: {text!r} is not a size, such as 64M")
    if directive.name in NUMBER_DIRECTIVES:
        if _NUMBER.fullmatch(text):
            return int(text)
        raise FileError(file, directive.line, f"{key}: {text!r} is not a whole number")
    return text


def _add_line(
    error: msgspec.ValidationError, directive_at: dict[str, Directive], first_line: int, file: str
) -> FileError:
    """Convert an error of msgspec to a FileError with its line; an error of a block has its first line."""
    text = str(error)
    found = _PATH_IN_MESSAGE.search(text)
    path, message = (found[1], text[: found.start()]) if found else ("", text)
    if unknown := _UNKNOWN_FIELD.search(message):  # here the path is that of the block
        path, message = f"{path}.{unknown[1]}".lstrip("."), "no such directive"
    line = directive_at[path].line if path in directive_at else first_line
    return FileError(file, line, f"{path}: {message}" if path else message)
