"""Sessions whose two ends the test controls, down to the reactor turn in which the node sees their data."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import contextmanager

from tests.node_kit import TIMEOUT_S, FakeEndpoint, LineConnection, Node, open_line

LAST_LINES = [f"LOAD {n}" for n in range(3)]


class SilentEndpoint(FakeEndpoint):
    """An endpoint that answers OPEN with `up`, if any, and then leaves the connection to the test."""

    def __init__(self, up: str | None = "UP r1") -> None:
        self.up = up
        super().__init__("s-1")

    def serve(self, line: LineConnection) -> None:
        while (text := line.read()) not in ("", "RESET"):
            if text.startswith("OPEN "):
                if self.up is not None:
                    line.send(self.up)
                self.connections.put(line)
                return
            line.send("PONG x0=0.2,x1=0.0,util=0.2")


@contextmanager
def suspended(node: Node) -> Iterator[None]:
    """Suspend the node inside the block, so that it sees all that the other sides do there in one turn."""
    node.suspend()
    try:
        yield
    finally:
        node.resume()


def session(node: Node, endpoint: FakeEndpoint, number: int = 1) -> tuple[LineConnection, LineConnection]:
    """Establish a session; return the client's connection and the endpoint's."""
    client = node.client(open_line(number))
    assert client.read() == "UP r1"
    return client, endpoint.connections.get(timeout=TIMEOUT_S)


def hang_within_a_line(node: Node, endpoint: FakeEndpoint) -> tuple[LineConnection, LineConnection]:
    """Let an endpoint that answers no X line hang, with half a line of one session sent.

    Return that session's client and the endpoint's connection; the other session's client was sent MOVE.
    """
    client, connection = session(node, endpoint)
    other = node.client(open_line(2))
    assert other.read() == "UP r1"
    client.send("X 1 anyone there")
    connection.sock.sendall(b"X 1 any")
    other.send("X 1 anyone there")
    assert other.read() == "MOVE"  # the endpoint is now considered hung, for both sessions
    return client, connection


def read_to_end(line: LineConnection) -> list[str]:
    """Read all lines up to the end; the last item is the end itself: "" for a FIN, or "RESET"."""
    found = [line.read()]
    while found[-1] not in ("", "RESET"):
        found.append(line.read())
    return found


def expected_end(reset: bool) -> str:
    """What `read` returns at a FIN or at a reset."""
    return "RESET" if reset else ""


def kilobyte_lines(kilobytes: int) -> list[str]:
    """Numbered lines of about a kilobyte each."""
    return [f"LOAD {number:06d} {'z' * 1010}" for number in range(kilobytes)]


def small_buffer_session(node: Node, endpoint: FakeEndpoint) -> tuple[LineConnection, LineConnection]:
    """Establish a session whose client has a receive buffer of a few kilobytes."""
    client = node.client(open_line(), receive_buffer=4096)
    assert client.read() == "UP r1"
    return client, endpoint.connections.get(timeout=TIMEOUT_S)


def flood(line: LineConnection) -> None:
    """Send until the node has stopped reading for 0.3 s."""
    for _ in range(2000):
        if not line.is_writable_within(0.3):
            return
        line.sock.send((b"LOAD " + b"0" * 4000 + b"1\r\n") * 8, socket.MSG_DONTWAIT)
    raise AssertionError("the node never stops reading")
