"""Sessions whose ends are played by the test, to the turn: endpoints that leave their connections to it."""

from __future__ import annotations

import select
import socket
from collections.abc import Iterator
from contextlib import contextmanager

from tests.node_kit import PATIENCE, Line, Node, Peer, opening

LAST = [f"LOAD {n}" for n in range(3)]


class SilentPeer(Peer):
    """An endpoint that leaves each connection to the test once it has read OPEN, and answers `up` to that."""

    def __init__(self, up: str | None = "UP r1") -> None:
        self.up = up
        super().__init__("s-1")

    def serve(self, line: Line) -> None:
        while (text := line.read()) not in ("", "RESET"):
            if text.startswith("OPEN "):
                if self.up is not None:
                    line.send(self.up)
                self.standing.put(line)
                return
            line.send("PONG x0=0.2,x1=0.0,util=0.2")


@contextmanager
def held_still(node: Node) -> Iterator[None]:
    """What the other sides do inside comes to the node in one turn."""
    node.freeze()
    try:
        yield
    finally:
        node.thaw()


def session(node: Node, peer: Peer, number: int = 1) -> tuple[Line, Line]:
    """An established session: its client's connection, and its endpoint's."""
    client = node.client(opening(number))
    assert client.read() == "UP r1"
    return client, peer.standing.get(timeout=PATIENCE)


def read_to_end(line: Line) -> list[str]:
    """All lines up to the end, and that as the last: "" or "RESET"."""
    found = [line.read()]
    while found[-1] not in ("", "RESET"):
        found.append(line.read())
    return found


def end_of(reset: bool) -> str:
    """What the other side reads at such an end."""
    return "RESET" if reset else ""


def many(kilobytes: int) -> list[str]:
    """So many lines of a kilobyte, each with its number."""
    return [f"LOAD {number:06d} {'z' * 1010}" for number in range(kilobytes)]


def slow_session(node: Node, peer: Peer) -> tuple[Line, Line]:
    """A session whose client takes no more than a few kilobytes until it reads."""
    client = node.client(opening(), receive_buffer=4096)
    assert client.read() == "UP r1"
    return client, peer.standing.get(timeout=PATIENCE)


def flood(line: Line) -> None:
    """Send until the node has not read for a while."""
    for _ in range(2000):
        if not select.select([], [line.sock], [], 0.3)[1]:
            return
        line.sock.send((b"LOAD " + b"0" * 4000 + b"1\r\n") * 8, socket.MSG_DONTWAIT)
    raise AssertionError("the node reads on without end")
