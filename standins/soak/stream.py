"""A client's connection that loses nothing of what its kernel was given.

asyncio's streams tell an error before the lines that came ahead of it, and close over unread bytes once a
write fails. Whether a node delivers what it has to can be judged only without that.
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
        self._unread = b""
        self._news = asyncio.Event()
        self.lines: list[bytes] = []  # that were received whole, with those that were not asked for yet
        self._taken = 0  # of them, by `readline`
        self.ended = False  # by a FIN or an error, behind all that came before
        self.ended_at = 0.0
        self._pump = asyncio.create_task(self._receive())

    @classmethod
    async def connect(cls, host: str, port: int) -> ClientStream:
        """Connect; OSError where that fails."""
        sock = socket.socket()
        sock.setblocking(False)
        # Else a reset would take back the lines that the kernel still holds here.
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
                *lines, self._unread = (self._unread + data).split(b"\n")
                self.lines += [line + b"\n" for line in lines]
                self._news.set()
        self.ended, self.ended_at = True, time.monotonic()
        self._news.set()

    def write(self, data: bytes) -> None:
        """Send, in one piece; what the other side has broken is read on all the same."""
        with suppress(OSError):
            self._sock.send(data)

    async def readline(self) -> bytes:
        """The next line; at the end what came of one, or nothing."""
        while self._taken == len(self.lines):
            if self.ended:
                rest, self._unread = self._unread, b""
                return rest
            self._news.clear()
            await self._news.wait()
        self._taken += 1
        return self.lines[self._taken - 1]

    def session_lines(self) -> list[bytes]:
        """All lines that were received behind UP."""
        up = next((at for at, line in enumerate(self.lines) if line.startswith(b"UP ")), len(self.lines))
        return self.lines[up + 1 :]

    async def read_to_end(self) -> None:
        """Wait until the other side has ended."""
        while not self.ended:
            self._news.clear()
            await self._news.wait()

    def end_sending(self) -> None:
        """Send a FIN, and go on reading."""
        with suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)

    def close(self, reset: bool = False) -> None:
        """Close the connection."""
        self._pump.cancel()
        if reset:
            with suppress(OSError):
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._sock.close()
