"""What the operator's file may say, as a validated model."""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import Annotated, Any, Literal

import msgspec

from stepflow.daemon.lines import MOST_BYTES, Directive, FileError, parse
from stepflow.errors import mark_read_error

_UNITS = {"": 1, "K": 1 << 10, "M": 1 << 20, "G": 1 << 30}
_SIZE = re.compile(r"([0-9]{1,12})([KMG]?)")
_HINT = re.compile(r" - at `\$\.?([^`]*)`$")


class Log(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The form of the log."""

    form: Literal["text", "json"] = "text"
    level: Literal["debug", "info", "warning", "error"] = "info"


class Record(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The traffic recorder: where its journal stands, how large it grows, and the key of the groups' hash."""

    folder: Annotated[str, msgspec.Meta(min_length=1)]
    key: Annotated[str, msgspec.Meta(min_length=16, max_length=64)]
    segment: Annotated[int, msgspec.Meta(ge=1 << 16, le=1 << 30)] = 16 << 20
    segments: Annotated[int, msgspec.Meta(ge=2, le=1000)] = 8


class OperatorFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file; what it does not name is off."""

    log: Log = Log()
    record: Record | None = None


_SIZES = {"segment"}
_NUMBERS = {"segments"}


def read(path: str) -> OperatorFile:
    """Read the file; a FileError names what is wrong with it."""
    try:
        with open(path, "rb") as file:
            data = file.read(MOST_BYTES + 1)
    except OSError as fault:
        raise mark_read_error(FileError(path, 0, fault.strerror or str(fault)), fault) from None
    if len(data) > MOST_BYTES:
        raise FileError(path, 0, f"over {MOST_BYTES} bytes")
    try:
        return read_text(data.decode(), path)
    except UnicodeDecodeError as fault:
        raise FileError(path, data.count(b"\n", 0, fault.start) + 1, "not UTF-8") from None


def read_text(text: str, file: str) -> OperatorFile:
    """The model of a file's text."""
    directives = parse(text, file)
    tree: dict[str, Any] = {}
    where: dict[str, Directive] = {}
    for block in directives:
        if block.name in tree:
            raise FileError(file, block.line, f"{block.name}: stands a second time")
        if block.block is None or block.values:
            raise FileError(file, block.line, f"{block.name}: not a block of directives, as {block.name} {{")
        where[block.name] = block
        tree[block.name] = _pairs(block.block, block.name, file, where)
    try:
        return msgspec.convert(tree, OperatorFile)
    except msgspec.ValidationError as fault:
        raise _located(fault, directives, where, file) from None


def _pairs(
    directives: Iterable[Directive], path: str, file: str, where: dict[str, Directive]
) -> dict[str, Any]:
    pairs: dict[str, Any] = {}
    for one in directives:
        key = f"{path}.{one.name}"
        if one.name in pairs:
            raise FileError(file, one.line, f"{key}: stands a second time")
        if len(one.values) != 1:
            raise FileError(file, one.line, f"{key}: takes one value, not {len(one.values)}")
        where[key] = one
        pairs[one.name] = _value(one, key, file)
    return pairs


def _value(one: Directive, key: str, file: str) -> str | int:
    text = one.values[0]
    if one.name in _SIZES:
        if found := _SIZE.fullmatch(text):
            return int(found[1]) * _UNITS[found[2]]
        raise FileError(file, one.line, f"{key}: {text!r} is not a size, such as 64M")
    if one.name in _NUMBERS:
        if text.isascii() and text.isdigit() and len(text) < 13:
            return int(text)
        raise FileError(file, one.line, f"{key}: {text!r} is not a whole number")
    return text


def _located(
    fault: msgspec.ValidationError, directives: tuple[Directive, ...], where: dict[str, Directive], file: str
) -> FileError:
    """The fault with its line: the schema library names a path only, and of an unknown key its parent's."""
    text = str(fault)
    found = _HINT.search(text)
    path, what = (found[1], text[: found.start()]) if found else ("", text)
    if unknown := re.search(r"unknown field `([^`]*)`", what):
        path, what = f"{path}.{unknown[1]}".lstrip("."), "no such directive"
    line = where[path].line if path in where else directives[0].line if directives else 1
    return FileError(file, line, f"{path}: {what}" if path else what)
