"""What tests of failing machines share: a node on one, and connections that are owed their end."""

from __future__ import annotations

import socket
import time
from contextlib import suppress

from standins.preload import Call, Machine
from tests.node.session_kit import read_to_end
from tests.node_kit import Line, Node

OWED_END_S = 1.0  # PROTOCOL: an end of the endpoint is passed on within a second
SLACK_S = 0.5
HELD_UP_US = 4000
LINE_EVERY_S = 0.002
WRITES_FOR_S = 0.2


def on(machine: Machine, node: Node) -> Node:
    """A node whose process runs under this machine's faults."""
    node.env.update(machine.env)
    return node


def hold_up(machine: Machine) -> None:
    """Hold the process up behind each look at its sockets."""
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
