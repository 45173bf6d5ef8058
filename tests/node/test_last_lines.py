"""Data that one side wrote before it ended reaches the other side, and before that end does.

Seen in pre-production under fault injection: clients whose endpoint had answered UP saw their connection
closed without a line, and sessions lost the lines that their endpoint wrote in the millisecond of its end.
The endpoint wrote and then reset its connection at once. The node read the data, buffered it for its next
turn, detected the reset in that turn and reset the client, dropping the data: it handled an end when it was
detected instead of after the data before it. Evidence: the same lines arrive if the end is a FIN, or if the
reset comes some milliseconds later; `session data dropped` counts them as unsent.

The process is suspended while the other sides act, so that it sees everything in one turn.
"""

from __future__ import annotations

import pytest

from tests.node.session_kit import LAST_LINES, SilentEndpoint, expected_end, read_to_end, session, suspended
from tests.node_kit import TIMEOUT_S, Node, open_line


@pytest.mark.parametrize("reset", [False, True])
def test_the_answer_of_an_endpoint_that_ends_at_once_reaches_its_client(reset: bool) -> None:
    with Node(fake_endpoint := SilentEndpoint(up=None)) as node:
        client = node.client(open_line())
        endpoint = fake_endpoint.connections.get(timeout=TIMEOUT_S)
        with suspended(node):
            endpoint.send("UP r1", *LAST_LINES)
            endpoint.close(reset)
        assert read_to_end(client) == ["UP r1", *LAST_LINES, expected_end(reset)]


@pytest.mark.parametrize("reset", [False, True])
def test_the_last_lines_of_an_endpoint_reach_its_client(reset: bool) -> None:
    with Node(fake_endpoint := SilentEndpoint()) as node:
        client, endpoint = session(node, fake_endpoint)
        with suspended(node):
            endpoint.send(*LAST_LINES)
            endpoint.close(reset)
        assert read_to_end(client) == [*LAST_LINES, expected_end(reset)]


@pytest.mark.parametrize("reset", [False, True])
def test_the_last_lines_of_a_client_reach_its_endpoint(reset: bool) -> None:
    with Node(fake_endpoint := SilentEndpoint()) as node:
        client, endpoint = session(node, fake_endpoint)
        with suspended(node):
            client.send(*LAST_LINES)
            client.close(reset)
        assert read_to_end(endpoint) == [*LAST_LINES, expected_end(reset)]
