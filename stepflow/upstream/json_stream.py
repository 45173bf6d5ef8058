"""JSON objects and arrays off a stream of bytes, whatever white space is in or between them (RFC 8259).

Discovery prints one value a line, or indented over many lines, and a chunk may hold a part of one or several.
A value's end shows in its brackets alone, so each byte is scanned once, however small the chunks are.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterator

from stepflow.upstream.errors import JsonStreamError

MAX_VALUE_BYTES = 1 << 22
MAX_DEPTH = 32  # of brackets: lists need 3, and Python's parser recurses

_WHITE_SPACE = re.compile(rb"[ \t\r\n]*")
_OUTSIDE_STRING = re.compile(rb'["{}\[\]]')  # what matters there for a value's end
_INSIDE_STRING = re.compile(rb'["\\]')


class JsonStream:
    """Bytes in, values out: objects and arrays only, since a bare word's end shows only in what follows it.

    It holds the bytes of the value that has begun, `max_value_bytes` at most.
    """

    def __init__(self, max_value_bytes: int = MAX_VALUE_BYTES) -> None:
        self._max_value_bytes = max_value_bytes
        self._buffer = bytearray()
        self._scanned = 0  # bytes of the buffer that were looked at
        self._depth = 0
        self._in_string = False

    @property
    def has_partial_value(self) -> bool:
        """Whether a value has begun and not ended."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> Iterator[object]:
        """Take bytes and yield the values that they complete.

        Raises:
            JsonStreamError: A value is malformed or too long; the stream can't be read on.
        """
        self._buffer += data
        while (end := self._find_value_end()) is not None:
            text = bytes(self._buffer[:end])
            del self._buffer[:end]
            self._scanned = 0
            try:
                value = json.loads(text)
            except ValueError as error:
                raise JsonStreamError(str(error)) from None
            yield value
        if len(self._buffer) > self._max_value_bytes:
            raise JsonStreamError("an overlong value")

    def _find_value_end(self) -> int | None:
        """Scan on, and return where the value that has begun ends; None where that has not come yet."""
        if not self._depth and not self._skip_to_value():
            return None
        while self._scanned < len(self._buffer):
            pattern = _INSIDE_STRING if self._in_string else _OUTSIDE_STRING
            found = pattern.search(self._buffer, self._scanned)
            if found is None:
                self._scanned = len(self._buffer)
                return None
            self._scanned = found.end()
            self._take_delimiter(found[0])
            if not self._depth:
                return self._scanned
        return None

    def _skip_to_value(self) -> bool:
        """Drop white space; returns whether a value begins."""
        if (space := _WHITE_SPACE.match(self._buffer)) is not None:
            del self._buffer[: space.end()]
        if not self._buffer:
            return False
        if self._buffer[0] not in b"{[":
            raise JsonStreamError("neither an object nor an array")
        return True

    def _take_delimiter(self, delimiter: bytes) -> None:
        if delimiter == b"\\":
            self._scanned += 1  # the escaped byte, which may not have come yet
        elif delimiter == b'"':
            self._in_string = not self._in_string
        elif delimiter in b"{[":
            self._depth += 1
            if self._depth > MAX_DEPTH:
                raise JsonStreamError("brackets too deep")
        else:
            self._depth -= 1
