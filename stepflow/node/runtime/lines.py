"""Splits received data into lines; the method names are those of Twisted's LineReceiver.

LineReceiver copies every line out of its buffer. Here a line is a slice of the buffer that it was received
in; only the incomplete line at the end of a buffer is copied, because it outlives the buffer.
"""

from __future__ import annotations

from contextlib import suppress
from typing import cast

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from stepflow.node.runtime.transports import Transport


def was_reset(reason: Failure) -> bool:
    """Whether a connection ended otherwise than by a FIN."""
    return not isinstance(reason.value, ConnectionDone)


DELIMITER = b"\r\n"
MAX_LINE_BYTES = 4096  # of a line, including its delimiter


def count_lines(block: bytes) -> int:
    """Return the number of lines in a block of complete lines."""
    return block.count(DELIMITER)


class LineBlocks:
    """Finds the complete lines in a stream, all lines that one piece completes as one block.

    The cost of a piece depends on its bytes, not on the number of its lines.
    """

    def __init__(self) -> None:
        self.half_line = b""  # the incomplete line at the end of the stream
        self.overlong = False  # a line exceeded MAX_LINE_BYTES; the rest of the stream can't be parsed

    def feed(self, piece: bytes) -> bytes:
        """Take the next piece; return the lines that it completes, with their delimiters.

        Lines from an overlong one on are not returned.
        """
        data = self.half_line + piece if self.half_line else piece
        last = data.rfind(DELIMITER)
        end = 0 if last < 0 else last + len(DELIMITER)
        self.half_line = data[end:]
        if self.overlong:
            return b""
        if len(data) > MAX_LINE_BYTES and (overlong_start := _overlong_line_start(data)) is not None:
            self.overlong = True
            return data[:overlong_start]
        return data[:end]


def _overlong_line_start(data: bytes) -> int | None:
    """Return the offset of the first overlong line, complete or not; None if there is none.

    Goes from the start of a line to the last line end within the length of a line, so a few steps suffice.
    """
    start = 0
    while len(data) - start > MAX_LINE_BYTES:
        end = data.rfind(DELIMITER, start, start + MAX_LINE_BYTES)
        if end < 0:
            return start
        start = end + len(DELIMITER)
    return None


class LineScanner:
    """Finds the lines in a stream of buffers, one by one.

    Pass each buffer to `feed`, then call `next_line` until it returns None. The bytes after the last line are
    kept for the next buffer, or removed by `rest`.
    """

    delimiter = DELIMITER
    MAX_LENGTH = MAX_LINE_BYTES

    def __init__(self) -> None:
        self._buffer = b""
        self._position = 0  # offset in the buffer after the latest line
        self._incomplete = b""  # the half line at the end of the last buffer
        self.overlong = False  # a line exceeded MAX_LENGTH; the rest of the stream can't be parsed

    def feed(self, data: bytes) -> None:
        """Take the next buffer; lines of the last one that were not read yet come first."""
        unread = self.rest()
        self._buffer = unread + data if unread else data

    def next_line(self) -> memoryview | None:
        """The next complete line without its delimiter, valid until the next `feed`; None if none is left."""
        end = self._buffer.find(self.delimiter, self._position)
        length = (len(self._buffer) if end < 0 else end + len(self.delimiter)) - self._position
        if length > self.MAX_LENGTH:
            self.overlong = True
            return None
        if end < 0:
            self._incomplete = self._buffer[self._position :]
            self._buffer, self._position = b"", 0
            return None
        line = memoryview(self._buffer)[self._position : end]
        self._position = end + len(self.delimiter)
        return line

    @property
    def between_lines(self) -> bool:
        """Whether the data so far ends with a delimiter, and all its lines were read."""
        return not self._incomplete and self._position == len(self._buffer)

    @property
    def half_line(self) -> bytes:
        """The incomplete line at the end of the data so far."""
        return self._incomplete

    def rest(self) -> bytes:
        """Remove and return all bytes after the latest line."""
        rest = self._incomplete or self._buffer[self._position :]
        self._incomplete, self._buffer, self._position = b"", b"", 0
        return rest


class LineProtocol(Protocol):
    """A protocol that receives lines until it is set to raw mode.

    Subclasses implement `lineReceived`, `lineLengthExceeded`, `rawDataReceived` and `connectionLost`.
    """

    def __init__(self) -> None:
        self._scanner = LineScanner()
        self._raw = False

    @property
    def tcp_transport(self) -> Transport:
        """The transport, with its type; available once the connection is made."""
        return cast(Transport, self.transport)

    @property
    def request_id(self) -> str:
        """The id of the connection's request, for the log; empty while there is none."""
        return ""

    def connectionMade(self) -> None:
        """Disable Nagle's algorithm, so that small writes are sent at once."""
        with suppress(OSError):  # a connection that is already broken is detected by the next read
            self.tcp_transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        """Deliver the lines of a buffer, or the buffer itself in raw mode."""
        if self._raw:
            self.rawDataReceived(data)
            return
        self._scanner.feed(data)
        while not self._raw and (line := self._scanner.next_line()) is not None:
            self.lineReceived(line)
        if not self._raw and self._scanner.overlong:
            self.lineLengthExceeded()

    @property
    def between_lines(self) -> bool:
        """Whether nothing was received after the current line."""
        return self._scanner.between_lines

    def setRawMode(self) -> bytes:
        """Pass all later data to `rawDataReceived`; return what was received after the last line."""
        self._raw = True
        return self._scanner.rest()

    def lineReceived(self, line: memoryview) -> None:
        """Process a line without its delimiter; the slice is valid during this call only."""
        raise NotImplementedError

    def lineLengthExceeded(self) -> None:
        """Handle an overlong line from the other side; no further line is delivered."""
        raise NotImplementedError

    def rawDataReceived(self, data: bytes) -> None:
        """Process data received in raw mode."""
        raise NotImplementedError

    def input_ended(self) -> bool:
        """Handle a FIN; return whether the sending direction stays open, which is False by default."""
        return False

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Handle the closed connection; `reason` says by which side and how it was closed."""
        raise NotImplementedError
