"""A connection that the process closes is closed, even if data arrives on it at that moment.

Seen in pre-production under fault injection: clients whose endpoint had ended, and that wrote their next line
some 20 ms later, stayed on a connection that was neither served nor closed. After an endpoint's reset its
client is reset 20 ms later, and a line that arrives in the turn of that reset is unread. The transport
mistook the process's own reset for an end of the other side: it first read the unread data, as it must before
such an end, found that a reset was already under way, and left the close to that reset. Evidence: `connection
close delayed` names ConnectionAborted and the five bytes of the line, and `connection closed` never follows;
it does follow after a FIN, or if the client is silent.

The process is delayed by some milliseconds after each epoll_wait, so that data written by the test arrives
between that call and what the process does next.
"""

from __future__ import annotations

import time

import pytest

from standins.preload import Machine
from tests.node.machine_kit import delay_event_loop, expect_end, with_faults, write_lines
from tests.node.session_kit import SilentEndpoint, session
from tests.node_kit import Node


@pytest.mark.parametrize("reset", [False, True])
def test_a_client_that_writes_as_its_endpoint_ends_is_closed_in_time(machine: Machine, reset: bool) -> None:
    with with_faults(machine, Node(fake_endpoint := SilentEndpoint())) as node:
        client, endpoint = session(node, fake_endpoint)
        delay_event_loop(machine)
        began = time.monotonic()
        endpoint.close(reset)
        write_lines(client)
        expect_end(node, client, began)
