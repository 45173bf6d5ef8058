"""JSON values off a stream of bytes, whatever white space stands in or between them (RFC 8259).

Discovery prints one value a line, or indented over many lines, and a chunk may hold a part of one or several.
Where a value ends shows in its brackets alone; so each byte is looked at once, however small the pieces are.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterator

MAX_VALUE_BYTES = 1 << 22  # of one value
MOST_DEPTH = 32  # of brackets: lists need 3, and the parser below recurses

_SPACE = re.compile(rb"[ \t\r\n]*")
_OUTSIDE = re.compile(rb'["{}\[\]]')
_INSIDE = re.compile(rb'["\\]')


class JsonStreamError(ValueError):
    """What is wrong with a value of the stream."""


class JsonStream:
    """Bytes in, whole values out: objects and arrays, for a plain word's end shows only in what follows."""

    def __init__(self, most: int = MAX_VALUE_BYTES) -> None:
        self._most = most
        self._held = bytearray()
        self._at = 0  # what stands before was looked through
        self._depth = 0
        self._quoted = False

    @property
    def amid(self) -> bool:
        """Whether a value has begun and not ended."""
        return bool(self._held)

    def feed(self, data: bytes) -> Iterator[object]:
        """Take what came; a BadValue says that the stream can't be read on."""
        self._held += data
        while (end := self._end()) is not None:
            text = bytes(self._held[:end])
            del self._held[:end]
            self._at = 0
            try:
                value = json.loads(text)
            except ValueError as fault:
                raise JsonStreamError(str(fault)) from None
            yield value
        if len(self._held) > self._most:
            raise JsonStreamError("an overlong value")

    def _end(self) -> int | None:
        """Where the value under way ends, if that has come."""
        held = self._held
        if not self._depth:
            if (space := _SPACE.match(held)) is not None:
                del held[: space.end()]
            if not held:
                return None
            if held[0] not in b"{[":
                raise JsonStreamError("neither an object nor an array")
        while self._at < len(held):
            found = (_INSIDE if self._quoted else _OUTSIDE).search(held, self._at)
            if found is None:
                self._at = len(held)
                return None
            self._at = found.end()
            sign = found[0]
            if sign == b"\\":
                self._at += 1  # whatever it is; it may not have come yet
            elif sign == b'"':
                self._quoted = not self._quoted
            elif sign in b"{[":
                self._depth += 1
                if self._depth > MOST_DEPTH:
                    raise JsonStreamError("brackets too deep")
            else:
                self._depth -= 1
                if not self._depth:
                    return self._at
        return None
