"""The line codec, with the method names of Twisted's LineReceiver.

LineReceiver copies every line out of its buffer. Here a line is a slice of the buffer that it was read into;
only the incomplete line at the end of a buffer is copied, since it must outlive the buffer.
"""

from __future__ import annotations

from contextlib import suppress
from typing import cast

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from stepflow.node.runtime.transports import Transport


def was_reset(reason: Failure) -> bool:
    """Whether a connection ended in another way than by a FIN."""
    return not isinstance(reason.value, ConnectionDone)


class LineScanner:
    """Finds the lines in a stream of buffers.

    Give each buffer to `feed`, then call `next_line` until it returns None. The bytes behind the last line
    are kept for the next buffer, or taken out by `rest`.
    """

    delimiter = b"\r\n"
    MAX_LENGTH = 4096  # of a line with its delimiter

    def __init__(self) -> None:
        self._buffer = b""
        self._position = 0  # in the buffer, behind the latest line
        self._incomplete = b""  # the line that the last buffer ended in the midst of
        self.overlong = False  # a line went past MAX_LENGTH; the stream can't be read any further

    def feed(self, data: bytes) -> None:
        """Take the next buffer."""
        if self._incomplete:
            data, self._incomplete = self._incomplete + data, b""
        self._buffer, self._position = data, 0

    def next_line(self) -> memoryview | None:
        """The next complete line, less its delimiter, valid until the next `feed`; None if none is left."""
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
        """Whether the buffers so far end in a delimiter, and all lines were read."""
        return not self._incomplete and self._position == len(self._buffer)

    @property
    def half_line(self) -> bytes:
        """The incomplete line at the end of the buffers so far."""
        return self._incomplete

    def rest(self) -> bytes:
        """Take out all bytes behind the latest line."""
        rest = self._incomplete or self._buffer[self._position :]
        self._incomplete, self._buffer, self._position = b"", b"", 0
        return rest


class LineProtocol(Protocol):
    """A connection that speaks lines until it is set to raw mode.

    Subclasses implement `lineReceived`, `lineLengthExceeded`, `rawDataReceived` and `connectionLost`.
    """

    def __init__(self) -> None:
        self._scanner = LineScanner()
        self._raw = False

    @property
    def wire(self) -> Transport:
        """The transport; only once the connection is made."""
        return cast(Transport, self.transport)

    @property
    def request_id(self) -> str:
        """The id of its request in the log; empty while there is none."""
        return ""

    def connectionMade(self) -> None:
        """Have small writes sent at once."""
        with suppress(OSError):  # a connection that is broken already shows that when it is read
            self.wire.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        """Pass on the lines of a buffer, or the buffer itself in raw mode."""
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
        """Whether nothing was received behind the line at hand."""
        return self._scanner.between_lines

    def setRawMode(self) -> bytes:
        """Pass all later data to `rawDataReceived`; return what was received behind the last line."""
        self._raw = True
        return self._scanner.rest()

    def lineReceived(self, line: memoryview) -> None:
        """Take a line without its delimiter; the slice is valid during this call only."""
        raise NotImplementedError

    def lineLengthExceeded(self) -> None:
        """The other side sent an overlong line, and nothing more is read."""
        raise NotImplementedError

    def rawDataReceived(self, data: bytes) -> None:
        """Take data in raw mode."""
        raise NotImplementedError

    def input_ended(self) -> bool:
        """The other side has sent a FIN; returns whether this one goes on sending. It does not, by itself."""
        return False

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """The connection is closed; `reason` says by which side and how."""
        raise NotImplementedError
