"""The lines that an endpoint sends in a session, and how much of them its client has received.

The endpoint may write pieces of any size, so the end of a piece says nothing about the end of a line.
Normally every piece is forwarded as it arrives. A client that is to be migrated must receive MOVE between two
lines: for such a client half lines are held back, and forwarded once their rest has arrived. Nothing here
raises an exception. Source: PROTOCOL, "Figures".
"""

from __future__ import annotations

from stepflow.node.runtime.lines import LineBlocks, count_lines


class EndpointLines:
    """Scans an endpoint's stream for lines, and holds back the half line at its end if asked to.

    Pass each piece to `feed`, and forward what `take_forwardable` returns.
    """

    def __init__(self) -> None:
        self._blocks = LineBlocks()
        self._unforwarded = b""  # received, and not taken for forwarding yet
        self._holds_half_lines = False
        self.lines_since_hold = 0  # lines completed since half lines are held back

    def feed(self, piece: bytes) -> bytes:
        """Take the next piece of the stream; return the lines that it completes, with their delimiters."""
        self._unforwarded = self._unforwarded + piece if self._unforwarded else piece
        lines = self._blocks.feed(piece)
        if self._holds_half_lines:
            self.lines_since_hold += count_lines(lines)
        return lines

    def take_forwardable(self) -> bytes:
        """Return what may be forwarded now."""
        size = len(self._unforwarded)
        if self._holds_half_lines:
            # Below zero while a line is incomplete of which a part was forwarded before half lines were held.
            size = max(0, size - len(self.half_line))
        data, self._unforwarded = self._unforwarded[:size], self._unforwarded[size:]
        return data

    def take_held(self) -> bytes:
        """Return the half line that was held back, to be forwarded or dropped at the end of the session."""
        held, self._unforwarded = self._unforwarded, b""
        return held

    def hold_half_lines(self) -> None:
        """Hold back half lines from now on: from the next line end the client is between two lines."""
        self._holds_half_lines = True

    def restore_half_line(self, half_line: bytes) -> None:
        """Continue a stream whose last line is incomplete, and whose part so far was forwarded."""
        self._blocks.feed(half_line)

    @property
    def overlong(self) -> bool:
        """Whether a line was too long; the rest of the stream can't be parsed."""
        return self._blocks.overlong

    @property
    def half_line(self) -> bytes:
        """The incomplete line at the end of the stream, forwarded or not."""
        return self._blocks.half_line

    @property
    def client_is_between_lines(self) -> bool:
        """Whether no byte of the incomplete line at the end of the stream was forwarded."""
        return len(self._unforwarded) >= len(self.half_line)
