"""A client's connection that reads everything that its kernel has received.

asyncio's streams report an error ahead of the lines received before it, and close with unread bytes once a
write fails. A check of whether a node delivers all lines would then report lines that the client lost.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from contextlib import suppress

RECEIVE_SIZE = 1 << 16
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER, see socket(7)


class ClientStream:
    """One connection, read in the background from its start to its end."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._partial_line = b""
        self._changed = asyncio.Event()
        self.lines: list[bytes] = []  # complete lines received so far, read by `readline` or not
        self._lines_read = 0  # number of `lines` that `readline` has returned
        self.ended = False  # the connection has ended by a FIN or an error, and all data before has been read
        self.ended_at = 0.0
        self._receive_task = asyncio.create_task(self._receive())

    @classmethod
    async def connect(cls, host: str, port: int) -> ClientStream:
        """Connect to an address; raise OSError if that fails."""
        sock = socket.socket()
        sock.setblocking(False)
        # With Nagle's algorithm the kernel may still hold written lines, and a reset would discard them.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await asyncio.get_running_loop().sock_connect(sock, (host, port))
        except BaseException:
            sock.close()
            raise
        return cls(sock)

    async def _receive(self) -> None:
        loop = asyncio.get_running_loop()
        with suppress(OSError):
            while data := await loop.sock_recv(self._sock, RECEIVE_SIZE):
                *lines, self._partial_line = (self._partial_line + data).split(b"\n")
                self.lines += [line + b"\n" for line in lines]
                self._changed.set()
        self.ended, self.ended_at = True, time.monotonic()
        self._changed.set()

    def write(self, data: bytes) -> None:
        """Send data in one call; ignore errors, since received data can still be read."""
        with suppress(OSError):
            self._sock.send(data)

    async def readline(self) -> bytes:
        """Return the next line; at the end of the connection the incomplete line, or b""."""
        while self._lines_read == len(self.lines):
            if self.ended:
                partial_line, self._partial_line = self._partial_line, b""
                return partial_line
            self._changed.clear()
            await self._changed.wait()
        self._lines_read += 1
        return self.lines[self._lines_read - 1]

    def session_lines(self) -> list[bytes]:
        """Return all lines that were received after UP."""
        up = next(
            (index for index, line in enumerate(self.lines) if line.startswith(b"UP ")), len(self.lines)
        )
        return self.lines[up + 1 :]

    async def read_to_end(self) -> None:
        """Wait until the node has ended the connection."""
        while not self.ended:
            self._changed.clear()
            await self._changed.wait()

    def end_sending(self) -> None:
        """Send a FIN and continue reading."""
        with suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)

    def close(self, reset: bool = False) -> None:
        """Close the connection, with a reset if `reset` is set."""
        self._receive_task.cancel()
        if reset:
            with suppress(OSError):
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._sock.close()
