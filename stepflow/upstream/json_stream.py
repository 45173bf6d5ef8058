"""An incremental parser of JSON objects and arrays, with any white space in or between them (RFC 8259).

Discovery sends one value per line or values indented over many lines, and a chunk may hold part of a value or
several. The end of a value is found by its brackets alone, so that each byte is scanned only once, however
small the chunks are.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterator

from stepflow.upstream.errors import JsonStreamError

MAX_VALUE_BYTES = 1 << 22
MAX_DEPTH = 32  # nesting depth of a value; endpoint lists need 3, and Python's parser is recursive

_WHITE_SPACE = re.compile(rb"[ \t\r\n]*")
_OUTSIDE_STRING = re.compile(rb'["{}\[\]]')  # the bytes that can affect where a value ends
_INSIDE_STRING = re.compile(rb'["\\]')


class JsonStream:
    """Parses a stream of bytes into objects and arrays.

    Other values are rejected: the end of a number or a literal is known only from the byte that follows. The
    stream buffers the incomplete value, up to `max_value_bytes`.
    """

    def __init__(self, max_value_bytes: int = MAX_VALUE_BYTES) -> None:
        self._max_value_bytes = max_value_bytes
        self._buffer = bytearray()
        self._scanned = 0  # bytes of the buffer already scanned
        self._depth = 0
        self._in_string = False

    @property
    def has_partial_value(self) -> bool:
        """True if a value has begun and is incomplete."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> Iterator[object]:
        """Add bytes, and yield the values that they complete.

        Raises:
            JsonStreamError: A value is malformed or too long; the rest of the stream can't be parsed.
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
            raise JsonStreamError("value too long")

    def _find_value_end(self) -> int | None:
        """Scan new bytes; return the end of the current value, or None if the value is incomplete."""
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
        """Drop white space; return whether a value begins."""
        if (space := _WHITE_SPACE.match(self._buffer)) is not None:
            del self._buffer[: space.end()]
        if not self._buffer:
            return False
        if self._buffer[0] not in b"{[":
            raise JsonStreamError("expected an object or an array")
        return True

    def _take_delimiter(self, delimiter: bytes) -> None:
        if delimiter == b"\\":
            self._scanned += 1  # skip the escaped byte, which may not have been received yet
        elif delimiter == b'"':
            self._in_string = not self._in_string
        elif delimiter in b"{[":
            self._depth += 1
            if self._depth > MAX_DEPTH:
                raise JsonStreamError("value nested too deeply")
        else:
            self._depth -= 1
