"""A connection that the process has to end is ended, whatever comes on it in that moment.

Seen in pre-production under fault injection: clients whose endpoint had ended, and who wrote their next line
some twenty milliseconds later, stayed on a connection that nobody served and nobody closed. It came about
where an endpoint resets: its client is reset 20 ms later, and a line that comes in the turn of that reset
lies unread. The cause is that the transport took the process's own reset for an end of the other side: it
read what was unread first, as it has to ahead of such an end, found the reset under way already, and left the
close to it. What proved it: `connection end waits` names ConnectionAborted and the five bytes of the line,
and `connection closed` never follows; with a FIN, or a client that is silent, it does.

The process is held up for some milliseconds whenever it has looked at its sockets, so that what the test
writes comes between that look and what the process does next.
"""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

import pytest

from standins.preload import Call, Machine
from tests.node.session_kit import SilentPeer, read_to_end, session
from tests.node.test_wall_clock import on
from tests.node_kit import Line, Node

OWED_END_S = 1.0  # PROTOCOL: an end of the endpoint is passed on within a second
SLACK_S = 0.5
HELD_UP_US = 4000
LINE_EVERY_S = 0.002
WRITES_FOR_S = 0.2


@pytest.fixture
def machine(tmp_path: Path) -> Iterator[Machine]:
    yield Machine(tmp_path)


def hold_up(machine: Machine) -> None:
    machine.fail(Call.HELD_WAIT, 1.0, [HELD_UP_US])


def write_lines(line: Line, text: str = "M 1", seconds: float = WRITES_FOR_S) -> None:
    """Write a line every few milliseconds, until the other side ends or the time is over."""
    line.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    until = time.monotonic() + seconds
    with suppress(OSError):
        while time.monotonic() < until:
            line.send(text)
            time.sleep(LINE_EVERY_S)


def expect_end(node: Node, line: Line, since: float) -> None:
    """The connection ends within its time, and the process holds nothing beyond it."""
    line.sock.settimeout(max(0.01, since + OWED_END_S + SLACK_S - time.monotonic()))
    assert read_to_end(line)[-1] in ("", "RESET")
    node.wait_counted("outlived", 0)


@pytest.mark.parametrize("reset", [False, True])
def test_a_client_that_writes_as_its_endpoint_ends_is_not_left_waiting(machine: Machine, reset: bool) -> None:
    with on(machine, Node(peer := SilentPeer())) as node:
        client, endpoint = session(node, peer)
        hold_up(machine)
        began = time.monotonic()
        endpoint.close(reset)
        write_lines(client)
        expect_end(node, client, began)
