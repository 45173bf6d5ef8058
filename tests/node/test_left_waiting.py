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

import time

import pytest

from standins.preload import Machine
from tests.node.machine_kit import expect_end, hold_up, on, write_lines
from tests.node.session_kit import SilentPeer, session
from tests.node_kit import Node


@pytest.mark.parametrize("reset", [False, True])
def test_a_client_that_writes_as_its_endpoint_ends_is_not_left_waiting(machine: Machine, reset: bool) -> None:
    with on(machine, Node(peer := SilentPeer())) as node:
        client, endpoint = session(node, peer)
        hold_up(machine)
        began = time.monotonic()
        endpoint.close(reset)
        write_lines(client)
        expect_end(node, client, began)
