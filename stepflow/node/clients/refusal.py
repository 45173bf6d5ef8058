"""Refuses an accepted connection for which the process has no descriptor to keep.

The client may have written its request already, since the kernel accepts connections before this process
does. So the connection is answered and closed in one step, before the next one is accepted.
"""

from __future__ import annotations

import socket
from contextlib import suppress

BUSY_LINE = b"BUSY\r\n"
MAX_READ_BYTES = 1 << 14  # a real client sends one line, of at most 4 KiB


def refuse(accepted: socket.socket) -> bytes:
    """Answer BUSY and close the connection; return what its client had sent.

    That is read first, because closing with unread bytes sends a reset, which could overtake the answer.
    Errors are ignored: the client has left, or the machine lacks the memory for an answer.
    """
    received = b""
    with suppress(OSError):
        received = accepted.recv(MAX_READ_BYTES, socket.MSG_DONTWAIT)
    with suppress(OSError):
        accepted.send(BUSY_LINE, socket.MSG_DONTWAIT)
        accepted.shutdown(socket.SHUT_WR)
    accepted.close()
    return received
