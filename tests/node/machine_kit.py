"""Helpers for tests of failing system calls: a node under faults, and a check that connections end."""

from __future__ import annotations

import socket
import time
from contextlib import suppress

from standins.preload import Call, Machine
from tests.node.session_kit import read_to_end
from tests.node_kit import LineConnection, Node

END_DEADLINE_S = 1.0  # PROTOCOL: an end of the endpoint is passed on within a second
TOLERANCE_S = 0.5
DELAY_US = 4000
LINE_INTERVAL_S = 0.002
WRITE_DURATION_S = 0.2


def with_faults(machine: Machine, node: Node) -> Node:
    """Have the node's process run under this machine's faults; return the node."""
    node.env.update(machine.env)
    return node


def delay_event_loop(machine: Machine) -> None:
    """Delay the process after each wait for its sockets."""
    machine.fail(Call.HELD_WAIT, 1.0, [DELAY_US])


def write_lines(line: LineConnection, text: str = "M 1", seconds: float = WRITE_DURATION_S) -> None:
    """Write a line every few milliseconds, until the other side closes or the time is over."""
    line.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    until = time.monotonic() + seconds
    with suppress(OSError):
        while time.monotonic() < until:
            line.send(text)
            time.sleep(LINE_INTERVAL_S)


def expect_end(node: Node, line: LineConnection, since: float) -> None:
    """Check that the connection ends in time, and that the process holds nothing of it afterwards."""
    line.sock.settimeout(max(0.01, since + END_DEADLINE_S + TOLERANCE_S - time.monotonic()))
    assert read_to_end(line)[-1] in ("", "RESET")
    node.wait_for_counter("outlived", 0)
