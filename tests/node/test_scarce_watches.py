"""Connections that the process can't watch for a moment, because epoll_ctl(2) fails for lack of memory.

The failure: clients were reset or got no answer, sessions were cut off, and ends were passed on late or as a
reset. The error was raised in the code that started or stopped reading or writing (an accept, an established
connect, a timer's call), and aborted it. Evidence: tracebacks of each of these that end in epoll's register
or modify.
"""

from __future__ import annotations

import errno

import pytest

from standins.preload import Call, Machine
from tests.node.machine_kit import END_DEADLINE_S, with_faults
from tests.node.session_kit import LAST_LINES, SilentEndpoint, expected_end, read_to_end, session
from tests.node_kit import FakeEndpoint, Node, open_line

FAILURE_SHARE = 0.3
REQUESTS = 20


def test_requests_are_answered_while_watching_connections_may_fail(machine: Machine) -> None:
    with with_faults(machine, Node(FakeEndpoint("s-1"), FakeEndpoint("s-2"))) as node:
        machine.fail(Call.WATCH, FAILURE_SHARE, [errno.ENOMEM])
        for number in range(REQUESTS):
            client = node.client(open_line(number, wait_ms=5000))
            assert client.read() == "UP r1"
            client.send("M 1")
            assert client.read() == "M 1"
            client.close()
        assert machine.injected(Call.WATCH) > 0
        node.wait_for_counter("faults", 0)
        assert "Traceback" not in node.log_text


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("by_client", [False, True])
def test_ends_are_passed_on_in_time_while_watching_connections_may_fail(
    machine: Machine, by_client: bool, reset: bool
) -> None:
    with with_faults(machine, Node(fake_endpoint := SilentEndpoint())) as node:
        sessions = [session(node, fake_endpoint, number) for number in range(REQUESTS)]
        machine.fail(Call.WATCH, FAILURE_SHARE, [errno.ENOMEM])
        for client, endpoint in sessions:
            writer, reader = (client, endpoint) if by_client else (endpoint, client)
            writer.send(*LAST_LINES)
            writer.close(reset)
            reader.sock.settimeout(END_DEADLINE_S)
            assert read_to_end(reader) == [*LAST_LINES, expected_end(reset)]
        machine.heal()
        node.wait_for_counter("outlived", 0)
        assert "Traceback" not in node.log_text
