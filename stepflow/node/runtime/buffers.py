"""Bounds the memory of the data that the process holds for connections that take it slowly.

A relay reads a piece from one connection and holds it until the other connection has taken it. Each
connection is paused above a limit of its own, but hundreds of them together would exceed the memory of the
process. So the less space is left for all, the smaller are the pieces that each connection reads and holds.
"""

from __future__ import annotations

# Of all connections, before pieces have their least size; a small part of the 32 MB that the process may use,
# since each connection may hold twice the least size beyond it.
MAX_HELD_BYTES = 2 << 20
MAX_PIECE_BYTES = 1 << 16
MIN_PIECE_BYTES = 1 << 11
PIECES_LEFT = 8  # a piece is at most this part of the space that is left


class HeldBytes:
    """Counts the bytes that all connections of the process hold for sending.

    `piece_bytes` is the size up to which a connection may read now, and above which it pauses its source.
    """

    def __init__(self) -> None:
        self.total = 0
        self.piece_bytes = MAX_PIECE_BYTES

    def add(self, count: int) -> None:
        """Count that a connection holds so many bytes more, or fewer."""
        self.total += count
        left = (MAX_HELD_BYTES - self.total) // PIECES_LEFT
        self.piece_bytes = max(MIN_PIECE_BYTES, min(MAX_PIECE_BYTES, left))
