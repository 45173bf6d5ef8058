"""The bytes that connections hold unsent, and the size of the pieces that they read."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, cast

from twisted.internet.protocol import connectionDone
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from stepflow.node.runtime.buffers import MAX_HELD_BYTES, MAX_PIECE_BYTES, MIN_PIECE_BYTES, HeldBytes
from stepflow.node.runtime.connection import AcceptedTransport
from stepflow.node.runtime.lines import LineProtocol

DATA = b"x" * (1 << 20)


class SilentProtocol(LineProtocol):
    """A protocol that does nothing."""

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        pass


@contextmanager
def connection() -> Iterator[Any]:
    """A transport whose other end reads nothing."""
    near, far = socket.socketpair()
    near.setblocking(False)
    reactor = MemoryReactorClock()  # type: ignore[no-untyped-call]
    transport = cast(Any, AcceptedTransport)(near, SilentProtocol(), ("", 0), None, 0, reactor)
    yield transport
    transport.connectionLost(connectionDone)
    far.close()


def test_held_bytes_are_counted_until_they_are_sent_or_dropped() -> None:
    """Guards against a count that drifts, and with it pieces that stay small, or memory without a bound."""
    held = AcceptedTransport.held_bytes
    before = held.total
    with connection() as first, connection() as second:
        first.write(DATA)
        second.write(DATA)
        assert held.total - before == 2 * len(DATA)
        first.doWrite()  # the kernel takes a part
        left = first._tempDataLen + len(first.dataBuffer)
        assert held.total - before == left + len(DATA)
        second.connectionLost(connectionDone)
        assert held.total - before == left
    assert held.total == before


def test_pieces_get_smaller_as_less_space_is_left() -> None:
    held, sizes = HeldBytes(), []
    for total in range(0, 2 * MAX_HELD_BYTES, 1 << 16):
        held.add(total - held.total)
        sizes.append(held.piece_bytes)
    assert sizes == sorted(sizes, reverse=True)
    assert (sizes[0], sizes[-1]) == (MAX_PIECE_BYTES, MIN_PIECE_BYTES)
