"""The line codec, in the vocabulary of Twisted's LineReceiver.

LineReceiver copies every line out of its buffer. Here a line is a slice of the buffer that it was
read into, and only the half line at the end of a buffer is copied, since it must outlive it.
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


class LineScanner:
    """Finds the lines in a stream of buffers.

    Give each buffer to `feed`, then call `next_line` until it returns None. `rest` is what no line
    has taken yet.
    """

    delimiter = b"\r\n"
    MAX_LENGTH = 4096  # of a line with its delimiter

    def __init__(self) -> None:
        self._buffer = b""
        self._at = 0
        self._kept = b""  # the half line that the last buffer ended in
        self.overlong = False  # a line went past MAX_LENGTH; nothing more is read

    def feed(self, data: bytes) -> None:
        """Take the next buffer."""
        if self._kept:
            data, self._kept = self._kept + data, b""
        self._buffer, self._at = data, 0

    def next_line(self) -> memoryview | None:
        """The next whole line without its delimiter, valid until the next `feed`."""
        end = self._buffer.find(self.delimiter, self._at)
        length = (len(self._buffer) if end < 0 else end + len(self.delimiter)) - self._at
        if length > self.MAX_LENGTH:
            self.overlong = True
            return None
        if end < 0:
            self._kept = self._buffer[self._at :]
            self._buffer, self._at = b"", 0
            return None
        line = memoryview(self._buffer)[self._at : end]
        self._at = end + len(self.delimiter)
        return line

    @property
    def between_lines(self) -> bool:
        """Whether the stream stands right behind a delimiter."""
        return not self._kept and self._at == len(self._buffer)

    @property
    def half_line(self) -> bytes:
        """What the buffers so far ended in, behind the last delimiter."""
        return self._kept

    def rest(self) -> bytes:
        """Take out all bytes that no line has taken."""
        rest = self._kept or self._buffer[self._at :]
        self._kept, self._buffer, self._at = b"", b"", 0
        return rest


class LineProtocol(Protocol):
    """A connection that speaks lines, until it is set to raw mode."""

    def __init__(self) -> None:
        self._scanner = LineScanner()
        self._raw = False

    @property
    def wire(self) -> Transport:
        """The transport, which is there once the connection is made."""
        return cast(Transport, self.transport)

    def connectionMade(self) -> None:
        with suppress(OSError):  # a connection that is broken already tells so when it is read
            self.wire.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        if self._raw:
            self.rawDataReceived(data)
            return
        self._scanner.feed(data)
        while not self._raw and (line := self._scanner.next_line()) is not None:
            self.lineReceived(line)
        if not self._raw and self._scanner.overlong:
            self.lineLengthExceeded()

    @property
    def at_end(self) -> bool:
        """Whether nothing has come behind the line at hand."""
        return self._scanner.between_lines

    def setRawMode(self) -> bytes:
        """Pass all that comes from now on to rawDataReceived; return what came after the last line."""
        self._raw = True
        return self._scanner.rest()

    def lineReceived(self, line: memoryview) -> None:
        """Take a line; the slice is valid during this call only."""
        raise NotImplementedError

    def lineLengthExceeded(self) -> None:
        """Take the news that the other side sent an overlong line."""
        raise NotImplementedError

    def rawDataReceived(self, data: bytes) -> None:
        """Take bytes in raw mode."""
        raise NotImplementedError

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        raise NotImplementedError
